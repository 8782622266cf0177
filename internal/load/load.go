// Package load sends calls at the times of a schedule, whatever becomes of those before
// (an open loop), and measures each from the time at which it was due to its last byte.
// A server or proxy that stalls therefore shows in full; what the generator itself could
// not keep up with is told beside the figures, never as the server's latency.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"chalkrack/internal/duration"
)

// Effect is what a class of calls allows.
type Effect string

const (
	Safe  Effect = "safe"
	Keyed Effect = "keyed"
	Once  Effect = "once"
)

// Class is a class of calls.
type Class struct {
	Name     string            `toml:"name"`
	Share    float64           `toml:"share"` // of all calls; only proportions count
	Effect   Effect            `toml:"effect"`
	Aim      duration.Duration `toml:"aim"` // an answer within it earns the worth
	Deadline duration.Duration `toml:"deadline"`
	Worth    float64           `toml:"worth"`
	Body     int               `toml:"body"`      // bytes, at least
	BodyMost int               `toml:"body_most"` // at most; 0: Body
}

// Retries is what clients do when they are turned away, as the scenario tells.
type Retries struct {
	Most    int               `toml:"most"`    // further tries of one call
	Backoff duration.Duration `toml:"backoff"` // before the first of them
	Growth  float64           `toml:"growth"`  // of the backoff with each
	Jitter  float64           `toml:"jitter"`  // the part of it that is random
	Heed    float64           `toml:"heed"`    // the share of clients that wait as Retry-After says
}

// Limits are the generator's own. What they keep it from sending is counted.
type Limits struct {
	Connections int               `toml:"connections"`
	Outstanding int               `toml:"outstanding"` // calls under way, those that wait for a retry included
	Lag         duration.Duration `toml:"lag"`         // how late a second's sends may leave at p99 for its figures to hold
	CPU         float64           `toml:"cpu"`         // cores used in a second beyond which its figures don't hold; 0: nine tenths of all
}

// Call is one try of one call, as a Conn sends it.
type Call struct {
	ID       string
	Class    *Class
	Path     string // empty: the class's
	Key      string
	Retry    bool
	Deadline time.Time
	Body     int // bytes
}

// Reply is what came of a try.
type Reply struct {
	Status     int // as HTTP has it; 0: none came
	RetryAfter time.Duration
}

// Errors of a Conn that are the generator's own, and one that asks for another Conn.
var (
	// ErrLocal is for what this machine lacks: descriptors, ports, memory.
	ErrLocal = errors.New("load: out of descriptors or ports")
	// ErrStale says that a kept connection was closed before any of the answer came:
	// the call is sent once more on a new one, as the platform's clients do.
	ErrStale = errors.New("load: kept connection was closed")
)

// Conn carries one call at a time.
type Conn interface {
	Do(c *Call) (Reply, error)
	Close()
}

// Protocol makes connections. HTTP/1.1 is HTTP1; others fill in here.
type Protocol interface {
	Dial(deadline time.Time) (Conn, error)
}

// Source says what is due when: a schedule with classes, or a trace.
type Source interface {
	// Next is when the next call is due, from the beginning, and what it is; false at
	// the end. Times do not go back.
	Next() (at time.Duration, c Call, ok bool)
}

// Config is what a run is told.
type Config struct {
	Protocol Protocol
	Source   Source
	Classes  []Class
	Retries  Retries
	Limits   Limits
	Seed     uint64
	Length   time.Duration // as planned, for the view
	// View is told the state once a second; nil: nobody.
	View func(Progress)

	until func(ctx context.Context, at time.Time) bool // nil: a clock of its own; tests have a virtual one
}

// Progress is a run's state for a view.
type Progress struct {
	At, Length  time.Duration
	Sent, Done  int64
	Outstanding int
	Last        Second // the last whole second
}

// Line is the state as a line.
func (p Progress) Line() string {
	left := ""
	if p.Length > 0 {
		left = fmt.Sprintf(" of %v, %v left", p.Length, max(0, (p.Length-p.At).Round(time.Second)))
	}
	return fmt.Sprintf("%v%s: %d sent, %d ended, %d under way, p99 %.1f ms", p.At.Round(time.Second), left, p.Sent, p.Done, p.Outstanding, p.Last.P99)
}

// Run sends all of a source, or as much as ctx leaves time for, and returns the report.
// It holds Limits.Connections connections and Limits.Outstanding calls at most, and a
// row of about 200 bytes for each second.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("load: no classes")
	}
	r := &run{cfg: cfg, rec: newRecorder(cfg.Classes, cfg.Limits), workers: make([]*worker, 0, 64)}
	r.begin = time.Now().Add(10 * time.Millisecond) // for the first to be on time
	r.rec.start(r.begin)
	stop := make(chan struct{})
	var ticking sync.WaitGroup
	ticking.Go(func() { r.tick(stop) })
	cut := r.dispatch(ctx)
	// Calls under way end by themselves: each has a deadline.
	r.calls.Wait()
	r.mu.Lock()
	r.closed = true
	workers := r.workers
	r.workers = nil
	r.mu.Unlock()
	for _, w := range workers {
		close(w.jobs)
	}
	r.conns.Wait()
	close(stop)
	ticking.Wait()
	return r.rec.report(time.Since(r.begin), cut), nil
}

// job is one call on its way through its tries.
type job struct {
	call  Call
	class int
	due   time.Time // of its first try
	try   int       // from 0
	heeds bool
	mark  uint64 // of its random draws
	sent  time.Time
}

type worker struct {
	jobs chan *job
	conn Conn // nil: none yet; its goroutine's own
}

type run struct {
	cfg   Config
	begin time.Time
	rec   *recorder
	calls sync.WaitGroup
	conns sync.WaitGroup

	mu      sync.Mutex
	workers []*worker // idle, the one used last on top
	open    int       // workers
	held    int       // calls under way
	closed  bool
}

// dispatch sends each call at its time; true if it was cut short.
func (r *run) dispatch(ctx context.Context) (cut bool) {
	until := r.cfg.until
	if until == nil {
		clock := newClock()
		defer clock.close()
		until = clock.until
	}
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 0xca11))
	for {
		at, c, ok := r.cfg.Source.Next()
		if !ok {
			return false
		}
		due := r.begin.Add(at)
		if !until(ctx, due) {
			return true
		}
		class := 0
		for n := range r.cfg.Classes {
			if &r.cfg.Classes[n] == c.Class {
				class = n
			}
		}
		j := &job{call: c, class: class, due: due, heeds: rng.Float64() < r.cfg.Retries.Heed, mark: rng.Uint64()}
		r.mu.Lock()
		full := r.held >= r.cfg.Limits.Outstanding
		if !full {
			r.held++
		}
		r.mu.Unlock()
		if full {
			r.rec.dropped(due, class, "outstanding")
			continue
		}
		r.calls.Add(1)
		r.send(j)
	}
}

// send hands a try to an idle connection, or to a new one.
func (r *run) send(j *job) {
	r.mu.Lock()
	if n := len(r.workers); n > 0 {
		w := r.workers[n-1]
		r.workers = r.workers[:n-1]
		r.mu.Unlock()
		w.jobs <- j // it is idle: there is room
		return
	}
	if r.open >= r.cfg.Limits.Connections {
		r.mu.Unlock()
		if j.try == 0 {
			r.rec.dropped(j.due, j.class, "connections")
			r.over()
			return
		}
		r.end(j, Reply{}, "no connection left for a retry")
		return
	}
	r.open++
	r.mu.Unlock()
	w := &worker{jobs: make(chan *job, 1)}
	w.jobs <- j
	r.conns.Go(func() { r.work(w) })
}

// over ends a call.
func (r *run) over() {
	r.mu.Lock()
	r.held--
	r.mu.Unlock()
	r.calls.Done()
}

func (r *run) work(w *worker) {
	defer func() {
		if w.conn != nil {
			w.conn.Close()
		}
		r.mu.Lock()
		r.open--
		r.mu.Unlock()
	}()
	for j := range w.jobs {
		reply, why, keep := r.try(w, j)
		if !keep && w.conn != nil {
			w.conn.Close()
			w.conn = nil
		}
		r.mu.Lock()
		idle := keep && !r.closed
		if idle {
			r.workers = append(r.workers, w)
		}
		r.mu.Unlock()
		r.after(j, reply, why)
		if !idle {
			return
		}
	}
}

// try makes one try, and says whether the connection can go on.
func (r *run) try(w *worker, j *job) (reply Reply, why string, keep bool) {
	j.sent = time.Now()
	if j.try == 0 {
		r.rec.sent(j.due, j.sent, j.class)
	}
	j.call.Deadline = j.sent.Add(time.Duration(j.call.Class.Deadline))
	if j.try == 0 { // clients wait from when they meant to ask
		j.call.Deadline = j.due.Add(time.Duration(j.call.Class.Deadline))
	}
	for fresh := false; ; fresh = true {
		var err error
		if w.conn == nil {
			if w.conn, err = r.cfg.Protocol.Dial(j.call.Deadline); err != nil {
				w.conn = nil
				if errors.Is(err, ErrLocal) {
					return Reply{}, "local", false
				}
				return Reply{}, "no connection", false
			}
			fresh = true
		}
		reply, err = w.conn.Do(&j.call)
		switch {
		case err == nil:
			return reply, "", true
		case errors.Is(err, errClose):
			return reply, "", false
		case errors.Is(err, ErrStale) && !fresh:
			w.conn.Close()
			w.conn = nil
			continue
		case errors.Is(err, ErrLocal):
			return Reply{}, "local", false
		}
		return Reply{}, "no answer", false
	}
}

// after ends a call, or has it tried again later.
func (r *run) after(j *job, reply Reply, why string) {
	if why == "local" {
		r.rec.dropped(j.due, j.class, "descriptors or ports")
		r.over()
		return
	}
	if j.try < r.cfg.Retries.Most && retries(j.call.Class, reply) {
		rng := rand.New(rand.NewPCG(j.mark, uint64(j.try)))
		wait := time.Duration(r.cfg.Retries.Backoff)
		for range j.try {
			wait = time.Duration(float64(wait) * r.cfg.Retries.Growth)
		}
		wait -= time.Duration(rng.Float64() * r.cfg.Retries.Jitter * float64(wait))
		if j.heeds {
			wait = max(wait, reply.RetryAfter)
		}
		j.try++
		j.call.ID = fmt.Sprintf("%s-%d", j.call.ID, j.try)
		j.call.Retry = true
		r.rec.retried(j.class)
		time.AfterFunc(wait, func() { r.send(j) })
		return
	}
	r.end(j, reply, why)
}

// retries says whether a client asks again: after a refusal always, after what it did
// wrong itself never, after anything else only what may run again.
func retries(c *Class, r Reply) bool {
	switch {
	case r.Status == 200:
		return false
	case r.Status == 429 || r.Status == 503:
		return true
	case r.Status >= 400 && r.Status < 500 && r.Status != 408:
		return false
	}
	return c.Effect == Safe
}

func (r *run) end(j *job, reply Reply, why string) {
	r.rec.done(j, reply, time.Now())
	r.over()
}

// tick ends seconds, and tells the view.
func (r *run) tick(stop chan struct{}) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			last := r.rec.turn(now)
			if r.cfg.View == nil {
				continue
			}
			r.mu.Lock()
			held := r.held
			r.mu.Unlock()
			sent, done := r.rec.counts()
			r.cfg.View(Progress{At: now.Sub(r.begin), Length: r.cfg.Length, Sent: sent, Done: done, Outstanding: held, Last: last})
		}
	}
}
