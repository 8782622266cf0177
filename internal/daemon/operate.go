package daemon

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/drain"
	"chalkrack/internal/figures"
	"chalkrack/internal/front"
	"chalkrack/internal/handover"
	"chalkrack/internal/maintenance"
	"chalkrack/internal/management"
	"chalkrack/internal/membership"
	"chalkrack/internal/rooms/zones"
	"chalkrack/internal/upstream"
)

const (
	// Descriptors set aside for callers of the management address: few, for one that says
	// nothing makes way.
	callersMost  = 32
	callersShare = 16 // of the descriptors, one in so many
	// How often connections that idle are ended during a drain.
	endEach = 50 * time.Millisecond
)

// callers is how many descriptors are set aside for who calls the management address;
// its listener not counted.
func (c *Config) callers() int {
	if c.management == "" {
		return 0
	}
	return max(8, min(callersMost, c.sockets/callersShare))
}

// managementConns are the descriptors that management needs in all.
func managementConns(c *Config) int {
	if c.management == "" {
		return 0
	}
	return c.callers() + 1
}

// operation carries out what operators call for. It owns the servers out by hand and the
// drain.
type operation struct {
	host *core.Host
	srv  *front.Server
	fig  *figures.Figures
	tell func(*membership.List)
	pool *upstream.Pool

	zones  *zones.Zones // nil: off
	limits limits
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

var _ management.Deeds = (*operation)(nil)

func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// listed takes a list from discovery.
func (o *operation) listed(l *membership.List) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tell(o.set.Listed(l))
}

// serve says that this process can serve.
func (o *operation) serve() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serving.Store(true)
	if since, on := o.drain.Since(); on { // of the process before
		o.begin(since)
		return
	}
	o.host.SetReady(true)
}

// quit says that this process is on its way out: clients are no longer led by what
// operators call for.
func (o *operation) quit() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quitting = true
}

func (o *operation) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.leave()
}

// Ready implements management.Deeds.
func (o *operation) Ready() bool { return o.serving.Load() }

// Figures implements management.Deeds.
func (o *operation) Figures(b []byte) []byte {
	o.mu.Lock()
	m := figures.Members{Discovered: o.set.Discovered(), Ejected: o.set.OutListed()}
	o.mu.Unlock()
	m.Ejected += o.host.Ejected()
	return o.fig.Append(b, m)
}

// Disable implements management.Deeds.
func (o *operation) Disable(id string) error {
	return o.change("server out by hand", id, o.set.Disable)
}

// Enable implements management.Deeds.
func (o *operation) Enable(id string) error {
	return o.change("server back by hand", id, func(id string) (*membership.List, error) {
		return o.set.Enable(id, unixNow())
	})
}

func (o *operation) change(what, id string, do func(string) (*membership.List, error)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record(func() error {
		l, err := do(id)
		if err != nil {
			return err
		}
		if l != nil {
			o.tell(l)
		}
		slog.Info(what, "server", id)
		return nil
	})
}

// Drain implements management.Deeds.
func (o *operation) Drain() error {
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
func (o *operation) begin(since time.Duration) {
	o.drain.Begin(since)
	if o.quitting || o.srv == nil { // on its way out, or not yet there: serve goes by it
		return
	}
	o.host.SetReady(false)
	o.srv.SetDraining(true)
	slog.Info("drain", "clients", o.srv.Conns())
	if !o.tending {
		o.tending = true
		go o.tend()
	}
}

// Undrain implements management.Deeds.
func (o *operation) Undrain() error {
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
func (o *operation) end() {
	o.drain.End()
	if o.quitting || o.srv == nil {
		return
	}
	o.srv.SetDraining(false)
	o.host.SetReady(o.serving.Load())
	slog.Info("end of the drain", "clients", o.srv.Conns())
}

// tend ends what idles while a drain lasts.
func (o *operation) tend() {
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
		if st == drain.Ending {
			o.srv.EndIdle()
		}
	}
}

// deed is a call by the operators' socket: a line of the management address, as JSON.
func (o *operation) deed(text []byte) (any, error) {
	var line string
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, fmt.Errorf("operate: %w", err)
	}
	return string(management.Answer(line, o)), nil
}

// manage listens where operators call; nil where that is off.
func (o *operation) manage(c *Config) (*management.Server, error) {
	if c.management == "" {
		return nil, nil
	}
	s, err := management.Listen(c.management, c.callers(), o)
	if err != nil {
		return nil, err
	}
	slog.Info("management", "listen", s.Addr())
	if c.Managed != nil {
		c.Managed(s.Addr())
	}
	return s, nil
}

// listener is where clients come: one that the platform holds, or one of our own.
func listener(c *Config) (net.Listener, error) {
	if c.inherited > 0 {
		return inherit(c.inherited, c.listen)
	}
	return net.Listen("tcp", c.listen)
}
