// Package daemon puts the sidecar's parts together: one process between an
// application and the servers, which hosts one balancer.
package daemon

import (
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"chalkrack/internal/config"
	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/radius/proxy"
	"chalkrack/internal/rooms/changes"
	"chalkrack/internal/rooms/pools"
)

const (
	socketsSpare = 24
	// A start that knows a list waits so long for a newer one: what it was told may be old.
	listFresh = 250 * time.Millisecond
	// One that knows none waits so long for the first. Nine in ten restarted processes have
	// to be ready within 10 s, also where discovery is down.
	listNeeded = 7 * time.Second
	lameFor    = 700 * time.Millisecond
	// Where another process takes over, connections that idle are ended so long after
	// SIGTERM: a request on them must still be answered in time.
	idleFor = 500 * time.Millisecond
	// All is answered so long after SIGTERM, beside the longest deadline, of which killAfter
	// counts at the most. SIGKILL comes 0.7 s after that.
	quitAfter = 300 * time.Millisecond
	killAfter = 3 * time.Second
	sweepEach = 2 * time.Second
	// How often a trial's judge is asked.
	ruleEach = 100 * time.Millisecond
)

// Config is what a sidecar is told.
type Config = config.Config

// Tune fits the process to its limits.
func Tune(c *Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	// Requests are short-lived garbage over a small live heap: collecting less
	// often saves CPU, as far as the memory goes.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(maxHeap(c))
}

// maxHeap is what the heap may grow to, in bytes.
func maxHeap(c *Config) int64 { return int64(c.MemoryMB) << 20 * 6 / 10 }

// maxBodies is how much of requests' bodies may be held, in bytes.
func maxBodies(c *Config) int64 { return int64(c.MemoryMB) << 20 * 3 / 8 }

// maxShortBodies is how much of it is for those that the front holds itself.
func maxShortBodies(c *Config) int64 {
	if c.Features.Bodies.Enabled {
		return maxBodies(c)
	}
	return maxBodies(c) / 4
}

// Run serves until term, and then until all that was taken is answered. At each hup
// it reads the configuration anew. ready is told the address once it serves; nil: nobody.
//
// What it is made of stands here in the order in which it starts; it ends the other way
// round.
func Run(c *Config, term, hup <-chan os.Signal, ready func(net.Addr)) error {
	s := &sidecar{c: c, term: term, hup: hup}
	defer s.close()
	for _, start := range []func() error{
		s.bodies,
		s.core,    // with transport, discovery and figures
		s.weights, // between discovery and the core, as the next three
		s.duty,
		s.zones,
		s.operation,
		s.radius,
		s.routing,
		s.front,
		s.management,
		s.levels,
		s.changes,
		s.admin,
	} {
		if err := start(); err != nil {
			return err
		}
	}
	return s.serve(ready)
}

// traces is where the traces of calls go, nil if nobody asked for them.
func traces(c *Config) *slog.Logger {
	if !c.Features.Log.Traces {
		return nil
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, nil))
}

// quit answers what is taken and ends. Where the platform holds the clients' socket,
// another process takes what comes: this one stops to, and ends connections with an
// answer, or where nothing has come on them.
func quit(g *changes.Changes, host *core.Host, srv *front.Server, routes *pools.Routing, terminals *proxy.Proxy) {
	began, longest := time.Now(), min(g.Longest(), killAfter)
	slog.Info("stopping", "held", host.Held())
	host.QuitAt(longest + quitAfter)
	routes.QuitAt(longest + quitAfter)
	handsOver := g.Running().Inherited > 0
	if handsOver {
		g.CloseListener()
		srv.SetDraining(true)
	} else {
		srv.Drain()
	}
	if terminals != nil {
		terminals.QuitAt(longest + quitAfter)
	}
	// A connection counts until it is closed on both sides, or read off for long enough: what
	// is still written to it when the process ends would be met by a reset.
	open := func() bool {
		return srv.Conns() > 0 || terminals != nil && terminals.Held() > 0
	}
	for listening := !handsOver; ; time.Sleep(10 * time.Millisecond) {
		since := time.Since(began)
		if listening && since >= lameFor {
			g.CloseListener() // who comes now is refused, and not met by the process's end
			listening = false
		}
		if since > maxQuit(longest) || !listening && !open() {
			break
		}
		switch {
		case !handsOver:
			srv.Drain()
		case since > idleFor:
			srv.EndIdle()
		}
	}
	slog.Info("stopped", "busy", srv.Busy(), "held", host.Held(), "after", time.Since(began))
}

// maxQuit is how long a process stays after SIGTERM at the most.
func maxQuit(longest time.Duration) time.Duration { return longest + quitAfter + 100*time.Millisecond }
