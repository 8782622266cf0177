package daemon

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"slices"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/body"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/figures"
	"chalkrack/internal/front"
	"chalkrack/internal/membership"
	"chalkrack/internal/radius/proxy"
	"chalkrack/internal/rooms/changes"
	"chalkrack/internal/rooms/duties"
	"chalkrack/internal/rooms/levels"
	"chalkrack/internal/rooms/operating"
	"chalkrack/internal/rooms/pools"
	"chalkrack/internal/rooms/weighted"
	"chalkrack/internal/rooms/zones"
	"chalkrack/internal/upstream"
)

// sidecar is a process's parts, as Run starts them one after the other. What is off is nil.
type sidecar struct {
	c         *Config
	term, hup <-chan os.Signal
	closers   []func() // in the order in which what they end was started

	store, long *body.Store // where bodies are kept; long is nil where store has the long ones too
	side        int         // connections of each side
	fig         *figures.Figures
	pool        *upstream.Pool
	watcher     *discovery.Watcher
	host        *core.Host
	tell        func(*membership.List) // takes what discovery says, on its way to the core
	plan        *weighted.Weighted
	shared      *duties.Duties
	zoned       *zones.Zones
	ops         *operating.Operation
	terminals   *proxy.Proxy
	routes      *pools.Routing
	ln          net.Listener
	srv         *front.Server
	less        *levels.Levels
	changing    *changes.Changes

	pages map[string]func() any // for operators
	deeds map[string]admin.Deed
	ticks []ticking
}

// ticking is something that is done at each tick, by the goroutine of serve.
type ticking struct {
	t  *time.Ticker
	do func(now time.Time)
}

func (s *sidecar) closes(end func()) { s.closers = append(s.closers, end) }

func (s *sidecar) close() {
	for _, end := range slices.Backward(s.closers) {
		end()
	}
}

// every has something done each so often once the sidecar serves.
func (s *sidecar) every(d time.Duration, do func(now time.Time)) {
	t := time.NewTicker(d)
	s.closes(t.Stop)
	s.ticks = append(s.ticks, ticking{t, do})
}

// shows adds a page for operators.
func (s *sidecar) shows(name string, page func() any) {
	if s.pages == nil {
		s.pages, s.deeds = make(map[string]func() any), make(map[string]admin.Deed)
	}
	s.pages[name] = page
}

func (s *sidecar) bodies() (err error) {
	if s.c.Store != nil {
		s.closes(func() { s.c.Store.Close() })
	}
	if s.store, err = newStore(s.c); err == nil && s.store == nil {
		s.long, err = newLong(s.c)
	}
	if err != nil {
		return err
	}
	conns := s.c.Sockets - socketsSpare - connectionsOf(s.c) - dutyConns(s.c) - managementConns(s.c)
	if s.store != nil {
		s.closes(func() { s.store.Close() })
		conns -= filesOf(s.c)
	} else {
		s.closes(func() { s.long.Close() })
	}
	// A call holds one connection of each side. With a third for the servers' side a busy
	// sidecar of 256 descriptors threw idle connections to 60 servers out for new ones.
	s.side = conns / 2
	return nil
}

func (s *sidecar) core() (err error) {
	c := s.c
	s.fig = figures.New(c.Settings.Names())
	s.pool = upstream.New(upstream.Config{
		ConnIdle:    c.Settings.ConnIdle,
		DialTimeout: c.Settings.DialTimeout,
		DrainGrace:  c.Settings.DrainGrace,
		MaxConns:    s.side,
		// Half of the shortest aim is left for another attempt.
		Stall:     c.Settings.ShortestAim() / 2,
		Forwarded: s.fig.Forwarded,
	})
	s.watcher = &discovery.Watcher{Addr: c.Discovery, Timing: discovery.Pushed}
	if c.Asks {
		s.watcher.Timing = discovery.Asked
	}
	if c.Known != nil {
		c.Known.Whole = true
		s.watcher.Track = membership.Holding(c.Known)
	}
	if s.zoned, err = newZoned(c); err != nil {
		return err
	}
	s.host, err = core.New(core.Config{Watch: watchOf(s.zoned), First: c.Generation(c.ID()), Seed: c.Seed, Transport: s.pool, Trace: traces(c)})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s.tell = s.host.Listed
	return nil
}

func (s *sidecar) weights() (err error) {
	if s.plan, err = newWeighted(s.c, s.host); err != nil || s.plan == nil {
		return err
	}
	s.tell = s.plan.Listed
	s.every(time.Duration(s.c.Features.Weights.Every), s.plan.Tick)
	s.shows("weights", func() any { return s.plan.View() })
	return nil
}

func (s *sidecar) duty() (err error) {
	if s.shared, err = newDuties(s.c, s.host); err != nil || s.shared == nil {
		return err
	}
	s.closes(s.shared.Close)
	next := s.tell
	s.tell = func(l *membership.List) {
		s.shared.Listed(l)
		next(l)
	}
	s.shows("duty", func() any { return s.shared.View() })
	return nil
}

func (s *sidecar) zones() error {
	if s.zoned != nil {
		s.zoned.Stand(s.host, s.tell, s.shared.TellSome)
		s.tell = s.zoned.Listed
		s.shared.Carries(s.zoned.Part, s.zoned.Heard)
		s.host.SetZones(s.zoned)
		s.shows("zones", s.zoned.View)
		s.deeds["zones/order"] = s.zoned.Deed
	}
	s.shared.Begin()
	return nil
}

func (s *sidecar) operation() error {
	c := s.c
	s.ops = operating.New(operatingOf(s))
	s.closes(s.ops.Close)
	s.watcher.Listed, s.watcher.Failed = s.ops.Listed, s.host.DiscoveryFailed
	s.closes(s.pool.Close)
	s.closes(s.host.Close)
	s.closes(s.watcher.Close)
	if c.Known != nil {
		s.ops.Listed(c.Known)
	}
	if s.zoned != nil {
		s.zoned.Begin()
		s.closes(s.zoned.Close)
	}
	return nil
}

func (s *sidecar) radius() (err error) {
	c := s.c
	if !c.Features.Radius.Enabled {
		return nil
	}
	s.terminals, err = proxy.New(proxy.Config{Radius: c.Features.Radius, Base: c.Settings.Config, Grace: c.Settings.DrainGrace, Seed: c.Seed})
	if err != nil {
		return err
	}
	s.closes(s.terminals.Close)
	slog.Info("radius", "access", s.terminals.Addr(false), "accounting", s.terminals.Addr(true))
	return nil
}

func (s *sidecar) routing() (err error) {
	if s.routes, err = newRouting(s.c); err != nil {
		return err
	}
	s.closes(s.routes.Close)
	if s.routes != nil {
		s.shows("pools", func() any { return s.routes.Status() })
		s.shows("listeners", func() any { return s.routes.Addresses() })
	}
	return nil
}

func (s *sidecar) front() (err error) {
	c := s.c
	if s.ln, err = listener(c); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.srv = front.New(front.Config{MaxConns: s.side, MaxBodyBytes: maxShortBodies(c), Bodies: frontBodies(c, s.store), Long: frontLong(c, s.long), TellConfig: c.Store != nil, Choose: s.routes.Chooser(), Figures: s.fig}, s.host)
	s.ops.Serves(s.srv)
	return nil
}

func (s *sidecar) management() error {
	calls, err := manage(s.c, s.ops)
	if err != nil {
		s.ln.Close()
		return err
	}
	if calls != nil {
		s.closes(func() { calls.Close() })
	}
	s.ops.Inherit()
	return nil
}

func (s *sidecar) levels() (err error) {
	if s.less, err = newReduced(s.c, s.host, s.srv, s.pool, s.side); err != nil || s.less == nil {
		return err
	}
	s.every(levels.TickEach, s.less.Tick)
	return nil
}

func (s *sidecar) changes() error {
	s.changing = changes.New(changes.Config{Running: s.c, Host: s.host, Pool: s.pool, Front: s.srv, Discovery: s.watcher, Listener: s.ln, Figures: s.fig})
	s.closes(s.changing.Close)
	if s.changing.On() {
		s.every(ruleEach, func(time.Time) { s.changing.Watch() })
	}
	return nil
}

func (s *sidecar) admin() error {
	path := s.c.Features.Admin.Socket
	if path == "" {
		return nil
	}
	for name, page := range pages(s.c, s.host, s.srv, s.pool, s.store) {
		s.shows(name, page)
	}
	for name, deed := range s.changing.Pages(s.pages) {
		s.deeds[name] = deed
	}
	s.deeds["operate"] = s.ops.Deed
	if s.less != nil {
		s.less.Pages(s.pages, s.deeds)
	}
	listen := admin.Listen
	if s.c.Inherited > 0 { // the process before may still have it
		listen = admin.Succeed
	}
	operators, err := listen(path, s.pages, s.deeds)
	if err != nil {
		return err
	}
	s.closes(func() { operators.Close() })
	return nil
}

// serve serves until term.
func (s *sidecar) serve(ready func(net.Addr)) error {
	if s.c.Inherited == 0 {
		go s.srv.Serve(s.ln)
	}
	s.routes.Serve(s.srv)
	if !s.follow() {
		s.quit()
		return nil
	}
	if s.c.Inherited > 0 {
		// Not before: what another process of this sidecar can serve is its.
		go s.srv.Serve(s.ln)
	}
	s.ops.Serve()
	slog.Info("ready", "listen", s.c.Listen)
	if ready != nil {
		ready(s.ln.Addr())
	}
	s.every(sweepEach, func(now time.Time) {
		s.pool.Sweep(now)
		s.routes.Sweep(now)
		// Guards against memory that seems to grow for minutes: a quiet sidecar
		// makes so little garbage that its heap climbs all day to the first collection.
		runtime.GC()
	})
	due := make(chan func())
	over := make(chan struct{})
	defer close(over)
	for _, k := range s.ticks {
		go k.forward(due, over)
	}
	for {
		select {
		case do := <-due:
			do()
		case <-s.hup:
			s.changing.Reload()
			s.plan.Reload()
		case a := <-s.changing.Asks():
			a.Answer()
		case <-s.term:
			s.quit()
			return nil
		}
	}
}

// forward brings ticks to the goroutine of serve, one at a time.
func (k ticking) forward(due chan<- func(), over <-chan struct{}) {
	for {
		select {
		case now := <-k.t.C:
			select {
			case due <- func() { k.do(now) }:
			case <-over:
				return
			}
		case <-over:
			return
		}
	}
}

// follow watches the list, and waits for a first one as long as firstList says; false: it is
// told to end. Guards against saying ready where nothing usable is known: each call would be
// refused.
func (s *sidecar) follow() bool {
	listed := make(chan struct{}, 1)
	s.watcher.Listed = func(l *membership.List) {
		s.ops.Listed(l)
		select {
		case listed <- struct{}{}:
		default:
		}
	}
	go s.watcher.Follow()
	held := s.c.Known != nil && membership.Holding(s.c.Known).Held
	late := time.NewTimer(firstList(held, s.c.Asks))
	defer late.Stop()
	for {
		select {
		case <-listed:
			return true
		case <-late.C:
			if !held {
				slog.Warn("ready without a list: discovery has told none", "after", listNeeded)
			}
			return true
		case <-s.hup: // discovery may be elsewhere by now
			s.changing.Reload()
			s.plan.Reload()
		case <-s.term:
			return false
		}
	}
}

// firstList is how long a start waits for the first list. What was known before may be old,
// and an agent tells the newest at once; a service of all sidecars tells it in turn, spread
// over discovery.Asked.Spread, so that who knows a list does not wait for it.
func firstList(held, asks bool) time.Duration {
	switch {
	case !held:
		return listNeeded
	case asks:
		return 0
	}
	return listFresh
}

func (s *sidecar) quit() {
	s.ops.Quit()
	quit(s.changing, s.host, s.srv, s.routes, s.terminals)
}
