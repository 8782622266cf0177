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
	maxCallsPerSecond  = 2000
	maxConcurrentCalls = 512 // calls beyond it are skipped and counted
)

// Config configures a demonstration.
type Config struct {
	Servers        int // number of servers
	CallsPerSecond float64
	Duration       time.Duration
	Seed           uint64
	Radius         bool // RADIUS requests of counter terminals instead of HTTP calls
	Script         []Step
	Keys           io.Reader // lines with further steps; nil for none
	Out            io.Writer
	IsTerminal     bool // Out is a terminal, whose screen is redrawn
}

// environment holds the proxy of a demonstration with its servers and clients.
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

// demo is a running demonstration.
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
	case !(cfg.CallsPerSecond > 0 && cfg.CallsPerSecond <= maxCallsPerSecond):
		return fmt.Errorf("demo: the rate must be above 0 and at most %d calls a second", maxCallsPerSecond)
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
	d := &demo{cfg: cfg, environment: env, serverStates: make([]string, cfg.Servers)}
	for n := range d.serverStates {
		d.serverStates[n] = "up"
	}
	fmt.Fprintf(cfg.Out, "%s, %.0f calls a second for %v, seed %d\n", env.description(), cfg.CallsPerSecond, cfg.Duration, cfg.Seed)
	if cfg.Keys != nil {
		fmt.Fprintln(cfg.Out, "type f2 and Enter to freeze server 2; t thaws, k kills, r restarts, d drains, u undrains; q ends")
	}
	d.runSteps(ctx)
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
func (d *demo) runSteps(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Duration)
	defer cancel()
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	typedLines := make(chan string)
	if d.cfg.Keys != nil {
		go func() { // may run until the process ends: a read from a terminal can't be cancelled
			lines := bufio.NewScanner(d.cfg.Keys)
			for lines.Scan() {
				select {
				case typedLines <- lines.Text():
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	wg.Go(func() { d.environment.sendCalls(ctx) })
	steps := d.cfg.Script
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
			d.applyStep(steps[0])
			steps = steps[1:]
		case text := <-typedLines:
			if strings.TrimSpace(text) == "q" {
				return
			}
			step, err := ParseKeys(text, d.cfg.Servers)
			if err != nil {
				d.addNote(err.Error())
				continue
			}
			d.applyStep(step)
		case <-refresh.C:
			d.printState(time.Since(start))
		}
	}
}

// applyStep carries out a step and adds a note of it.
func (d *demo) applyStep(step Step) {
	state, err := d.environment.applyStep(step)
	if err != nil {
		d.addNote(err.Error())
		return
	}
	d.mu.Lock()
	d.serverStates[step.Server-1] = state
	d.mu.Unlock()
	d.addNote(fmt.Sprintf("%s server %d", step.Verb, step.Server))
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
func (d *demo) addNote(text string) {
	d.mu.Lock()
	d.notes = append(d.notes, text)
	if len(d.notes) > maxNotes {
		d.notes = d.notes[1:]
	}
	d.mu.Unlock()
	if !d.cfg.IsTerminal {
		fmt.Fprintln(d.cfg.Out, "  *", text)
	}
}

// printState prints the states of the servers and the results so far.
func (d *demo) printState(elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b strings.Builder
	if d.cfg.IsTerminal {
		b.WriteString("\x1b[H\x1b[2J")
	}
	fmt.Fprintf(&b, "%3.0f s ", elapsed.Seconds())
	for n, s := range d.serverStates {
		fmt.Fprintf(&b, " %d:%s", n+1, s)
	}
	b.WriteByte('\n')
	d.environment.writeTable(&b)
	if d.cfg.IsTerminal {
		for _, n := range d.notes {
			fmt.Fprintln(&b, "  *", n)
		}
	}
	io.WriteString(d.cfg.Out, b.String())
}
