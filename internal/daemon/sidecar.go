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
	"chalkrack/internal/bytebudget"
	"chalkrack/internal/components/changes"
	"chalkrack/internal/components/duties"
	"chalkrack/internal/components/levels"
	"chalkrack/internal/components/operating"
	"chalkrack/internal/components/pools"
	"chalkrack/internal/components/weighted"
	"chalkrack/internal/components/zones"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/figures"
	"chalkrack/internal/front"
	"chalkrack/internal/handover"
	"chalkrack/internal/httphead"
	"chalkrack/internal/membership"
	"chalkrack/internal/radius/proxy"
	"chalkrack/internal/upstream"
)

// sidecar holds the parts of a process, which Run starts in order. A part that is off is nil.
type sidecar struct {
	cfg       *Config
	term, hup <-chan os.Signal
	closers   []func() // in starting order

	store, longStore *body.Store      // of request bodies; longStore is nil if store holds long bodies too
	maxConnsPerSide  int              // limit for clients, and for servers
	requestHeads     *httphead.Budget // for the long heads of requests
	answerHeads      *httphead.Budget // for the long heads of answers
	answers          *bytebudget.Budget
	figures          *figures.Figures
	pool             *upstream.Pool
	watcher          *discovery.Watcher
	ids              *core.IDClaims // of all paths
	host             *core.Host
	applyList        func(*membership.List) // passes a list from discovery on to the core
	weights          *weighted.HintAdjuster
	duties           *duties.Runner
	zones            *zones.Zones
	operation        *operating.Operation
	radiusProxy      *proxy.Proxy
	routes           *pools.Routing
	ln               net.Listener
	srv              *front.Server
	levels           *levels.Controller
	trials           *changes.Manager

	pages   map[string]func() any // on the admin socket, by name
	actions map[string]admin.Action
	tasks   []periodicTask
}

// periodicTask is a function that the goroutine of serve calls at each tick.
type periodicTask struct {
	ticker *time.Ticker
	run    func(now time.Time)
}

// onClose registers a function for close.
func (s *sidecar) onClose(closer func()) { s.closers = append(s.closers, closer) }

// close stops the started parts in reverse order.
func (s *sidecar) close() {
	for _, closer := range slices.Backward(s.closers) {
		closer()
	}
}

// addTask registers a task that runs at an interval once the sidecar serves.
func (s *sidecar) addTask(interval time.Duration, run func(now time.Time)) {
	ticker := time.NewTicker(interval)
	s.onClose(ticker.Stop)
	s.tasks = append(s.tasks, periodicTask{ticker, run})
}

// addPage adds a page to the admin socket.
func (s *sidecar) addPage(name string, page func() any) {
	if s.pages == nil {
		s.pages, s.actions = make(map[string]func() any), make(map[string]admin.Action)
	}
	s.pages[name] = page
}

func (s *sidecar) startBodies() (err error) {
	if s.cfg.History != nil {
		s.onClose(func() { s.cfg.History.Close() })
	}
	if s.store, err = newBodyStore(s.cfg); err == nil && s.store == nil {
		s.longStore, err = newLongBodyStore(s.cfg)
	}
	if err != nil {
		return err
	}
	conns := s.cfg.Sockets - reservedSockets - maxPoolConns(s.cfg) - dutyDescriptors(s.cfg) - managementDescriptors(s.cfg)
	if s.store != nil {
		s.onClose(func() { s.store.Close() })
		conns -= bodyFileDescriptors(s.cfg)
	} else {
		s.onClose(func() { s.longStore.Close() })
	}
	// A call holds one connection on each side. With only a third for the servers' side, a busy
	// sidecar of 256 descriptors evicted idle connections to 60 servers to open new ones.
	s.maxConnsPerSide = conns / 2
	s.answers = bytebudget.New(maxAnswerBytes(s.cfg))
	s.requestHeads, s.answerHeads = httphead.NewBudget(maxHeadBytes(s.cfg)), httphead.NewBudget(maxHeadBytes(s.cfg))
	return nil
}

func (s *sidecar) startCore() (err error) {
	c := s.cfg
	s.figures = figures.New(c.Settings.ClassNames())
	s.pool = upstream.New(upstream.Config{
		ConnIdleTimeout: c.Settings.ConnIdle,
		DialTimeout:     c.Settings.DialTimeout,
		DrainGrace:      c.Settings.DrainGrace,
		MaxConns:        s.maxConnsPerSide,
		// Leaves half of the shortest aim for another attempt.
		StallTimeout:       c.Settings.ShortestAim() / 2,
		StreamStallTimeout: upstream.StreamStallTimeoutFor(c.Settings.MaxDeadline()),
		Heads:              s.answerHeads,
		Answers:            s.answers,
		OnRequestWritten:   s.figures.CountForwarded,
	})
	s.watcher = &discovery.Watcher{Addr: c.Discovery, Timing: discovery.AgentTiming}
	if c.NeedsSubscription {
		s.watcher.Timing = discovery.SharedServiceTiming
	}
	if c.KnownServers != nil {
		c.KnownServers.Complete = true
		s.watcher.Track = membership.NewTracker(c.KnownServers)
	}
	if s.zones, err = newZones(c); err != nil {
		return err
	}
	s.ids = core.NewIDClaims(s.openSharedIDs())
	s.host, err = core.New(core.Config{Observer: zoneObserver(s.zones), Generation: c.Generation(c.ID()), Seed: c.Seed, Transport: s.pool, TraceLog: traceLogger(c), IDs: s.ids, OneServerPerAddress: true})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s.applyList = s.host.ApplyList
	return nil
}

// openSharedIDs returns the claims of all processes of the sidecar, or nil if this one has its listener
// for itself or no folder to share.
func (s *sidecar) openSharedIDs() core.IDRegistry {
	tmp := s.cfg.Getenv("TMPDIR")
	if s.cfg.InheritedFD == 0 || tmp == "" {
		return nil
	}
	claims, err := handover.OpenClaims(handover.FolderPath(tmp, s.cfg.Listen))
	if err != nil {
		slog.Error("ids can't be claimed among the processes of this sidecar", "err", err)
		return nil
	}
	s.onClose(func() { claims.Close() })
	return claims
}

func (s *sidecar) startWeights() (err error) {
	if s.weights, err = newWeights(s.cfg, s.host); err != nil || s.weights == nil {
		return err
	}
	s.applyList = s.weights.ApplyList
	s.addTask(time.Duration(s.cfg.Features.Weights.StepInterval), s.weights.UpdateHints)
	s.addPage("weights", func() any { return s.weights.View() })
	return nil
}

func (s *sidecar) startDuties() (err error) {
	if s.duties, err = newDuties(s.cfg, s.host); err != nil || s.duties == nil {
		return err
	}
	s.onClose(s.duties.Close)
	next := s.applyList
	s.applyList = func(l *membership.List) {
		s.duties.UpdateServers(l)
		next(l)
	}
	s.addPage("duty", func() any { return s.duties.View() })
	return nil
}

func (s *sidecar) startZones() error {
	if s.zones != nil {
		s.zones.Connect(s.host, s.applyList, s.duties.SendNotes)
		s.applyList = s.zones.ApplyList
		s.duties.SetPayload(s.zones.NotePart, s.zones.ReceiveNote)
		s.host.SetZonePolicy(s.zones)
		s.addPage("zones", s.zones.View)
		s.actions["zones/order"] = s.zones.ExecuteOrder
	}
	s.duties.Start()
	return nil
}

func (s *sidecar) startOperation() error {
	c := s.cfg
	s.operation = operating.New(operationConfig(s))
	s.onClose(s.operation.Close)
	s.watcher.OnList, s.watcher.OnError = s.operation.ApplyList, s.host.DiscoveryFailed
	s.onClose(s.pool.Close)
	s.onClose(s.host.Close)
	s.onClose(s.watcher.Close)
	if c.KnownServers != nil {
		s.operation.ApplyList(c.KnownServers)
	}
	if s.zones != nil {
		s.zones.Start()
		s.onClose(s.zones.Close)
	}
	return nil
}

func (s *sidecar) startRadius() (err error) {
	c := s.cfg
	if !c.Features.Radius.Enabled {
		return nil
	}
	s.radiusProxy, err = proxy.New(proxy.Config{Radius: c.Features.Radius, Platform: c.Settings.Config, DrainGrace: c.Settings.DrainGrace, Seed: c.Seed, AddServers: s.operation.AddRadius})
	if err != nil {
		return err
	}
	s.onClose(s.radiusProxy.Close)
	slog.Info("radius", "access", s.radiusProxy.Addr(false), "accounting", s.radiusProxy.Addr(true))
	return nil
}

func (s *sidecar) startRouting() (err error) {
	if s.routes, err = newRouting(s.cfg, s.answerHeads, s.answers, s.ids, s.addPool); err != nil {
		return err
	}
	s.onClose(s.routes.Close)
	if s.routes != nil {
		s.addPage("pools", func() any { return s.routes.Status() })
		s.addPage("listeners", func() any { return s.routes.Addresses() })
	}
	return nil
}

// addPool registers a pool for the operators' calls and upgrades. It returns the function that takes the
// pool's lists of servers and passes them to forward with the operators' changes applied.
func (s *sidecar) addPool(name string, host *core.Host, forward func(*membership.List)) (applyList func(*membership.List)) {
	if s.zones != nil {
		forward = s.zones.AddPool(forward)
	}
	return s.operation.AddPool(name, host, forward)
}

func (s *sidecar) startFront() (err error) {
	c := s.cfg
	if s.ln, err = clientListener(c); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.srv = front.New(front.Config{MaxConns: s.maxConnsPerSide, MaxBodyBytes: maxShortBodyBytes(c), Heads: s.requestHeads, Bodies: frontBodies(c, s.store), LongBodies: frontLongBodies(c, s.longStore), SendConfigID: c.History != nil, Choose: s.routes.Chooser(), Figures: s.figures}, s.host)
	s.operation.SetFront(s.srv)
	return nil
}

func (s *sidecar) startManagement() error {
	server, err := listenManagement(s.cfg, s.operation)
	if err != nil {
		s.ln.Close()
		return err
	}
	if server != nil {
		s.onClose(func() { server.Close() })
	}
	s.operation.TakeOverState()
	return nil
}

func (s *sidecar) startLevels() (err error) {
	if s.levels, err = newLevels(s.cfg, s.host, s.srv, s.pool, s.maxConnsPerSide); err != nil || s.levels == nil {
		return err
	}
	s.addTask(levels.TickInterval, s.levels.Tick)
	return nil
}

func (s *sidecar) startTrials() error {
	paths := []changes.Path{{Host: s.host, Conns: s.pool}}
	for _, c := range s.routes.Cores() {
		paths = append(paths, changes.Path{Name: c.Pool, Host: c.Host, Conns: c.Conns, Adapt: c.Adapt})
	}
	s.trials = changes.New(changes.Config{Running: s.cfg, Paths: paths, Front: s.srv, Discovery: s.watcher, OnDiscoveryMoved: s.followDiscovery, Listener: s.ln, Figures: s.figures})
	s.onClose(s.trials.Close)
	if s.trials.Enabled() {
		s.addTask(trialCheckInterval, func(time.Time) { s.trials.CheckTrial() })
	}
	return nil
}

// followDiscovery moves the other paths that follow the platform's discovery to its new address.
func (s *sidecar) followDiscovery(from, to string) {
	s.routes.FollowDiscovery(from, to)
	if s.radiusProxy != nil {
		s.radiusProxy.FollowDiscovery(from, to)
	}
}

func (s *sidecar) startAdmin() error {
	path := s.cfg.Features.Admin.Socket
	if path == "" {
		return nil
	}
	for name, page := range statusPages(s.cfg, s.host, s.srv, s.pool, s.store) {
		s.addPage(name, page)
	}
	for name, action := range s.trials.Pages(s.pages) {
		s.actions[name] = action
	}
	s.actions["operate"] = s.operation.ExecuteCall
	if s.levels != nil {
		s.levels.AddPages(s.pages, s.actions)
	}
	listen := admin.Listen
	if s.cfg.InheritedFD > 0 { // the previous process may still hold the socket
		listen = admin.TakeOver
	}
	server, err := listen(path, s.pages, s.actions)
	if err != nil {
		return err
	}
	s.onClose(func() { server.Close() })
	return nil
}

// serve handles calls, tasks and signals until SIGTERM, and then shuts down. It calls ready, unless
// nil, with the listen address once the sidecar is ready.
func (s *sidecar) serve(ready func(net.Addr)) error {
	if s.cfg.InheritedFD == 0 {
		go s.srv.Serve(s.ln)
	}
	s.routes.Serve(s.srv)
	if !s.waitForList() {
		s.shutDown()
		return nil
	}
	if s.cfg.InheritedFD > 0 {
		// Starts accepting only now: until this process has a list, another process of this
		// sidecar serves the clients.
		go s.srv.Serve(s.ln)
	}
	s.operation.StartServing()
	slog.Info("ready", "listen", s.cfg.Listen)
	if ready != nil {
		ready(s.ln.Addr())
	}
	s.addTask(sweepInterval, func(now time.Time) {
		s.pool.Sweep(now)
		s.routes.Sweep(now)
		// Prevents memory that appears to grow for minutes: a quiet sidecar produces so little
		// garbage that its heap grows all day until the first collection.
		runtime.GC()
	})
	runs := make(chan func())
	done := make(chan struct{})
	defer close(done)
	for _, task := range s.tasks {
		go task.forward(runs, done)
	}
	for {
		select {
		case run := <-runs:
			run()
		case <-s.hup:
			s.trials.Reload()
			s.weights.Reload()
		case request := <-s.trials.Requests():
			request.Serve()
		case <-s.term:
			s.shutDown()
			return nil
		}
	}
}

// forward sends the task to the goroutine of serve at each tick, one at a time, until done is closed.
func (task periodicTask) forward(runs chan<- func(), done <-chan struct{}) {
	for {
		select {
		case now := <-task.ticker.C:
			select {
			case runs <- func() { task.run(now) }:
			case <-done:
				return
			}
		case <-done:
			return
		}
	}
}

// waitForList starts the watch of discovery and waits up to firstListWait for a list. It returns
// false on SIGTERM. A process that reports ready without a usable list would refuse every call.
func (s *sidecar) waitForList() bool {
	listed := make(chan struct{}, 1)
	s.watcher.OnList = func(l *membership.List) {
		s.operation.ApplyList(l)
		select {
		case listed <- struct{}{}:
		default:
		}
	}
	go s.watcher.Run()
	hasList := s.cfg.KnownServers != nil && membership.NewTracker(s.cfg.KnownServers).HasServers
	timeout := time.NewTimer(firstListWait(hasList, s.cfg.NeedsSubscription))
	defer timeout.Stop()
	for {
		select {
		case <-listed:
			return true
		case <-timeout.C:
			if !hasList {
				slog.Warn("ready without a list: discovery sent none", "after", firstListTimeout)
			}
			return true
		case <-s.hup: // the discovery address may have changed
			s.trials.Reload()
			s.weights.Reload()
		case <-s.term:
			return false
		}
	}
}

// firstListWait returns how long a starting process waits for the first list. A known list may be
// outdated, and a local agent pushes the newest at once. A service that all sidecars poll answers
// them spread over discovery.SharedServiceTiming.MaxInitialDelay, so a process with a known list does not wait for it.
func firstListWait(hasList, isPolled bool) time.Duration {
	switch {
	case !hasList:
		return firstListTimeout
	case isPolled:
		return 0
	}
	return newerListTimeout
}

// shutDown ends the handover between processes, then drains and stops.
func (s *sidecar) shutDown() {
	s.operation.StartShutdown()
	drainAndStop(s.trials, s.host, s.srv, s.routes, s.radiusProxy)
}
