// Package operating carries out what operators call for day by day: servers out by hand, the
// drain, figures; and keeps the processes of one sidecar in step over an upgrade.
package operating

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/drain"
	"chalkrack/internal/evacuation"
	"chalkrack/internal/figures"
	"chalkrack/internal/front"
	"chalkrack/internal/handover"
	"chalkrack/internal/maintenance"
	"chalkrack/internal/management"
	"chalkrack/internal/membership"
	"chalkrack/internal/upstream"
)

// endEach is how often connections that idle are ended during a drain.
const endEach = 50 * time.Millisecond

// Config is what an Operation is told.
type Config struct {
	Host    *core.Host
	Figures *figures.Figures
	Pool    *upstream.Pool
	Tell    func(*membership.List) // takes lists on their way to the core
	Zones   Zones                  // nil: off
	Limits  Limits
	// Shared says that the platform holds the clients' socket for several processes of this
	// sidecar, which share a folder below Tmp by the name of Listen.
	Shared      bool
	Tmp, Listen string
}

// Zones is what goes over of zones in an upgrade.
type Zones interface {
	State() []evacuation.ZoneState
	Adopt([]evacuation.ZoneState)
}

// Operation carries out what operators call for. It owns the servers out by hand and the
// drain. Its methods may be called from any goroutine.
type Operation struct {
	c      Config
	srv    *front.Server
	folder *handover.Folder // nil: no other process can be of this sidecar
	ended  chan struct{}    // closed when attend has ended; nil: it never began

	serving atomic.Bool

	mu      sync.Mutex // held over a list's way to the host: they arrive there in order
	set     *maintenance.Set
	drain   drain.Machine
	tending bool
	others  int // processes of this sidecar

	quitting bool // the clients' connections are on their way out for good
	closed   bool
}

var _ management.Deeds = (*Operation)(nil)

// New takes up what other processes of this sidecar know that operators have done.
func New(c Config) *Operation {
	o := &Operation{c: c, set: maintenance.New()}
	if c.Shared && c.Tmp != "" {
		o.enter()
	}
	return o
}

// Serves has it lead the clients of a front from now on.
func (o *Operation) Serves(srv *front.Server) { o.srv = srv }

func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Listed takes a list from discovery.
func (o *Operation) Listed(l *membership.List) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.c.Tell(o.set.ApplyList(l))
}

// Serve says that this process can serve.
func (o *Operation) Serve() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serving.Store(true)
	if since, on := o.drain.Since(); on { // of the process before
		o.begin(since)
		return
	}
	o.c.Host.SetReady(true)
}

// Quit says that this process is on its way out: clients are no longer led by what
// operators call for.
func (o *Operation) Quit() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quitting = true
}

// Close has the other processes know that this one has ended.
func (o *Operation) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.leave()
}

// Ready implements management.Deeds.
func (o *Operation) Ready() bool { return o.serving.Load() }

// Figures implements management.Deeds.
func (o *Operation) Figures(b []byte) []byte {
	o.mu.Lock()
	m := figures.ServerCounts{Discovered: o.set.Discovered(), Ejected: o.set.DisabledCount()}
	o.mu.Unlock()
	m.Ejected += o.c.Host.Ejected()
	return o.c.Figures.Append(b, m)
}

// Disable implements management.Deeds.
func (o *Operation) Disable(id string) error {
	return o.change("server out by hand", id, o.set.Disable)
}

// Enable implements management.Deeds.
func (o *Operation) Enable(id string) error {
	return o.change("server back by hand", id, func(id string) (*membership.List, error) {
		return o.set.Enable(id, unixNow())
	})
}

func (o *Operation) change(what, id string, do func(string) (*membership.List, error)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record(func() error {
		l, err := do(id)
		if err != nil {
			return err
		}
		if l != nil {
			o.c.Tell(l)
		}
		slog.Info(what, "server", id)
		return nil
	})
}

// Drain implements management.Deeds.
func (o *Operation) Drain() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record(func() error {
		if _, on := o.drain.Since(); !on {
			o.begin(unixNow())
		}
		return nil
	})
}

// begin drains since a time. It is called with the lock held.
func (o *Operation) begin(since time.Duration) {
	o.drain.Begin(since)
	if o.quitting || o.srv == nil { // on its way out, or not yet there: serve goes by it
		return
	}
	o.c.Host.SetReady(false)
	o.srv.SetDraining(true)
	slog.Info("drain", "clients", o.srv.Conns())
	if !o.tending {
		o.tending = true
		go o.tend()
	}
}

// Undrain implements management.Deeds.
func (o *Operation) Undrain() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record(func() error {
		if _, on := o.drain.Since(); on {
			o.end()
		}
		return nil
	})
}

// end goes back to work. It is called with the lock held.
func (o *Operation) end() {
	o.drain.End()
	if o.quitting || o.srv == nil {
		return
	}
	o.srv.SetDraining(false)
	o.c.Host.SetReady(o.serving.Load())
	slog.Info("end of the drain", "clients", o.srv.Conns())
}

// tend ends what idles while a drain lasts.
func (o *Operation) tend() {
	for {
		time.Sleep(endEach)
		o.mu.Lock()
		st := o.drain.State(unixNow())
		if o.closed || o.quitting || st == drain.Serving {
			o.tending = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		if st == drain.ClosingIdle {
			o.srv.EndIdle()
		}
	}
}

// Deed is a call by the operators' socket: a line of the management address, as JSON.
func (o *Operation) Deed(text []byte) (any, error) {
	var line string
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, fmt.Errorf("operate: %w", err)
	}
	return string(management.ExecuteLine(line, o)), nil
}
