// Package demo runs the sidecar before stand-in servers, a discovery and clients, all in
// one process, and shows what becomes of the calls while servers are frozen, killed and
// drained.
package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	durationMost = 10 * time.Minute
	rateMost     = 2000
	held         = 512 // calls under way at once; what comes beyond is left out and counted
)

// Config is what a demonstration is told.
type Config struct {
	Servers int
	Rate    float64 // calls a second
	For     time.Duration
	Seed    uint64
	Radius  bool // counter terminals in place of HTTP calls
	Script  []Step
	Keys    io.Reader // lines with further steps; nil: none
	Out     io.Writer
	Live    bool // Out is a terminal: draw over what stands there
}

// world is what is shown: a proxy, its servers and its clients.
type world interface {
	about() string
	// arrivals sends calls at their times until ctx is done, and returns once all have
	// ended.
	arrivals(ctx context.Context)
	do(Step) (state string, err error) // of the server, after it
	table(*strings.Builder)
	// summary adds what is known at the end. An error says that a rule was broken.
	summary(*strings.Builder) error
	stop() error // the proxy, as SIGTERM does
	close()
}

type demo struct {
	cfg   Config
	world world

	mu    sync.Mutex
	state []string // of each server
	notes []string
}

// Run runs a demonstration to its end. An error says that it could not be run, or that
// a call had no answer or an effect happened twice.
func Run(ctx context.Context, cfg Config) error {
	switch {
	case cfg.Servers < 1 || cfg.Servers > 32:
		return fmt.Errorf("demo: servers must be within 1 and 32")
	case !(cfg.Rate > 0 && cfg.Rate <= rateMost):
		return fmt.Errorf("demo: rate must be above 0 and at most %d", rateMost)
	case cfg.For <= 0 || cfg.For > durationMost:
		return fmt.Errorf("demo: the time must be above 0 and at most %v", durationMost)
	}
	var w world
	var err error
	if cfg.Radius {
		w, err = newTerminals(cfg)
	} else {
		w, err = newCalls(cfg)
	}
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer w.close()
	m := &demo{cfg: cfg, world: w, state: make([]string, cfg.Servers)}
	for n := range m.state {
		m.state[n] = "up"
	}
	fmt.Fprintf(cfg.Out, "%s, %.0f calls a second for %v, seed %d\n", w.about(), cfg.Rate, cfg.For, cfg.Seed)
	if cfg.Keys != nil {
		fmt.Fprintln(cfg.Out, "type f2 and Enter to freeze server 2; t thaws, k kills, r restarts, d drains, u undrains; q ends")
	}
	m.play(ctx)
	err = w.stop()
	var b strings.Builder
	b.WriteString("summary\n")
	w.table(&b)
	broken := w.summary(&b)
	io.WriteString(cfg.Out, b.String())
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return broken
}

func (m *demo) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.For)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	typed := make(chan string)
	if m.cfg.Keys != nil {
		go func() { // ends with the process at the latest: a read of a terminal can't be called off
			lines := bufio.NewScanner(m.cfg.Keys)
			for lines.Scan() {
				select {
				case typed <- lines.Text():
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	wg.Go(func() { m.world.arrivals(ctx) })
	steps := m.cfg.Script
	show := time.NewTicker(time.Second)
	defer show.Stop()
	for {
		var next <-chan time.Time
		if len(steps) > 0 {
			next = time.After(time.Until(began.Add(steps[0].At)))
		}
		select {
		case <-ctx.Done():
			return
		case <-next:
			m.do(steps[0])
			steps = steps[1:]
		case text := <-typed:
			if strings.TrimSpace(text) == "q" {
				return
			}
			step, err := ParseKeys(text, m.cfg.Servers)
			if err != nil {
				m.note(err.Error())
				continue
			}
			m.do(step)
		case <-show.C:
			m.show(time.Since(began))
		}
	}
}

func (m *demo) do(s Step) {
	state, err := m.world.do(s)
	if err != nil {
		m.note(err.Error())
		return
	}
	m.mu.Lock()
	m.state[s.Server-1] = state
	m.mu.Unlock()
	m.note(fmt.Sprintf("%s server %d", s.Verb, s.Server))
}

// arrive makes calls at random times until ctx is done, and returns once all have ended.
// next is asked for each of them, in turn. It says how many were left out at the limit
// of those under way at once.
func arrive(ctx context.Context, cfg Config, next func(*rand.Rand) (call func())) (leftOut int) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 3))
	room := make(chan struct{}, held)
	var wg sync.WaitGroup
	defer wg.Wait()
	for at := time.Now(); ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return leftOut
		case <-time.After(time.Until(at)):
		}
		call := next(rng)
		select {
		case room <- struct{}{}:
		default:
			leftOut++
			continue
		}
		wg.Go(func() {
			defer func() { <-room }()
			call()
		})
	}
}

// notesMost is how many notes are shown.
const notesMost = 4

func (m *demo) note(text string) {
	m.mu.Lock()
	m.notes = append(m.notes, text)
	if len(m.notes) > notesMost {
		m.notes = m.notes[1:]
	}
	m.mu.Unlock()
	if !m.cfg.Live {
		fmt.Fprintln(m.cfg.Out, "  *", text)
	}
}

func (m *demo) show(since time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	if m.cfg.Live {
		b.WriteString("\x1b[H\x1b[2J")
	}
	fmt.Fprintf(&b, "%3.0f s ", since.Seconds())
	for n, s := range m.state {
		fmt.Fprintf(&b, " %d:%s", n+1, s)
	}
	b.WriteByte('\n')
	m.world.table(&b)
	if m.cfg.Live {
		for _, n := range m.notes {
			fmt.Fprintln(&b, "  *", n)
		}
	}
	io.WriteString(m.cfg.Out, b.String())
}
