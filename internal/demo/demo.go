// Package demo runs the daemon before stand-in servers, a discovery and clients of the
// operators' three classes, all in one process, and shows what becomes of the calls
// while servers are frozen, killed and drained.
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

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

const (
	durationMost = 10 * time.Minute
	rateMost     = 2000
	held         = 512 // calls under way at once; what comes beyond is left out and counted
	retryMost    = 2   // of a client, as the operators' do
)

// Config is what a demonstration is told.
type Config struct {
	Servers int
	Rate    float64 // calls a second
	For     time.Duration
	Seed    uint64
	Script  []Step
	Keys    io.Reader // lines with further steps; nil: none
	Out     io.Writer
	Live    bool // Out is a terminal: draw over what stands there
}

// tally is what became of a class's calls.
type tally struct {
	asked, served, late, refused, failed, none int
}

// Summary is how a demonstration ended.
type Summary struct {
	Classes  map[string]*tally
	Twice    int // calls of activate or id-register that took effect twice
	LeftOut  int
	Attempts int
}

type demo struct {
	cfg  Config
	site *rig.Site

	mu    sync.Mutex
	sum   Summary
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
	site, err := rig.NewSite(rig.SiteConfig{
		Servers: cfg.Servers, Classes: rig.Activation(),
		Server: standin.ServerConfig{Script: work(cfg.Seed)},
	})
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer site.Close()
	d, err := site.StartDaemon(cfg.Seed, "")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	m := &demo{cfg: cfg, site: site, state: make([]string, cfg.Servers)}
	m.sum.Classes = make(map[string]*tally)
	for _, c := range site.Config.Classes {
		m.sum.Classes[c.Name] = new(tally)
	}
	for n := range m.state {
		m.state[n] = "up"
	}
	fmt.Fprintf(cfg.Out, "daemon at %s, %d servers, discovery at %s, %.0f calls a second for %v, seed %d\n", d.Addr, cfg.Servers, site.Discovery.Addr(), cfg.Rate, cfg.For, cfg.Seed)
	if cfg.Keys != nil {
		fmt.Fprintln(cfg.Out, "type f2 and Enter to freeze server 2; t thaws, k kills, r restarts, d drains, u undrains; q ends")
	}
	err = m.play(ctx, d.Addr)
	if serr := d.Stop(); err == nil {
		err = serr
	}
	m.finish()
	m.summary()
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return m.verdict()
}

// work is what a healthy server does: about 100 ms, as the operators' do.
func work(seed uint64) standin.Script {
	var odds []standin.Odd
	for n := range 20 {
		odds = append(odds, standin.Odd{Share: 0.05, Act: standin.Act{Delay: time.Duration(60+4*n) * time.Millisecond}})
	}
	return standin.Random(seed, odds...)
}

func (m *demo) play(ctx context.Context, addr string) error {
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
	wg.Go(func() { m.arrivals(ctx, addr) })
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
			return nil
		case <-next:
			m.do(steps[0])
			steps = steps[1:]
		case text := <-typed:
			if strings.TrimSpace(text) == "q" {
				return nil
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

// arrivals sends calls at their times, whatever becomes of those before.
func (m *demo) arrivals(ctx context.Context, addr string) {
	var all []standin.Class
	for n, c := range m.site.Config.Classes {
		all = append(all, standin.Class{Name: c.Name, Effect: c.Effect, Share: []float64{52, 27, 21}[n], Deadline: c.Deadline, BodySize: 200})
	}
	aims := make(map[string]time.Duration)
	for _, c := range m.site.Config.Classes {
		aims[c.Name] = c.Aim
	}
	calls := standin.NewMix(m.cfg.Seed, all...)
	rng := rand.New(rand.NewPCG(m.cfg.Seed, 3))
	client := standin.NewClient(addr)
	defer client.Close()
	room := make(chan struct{}, held)
	var wg sync.WaitGroup
	defer wg.Wait()
	for at := time.Now(); ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / m.cfg.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		a := calls.Next()
		select {
		case room <- struct{}{}:
		default:
			m.mu.Lock()
			m.sum.LeftOut++
			m.mu.Unlock()
			continue
		}
		wg.Go(func() {
			defer func() { <-room }()
			m.call(client, a, aims[a.Class.Name])
		})
	}
}

// call makes one call as the operators' clients do: refused, it comes again when it is
// told to.
func (m *demo) call(c *standin.Client, a standin.Ask, aim time.Duration) {
	began := time.Now()
	r := c.Do(context.Background(), a)
	for n := 1; n <= retryMost && r.Verdict() == "refused"; n++ {
		time.Sleep(max(r.RetryAfter, 10*time.Millisecond))
		again := a
		again.ID = fmt.Sprintf("%s-%d", a.ID, n)
		r = c.Do(context.Background(), again)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.sum.Classes[a.Class.Name]
	t.asked++
	switch r.Verdict() {
	case "served":
		if t.served++; time.Since(began) > aim {
			t.late++
		}
	case "refused":
		t.refused++
	case "failed":
		t.failed++
	default:
		t.none++
	}
}

// do carries a step out, with what discovery says of it.
func (m *demo) do(s Step) {
	n := s.Server - 1
	server := m.site.Servers[n]
	state := "up"
	switch s.Verb {
	case "freeze":
		server.Freeze()
		state = "frozen"
	case "thaw":
		server.Thaw()
	case "kill":
		server.Kill()
		m.site.Discovery.Change(m.site.Endpoint(n, "removed"))
		state = "down"
	case "restart":
		if err := server.Restart(); err != nil {
			m.note(err.Error())
			return
		}
		m.site.Discovery.Change(m.site.Endpoint(n, "up"))
	case "drain":
		m.site.Discovery.Change(m.site.Endpoint(n, "draining"))
		state = "draining"
	case "undrain":
		m.site.Discovery.Change(m.site.Endpoint(n, "up"))
	}
	m.mu.Lock()
	m.state[n] = state
	m.mu.Unlock()
	m.note(fmt.Sprintf("%s server %d", s.Verb, s.Server))
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
	m.table(&b)
	if m.cfg.Live {
		for _, n := range m.notes {
			fmt.Fprintln(&b, "  *", n)
		}
	}
	io.WriteString(m.cfg.Out, b.String())
}

func (m *demo) table(b *strings.Builder) {
	fmt.Fprintf(b, "  %-13s %7s %7s %6s %8s %7s %10s %9s %8s\n", "class", "asked", "served", "late", "refused", "failed", "no answer", "attempts", "effects")
	for _, c := range m.site.Config.Classes {
		t, at := m.sum.Classes[c.Name], m.site.Ledger.Class(c.Name)
		fmt.Fprintf(b, "  %-13s %7d %7d %6d %8d %7d %10d %9d %8d\n", c.Name, t.asked, t.served, t.late, t.refused, t.failed, t.none, at.Attempts, at.Effects)
	}
}

// finish counts what happened twice.
func (m *demo) finish() {
	safe := make(map[string]bool)
	for _, a := range m.site.Ledger.Log() {
		safe[a.ID] = a.Class == "status-check"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, c := range m.site.Ledger.IDs() {
		m.sum.Attempts += c.Attempts
		if c.Effects > 1 && !safe[id] {
			m.sum.Twice++
		}
	}
}

func (m *demo) summary() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	b.WriteString("summary\n")
	m.table(&b)
	fmt.Fprintf(&b, "  effects that happened twice: %d; calls left out at the limit of %d at once: %d\n", m.sum.Twice, held, m.sum.LeftOut)
	io.WriteString(m.cfg.Out, b.String())
}

func (m *demo) verdict() error {
	none := 0
	for _, t := range m.sum.Classes {
		none += t.none
	}
	if none > 0 || m.sum.Twice > 0 {
		return fmt.Errorf("demo: %d calls without an answer, %d effects that happened twice", none, m.sum.Twice)
	}
	return nil
}
