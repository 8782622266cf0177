// Package demo runs the sidecar between stand-in clients, servers and service discovery, all in one
// process, and prints the results of the calls while servers are frozen, killed and drained.
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
	maxDuration        = 10 * time.Minute
	maxRate            = 2000
	maxConcurrentCalls = 512 // calls beyond it are skipped and counted
)

// Config configures a demonstration.
type Config struct {
	Servers        int
	CallsPerSecond float64 // calls a second
	Duration       time.Duration
	Seed           uint64
	Radius         bool // RADIUS requests of counter terminals instead of HTTP calls
	Script         []Step
	Keys           io.Reader // lines with further steps; nil for none
	Out            io.Writer
	IsTerminal     bool // Out is a terminal, whose screen is redrawn
}

// environment is what a demonstration runs: a proxy, its servers and its clients.
type environment interface {
	// description returns the addresses and sizes for the first line of output.
	description() string
	// sendCalls starts calls at random times until ctx is done. It returns when all of them
	// have ended.
	sendCalls(ctx context.Context)
	// applyStep carries out a step and returns the state of its server afterwards.
	applyStep(Step) (state string, err error)
	// writeTable writes the results so far.
	writeTable(*strings.Builder)
	// writeSummary writes the totals at the end. It returns an error if a call had no answer or
	// an effect happened twice or not at all.
	writeSummary(*strings.Builder) error
	// stopProxy stops the proxy as SIGTERM does and waits for it.
	stopProxy() error
	close()
}

// demo is a demonstration that runs.
type demo struct {
	cfg         Config
	environment environment

	mu           sync.Mutex
	serverStates []string // by the server's index; for example up or frozen
	notes        []string
}

// Run runs a demonstration and blocks until it ends. It returns an error if cfg is invalid, if the
// demonstration can't run, if a call had no answer, or if an effect happened twice or not at all.
func Run(ctx context.Context, cfg Config) error {
	switch {
	case cfg.Servers < 1 || cfg.Servers > 32:
		return fmt.Errorf("demo: the number of servers must be from 1 to 32")
	case !(cfg.CallsPerSecond > 0 && cfg.CallsPerSecond <= maxRate):
		return fmt.Errorf("demo: the rate must be above 0 and at most %d calls a second", maxRate)
	case cfg.Duration <= 0 || cfg.Duration > maxDuration:
		return fmt.Errorf("demo: the duration must be above 0 and at most %v", maxDuration)
	}
	var env environment
	var err error
	if cfg.Radius {
		env, err = newRadiusEnvironment(cfg)
	} else {
		env, err = newHTTPEnvironment(cfg)
	}
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer env.close()
	m := &demo{cfg: cfg, environment: env, serverStates: make([]string, cfg.Servers)}
	for n := range m.serverStates {
		m.serverStates[n] = "up"
	}
	fmt.Fprintf(cfg.Out, "%s, %.0f calls a second for %v, seed %d\n", env.description(), cfg.CallsPerSecond, cfg.Duration, cfg.Seed)
	if cfg.Keys != nil {
		fmt.Fprintln(cfg.Out, "type f2 and Enter to freeze server 2; t thaws, k kills, r restarts, d drains, u undrains; q ends")
	}
	m.runSteps(ctx)
	err = env.stopProxy()
	var summary strings.Builder
	summary.WriteString("summary\n")
	env.writeTable(&summary)
	violation := env.writeSummary(&summary)
	io.WriteString(cfg.Out, summary.String())
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return violation
}

// runSteps sends calls and carries out steps, from the script and from the keyboard, until the
// duration is over, ctx is done or "q" is typed.
func (m *demo) runSteps(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Duration)
	defer cancel()
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	typedLines := make(chan string)
	if m.cfg.Keys != nil {
		go func() { // may last until the process ends: a read from a terminal can't be cancelled
			lines := bufio.NewScanner(m.cfg.Keys)
			for lines.Scan() {
				select {
				case typedLines <- lines.Text():
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	wg.Go(func() { m.environment.sendCalls(ctx) })
	steps := m.cfg.Script
	refresh := time.NewTicker(time.Second)
	defer refresh.Stop()
	for {
		var nextStep <-chan time.Time
		if len(steps) > 0 {
			nextStep = time.After(time.Until(start.Add(steps[0].At)))
		}
		select {
		case <-ctx.Done():
			return
		case <-nextStep:
			m.applyStep(steps[0])
			steps = steps[1:]
		case text := <-typedLines:
			if strings.TrimSpace(text) == "q" {
				return
			}
			step, err := ParseKeys(text, m.cfg.Servers)
			if err != nil {
				m.addNote(err.Error())
				continue
			}
			m.applyStep(step)
		case <-refresh.C:
			m.printState(time.Since(start))
		}
	}
}

// applyStep carries out a step and notes it.
func (m *demo) applyStep(step Step) {
	state, err := m.environment.applyStep(step)
	if err != nil {
		m.addNote(err.Error())
		return
	}
	m.mu.Lock()
	m.serverStates[step.Server-1] = state
	m.mu.Unlock()
	m.addNote(fmt.Sprintf("%s server %d", step.Verb, step.Server))
}

// generateCalls starts calls at random times until ctx is done, and returns when all of them have
// ended. It takes each call from next, which is never called concurrently. It returns how many
// calls it skipped because maxConcurrentCalls were under way.
func generateCalls(ctx context.Context, cfg Config, next func(*rand.Rand) (call func())) (skipped int) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 3))
	slots := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	defer wg.Wait()
	for at := time.Now(); ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / cfg.CallsPerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return skipped
		case <-time.After(time.Until(at)):
		}
		call := next(rng)
		select {
		case slots <- struct{}{}:
		default:
			skipped++
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			call()
		})
	}
}

// maxNotes is how many notes are shown on a terminal.
const maxNotes = 4

// addNote shows a note: with the next state on a terminal, at once elsewhere.
func (m *demo) addNote(text string) {
	m.mu.Lock()
	m.notes = append(m.notes, text)
	if len(m.notes) > maxNotes {
		m.notes = m.notes[1:]
	}
	m.mu.Unlock()
	if !m.cfg.IsTerminal {
		fmt.Fprintln(m.cfg.Out, "  *", text)
	}
}

// printState prints the states of the servers and the results so far.
func (m *demo) printState(elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	if m.cfg.IsTerminal {
		b.WriteString("\x1b[H\x1b[2J")
	}
	fmt.Fprintf(&b, "%3.0f s ", elapsed.Seconds())
	for n, s := range m.serverStates {
		fmt.Fprintf(&b, " %d:%s", n+1, s)
	}
	b.WriteByte('\n')
	m.environment.writeTable(&b)
	if m.cfg.IsTerminal {
		for _, n := range m.notes {
			fmt.Fprintln(&b, "  *", n)
		}
	}
	io.WriteString(m.cfg.Out, b.String())
}
