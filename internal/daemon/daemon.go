// Package daemon assembles a sidecar from its parts: a process between an application and its
// servers that hosts one balancer. Run starts the parts in order, serves until SIGTERM, answers
// the calls that it holds and stops the parts in reverse order.
package daemon

import (
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"chalkrack/internal/components/changes"
	"chalkrack/internal/components/pools"
	"chalkrack/internal/config"
	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/radius/proxy"
)

const (
	// reservedSockets is the number of descriptors that are kept free of connections and bodies, for
	// the process itself.
	reservedSockets = 24
	// newerListTimeout bounds a starting process's wait for a newer list if it already has one,
	// because the list it was given may be outdated.
	newerListTimeout = 250 * time.Millisecond
	// firstListTimeout bounds the wait of a process without a list for its first one. Nine in
	// ten restarted processes have to be ready within 10 s, even while discovery is down.
	firstListTimeout = 7 * time.Second
	// lameDuckPeriod is how long after SIGTERM a listener of this process alone stays open.
	lameDuckPeriod = 700 * time.Millisecond
	// idleCloseDelay is the time from SIGTERM until idle connections are closed if another
	// process takes over the listener: a request on them must still be answered in time.
	idleCloseDelay = 500 * time.Millisecond
	// All calls are answered within shutdownMargin plus the longest deadline after SIGTERM, of
	// which at most maxAwaitedDeadline counts. SIGKILL follows 0.7 s later.
	shutdownMargin     = 300 * time.Millisecond
	maxAwaitedDeadline = 3 * time.Second
	// sweepInterval is the interval of sweeps of idle connections and of garbage collections.
	sweepInterval = 2 * time.Second
	// trialCheckInterval is the interval at which a configuration on trial is judged.
	trialCheckInterval = 100 * time.Millisecond
)

// Config is the configuration of a sidecar.
type Config = config.Config

// SetRuntimeLimits sets the Go runtime's processor count and memory limit from c. It affects the whole process.
func SetRuntimeLimits(c *Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	// Requests are short-lived garbage beside a small live heap: less frequent collections save
	// CPU, and the memory limit bounds the heap.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(maxHeapBytes(c))
}

// maxHeapBytes returns the soft limit of the heap, in bytes.
func maxHeapBytes(c *Config) int64 { return int64(c.MemoryMB) << 20 * 6 / 10 }

// maxBodyBytes returns the limit of memory for request bodies, in bytes.
func maxBodyBytes(c *Config) int64 { return int64(c.MemoryMB) << 20 * 3 / 8 }

// maxHeadBytes returns the limit of memory for the long heads of requests, and of answers, in bytes.
func maxHeadBytes(c *Config) int64 { return int64(c.MemoryMB) << 20 / 16 }

// maxAnswerBytes returns the limit of memory for answers that are held before they are passed on, in
// bytes.
func maxAnswerBytes(c *Config) int64 { return int64(c.MemoryMB) << 20 / 16 }

// maxShortBodyBytes returns the part of maxBodyBytes for the bodies that the front holds itself.
func maxShortBodyBytes(c *Config) int64 {
	if c.Features.Bodies.Enabled {
		return maxBodyBytes(c)
	}
	return maxBodyBytes(c) / 4
}

// Run serves until a signal on term, then answers the calls that it holds and returns. On each
// signal on hup it reloads the configuration. If ready is not nil, Run calls it with the listen
// address once the sidecar serves. Run returns an error if a part fails to start.
//
// The parts start in the order of the list below and are closed in reverse order.
func Run(c *Config, term, hup <-chan os.Signal, ready func(net.Addr)) error {
	s := &sidecar{cfg: c, term: term, hup: hup}
	defer s.close()
	for _, start := range []func() error{
		s.startBodies,
		s.startCore,    // with the transport, discovery and figures
		s.startWeights, // this and the next three are between discovery and the core
		s.startDuties,
		s.startZones,
		s.startOperation,
		s.startRadius,
		s.startRouting,
		s.startFront,
		s.startManagement,
		s.startLevels,
		s.startTrials,
		s.startAdmin,
	} {
		if err := start(); err != nil {
			return err
		}
	}
	return s.serve(ready)
}

// traceLogger returns the logger for call traces, or nil if traces are off.
func traceLogger(c *Config) *slog.Logger {
	if !c.Features.Log.Traces {
		return nil
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, nil))
}

// drainAndStop answers the held calls and returns once all connections are closed or
// maxShutdownTime has passed. If the platform holds the listening socket, another process accepts
// new clients: this one stops accepting at once, closes each connection after its answer, and closes
// idle ones from idleCloseDelay on.
func drainAndStop(trials *changes.Manager, host *core.Host, srv *front.Server, routes *pools.Routing, radiusProxy *proxy.Proxy) {
	started, maxDeadline := time.Now(), min(trials.LongestDeadline(), maxAwaitedDeadline)
	slog.Info("stopping", "held", host.Held())
	host.ShutDownWithin(maxDeadline + shutdownMargin)
	routes.ShutDownWithin(maxDeadline + shutdownMargin)
	hasSharedListener := trials.Running().InheritedFD > 0
	if hasSharedListener {
		trials.CloseListener()
		srv.SetDraining(true)
	} else {
		srv.Drain()
	}
	if radiusProxy != nil {
		radiusProxy.ShutDownWithin(maxDeadline + shutdownMargin)
	}
	// A connection counts until both sides have closed it, or until it has been read for long
	// enough: data that the client still sends when the process exits would cause a reset.
	hasOpenConns := func() bool {
		return srv.Conns() > 0 || radiusProxy != nil && radiusProxy.Held() > 0
	}
	for listening := !hasSharedListener; ; time.Sleep(10 * time.Millisecond) {
		elapsed := time.Since(started)
		if listening && elapsed >= lameDuckPeriod {
			trials.CloseListener() // refuses new clients, which the process's exit would otherwise reset
			listening = false
		}
		if elapsed > maxShutdownTime(maxDeadline) || !listening && !hasOpenConns() {
			break
		}
		switch {
		case !hasSharedListener:
			srv.Drain()
		case elapsed > idleCloseDelay:
			srv.CloseIdle()
		}
	}
	slog.Info("stopped", "busy", srv.BusyConns(), "held", host.Held(), "after", time.Since(started))
}

// maxShutdownTime returns the maximum time from SIGTERM until the process exits.
func maxShutdownTime(maxDeadline time.Duration) time.Duration {
	return maxDeadline + shutdownMargin + 100*time.Millisecond
}
