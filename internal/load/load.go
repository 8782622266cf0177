// Package load is an open-loop load generator: it sends each call at its scheduled time, whether or
// not earlier calls have ended, and measures latency from that due time to the last byte of the
// answer. A stall of a server or proxy therefore appears in full. Calls that the generator itself
// sends late or drops are reported separately and never counted as server latency.
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

// Effect says whether calls of a class may be repeated.
type Effect string

const (
	Safe  Effect = "safe"  // may run any number of times
	Keyed Effect = "keyed" // carries an idempotency key; servers drop repeats of it
	Once  Effect = "once"  // must not run twice
)

// Class describes one class of calls in a scenario.
type Class struct {
	Name         string            `toml:"name"`
	Share        float64           `toml:"share"` // of all calls, relative to the other classes' shares
	Effect       Effect            `toml:"effect"`
	Aim          duration.Duration `toml:"aim"` // an answer within this time earns Worth
	Deadline     duration.Duration `toml:"deadline"`
	Worth        float64           `toml:"worth"`
	MinBodyBytes int               `toml:"body"`      // smallest body in bytes
	MaxBodyBytes int               `toml:"body_most"` // largest body in bytes; 0 means equal to MinBodyBytes
}

// Retries says how the simulated clients retry calls that were refused or that failed.
type Retries struct {
	MaxRetries      int               `toml:"most"`    // retries of one call
	Backoff         duration.Duration `toml:"backoff"` // wait before the first retry
	BackoffGrowth   float64           `toml:"growth"`  // factor by which the backoff grows with each further retry
	Jitter          float64           `toml:"jitter"`  // random share of the backoff, from 0 to 1
	RetryAfterShare float64           `toml:"heed"`    // share of clients that wait at least as long as Retry-After says
}

// Limits bounds the generator itself. Calls that it cannot send because of a limit are counted as
// dropped.
type Limits struct {
	Connections  int               `toml:"connections"`
	Outstanding  int               `toml:"outstanding"` // calls in progress, including those waiting for a retry
	MaxSendDelay duration.Duration `toml:"lag"`         // the figures of a second with a higher p99 delay of sends are not valid
	MaxCores     float64           `toml:"cpu"`         // the figures of a second that used more cores are not valid; 0 means nine tenths of all cores
}

// Call is one attempt of a call, as a Conn sends it.
type Call struct {
	ID        string
	Class     *Class
	Path      string // empty means / followed by the class's name
	Key       string
	Retry     bool
	Deadline  time.Time
	BodyBytes int
}

// Reply is the outcome of one attempt.
type Reply struct {
	Status     int // HTTP status code; 0 means that no answer arrived
	RetryAfter time.Duration
}

// Errors of Dial and Do that Run treats differently from a missing answer.
var (
	// ErrLocalResource reports that this machine is out of descriptors, ports or memory.
	ErrLocalResource = errors.New("load: this machine is out of descriptors, ports or memory")
	// ErrStaleConn reports that a kept-alive connection was closed before any byte of the answer
	// arrived. The call is then sent again on a new connection, as the platform's clients do.
	ErrStaleConn = errors.New("load: kept-alive connection was closed before the answer")
)

// Conn carries one call at a time. Do blocks until the answer has been read, an error occurs or
// the call's deadline passes.
type Conn interface {
	Do(c *Call) (Reply, error)
	Close()
}

// Protocol makes connections. HTTP1 implements it for HTTP/1.1; package protocol has others.
type Protocol interface {
	Dial(deadline time.Time) (Conn, error)
}

// Source supplies the calls to send and their times: from a schedule and classes, or from a trace.
type Source interface {
	// Next returns the next call and the time at which it is due, counted from the beginning of
	// the run. ok is false at the end. Times never decrease.
	Next() (at time.Duration, c Call, ok bool)
}

// Config is the configuration of a run.
type Config struct {
	Protocol Protocol
	Source   Source
	Classes  []Class
	Retries  Retries
	Limits   Limits
	Seed     uint64
	Length   time.Duration // planned length, shown by View; 0 means unknown
	// View, if not nil, is called with the state of the run once a second.
	View func(Progress)

	waitUntil func(ctx context.Context, at time.Time) bool // nil means a real clock; tests set a virtual one
}

// Progress is the state of a run, as passed to Config.View.
type Progress struct {
	Elapsed, Length time.Duration
	Sent, Done      int64
	Outstanding     int
	LastSecond      Second // the latest second that is complete
}

// Line returns the state as one line of text.
func (p Progress) Line() string {
	remaining := ""
	if p.Length > 0 {
		remaining = fmt.Sprintf(" of %v, %v left", p.Length, max(0, (p.Length-p.Elapsed).Round(time.Second)))
	}
	return fmt.Sprintf("%v%s: %d sent, %d ended, %d under way, p99 %.1f ms", p.Elapsed.Round(time.Second), remaining, p.Sent, p.Done, p.Outstanding, p.LastSecond.P99)
}

// Run sends the calls of a source until it ends or ctx is done, waits for those in progress, and
// returns the report. It holds at most Limits.Connections connections and Limits.Outstanding calls,
// and a row of about 200 bytes for each second of the run.
func Run(ctx context.Context, config Config) (*Report, error) {
	if len(config.Classes) == 0 {
		return nil, errors.New("load: no classes")
	}
	r := &run{config: config, recorder: newRecorder(config.Classes, config.Limits), idleWorkers: make([]*worker, 0, 64)}
	r.begin = time.Now().Add(10 * time.Millisecond) // so that the first call is not late because of the setup
	r.recorder.start(r.begin)
	stopTicker := make(chan struct{})
	var tickerGroup sync.WaitGroup
	tickerGroup.Go(func() { r.runTicker(stopTicker) })
	cutShort := r.dispatch(ctx)
	// Calls in progress end by themselves, since each has a deadline.
	r.pendingCalls.Wait()
	r.mu.Lock()
	r.closed = true
	workers := r.idleWorkers
	r.idleWorkers = nil
	r.mu.Unlock()
	for _, w := range workers {
		close(w.jobs)
	}
	r.runningWorkers.Wait()
	close(stopTicker)
	tickerGroup.Wait()
	return r.recorder.report(time.Since(r.begin), cutShort), nil
}

// job is one call with the state of its attempts.
type job struct {
	call              Call
	classIndex        int
	due               time.Time // time of the first attempt
	attempt           int       // number of the attempt, from 0
	honoursRetryAfter bool      // whether the client waits as Retry-After says
	backoffSeed       uint64    // seed of the random part of its backoff
	sentAt            time.Time // start of the latest attempt
}

// worker sends jobs over one connection, one at a time.
type worker struct {
	jobs chan *job
	conn Conn // nil before it is dialled; used only by the worker's goroutine
}

// run is the state of one call of Run.
type run struct {
	config         Config
	begin          time.Time
	recorder       *recorder
	pendingCalls   sync.WaitGroup
	runningWorkers sync.WaitGroup

	mu              sync.Mutex
	idleWorkers     []*worker // the most recently used last
	workerCount     int       // busy and idle workers
	callsInProgress int       // including calls that wait for a retry
	closed          bool      // the run is over: workers end instead of becoming idle
}

// dispatch sends each call at its due time. It returns true if ctx ended before the source did.
func (r *run) dispatch(ctx context.Context) (cutShort bool) {
	waitUntil := r.config.waitUntil
	if waitUntil == nil {
		clock := newClock()
		defer clock.close()
		waitUntil = clock.waitUntil
	}
	rng := rand.New(rand.NewPCG(r.config.Seed, 0xca11))
	for {
		offset, call, ok := r.config.Source.Next()
		if !ok {
			return false
		}
		due := r.begin.Add(offset)
		if !waitUntil(ctx, due) {
			return true
		}
		classIndex := 0
		for n := range r.config.Classes {
			if &r.config.Classes[n] == call.Class {
				classIndex = n
			}
		}
		j := &job{call: call, classIndex: classIndex, due: due, honoursRetryAfter: rng.Float64() < r.config.Retries.RetryAfterShare, backoffSeed: rng.Uint64()}
		r.mu.Lock()
		full := r.callsInProgress >= r.config.Limits.Outstanding
		if !full {
			r.callsInProgress++
		}
		r.mu.Unlock()
		if full {
			r.recorder.recordDropped(due, classIndex, "outstanding")
			continue
		}
		r.pendingCalls.Add(1)
		r.send(j)
	}
}

// send hands an attempt to an idle worker or, within the limit of connections, to a new one.
func (r *run) send(j *job) {
	r.mu.Lock()
	if n := len(r.idleWorkers); n > 0 {
		w := r.idleWorkers[n-1]
		r.idleWorkers = r.idleWorkers[:n-1]
		r.mu.Unlock()
		w.jobs <- j // does not block: the channel of an idle worker is empty
		return
	}
	if r.workerCount >= r.config.Limits.Connections {
		r.mu.Unlock()
		if j.attempt == 0 {
			r.recorder.recordDropped(j.due, j.classIndex, "connections")
			r.release()
			return
		}
		r.finish(j, Reply{}, "no connection left for a retry")
		return
	}
	r.workerCount++
	r.mu.Unlock()
	w := &worker{jobs: make(chan *job, 1)}
	w.jobs <- j
	r.runningWorkers.Go(func() { r.runWorker(w) })
}

// release counts a call as no longer in progress.
func (r *run) release() {
	r.mu.Lock()
	r.callsInProgress--
	r.mu.Unlock()
	r.pendingCalls.Done()
}

// runWorker sends the jobs of a worker until its connection ends or the run is closed.
func (r *run) runWorker(w *worker) {
	defer func() {
		if w.conn != nil {
			w.conn.Close()
		}
		r.mu.Lock()
		r.workerCount--
		r.mu.Unlock()
	}()
	for j := range w.jobs {
		reply, failure, keepConn := r.attempt(w, j)
		if !keepConn && w.conn != nil {
			w.conn.Close()
			w.conn = nil
		}
		r.mu.Lock()
		idle := keepConn && !r.closed
		if idle {
			r.idleWorkers = append(r.idleWorkers, w)
		}
		r.mu.Unlock()
		r.finishOrRetry(j, reply, failure)
		if !idle {
			return
		}
	}
}

// attempt makes one attempt of a call, which is sent again on a new connection if the kept-alive
// one was closed. failure says why there is no reply, or is empty. keepConn says whether the
// connection can be used again.
func (r *run) attempt(w *worker, j *job) (reply Reply, failure string, keepConn bool) {
	j.sentAt = time.Now()
	if j.attempt == 0 {
		r.recorder.recordSent(j.due, j.sentAt, j.classIndex)
	}
	j.call.Deadline = j.sentAt.Add(time.Duration(j.call.Class.Deadline))
	if j.attempt == 0 { // clients count their deadline from the time at which the call was due
		j.call.Deadline = j.due.Add(time.Duration(j.call.Class.Deadline))
	}
	for freshConn := false; ; freshConn = true {
		var err error
		if w.conn == nil {
			if w.conn, err = r.config.Protocol.Dial(j.call.Deadline); err != nil {
				w.conn = nil
				if errors.Is(err, ErrLocalResource) {
					return Reply{}, "local", false
				}
				return Reply{}, "no connection", false
			}
			freshConn = true
		}
		reply, err = w.conn.Do(&j.call)
		switch {
		case err == nil:
			return reply, "", true
		case errors.Is(err, errLastReply):
			return reply, "", false
		case errors.Is(err, ErrStaleConn) && !freshConn:
			w.conn.Close()
			w.conn = nil
			continue
		case errors.Is(err, ErrLocalResource):
			return Reply{}, "local", false
		}
		return Reply{}, "no answer", false
	}
}

// finishOrRetry ends a call or schedules its next attempt.
func (r *run) finishOrRetry(j *job, reply Reply, failure string) {
	if failure == "local" {
		r.recorder.recordDropped(j.due, j.classIndex, "descriptors or ports")
		r.release()
		return
	}
	if j.attempt < r.config.Retries.MaxRetries && shouldRetry(j.call.Class, reply) {
		rng := rand.New(rand.NewPCG(j.backoffSeed, uint64(j.attempt)))
		wait := time.Duration(r.config.Retries.Backoff)
		for range j.attempt {
			wait = time.Duration(float64(wait) * r.config.Retries.BackoffGrowth)
		}
		wait -= time.Duration(rng.Float64() * r.config.Retries.Jitter * float64(wait))
		if j.honoursRetryAfter {
			wait = max(wait, reply.RetryAfter)
		}
		j.attempt++
		j.call.ID = fmt.Sprintf("%s-%d", j.call.ID, j.attempt)
		j.call.Retry = true
		r.recorder.recordRetry(j.classIndex)
		time.AfterFunc(wait, func() { r.send(j) })
		return
	}
	r.finish(j, reply, failure)
}

// shouldRetry reports whether a client retries after a reply: always after a refusal (429 or 503),
// never after an error of its own (any other 4xx but 408), and after anything else only calls that
// are safe to repeat.
func shouldRetry(c *Class, r Reply) bool {
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

// finish records the final reply of a call.
func (r *run) finish(j *job, reply Reply, failure string) {
	r.recorder.recordDone(j, reply, time.Now())
	r.release()
}

// runTicker calls closeSeconds and the view once a second, until stop is closed.
func (r *run) runTicker(stop chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			last := r.recorder.closeSeconds(now)
			if r.config.View == nil {
				continue
			}
			r.mu.Lock()
			callsInProgress := r.callsInProgress
			r.mu.Unlock()
			sent, done := r.recorder.counts()
			r.config.View(Progress{Elapsed: now.Sub(r.begin), Length: r.config.Length, Sent: sent, Done: done, Outstanding: callsInProgress, LastSecond: last})
		}
	}
}
