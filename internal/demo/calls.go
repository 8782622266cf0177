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
	e := &httpEnvironment{cfg: cfg, site: site, daemon: daemon, tallies: make(map[string]*classTally)}
	for _, c := range site.Config.Classes {
		e.tallies[c.Name] = new(classTally)
	}
	return e, nil
}

func (e *httpEnvironment) description() string {
	return fmt.Sprintf("daemon at %s, %d servers, discovery at %s", e.daemon.Addr, e.cfg.Servers, e.site.Discovery.Addr())
}

func (e *httpEnvironment) stopProxy() error { return e.daemon.Stop() }

func (e *httpEnvironment) close() { e.site.Close() }

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
func (e *httpEnvironment) sendCalls(ctx context.Context) {
	var classes []standin.Class
	for n, c := range e.site.Config.Classes {
		classes = append(classes, standin.Class{Name: c.Name, Effect: c.Effect, Share: []float64{52, 27, 21}[n], Deadline: c.Deadline, BodySize: 200})
	}
	aims := make(map[string]time.Duration)
	for _, c := range e.site.Config.Classes {
		aims[c.Name] = c.Aim
	}
	mix := standin.NewMix(e.cfg.Seed, classes...)
	client := standin.NewClient(e.daemon.Addr)
	defer client.Close()
	skipped := generateCalls(ctx, e.cfg, func(*rand.Rand) func() {
		request := mix.Next()
		return func() { e.makeCall(client, request, aims[request.Class.Name]) }
	})
	e.mu.Lock()
	e.skippedCalls = skipped
	e.mu.Unlock()
}

// makeCall makes one call as the operators' clients do: it repeats a refused call after the time
// that the answer asks for.
func (e *httpEnvironment) makeCall(client *standin.Client, request standin.ClientRequest, aim time.Duration) {
	start := time.Now()
	reply := client.Do(context.Background(), request)
	for n := 1; n <= maxRetries && reply.Verdict() == "refused"; n++ {
		time.Sleep(max(reply.RetryAfter, 10*time.Millisecond))
		retry := request
		retry.ID = fmt.Sprintf("%s-%d", request.ID, n)
		reply = client.Do(context.Background(), retry)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	tally := e.tallies[request.Class.Name]
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
func (e *httpEnvironment) applyStep(step Step) (state string, err error) {
	index := step.Server - 1
	server := e.site.Servers[index]
	switch step.Verb {
	case "freeze":
		server.Freeze()
		return "frozen", nil
	case "thaw":
		server.Thaw()
	case "kill":
		server.Kill()
		e.site.Discovery.Change(e.site.Endpoint(index, "removed"))
		return "down", nil
	case "restart":
		if err := server.Restart(); err != nil {
			return "", err
		}
		e.site.Discovery.Change(e.site.Endpoint(index, "up"))
	case "drain":
		e.site.Discovery.Change(e.site.Endpoint(index, "draining"))
		return "draining", nil
	case "undrain":
		e.site.Discovery.Change(e.site.Endpoint(index, "up"))
	}
	return "up", nil
}

func (e *httpEnvironment) writeTable(b *strings.Builder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(b, "  %-13s %7s %7s %6s %8s %7s %10s %9s %8s\n", "class", "asked", "served", "late", "refused", "failed", "no answer", "attempts", "effects")
	for _, c := range e.site.Config.Classes {
		tally, count := e.tallies[c.Name], e.site.Ledger.ClassCount(c.Name)
		fmt.Fprintf(b, "  %-13s %7d %7d %6d %8d %7d %10d %9d %8d\n", c.Name, tally.asked, tally.served, tally.late, tally.refused, tally.failed, tally.unanswered, count.Attempts, count.Effects)
	}
}

// writeSummary writes how many effects happened twice. It returns an error if any did or if a call
// had no answer.
func (e *httpEnvironment) writeSummary(b *strings.Builder) error {
	safe := make(map[string]bool)
	for _, a := range e.site.Ledger.Arrivals() {
		safe[a.ID] = a.Class == "status-check"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, c := range e.site.Ledger.RequestCounts() {
		if c.Effects > 1 && !safe[id] {
			e.doubleEffects++
		}
	}
	fmt.Fprintf(b, "  effects that happened twice: %d; calls skipped at the limit of %d at once: %d\n", e.doubleEffects, maxConcurrentCalls, e.skippedCalls)
	unanswered := 0
	for _, t := range e.tallies {
		unanswered += t.unanswered
	}
	if unanswered > 0 || e.doubleEffects > 0 {
		return fmt.Errorf("demo: %d calls had no answer and %d effects happened twice, expected 0 of both", unanswered, e.doubleEffects)
	}
	return nil
}
