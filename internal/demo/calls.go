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

// maxRetries is how often a client repeats a refused call, as the operators' clients do.
const maxRetries = 2

// classTally counts the results of the calls of a class.
type classTally struct {
	asked, served, late, refused, failed, unanswered int
}

// httpEnvironment runs the daemon between stand-in servers and clients that send HTTP calls of the
// operators' three classes.
type httpEnvironment struct {
	cfg    Config
	site   *rig.Site
	daemon *rig.Daemon

	mu            sync.Mutex
	tallies       map[string]*classTally // by class
	skippedCalls  int                    // because too many were under way
	doubleEffects int                    // calls of activate or id-register with more than one effect
}

// newHTTPEnvironment starts the servers, discovery and the daemon. The caller must close it.
func newHTTPEnvironment(cfg Config) (*httpEnvironment, error) {
	site, err := rig.NewSite(rig.SiteConfig{
		Servers: cfg.Servers, Classes: rig.ActivationClasses(),
		Server: standin.ServerConfig{Script: healthyScript(cfg.Seed)},
	})
	if err != nil {
		return nil, err
	}
	daemon, err := site.StartDaemon(cfg.Seed, "")
	if err != nil {
		site.Close()
		return nil, err
	}
	m := &httpEnvironment{cfg: cfg, site: site, daemon: daemon, tallies: make(map[string]*classTally)}
	for _, c := range site.Config.Classes {
		m.tallies[c.Name] = new(classTally)
	}
	return m, nil
}

func (m *httpEnvironment) description() string {
	return fmt.Sprintf("daemon at %s, %d servers, discovery at %s", m.daemon.Addr, m.cfg.Servers, m.site.Discovery.Addr())
}

func (m *httpEnvironment) stopProxy() error { return m.daemon.Stop() }

func (m *httpEnvironment) close() { m.site.Close() }

// healthyScript returns the script of a healthy server: it answers after about 100 ms, as the
// operators' servers do.
func healthyScript(seed uint64) standin.Script {
	var actions []standin.WeightedAction
	for n := range 20 {
		actions = append(actions, standin.WeightedAction{Probability: 0.05, Action: standin.Action{Delay: time.Duration(60+4*n) * time.Millisecond}})
	}
	return standin.Random(seed, actions...)
}

// sendCalls starts each call at its time, whether or not earlier ones have ended.
func (m *httpEnvironment) sendCalls(ctx context.Context) {
	var classes []standin.Class
	for n, c := range m.site.Config.Classes {
		classes = append(classes, standin.Class{Name: c.Name, Effect: c.Effect, Share: []float64{52, 27, 21}[n], Deadline: c.Deadline, BodySize: 200})
	}
	aims := make(map[string]time.Duration)
	for _, c := range m.site.Config.Classes {
		aims[c.Name] = c.Aim
	}
	mix := standin.NewMix(m.cfg.Seed, classes...)
	client := standin.NewClient(m.daemon.Addr)
	defer client.Close()
	skipped := generateCalls(ctx, m.cfg, func(*rand.Rand) func() {
		request := mix.Next()
		return func() { m.makeCall(client, request, aims[request.Class.Name]) }
	})
	m.mu.Lock()
	m.skippedCalls = skipped
	m.mu.Unlock()
}

// makeCall makes one call as the operators' clients do: it repeats a refused call after the time
// that the answer asks for.
func (m *httpEnvironment) makeCall(client *standin.Client, request standin.ClientRequest, aim time.Duration) {
	start := time.Now()
	reply := client.Do(context.Background(), request)
	for n := 1; n <= maxRetries && reply.Verdict() == "refused"; n++ {
		time.Sleep(max(reply.RetryAfter, 10*time.Millisecond))
		retry := request
		retry.ID = fmt.Sprintf("%s-%d", request.ID, n)
		reply = client.Do(context.Background(), retry)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	tally := m.tallies[request.Class.Name]
	tally.asked++
	switch reply.Verdict() {
	case "served":
		if tally.served++; time.Since(start) > aim {
			tally.late++
		}
	case "refused":
		tally.refused++
	case "failed":
		tally.failed++
	default:
		tally.unanswered++
	}
}

// applyStep carries out a step and updates discovery. It returns the state of the server after it.
func (m *httpEnvironment) applyStep(step Step) (state string, err error) {
	index := step.Server - 1
	server := m.site.Servers[index]
	switch step.Verb {
	case "freeze":
		server.Freeze()
		return "frozen", nil
	case "thaw":
		server.Thaw()
	case "kill":
		server.Kill()
		m.site.Discovery.Change(m.site.Endpoint(index, "removed"))
		return "down", nil
	case "restart":
		if err := server.Restart(); err != nil {
			return "", err
		}
		m.site.Discovery.Change(m.site.Endpoint(index, "up"))
	case "drain":
		m.site.Discovery.Change(m.site.Endpoint(index, "draining"))
		return "draining", nil
	case "undrain":
		m.site.Discovery.Change(m.site.Endpoint(index, "up"))
	}
	return "up", nil
}

func (m *httpEnvironment) writeTable(b *strings.Builder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprintf(b, "  %-13s %7s %7s %6s %8s %7s %10s %9s %8s\n", "class", "asked", "served", "late", "refused", "failed", "no answer", "attempts", "effects")
	for _, c := range m.site.Config.Classes {
		tally, count := m.tallies[c.Name], m.site.Ledger.ClassCount(c.Name)
		fmt.Fprintf(b, "  %-13s %7d %7d %6d %8d %7d %10d %9d %8d\n", c.Name, tally.asked, tally.served, tally.late, tally.refused, tally.failed, tally.unanswered, count.Attempts, count.Effects)
	}
}

// writeSummary writes how many effects happened twice. It returns an error if any did or if a call
// had no answer.
func (m *httpEnvironment) writeSummary(b *strings.Builder) error {
	safe := make(map[string]bool)
	for _, a := range m.site.Ledger.Arrivals() {
		safe[a.ID] = a.Class == "status-check"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, c := range m.site.Ledger.RequestCounts() {
		if c.Effects > 1 && !safe[id] {
			m.doubleEffects++
		}
	}
	fmt.Fprintf(b, "  effects that happened twice: %d; calls skipped at the limit of %d at once: %d\n", m.doubleEffects, maxConcurrentCalls, m.skippedCalls)
	unanswered := 0
	for _, t := range m.tallies {
		unanswered += t.unanswered
	}
	if unanswered > 0 || m.doubleEffects > 0 {
		return fmt.Errorf("demo: %d calls had no answer and %d effects happened twice, expected 0 of both", unanswered, m.doubleEffects)
	}
	return nil
}
