package operating

import (
	"errors"
	"log/slog"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"chalkrack"
	"chalkrack/internal/evacuation"
	"chalkrack/internal/handover"
	"chalkrack/internal/maintenance"
	"chalkrack/internal/membership"
)

const (
	// How long a start waits for what a process that still serves has learnt.
	learntMost = 700 * time.Millisecond
	// How often a process looks for others of its sidecar, and for what operators have
	// told them. Well under the grace that what they tell has.
	aroundEach = 100 * time.Millisecond
)

// learnt is what goes over to a new process.
type learnt struct {
	Memory chalkrack.Memory       `json:"memory"`
	List   []membership.Entry     `json:"list"` // as discovery said last
	Zones  []evacuation.ZoneState `json:"zones,omitempty"`
}

// done is what operators have done, by calls to any process of the sidecar.
type done struct {
	maintenance.State
	Drain bool          `json:"drain"`
	Since time.Duration `json:"since"`
}

// enter opens the folder that the sidecar's processes share, where the platform holds
// the clients' socket for them, and takes up which servers are out. Without the folder
// this process serves all the same.
func (o *Operation) enter() {
	name := "fawnrock-" + strings.Map(func(r rune) rune {
		if r == '/' || r == 0 {
			return '_'
		}
		return r
	}, o.c.Listen)
	f, err := handover.Open(filepath.Join(o.c.Tmp, name))
	if err != nil {
		slog.Error("no handover between processes", "err", err)
		return
	}
	o.folder = f
	o.mu.Lock()
	defer o.mu.Unlock()
	o.others, _ = f.Processes()
	o.heed()
}

// Inherit takes up what a process that still serves has learnt. It is called before
// anything else is heard of the servers but the list that the platform gave.
func (o *Operation) Inherit() {
	if o.folder == nil {
		return
	}
	if o.others > 0 {
		var l learnt
		began := time.Now()
		if err := o.folder.RequestState(&l, learntMost); err != nil {
			slog.Warn("nothing learnt from the process before", "err", err)
		} else {
			if len(l.List) > 0 {
				o.Listed(&membership.List{Whole: true, Entries: l.List})
			}
			o.c.Host.Remember(l.Memory)
			if o.c.Zones != nil {
				o.c.Zones.Adopt(l.Zones)
			}
			slog.Info("learnt from the process before", "servers", len(l.List), "after", time.Since(began))
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.share(o.others + 1)
	o.ended = make(chan struct{})
	go o.attend()
}

// attend keeps this process in step with others of its sidecar.
func (o *Operation) attend() {
	defer close(o.ended)
	for {
		time.Sleep(aroundEach)
		o.mu.Lock()
		if o.closed {
			o.mu.Unlock()
			return
		}
		others, asking := o.folder.Processes()
		if others != o.others {
			slog.Info("processes of this sidecar", "others", others)
			o.others = others
			o.share(others + 1)
		}
		o.heed()
		if o.serving.Load() && !o.quitting {
			for _, who := range asking {
				l := learnt{Memory: o.c.Host.Memory(), List: o.set.List()}
				if o.c.Zones != nil {
					l.Zones = o.c.Zones.State()
				}
				if err := o.folder.SendState(who, l); err != nil {
					slog.Error("what was learnt can't be told", "err", err)
				}
			}
		}
		o.mu.Unlock()
	}
}

// heed takes up what operators told other processes. It is called with the lock held.
func (o *Operation) heed() {
	var d done
	if !o.folder.ReadOperatorState(&d) {
		return
	}
	if l := o.set.Adopt(d.State); l != nil {
		o.c.Tell(l)
	}
	switch _, on := o.drain.Since(); {
	case d.Drain && !on:
		o.begin(d.Since)
	case !d.Drain && on:
		o.end()
	}
}

// record makes a change, and has the other processes hear of it. It is called with the
// lock held.
func (o *Operation) record(do func() error) (err error) {
	if o.folder == nil {
		return do()
	}
	unwritten := o.folder.UpdateOperatorState(func() (any, bool) {
		o.heed()
		if err = do(); err != nil {
			return nil, false
		}
		d := done{State: o.set.State()}
		d.Since, d.Drain = o.drain.Since()
		return d, true
	})
	if unwritten != nil {
		// It holds here; a process that follows would not know of it.
		slog.Error("what operators have done can't be written", "err", unwritten)
		if err == nil {
			err = errors.New("done here, but not written down: it would not outlive this process")
		}
	}
	return err
}

// share divides the sidecar's limits among so many processes of it. It is called with
// the lock held.
func (o *Operation) share(parts int) {
	parts = max(1, min(parts, partsMost))
	debug.SetMemoryLimit(o.c.Limits.Memory / int64(parts))
	o.c.Pool.Limit(o.c.Limits.Conns / parts)
	o.srv.LimitBodies(o.c.Limits.Bodies / int64(parts))
}

// partsMost bounds how small a part gets.
const partsMost = 4

// Limits are the whole sidecar's.
type Limits struct {
	Memory int64 // of the heap, in bytes
	Conns  int   // to servers
	Bodies int64 // of requests, in bytes
}

// leave has the folder forget this process.
func (o *Operation) leave() {
	if o.ended != nil {
		<-o.ended
	}
	if o.folder != nil {
		o.folder.Close()
	}
}
