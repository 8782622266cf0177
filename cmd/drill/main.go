// Command drill connects balancers to the simulator: it reads events from standard input, passes
// them to the balancers and writes their actions to standard output. It makes no decisions itself.
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

// listCount is the number of list numbers in use on the wire.
const listCount = 16

// drill holds the state of the adapter: the balancer instances by id, and the numbered server
// lists, which all instances share.
type drill struct {
	in          *bufio.Reader
	out         io.Writer
	longLine    []byte // the current line if it is longer than the buffer of in
	lineNumber  int
	decoder     wire.Decoder
	reply       wire.Reply
	instances   map[string]*instance
	lists       [listCount][]chalkrack.Endpoint
	listDefined [listCount]bool
	now         time.Duration
	failed      bool // a balancer panicked; further events of instances are ignored
}

// run processes all batches of the input. An error names the line at which it occurred.
func run(in io.Reader, out io.Writer) error {
	d := &drill{
		in:        bufio.NewReaderSize(in, 1<<16),
		out:       out,
		instances: make(map[string]*instance),
	}
	for {
		more, err := d.processBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", d.lineNumber, err)
		}
		if !more {
			return nil
		}
	}
}

// readLine returns the next line without its end. The line is valid until the next call.
func (d *drill) readLine() ([]byte, error) {
	line, err := d.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		d.longLine = append(d.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = d.in.ReadSlice('\n')
			d.longLine = append(d.longLine, line...)
		}
		line = d.longLine
	}
	if err != nil && (err != io.EOF || len(line) == 0) {
		return nil, err
	}
	d.lineNumber++
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line, nil
}

// processBatch reads one batch and writes the reply to it. It returns false if the input ended
// before the batch, and an error if the input ended within it.
func (d *drill) processBatch() (more bool, err error) {
	var e wire.Event
	turn := int64(-1)
	for {
		line, err := d.readLine()
		switch {
		case err == io.EOF && turn < 0:
			return false, nil
		case err == io.EOF:
			return false, fmt.Errorf("input ended within batch %d", turn)
		case err != nil:
			return false, err
		case len(line) == 0:
			continue
		}
		if err := d.decoder.Decode(line, &e); err != nil {
			return false, err
		}
		switch {
		case e.Kind == wire.Tick && turn < 0:
			turn = e.Turn
			d.now = microseconds(e.TimeUs)
			d.reply.Reset()
		case e.Kind == wire.Tick || turn < 0:
			return false, errors.New("tick within a batch, or message outside of one: a batch starts with tick and finishes with end")
		case e.Kind == wire.End:
			d.reply.EndOfReply(turn)
			_, err := d.out.Write(d.reply.Bytes())
			return true, err
		default:
			if err := d.handleEvent(&e); err != nil {
				return false, err
			}
		}
	}
}

// handleEvent handles an event within a batch: a list, or an event of an instance.
func (d *drill) handleEvent(e *wire.Event) error {
	if e.Kind == wire.Ledger || e.Kind == wire.BackendsChanged {
		if e.ListNumber < 0 || e.ListNumber >= listCount {
			return fmt.Errorf("ledger number %d is out of range", e.ListNumber)
		}
	}
	switch e.Kind {
	case wire.Ledger:
		d.lists[e.ListNumber], d.listDefined[e.ListNumber] = endpoints(e.Hosts), true
		return nil
	case wire.PowerOn:
		return d.startInstance(e)
	}
	instance := d.instances[string(e.Instance)]
	if instance == nil {
		return fmt.Errorf("event for unknown instance %q", e.Instance)
	}
	if e.Kind == wire.Exit {
		delete(d.instances, instance.id)
		return nil
	}
	if e.Kind == wire.BackendsChanged && string(e.UpdateKind) != "broken" && !d.listDefined[e.ListNumber] {
		return fmt.Errorf("ledger number %d is used before its ledger message", e.ListNumber)
	}
	return d.recoverPanic(instance.id, func() error { return instance.handleEvent(e, d) })
}

// recoverPanic calls f and writes a panic of the decision code to the reply as bailOut. After a
// panic it does nothing.
func (d *drill) recoverPanic(id string, f func() error) (err error) {
	if d.failed {
		return nil
	}
	defer func() {
		if reason := recover(); reason != nil {
			d.failed = true
			d.reply.BailOut(id, fmt.Sprint(reason))
		}
	}()
	return f()
}

// startInstance creates the balancer of an instance from the settings in e.
func (d *drill) startInstance(e *wire.Event) error {
	parsed, err := settings.Parse(e.Env)
	if err != nil {
		return err
	}
	started := &instance{id: string(e.Instance), reply: &d.reply, settings: parsed}
	return d.recoverPanic(started.id, func() error {
		started.balancer, err = chalkrack.New(parsed.Config, e.Seed, started)
		d.instances[started.id] = started
		return err
	})
}

func microseconds(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
