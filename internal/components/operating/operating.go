// Package operating carries out the operators' calls to a sidecar: disabling and enabling
// servers, draining, reading counters. It also keeps the processes of one sidecar in step
// during an upgrade.
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

// idleCloseInterval is how often idle connections are closed during a drain.
const idleCloseInterval = 50 * time.Millisecond

// Config holds the parts of the sidecar that an Operation acts on.
type Config struct {
	Host      *core.Host
	Figures   *figures.Figures
	Pool      *upstream.Pool
	ApplyList func(*membership.List) // passes lists of the platform's servers on to the core
	Zones     ZoneState              // nil if zones are off
	Limits    Limits
	// Shared is set if the platform holds the clients' socket for several processes of this
	// sidecar. They share a folder below Tmp that is named after Listen.
	Shared      bool
	Tmp, Listen string
}

// ZoneState gives access to the state of the zones that a new process takes over in an upgrade.
type ZoneState interface {
	State() []evacuation.ZoneState
	Adopt([]evacuation.ZoneState)
}

// Operation carries out the operators' calls. It owns the set of disabled servers and the
// drain. Its methods may be called from any goroutine.
type Operation struct {
	config    Config
	srv       *front.Server
	folder    *handover.Folder // nil if this sidecar has no other processes
	watchDone chan struct{}    // closed when watchProcesses has ended; nil if it never began

	serving atomic.Bool

	clock time.Duration // of now, relative to handover.MonotonicNow

	mu             sync.Mutex // also held while a list is passed to a host, so that lists arrive in order
	servers        *maintenance.Set
	platform       *maintenance.Source
	forward        map[*maintenance.Source]func(*membership.List) // passes lists on, by source
	pools          []handedOverPool
	drain          drain.Machine
	closingIdle    bool
	otherProcesses int // processes of this sidecar

	quitting bool // the process is shutting down and its clients' connections are being closed
	closed   bool
}

var _ management.Handler = (*Operation)(nil)

// New returns an Operation. If the process shares its sidecar with others, it applies the
// changes that operators made there.
func New(c Config) *Operation {
	o := &Operation{config: c, servers: maintenance.New(), forward: make(map[*maintenance.Source]func(*membership.List))}
	o.clock = o.now() - handover.MonotonicNow()
	o.platform = o.servers.AddSource("", tcpNetwork)
	o.forward[o.platform] = c.ApplyList
	if c.Shared && c.Tmp != "" {
		o.openFolder()
	}
	return o
}

// SetFront sets the server whose clients are drained. It is called before the process serves.
func (o *Operation) SetFront(srv *front.Server) { o.srv = srv }

// now returns the time of the cores, which is the Unix time at the start of the process and is not
// stepped with the machine's clock.
func (o *Operation) now() time.Duration { return o.config.Host.Now() }

// Networks of the addresses of servers.
const (
	tcpNetwork = "tcp"
	udpNetwork = "udp"
)

// handedOverPool is a pool whose list and learned state a new process takes over in an upgrade.
type handedOverPool struct {
	name   string
	host   *core.Host
	source *maintenance.Source
}

// AddPool adds the servers of a pool with its core, and returns the function to which the pool's lists
// have to be passed. It passes them to forward with the operators' changes applied, and each change that
// operators make. forward is called with a lock held, so it must not call the Operation. The name has to
// be unique among the pools.
func (o *Operation) AddPool(name string, host *core.Host, forward func(*membership.List)) (applyList func(*membership.List)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	src := o.addSource("pool "+name, tcpNetwork, forward)
	o.pools = append(o.pools, handedOverPool{name, host, src})
	return func(l *membership.List) { o.applyList(src, l) }
}

// AddRadius adds the servers of RADIUS in a realm, whose addresses are those of UDP, as AddPool does. They
// are not handed over, as the ports of RADIUS are not.
func (o *Operation) AddRadius(name string, forward func(*membership.List)) (applyList func(*membership.List)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	src := o.addSource("radius "+name, udpNetwork, forward)
	return func(l *membership.List) { o.applyList(src, l) }
}

// addSource adds a list of servers. The caller holds o.mu.
func (o *Operation) addSource(name, network string, forward func(*membership.List)) *maintenance.Source {
	src := o.servers.AddSource(name, network)
	o.forward[src] = forward
	return src
}

// ApplyList passes a list of the platform's servers from discovery on with the operators' changes
// applied.
func (o *Operation) ApplyList(l *membership.List) { o.applyList(o.platform, l) }

func (o *Operation) applyList(src *maintenance.Source, l *membership.List) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyListLocked(src, l)
}

// applyListLocked is applyList for a caller that holds o.mu.
func (o *Operation) applyListLocked(src *maintenance.Source, l *membership.List) {
	applied, others := o.servers.ApplyList(src, l)
	o.forward[src](applied)
	o.pass(others)
}

// pass passes changed entries on to their paths. The caller holds o.mu.
func (o *Operation) pass(updates []maintenance.Update) {
	for _, u := range updates {
		o.forward[u.Source](u.List)
	}
}

// StartServing marks this process as able to serve. A drain that began in another process goes on.
func (o *Operation) StartServing() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serving.Store(true)
	if since, on := o.drain.Since(); on { // began in the previous process
		o.beginDrain(since)
		return
	}
	o.config.Host.SetReady(true)
}

// StartShutdown marks this process as shutting down. From then on a drain no longer changes the
// readiness or the clients' connections.
func (o *Operation) StartShutdown() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quitting = true
}

// Close ends the Operation and removes this process from the shared folder, so that the
// other processes know it has ended.
func (o *Operation) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.closeFolder()
}

// Ready implements management.Handler.
func (o *Operation) Ready() bool { return o.serving.Load() }

// Figures implements management.Handler.
func (o *Operation) Figures(b []byte) []byte {
	o.mu.Lock()
	m := figures.ServerCounts{Discovered: o.platform.Discovered(), Ejected: o.servers.DisabledCount(o.platform)}
	o.mu.Unlock()
	m.Ejected += o.config.Host.Ejected()
	return o.config.Figures.Append(b, m)
}

// Disable implements management.Handler.
func (o *Operation) Disable(id string) error {
	return o.changeServer("server disabled by an operator", id, o.servers.Disable)
}

// Enable implements management.Handler.
func (o *Operation) Enable(id string) error {
	return o.changeServer("server enabled by an operator", id, func(id string) ([]maintenance.Update, error) {
		return o.servers.Enable(id, o.now())
	})
}

// changeServer changes a server with do, passes what changes on to all paths and logs logMessage.
func (o *Operation) changeServer(logMessage, id string, do func(string) ([]maintenance.Update, error)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.updateOperatorState(func() error {
		updates, err := do(id)
		if err != nil {
			return err
		}
		o.pass(updates)
		slog.Info(logMessage, "server", id, "paths", len(updates))
		return nil
	})
}

// Drain implements management.Handler.
func (o *Operation) Drain() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.updateOperatorState(func() error {
		if _, on := o.drain.Since(); !on {
			o.beginDrain(o.now())
		}
		return nil
	})
}

// beginDrain starts a drain that began at since, in Unix time. The caller holds o.mu.
func (o *Operation) beginDrain(since time.Duration) {
	o.drain.Begin(since)
	if o.quitting || o.srv == nil { // shutting down, or not serving yet: Serve begins the drain then
		return
	}
	o.config.Host.SetReady(false)
	o.srv.SetDraining(true)
	slog.Info("drain", "clients", o.srv.Conns())
	if !o.closingIdle {
		o.closingIdle = true
		go o.closeIdleConns()
	}
}

// Undrain implements management.Handler.
func (o *Operation) Undrain() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.updateOperatorState(func() error {
		if _, on := o.drain.Since(); on {
			o.endDrain()
		}
		return nil
	})
}

// endDrain ends the drain and returns to service. The caller holds o.mu.
func (o *Operation) endDrain() {
	o.drain.End()
	if o.quitting || o.srv == nil {
		return
	}
	o.srv.SetDraining(false)
	o.config.Host.SetReady(o.serving.Load())
	slog.Info("drain ends", "clients", o.srv.Conns())
}

// closeIdleConns closes idle client connections once the drain has reached ClosingIdle. It
// returns when the drain ends or the process shuts down.
func (o *Operation) closeIdleConns() {
	for {
		time.Sleep(idleCloseInterval)
		o.mu.Lock()
		st := o.drain.State(o.now())
		if o.closed || o.quitting || st == drain.Serving {
			o.closingIdle = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		if st == drain.ClosingIdle {
			o.srv.CloseIdle()
		}
	}
}

// ExecuteCall carries out a call that came over the admin socket. Its text is a JSON string that
// holds a line as the management address takes it; the result is the answer to that line.
func (o *Operation) ExecuteCall(text []byte) (any, error) {
	var line string
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, fmt.Errorf("operate: %w", err)
	}
	return string(management.ExecuteLine(line, o)), nil
}
