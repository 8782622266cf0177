package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// retryMost is how often a client asks again that was refused, as the operators' do.
const retryMost = 2

// tally is what became of a class's calls.
type tally struct {
	asked, served, late, refused, failed, none int
}

// calls is a world of HTTP calls, of the operators' three classes, before the daemon.
type calls struct {
	cfg    Config
	site   *rig.Site
	daemon *rig.Daemon

	mu      sync.Mutex
	classes map[string]*tally
	leftOut int
	twice   int // calls of activate or id-register that took effect twice
}

func newCalls(cfg Config) (*calls, error) {
	site, err := rig.NewSite(rig.SiteConfig{
		Servers: cfg.Servers, Classes: rig.Activation(),
		Server: standin.ServerConfig{Script: work(cfg.Seed)},
	})
	if err != nil {
		return nil, err
	}
	d, err := site.StartDaemon(cfg.Seed, "")
	if err != nil {
		site.Close()
		return nil, err
	}
	m := &calls{cfg: cfg, site: site, daemon: d, classes: make(map[string]*tally)}
	for _, c := range site.Config.Classes {
		m.classes[c.Name] = new(tally)
	}
	return m, nil
}

func (m *calls) about() string {
	return fmt.Sprintf("daemon at %s, %d servers, discovery at %s", m.daemon.Addr, m.cfg.Servers, m.site.Discovery.Addr())
}

func (m *calls) stop() error { return m.daemon.Stop() }

func (m *calls) close() { m.site.Close() }

// work is what a healthy server does: about 100 ms, as the operators' do.
func work(seed uint64) standin.Script {
	var odds []standin.Odd
	for n := range 20 {
		odds = append(odds, standin.Odd{Share: 0.05, Act: standin.Act{Delay: time.Duration(60+4*n) * time.Millisecond}})
	}
	return standin.Random(seed, odds...)
}

// arrivals sends calls at their times, whatever becomes of those before.
func (m *calls) arrivals(ctx context.Context) {
	var all []standin.Class
	for n, c := range m.site.Config.Classes {
		all = append(all, standin.Class{Name: c.Name, Effect: c.Effect, Share: []float64{52, 27, 21}[n], Deadline: c.Deadline, BodySize: 200})
	}
	aims := make(map[string]time.Duration)
	for _, c := range m.site.Config.Classes {
		aims[c.Name] = c.Aim
	}
	mix := standin.NewMix(m.cfg.Seed, all...)
	client := standin.NewClient(m.daemon.Addr)
	defer client.Close()
	left := arrive(ctx, m.cfg, func(*rand.Rand) func() {
		a := mix.Next()
		return func() { m.call(client, a, aims[a.Class.Name]) }
	})
	m.mu.Lock()
	m.leftOut = left
	m.mu.Unlock()
}

// call makes one call as the operators' clients do: refused, it comes again when it is
// told to.
func (m *calls) call(c *standin.Client, a standin.Ask, aim time.Duration) {
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
	t := m.classes[a.Class.Name]
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
func (m *calls) do(s Step) (state string, err error) {
	n := s.Server - 1
	server := m.site.Servers[n]
	switch s.Verb {
	case "freeze":
		server.Freeze()
		return "frozen", nil
	case "thaw":
		server.Thaw()
	case "kill":
		server.Kill()
		m.site.Discovery.Change(m.site.Endpoint(n, "removed"))
		return "down", nil
	case "restart":
		if err := server.Restart(); err != nil {
			return "", err
		}
		m.site.Discovery.Change(m.site.Endpoint(n, "up"))
	case "drain":
		m.site.Discovery.Change(m.site.Endpoint(n, "draining"))
		return "draining", nil
	case "undrain":
		m.site.Discovery.Change(m.site.Endpoint(n, "up"))
	}
	return "up", nil
}

func (m *calls) table(b *strings.Builder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprintf(b, "  %-13s %7s %7s %6s %8s %7s %10s %9s %8s\n", "class", "asked", "served", "late", "refused", "failed", "no answer", "attempts", "effects")
	for _, c := range m.site.Config.Classes {
		t, at := m.classes[c.Name], m.site.Ledger.Class(c.Name)
		fmt.Fprintf(b, "  %-13s %7d %7d %6d %8d %7d %10d %9d %8d\n", c.Name, t.asked, t.served, t.late, t.refused, t.failed, t.none, at.Attempts, at.Effects)
	}
}

// summary counts what happened twice.
func (m *calls) summary(b *strings.Builder) error {
	safe := make(map[string]bool)
	for _, a := range m.site.Ledger.Log() {
		safe[a.ID] = a.Class == "status-check"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, c := range m.site.Ledger.IDs() {
		if c.Effects > 1 && !safe[id] {
			m.twice++
		}
	}
	fmt.Fprintf(b, "  effects that happened twice: %d; calls left out at the limit of %d at once: %d\n", m.twice, held, m.leftOut)
	none := 0
	for _, t := range m.classes {
		none += t.none
	}
	if none > 0 || m.twice > 0 {
		return fmt.Errorf("demo: %d calls without an answer, %d effects that happened twice", none, m.twice)
	}
	return nil
}
