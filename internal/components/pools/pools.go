// Package pools runs the configured routes, the further listeners, and the server pools
// that routes refer to. Each pool has its own balancer, connections, health checks or
// discovery, and optionally a queue.
package pools

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"chalkrack/internal/bytebudget"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/features"
	"chalkrack/internal/front"
	"chalkrack/internal/generation"
	"chalkrack/internal/httphead"
	"chalkrack/internal/membership"
	"chalkrack/internal/pool"
	"chalkrack/internal/queue"
	"chalkrack/internal/settings"
	"chalkrack/internal/upstream"
)

// serverPool is a pool with its own balancer (an instance of the decision module),
// connections, held calls and source of servers. Pools share only the process and the
// client connections.
type serverPool struct {
	name    string
	host    *core.Host
	queue   *queuedHandler // in front of host; nil: calls go to host directly
	conns   *upstream.Pool
	watcher *discovery.Watcher // nil if the list of servers is fixed
	// adapt returns the pool's settings under those of the platform.
	adapt func(platform *settings.Settings) *settings.Settings

	// applyList passes a list of the pool's servers on, with the operators' changes, to the core.
	applyList func(*membership.List)
	standby   *pool.Standby // nil if servers come from discovery

	mu        sync.Mutex
	members   *pool.Pool // nil if servers come from discovery
	checks    features.PoolChecks
	warmFor   time.Duration // how long ago a server that came up by its checks counts as started
	start     time.Time
	startUnix time.Duration
	wg        sync.WaitGroup
	stop      context.CancelFunc
}

// Config holds the inputs of New.
type Config struct {
	Generation *generation.Generation // the platform's at the start
	Features   *features.File
	Seed       uint64
	Trace      *slog.Logger       // receives the traces of calls; may be nil
	Heads      *httphead.Budget   // for the long heads of answers; nil: a budget for each pool
	Answers    *bytebudget.Budget // for answers that are held; nil: not bounded
	IDs        *core.IDClaims     // of calls on all paths; nil: IDs may come again
	// AddPool registers each pool for the operators' calls and upgrades; nil: there are none.
	AddPool AddPool
}

// AddPool registers a pool with its core. It returns the function that takes the pool's lists of servers
// and passes them to forward.
type AddPool func(name string, host *core.Host, forward func(*membership.List)) (applyList func(*membership.List))

// register returns the function that takes a pool's lists of servers for forward.
func (c *Config) register(name string, host *core.Host, forward func(*membership.List)) func(*membership.List) {
	if c.AddPool == nil {
		return forward
	}
	return c.AddPool(name, host, forward)
}

// Settings returns the platform's settings with the pool's own values applied.
func Settings(platform *settings.Settings, p *features.Pool) *settings.Settings {
	s := *platform
	s.MaxHeld = p.MaxHeld
	s.Config.AskWithin = 0 // a pool's discovery pushes changes and is not asked
	if p.MaxAttempts > 0 {
		s.Config.MaxAttempts = p.MaxAttempts
	}
	if p.Discovery == "" {
		// For a fixed list, checks and operators' calls show that a server has started. Without a slow
		// start of the pool's own only the latter count, by the platform's terms.
		if p.SlowStart > 0 {
			s.Config.ColdFor, s.Config.ColdFrom = time.Duration(p.SlowStart), p.ColdShare
		}
		if s.Config.OverloadFactor == 0 {
			s.Config.OverloadFactor, s.Config.OverloadFor = 2, time.Second
		}
	}
	return &s
}

// newServerPool starts a pool: it follows discovery, or lists its fixed servers and starts
// their checks.
func newServerPool(c *Config, p *features.Pool, seed uint64) (*serverPool, error) {
	set := Settings(c.Generation.Settings, p)
	s := &serverPool{name: p.Name, checks: p.Checks, start: time.Now()}
	s.adapt = func(platform *settings.Settings) *settings.Settings { return Settings(platform, p) }
	s.startUnix = time.Duration(s.start.UnixNano())
	s.conns = upstream.New(upstream.Config{
		ConnIdleTimeout: set.ConnIdle, DialTimeout: set.DialTimeout, DrainGrace: set.DrainGrace, MaxConns: p.MaxConnections, StallTimeout: set.ShortestAim() / 2, StreamStallTimeout: upstream.StreamStallTimeoutFor(set.MaxDeadline()),
		Heads: c.Heads, Answers: c.Answers,
	})
	var err error
	s.host, err = core.New(core.Config{
		Generation: c.Generation.WithSettings(set), Seed: seed, Transport: s.conns, TraceLog: c.Trace, IDs: c.IDs,
		// A fixed list is the operators' own, and may name a server twice.
		OneServerPerAddress: p.Discovery != "",
	})
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	if p.MaxActive > 0 {
		s.queue, err = newQueuedHandler(s.host, queue.Limits{MaxActive: p.MaxActive, MaxWaiting: p.MaxWaiting, MaxWait: time.Duration(p.QueueWait)})
		if err != nil {
			return nil, fmt.Errorf("pool %q: %w", p.Name, err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if p.Discovery != "" {
		s.applyList = c.register(p.Name, s.host, s.host.ApplyList)
		s.watcher = &discovery.Watcher{Addr: p.Discovery, Timing: discovery.AgentTiming, OnList: s.applyList, OnError: s.host.DiscoveryFailed}
		s.wg.Go(s.watcher.Run)
		return s, nil
	}
	if err := s.startFixed(ctx, c, p, set.Config.ColdFor); err != nil {
		s.close()
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	return s, nil
}

// handler returns the handler for the pool's calls.
func (s *serverPool) handler() front.Handler {
	if s.queue != nil {
		return s.queue
	}
	return s.host
}

// close stops checks, discovery and the queue, and closes the balancer and connections.
func (s *serverPool) close() {
	s.stop()
	if s.queue != nil {
		s.queue.stop()
	}
	if s.watcher != nil {
		s.watcher.Close()
	}
	s.wg.Wait()
	s.host.Close()
	s.conns.Close()
}

// Status is the state of a pool as shown to operators.
type Status struct {
	Name        string      `json:"name"`
	Held        int         `json:"held"`
	Connections int         `json:"connections"`
	Queue       *queue.View `json:"queue,omitempty"`
	Servers     []pool.View `json:"servers,omitempty"` // only for a fixed list
}

func (s *serverPool) status() Status {
	st := Status{Name: s.name, Held: s.host.Held(), Connections: s.conns.Conns()}
	if s.queue != nil {
		v := s.queue.view()
		st.Queue = &v
	}
	if s.members != nil {
		s.mu.Lock()
		st.Servers = s.members.View(s.standby.IsServing)
		s.mu.Unlock()
	}
	return st
}
