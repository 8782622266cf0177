// Command drill hosts balancers on the simulator's wire: events on standard
// input, actions on standard output. It decides nothing itself.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"chalkrack"
	"chalkrack/internal/settings"
	"chalkrack/internal/wire"
)

func main() {
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(4 << 30)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// ledgers is the number of list numbers in use on the wire.
const ledgers = 16

// drill is the adapter's state: instances by id, and the numbered lists, which
// belong to the process.
type drill struct {
	in        *bufio.Reader
	out       io.Writer
	long      []byte // a line longer than in's buffer
	line      int
	dec       wire.Decoder
	reply     wire.Reply
	instances map[string]*instance
	lists     [ledgers][]chalkrack.Endpoint
	listed    [ledgers]bool
	now       time.Duration
	failed    bool
}

func run(in io.Reader, out io.Writer) error {
	d := &drill{
		in:        bufio.NewReaderSize(in, 1<<16),
		out:       out,
		instances: make(map[string]*instance),
	}
	for {
		more, err := d.batch()
		if err != nil {
			return fmt.Errorf("line %d: %w", d.line, err)
		}
		if !more {
			return nil
		}
	}
}

func (d *drill) next() ([]byte, error) {
	line, err := d.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		d.long = append(d.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = d.in.ReadSlice('\n')
			d.long = append(d.long, line...)
		}
		line = d.long
	}
	if err != nil && (err != io.EOF || len(line) == 0) {
		return nil, err
	}
	d.line++
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line, nil
}

// batch answers one batch; false says that the input ended before it.
func (d *drill) batch() (more bool, err error) {
	var e wire.Event
	turn := int64(-1)
	for {
		line, err := d.next()
		switch {
		case err == io.EOF && turn < 0:
			return false, nil
		case err == io.EOF:
			return false, fmt.Errorf("batch %d cut short", turn)
		case err != nil:
			return false, err
		case len(line) == 0:
			continue
		}
		if err := d.dec.Decode(line, &e); err != nil {
			return false, err
		}
		switch {
		case e.Kind == wire.Tick && turn < 0:
			turn = e.Turn
			d.now = micros(e.TimeUs)
			d.reply.Reset()
		case e.Kind == wire.Tick || turn < 0:
			return false, errors.New("message out of place: a batch runs from tick to end")
		case e.Kind == wire.End:
			d.reply.EndOfReply(turn)
			_, err := d.out.Write(d.reply.Bytes())
			return true, err
		default:
			if err := d.event(&e); err != nil {
				return false, err
			}
		}
	}
}

func (d *drill) event(e *wire.Event) error {
	if e.Kind == wire.Ledger || e.Kind == wire.BackendsChanged {
		if e.List < 0 || e.List >= ledgers {
			return fmt.Errorf("unknown ledger number %d", e.List)
		}
	}
	switch e.Kind {
	case wire.Ledger:
		d.lists[e.List], d.listed[e.List] = endpoints(e.Hosts), true
		return nil
	case wire.PowerOn:
		return d.start(e)
	}
	i := d.instances[string(e.Instance)]
	if i == nil {
		return fmt.Errorf("event for unknown instance %q", e.Instance)
	}
	if e.Kind == wire.Exit {
		delete(d.instances, i.id)
		return nil
	}
	if e.Kind == wire.BackendsChanged && string(e.How) != "broken" && !d.listed[e.List] {
		return fmt.Errorf("unknown ledger number %d", e.List)
	}
	return d.guard(i.id, func() error { return i.event(e, d) })
}

// guard turns a panic of the decision code into bailOut.
func (d *drill) guard(id string, f func() error) (err error) {
	if d.failed {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			d.failed = true
			d.reply.BailOut(id, fmt.Sprint(p))
		}
	}()
	return f()
}

func (d *drill) start(e *wire.Event) error {
	set, err := settings.Parse(e.Env)
	if err != nil {
		return err
	}
	i := &instance{id: string(e.Instance), reply: &d.reply, set: set}
	return d.guard(i.id, func() error {
		i.b, err = chalkrack.New(set.Config, e.Seed, i)
		d.instances[i.id] = i
		return err
	})
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
