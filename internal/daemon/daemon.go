// Package daemon puts the sidecar's parts together: one process between an
// application and the servers, which hosts one balancer.
package daemon

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/body"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/figures"
	"chalkrack/internal/front"
	"chalkrack/internal/maintenance"
	"chalkrack/internal/membership"
	"chalkrack/internal/radius/proxy"
	"chalkrack/internal/upstream"
)

const (
	socketsSpare = 24
	// A start waits for the list at most so long: what it was told may be old.
	listMost = 250 * time.Millisecond
	// How long a watch's answer may take to begin: from an agent at once, from
	// a service that serves its callers in turn after its own time-out.
	pushWait = 1500 * time.Millisecond
	askWait  = 5 * time.Second
	lameFor  = 700 * time.Millisecond
	// Where another process takes over, connections that idle are ended so long after
	// SIGTERM: a request on them must still be answered in time.
	idleFor = 500 * time.Millisecond
	// All is answered so long after SIGTERM, beside the longest deadline. SIGKILL
	// comes 0.7 s after that.
	quitAfter = 300 * time.Millisecond
	sweepEach = 2 * time.Second
	// How often a trial's judge is asked.
	ruleEach = 100 * time.Millisecond
)

// Tune fits the process to its limits.
func Tune(c *Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.cores))))
	// Requests are short-lived garbage over a small live heap: collecting less
	// often saves CPU, as far as the memory goes.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(c.heapMost())
}

// heapMost is what the heap may grow to, in bytes.
func (c *Config) heapMost() int64 { return int64(c.memoryMB) << 20 * 6 / 10 }

// bodiesMost is how much of requests' bodies may be held, in bytes.
func (c *Config) bodiesMost() int64 { return int64(c.memoryMB) << 20 * 3 / 8 }

// shortMost is how much of it is for those that the front holds itself.
func (c *Config) shortMost() int64 {
	if c.Features.Bodies.Enabled {
		return c.bodiesMost()
	}
	return c.bodiesMost() / 4
}

// Run serves until term, and then until all that was taken is answered. At each hup
// it reads the configuration anew. ready is told the address once it serves; nil: nobody.
func Run(c *Config, term, hup <-chan os.Signal, ready func(net.Addr)) error {
	if c.store != nil {
		defer c.store.Close()
	}
	store, err := newStore(c)
	var long *body.Store // nil: store has the long ones too
	if err == nil && store == nil {
		long, err = newLong(c)
	}
	if err != nil {
		return err
	}
	conns := c.sockets - socketsSpare - connectionsOf(c) - dutyConns(c) - managementConns(c)
	if store != nil {
		defer store.Close()
		conns -= filesOf(c)
	} else {
		defer long.Close()
	}
	// A call holds one connection of each side. With a third for the servers' side a busy
	// sidecar of 256 descriptors threw idle connections to 60 servers out for new ones.
	side := conns / 2
	fig := figures.New(c.settings.Names())
	pool := upstream.New(upstream.Config{
		ConnIdle:    c.settings.ConnIdle,
		DialTimeout: c.settings.DialTimeout,
		DrainGrace:  c.settings.DrainGrace,
		MostConns:   side,
		// Half of the shortest aim is left for another attempt.
		Stall:     c.settings.ShortestAim() / 2,
		Forwarded: fig.Forwarded,
	})
	watcher := &discovery.Watcher{Addr: c.discovery, Wait: pushWait}
	if c.asks {
		watcher.Wait = askWait
	}
	if c.known != nil {
		c.known.Whole = true
		watcher.Track = membership.Holding(c.known)
	}
	zoned, err := newZoned(c)
	if err != nil {
		return err
	}
	host, err := core.New(core.Config{Watch: watchOf(zoned), First: generationOf(c, c.id()), Seed: c.seed, Transport: pool, Directory: watcher, Story: stories(c)})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	plan, err := newWeighted(c, host)
	if err != nil {
		return err
	}
	tell, steps := host.Listed, new(time.Ticker)
	if plan != nil {
		tell, steps = plan.listed, time.NewTicker(time.Duration(c.Features.Weights.Every))
		defer steps.Stop()
	}
	shared, err := newDuties(c, host)
	if err != nil {
		return err
	}
	defer shared.close()
	if shared != nil {
		next := tell
		tell = func(l *membership.List) {
			shared.listed(l)
			next(l)
		}
	}
	tell = zone(zoned, host, shared, tell)
	shared.begin()
	ops := &operation{host: host, fig: fig, tell: tell, pool: pool, set: maintenance.New(), limits: limits{c.heapMost(), side, c.shortMost()}}
	ops.enter(c)
	defer ops.close()
	watcher.Listed, watcher.Failed = ops.listed, host.DiscoveryFailed
	defer pool.Close()
	defer host.Close()
	defer watcher.Close()
	if c.known != nil {
		ops.listed(c.known)
	}
	if zoned != nil {
		zoned.Begin()
		defer zoned.Close()
	}
	var terminals *proxy.Proxy // nil: off
	if c.Features.Radius.Enabled {
		terminals, err = proxy.New(proxy.Config{Radius: c.Features.Radius, Base: c.settings.Config, Grace: c.settings.DrainGrace, Seed: c.seed})
		if err != nil {
			return err
		}
		defer terminals.Close()
		slog.Info("radius", "access", terminals.Addr(false), "accounting", terminals.Addr(true))
	}
	routes, err := newRouting(c)
	if err != nil {
		return err
	}
	defer routes.close()
	ln, err := listener(c)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := front.New(front.Config{MostConns: side, MostBody: c.shortMost(), Bodies: frontBodies(c, store), Long: frontLong(c, long), TellConfig: c.store != nil, Choose: routes.chooser(), Figures: fig}, host)
	ops.srv = srv
	calls, err := ops.manage(c)
	if err != nil {
		ln.Close()
		return err
	}
	if calls != nil {
		defer calls.Close()
	}
	ops.inherit()
	less, err := newReduced(c, host, srv, pool, side)
	if err != nil {
		return err
	}
	levels := new(time.Ticker) // never
	if less != nil {
		levels = time.NewTicker(levelTick)
		defer levels.Stop()
	}
	changes := newChanger(c, host, pool, srv, watcher, ln)
	changes.fig = fig
	defer changes.close()
	if path := c.Features.Admin.Socket; path != "" {
		all := pages(c, host, srv, pool, store)
		if routes != nil {
			all["pools"] = func() any { return routes.status() }
			all["listeners"] = func() any { return routes.addresses() }
		}
		if plan != nil {
			all["weights"] = func() any { return plan.view() }
		}
		if shared != nil {
			all["duty"] = func() any { return shared.view() }
		}
		if zoned != nil {
			all["zones"] = zoned.View
		}
		deeds := changes.pages(all)
		if deeds == nil {
			deeds = make(map[string]admin.Deed)
		}
		deeds["operate"] = ops.deed
		if zoned != nil {
			deeds["zones/order"] = zoned.Deed
		}
		if less != nil {
			less.pages(all, deeds)
		}
		operators, err := admin.Listen(path, all, deeds)
		if err != nil {
			return err
		}
		defer operators.Close()
	}
	if c.inherited == 0 {
		go srv.Serve(ln)
	}
	routes.serve(srv)

	if !c.asks {
		listed := make(chan struct{}, 1)
		watcher.Listed = func(l *membership.List) {
			ops.listed(l)
			select {
			case listed <- struct{}{}:
			default:
			}
		}
		go watcher.Follow()
		select {
		case <-listed:
		case <-time.After(listMost):
		case <-term:
			ops.quit()
			quit(changes, host, srv, routes, terminals)
			return nil
		}
	}
	if c.inherited > 0 {
		// Not before: what another process of this sidecar can serve is its.
		go srv.Serve(ln)
	}
	ops.serve()
	slog.Info("ready", "listen", c.listen)
	if ready != nil {
		ready(ln.Addr())
	}

	sweep := time.NewTicker(sweepEach)
	defer sweep.Stop()
	ruling := new(time.Ticker) // never
	if changes.on() {
		ruling = time.NewTicker(ruleEach)
		defer ruling.Stop()
	}
	for {
		select {
		case now := <-sweep.C:
			pool.Sweep(now)
			routes.sweep(now)
			// Guards against memory that seems to grow for minutes: a quiet sidecar
			// makes so little garbage that its heap climbs all day to the first collection.
			runtime.GC()
		case <-hup:
			changes.reload()
			plan.reload()
		case now := <-levels.C:
			less.tick(now)
		case now := <-steps.C:
			plan.tick(now)
		case a := <-changes.asks:
			v, err := a.do()
			a.reply <- answered{v, err}
		case <-ruling.C:
			changes.watch()
		case <-term:
			ops.quit()
			quit(changes, host, srv, routes, terminals)
			return nil
		}
	}
}

// stories is where the stories of calls go, nil if nobody asked for them.
func stories(c *Config) *slog.Logger {
	if !c.Features.Log.Stories {
		return nil
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, nil))
}

// quit answers what is taken and ends. Where the platform holds the clients' socket,
// another process takes what comes: this one stops to, and ends connections with an
// answer, or where nothing has come on them.
func quit(g *changer, host *core.Host, srv *front.Server, routes *routing, terminals *proxy.Proxy) {
	began, longest := time.Now(), g.longest()
	slog.Info("stopping", "held", host.Held())
	host.QuitAt(longest + quitAfter)
	routes.quitAt(longest + quitAfter)
	handsOver := g.c.inherited > 0
	if handsOver {
		g.ln.Close()
		srv.SetDraining(true)
	} else {
		srv.Drain()
	}
	if terminals != nil {
		terminals.QuitAt(longest + quitAfter)
	}
	busy := func() bool {
		return srv.Busy() > 0 || handsOver && srv.Conns() > 0 || terminals != nil && terminals.Held() > 0
	}
	for time.Since(began) < lameFor && (!handsOver || busy()) || busy() && time.Since(began) < longest+quitAfter+100*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
		if handsOver && time.Since(began) > idleFor {
			srv.EndIdle()
		}
	}
	slog.Info("stopped", "busy", srv.Busy(), "held", host.Held(), "after", time.Since(began))
}
