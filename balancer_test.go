package chalkrack

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// recorder is a Host that records the decisions.
type recorder struct {
	decisions   []string
	servers     []string // by send
	timers      []uint64
	delays      []time.Duration
	retryDelays []time.Duration // of refusals
}

func (r *recorder) record(format string, args ...any) {
	r.decisions = append(r.decisions, fmt.Sprintf(format, args...))
}
func (r *recorder) Send(id RequestID, server string, _ time.Duration) {
	r.servers = append(r.servers, server)
	r.record("send %d", id)
}
func (r *recorder) Cancel(id RequestID, n int) { r.record("cancel %d/%d", id, n) }
func (r *recorder) Refuse(id RequestID, after time.Duration) {
	r.retryDelays = append(r.retryDelays, after)
	r.record("refuse %d", id)
}
func (r *recorder) Fail(id RequestID)       { r.record("fail %d", id) }
func (r *recorder) CloseIdle(server string) {}
func (r *recorder) Probe(server string)     { r.record("probe %s", server) }
func (r *recorder) Subscribe()              { r.record("subscribe") }
func (r *recorder) SetTimer(c uint64, after time.Duration) {
	r.timers = append(r.timers, c)
	r.delays = append(r.delays, after)
}

func testConfig() Config {
	return Config{
		Instances: 3, MaxAttempts: 4, MayCancel: true, SecondCopies: true,
		ColdFrom: 0.2, ColdFor: 10 * time.Second, OverloadFactor: 3, OverloadFor: 2 * time.Second,
		Classes: []Class{
			{Aim: 100 * ms, Worth: 1},
			{Aim: 100 * ms, Worth: 1, Effect: Keyed, Scope: ScopeZone, Window: 200 * ms},
			{Aim: 100 * ms, Worth: 1, Effect: Unsafe},
		},
	}
}

// newTestBalancer returns a Balancer that knows the servers, and its host.
func newTestBalancer(t *testing.T, cfg Config, servers ...Endpoint) (*Balancer, *recorder) {
	t.Helper()
	r := new(recorder)
	b, err := New(cfg, 1, r)
	if err != nil {
		t.Fatal(err)
	}
	b.ServersListed(0, servers)
	return b, r
}

// disableCopies sets the probability of copies to 0.
func (b *Balancer) disableCopies() { b.reissuer.probability = 0 }

func TestRetriesByEffectAndOutcome(t *testing.T) {
	two := []Endpoint{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}}
	apart := []Endpoint{{Name: "a", Zone: "y"}, {Name: "b", Zone: "z"}}
	for _, c := range []struct {
		name    string
		class   int
		servers []Endpoint
		o       Outcome
		at      time.Duration
		want    []string
	}{
		{"safe after error", 0, two, ServerError, ms, []string{"send 1", "send 1"}},
		{"safe after full", 0, two, Full, ms, []string{"send 1", "send 1"}},
		{"unsafe after full", 2, two, Full, ms, []string{"send 1", "send 1"}},
		{"unsafe after no connection", 2, two, ConnectFailed, ms, []string{"send 1", "send 1"}},
		{"unsafe after error", 2, two, ServerError, ms, []string{"send 1", "fail 1"}},
		{"unsafe after reset", 2, two, Reset, ms, []string{"send 1", "fail 1"}},
		{"unsafe after timeout", 2, two, TimedOut, ms, []string{"send 1", "fail 1"}},
		{"unsafe after cancel", 2, two, Cancelled, ms, []string{"send 1", "fail 1"}},
		{"keyed in its group", 1, two, Reset, ms, []string{"send 1", "send 1"}},
		{"keyed out of its group", 1, apart, Reset, ms, []string{"send 1", "fail 1"}},
		{"keyed never ran, any group", 1, apart, Full, ms, []string{"send 1", "send 1"}},
		{"nobody left to try", 2, two[:1], Full, ms, []string{"send 1", "refuse 1"}},
		{"past the aim", 0, two, Reset, 100 * ms, []string{"send 1", "refuse 1"}},
		{"unsafe past the aim", 2, two, Reset, 100 * ms, []string{"send 1", "fail 1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, r := newTestBalancer(t, testConfig(), c.servers...)
			b.disableCopies()
			b.Arrive(0, Request{ID: 1, Class: c.class, Deadline: 300 * ms})
			b.AttemptDone(c.at, 1, 0, c.o, false, LoadReport{})
			if !slices.Equal(r.decisions, c.want) {
				t.Errorf("got %v, want %v", r.decisions, c.want)
			}
			if len(r.servers) == 2 && r.servers[0] == r.servers[1] {
				t.Errorf("both attempts went to %s", r.servers[0])
			}
		})
	}
}

// Where servers report their load only to probes, a request waits for its probes
// and then goes to the less loaded server. If that one cannot answer within the
// aim, the request is refused at once. Without probes, balancers with little
// traffic kept sending to overloaded servers that they could not recognize.
func TestSendsAfterProbes(t *testing.T) {
	cfg := testConfig()
	cfg.Probes = true
	b, r := newTestBalancer(t, cfg, Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.disableCopies()
	arrive := func(id RequestID, deadline time.Duration, a, bb float64) {
		r.decisions, r.delays = nil, nil
		b.Arrive(0, Request{ID: id, Deadline: deadline})
		if len(r.decisions) != probesPerRequest {
			t.Fatalf("got %v on arrival, want %d probes", r.decisions, probesPerRequest)
		}
		b.Probed(0, "a", LoadReport{HasInFlight: true, InFlight: a})
		b.Probed(0, "b", LoadReport{HasInFlight: true, InFlight: bb})
		b.Probed(0, "gone", LoadReport{})
		r.decisions = nil
		b.Timer(0, r.timers[len(r.timers)-1])
	}
	for id := RequestID(1); id <= 10; id++ {
		arrive(id, 300*ms, 5, 0)
		if got := r.servers[id-1]; got != "b" {
			t.Errorf("request %d went to the loaded %s", id, got)
		}
		b.AttemptDone(20*ms, id, 0, OK, true, LoadReport{})
	}
	arrive(11, 300*ms, 90, 90)
	if !slices.Equal(r.decisions, []string{"refuse 11"}) {
		t.Errorf("got %v where no server can answer within the aim, want a refusal", r.decisions)
	}
	arrive(12, 2*ms, 0, 0)
	if r.delays[0] > ms {
		t.Errorf("waits %v for probes with 2 ms to the deadline, want at most 1 ms", r.delays[0])
	}
}

// Probes are not sent where their cost exceeds what they can gain.
func TestExpensiveProbesAreNotSent(t *testing.T) {
	cfg := testConfig()
	cfg.Probes, cfg.ProbeCost = true, 2*maxProbeCost/probesPerRequest
	b, r := newTestBalancer(t, cfg, Endpoint{Name: "a"})
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if !slices.Contains(r.decisions, "send 1") {
		t.Errorf("got %v, want a send at once", r.decisions)
	}
}

func TestHedgeAndCancel(t *testing.T) {
	b, r := newTestBalancer(t, testConfig(), Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.reissuer.probability, b.reissuer.delay, b.reissuer.tokens = 1, 0.5, 3
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if len(r.delays) != 1 || r.delays[0] != 50*ms {
		t.Fatalf("timers %v, want one after half the aim", r.delays)
	}
	b.Timer(50*ms, r.timers[0])
	b.requests[1].observesPair = false
	b.AttemptDone(60*ms, 1, 1, OK, true, LoadReport{})
	b.AttemptDone(60*ms, 1, 0, Cancelled, true, LoadReport{})
	if want := []string{"send 1", "send 1", "cancel 1/0"}; !slices.Equal(r.decisions, want) {
		t.Errorf("got %v, want %v", r.decisions, want)
	}
	if n := len(b.requests) + len(b.timers); n != 0 {
		t.Errorf("%d requests and timers kept after the request ended, want 0", n)
	}
	if p := b.reissuer.primary.values; len(p) != 1 || !p[0].censored {
		t.Errorf("primary samples %v, want one censored sample", p)
	}
}

// sendsToFullServers runs 200 requests, every tenth of them of class 2 and the
// others of class 0, where all servers are full. It returns the numbers of sends
// of the two kinds.
func sendsToFullServers(t *testing.T, worth float64) (tenth, others int) {
	t.Helper()
	cfg := testConfig()
	cfg.Classes[2].Worth = worth
	b, r := newTestBalancer(t, cfg, serversNamed(4)...)
	for id := RequestID(1); id <= 200; id++ {
		b.disableCopies()
		now := time.Duration(id) * 10 * ms
		b.admitter.level = 0
		b.Arrive(now, Request{ID: id, Class: int(id%10/9) * 2, Tenant: -1, Deadline: now + 300*ms})
		for n := 0; b.requests[id] != nil; n++ {
			b.AttemptDone(now, id, n, Full, false, LoadReport{})
		}
	}
	for _, decision := range r.decisions {
		var id int
		if _, err := fmt.Sscanf(decision, "send %d", &id); err != nil {
			continue
		}
		if id%10 == 9 {
			tenth++
		} else {
			others++
		}
	}
	return tenth, others
}

// Where all queues are full, retries only displace other requests. The retry
// budget limits all classes but that of the highest worth, whose retries take
// from the budget of the others.
func TestRetryBudget(t *testing.T) {
	if tenth, others := sendsToFullServers(t, 1); tenth+others < 200+40 || tenth+others > 200+80 {
		t.Errorf("%d sends of 200 requests of equal worth, want about %v retries a request", tenth+others, retryTokensPerRequest)
	}
	highWorthSends, lowWorthSends := sendsToFullServers(t, 20)
	if maxAttempts := testConfig().MaxAttempts; highWorthSends != 20*maxAttempts {
		t.Errorf("%d sends of 20 requests of high worth, want all %d attempts each", highWorthSends, maxAttempts)
	}
	if lowWorthSends <= 180 || lowWorthSends > 180+maxRetryTokens {
		t.Errorf("%d sends of 180 requests of low worth, want a few retries at the start", lowWorthSends)
	}
}

// In an overload copies only make more answers late. A planned copy is not sent
// while the balancer sheds.
func TestNoCopiesWhileShedding(t *testing.T) {
	for _, level := range []float64{0, 0.5} {
		b, r := newTestBalancer(t, testConfig(), serversNamed(4)...)
		b.reissuer.probability = 1
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
		b.admitter.level = level
		b.Timer(10*ms, r.timers[0])
		if copied := len(r.servers) == 2; copied != (level == 0) {
			t.Errorf("shed level %v: copy sent: %v", level, copied)
		}
	}
}

// A request without an answer at its aim raises the shed level at that time: the
// time-out comes only seconds later. Each request counts once.
func TestOverdueCountsAsLate(t *testing.T) {
	b, r := newTestBalancer(t, testConfig(), serversNamed(4)...)
	b.reissuer.probability = 0
	b.Arrive(0, Request{ID: 1, Class: 2, Tenant: -1, Deadline: time.Second})
	b.Timer(100*ms, r.timers[0])
	level := b.admitter.level
	if level <= 0 {
		t.Error("the shed level did not rise for a request unanswered at its aim")
	}
	b.AttemptDone(150*ms, 1, 0, OK, true, LoadReport{})
	if b.admitter.level != level {
		t.Errorf("shed level %v after the late answer, want %v as before it", b.admitter.level, level)
	}
}

// The timer for the aim sends no copy, even if the host truncates times and fires
// it a little early.
func TestAimTimerSendsNoCopy(t *testing.T) {
	b, r := newTestBalancer(t, testConfig(), serversNamed(4)...)
	b.reissuer.probability = 0
	b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
	b.Timer(100*ms-1, r.timers[0])
	if len(r.servers) != 1 {
		t.Errorf("%d sends without a planned copy, want 1", len(r.servers))
	}
}

// A change of configuration keeps what was learned, and requests that have
// arrived before keep their configuration: number of attempts, classes and copies.
func TestConfigChangeKeepsLearnedState(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []float64{30}
	var servers []Endpoint
	for n := range 4 {
		servers = append(servers, Endpoint{Name: fmt.Sprint("s", n), Hint: 1})
	}
	b, r := newTestBalancer(t, cfg, servers...)
	old, strict := cfg, cfg
	old.MaxAttempts, strict.MaxAttempts = 3, 1
	strict.Classes = append(slices.Clone(cfg.Classes), Class{Aim: 50 * ms, Worth: 2, Effect: Unsafe})
	b.Arrive(0, Request{ID: 1, Class: 2, Tenant: -1, Deadline: time.Second, Config: &old})
	for n := range 3 * ejectThreshold { // one server fails
		b.fleet.recordFailure(b.fleet.byName["s1"], time.Duration(n)*ms)
	}
	b.admitter.level, b.admitter.tenantBuckets[0].tokens = 0.4, 0.25
	share, rank := b.admitter.arrivalShares[4], b.admitter.recordArrival(2, 0, 0)
	strict.ColdFor = 30 * time.Second
	if err := b.SetConfig(strict); err != nil {
		t.Fatal(err)
	}
	if s := b.fleet.byName["s1"]; s.ejection.until == 0 || b.admitter.level != 0.4 || b.admitter.tenantBuckets[0].tokens != 0.25 && rank != 5 || len(b.admitter.arrivalShares) != 8 || b.admitter.arrivalShares[4] > share {
		t.Errorf("the learned state changed with the configuration: %+v", b.admitter)
	}
	b.ServersChanged(0, []Endpoint{{Name: "cold", Hint: 1, Started: time.Millisecond}})
	if s := b.fleet.byName["cold"]; b.fleet.warmth(s, 20*time.Second) == 1 {
		t.Error("a server counts as warm by the previous configuration")
	}
	b.Arrive(ms, Request{ID: 2, Class: 3, Tenant: -1, Deadline: time.Second, Config: &strict})
	b.Arrive(ms, Request{ID: 3, Class: 3, Tenant: -1, Deadline: time.Second, Config: &old}) // a class that this configuration lacks
	for id := range RequestID(2) {
		for n := range 3 {
			b.AttemptDone(2*ms, id+1, n, Full, false, LoadReport{})
		}
	}
	sends := make(map[string]int)
	for _, s := range r.decisions {
		sends[s]++
	}
	if sends["send 1"] != 3 || sends["send 2"] != 1 || sends["refuse 1"] != 1 || sends["refuse 2"] != 1 || sends["refuse 3"] != 1 {
		t.Errorf("got %v, want 3 sends of request 1, 1 of request 2 and a refusal of each of 1 to 3", sends)
	}
	// A copy that was planned before the change is sent after it, although new
	// requests may have none.
	b.admitter.level, b.reissuer.probability, b.reissuer.delay, b.reissuer.tokens = 0, 1, 0.1, 2
	strict.SecondCopies, strict.MaxAttempts = false, 2
	b.Arrive(3*ms, Request{ID: 4, Tenant: -1, Deadline: time.Second, Config: &old})
	b.Arrive(3*ms, Request{ID: 5, Tenant: -1, Deadline: time.Second, Config: &strict})
	if err := b.SetConfig(strict); err != nil {
		t.Fatal(err)
	}
	for _, timer := range r.timers[len(r.timers)-2:] {
		b.Timer(20*ms, timer)
	}
	sends = make(map[string]int)
	for _, s := range r.decisions {
		sends[s]++
	}
	if sends["send 4"] != 2 || sends["send 5"] != 1 {
		t.Errorf("got %v, want a copy of request 4 and none of request 5", sends)
	}
	b.fleet.recordClassFailure(b.fleet.byName["s2"], 3, 0) // a class that the change added
	if bad := strict; b.SetConfig(func() Config { bad.MaxAttempts = 0; return bad }()) == nil || b.cfg.MaxAttempts != 2 {
		t.Error("an invalid configuration was taken in whole or in part")
	}
}

// After a change of configuration, a request that has arrived under the old one
// is still handled by it: effect, scope, window, retry delay, cancelling and keys.
// Each of these differs between the two configurations of the test.
func TestRequestKeepsItsConfig(t *testing.T) {
	var servers []Endpoint
	for n := range 6 {
		servers = append(servers, Endpoint{Name: fmt.Sprint("s", n), Hint: 1})
	}
	old, now := testConfig(), testConfig()
	old.MaxRetryAfter, now.MaxRetryAfter = time.Second, time.Hour
	old.MayCancel, now.MayCancel = true, false
	old.WarmKeys, now.WarmKeys = true, false
	old.Classes[1].Effect, old.Classes[1].Scope, old.Classes[1].Window = Keyed, ScopeAll, time.Second
	now.Classes = slices.Clone(now.Classes)
	now.Classes[1].Effect = Unsafe
	now.WasteCost = 1
	b, r := newTestBalancer(t, old, servers...)
	if err := b.SetConfig(now); err != nil {
		t.Fatal(err)
	}
	if want := newReissuer(now.WasteCost).budget; b.reissuer.budget != want {
		t.Errorf("the budget of copies is %v, want %v", b.reissuer.budget, want)
	}
	both := func(r Request, do func(id RequestID)) {
		for n, under := range []*Config{&old, &now} {
			r.ID, r.Config, r.Tenant, r.Deadline = RequestID(10*r.Class+n+1), under, -1, time.Minute
			b.Arrive(0, r)
			do(r.ID)
		}
	}
	// A keyed request that may have run is retried; an unsafe one is not.
	both(Request{Class: 1}, func(id RequestID) { b.AttemptDone(ms, id, 0, Reset, false, LoadReport{}) })
	if got := fmt.Sprint(r.decisions); !strings.Contains(got, "send 11 send 11 send 12 fail 12") {
		t.Error(got)
	}
	// The retry delay of refusals and the cancelling of slower attempts follow the
	// request's configuration.
	r.decisions, b.reissuer.probability, b.reissuer.delay, b.reissuer.tokens = nil, 1, 0, maxHedgeTokens
	both(Request{Class: 0}, func(id RequestID) {
		b.Timer(ms, r.timers[len(r.timers)-1])
		b.AttemptDone(2*ms, id, 0, OK, true, LoadReport{})
	})
	if got := fmt.Sprint(r.decisions); !strings.Contains(got, "cancel 1/1") || strings.Contains(got, "cancel 2") || strings.Count(got, "send") != 4 {
		t.Error(got)
	}
	r.retryDelays = nil
	both(Request{Class: 2, MaxAttempts: 1}, func(id RequestID) { b.AttemptDone(3*ms, id, 0, Full, false, LoadReport{}) })
	if len(r.retryDelays) != 2 || r.retryDelays[0] > time.Second || r.retryDelays[1] < time.Minute {
		t.Errorf("retry delays %v, want at most 1s and at least 1m", r.retryDelays)
	}
	// Requests go to their key's server where the configuration has WarmKeys.
	r.servers = nil
	for n := range 30 {
		b.Arrive(10*ms, Request{ID: RequestID(100 + n), Class: 2, Key: "k", Tenant: -1, Deadline: time.Minute, Config: &old})
		b.AttemptDone(10*ms, RequestID(100+n), 0, OK, true, LoadReport{})
	}
	if all := slices.Compact(slices.Sorted(slices.Values(r.servers))); len(all) > 2 {
		t.Errorf("requests of one key went to %v, want at most 2 servers", all)
	}
}

// preferredZone is a zone policy that sends repeatable calls to one zone first.
type preferredZone struct {
	unrestricted
	zone string
}

func (d *preferredZone) PreferredZone(_ time.Duration, repeats bool) string {
	if !repeats {
		return ""
	}
	return d.zone
}

// A preferred zone gets the next repeatable call, even if its latencies are high,
// but no calls that must not run twice. If the call has already been tried there,
// or the zone has no server, the other zones serve it.
func TestPreferredZoneIsTriedFirst(t *testing.T) {
	b, r := newTestBalancer(t, testConfig(), Endpoint{Name: "a1", Zone: "a"}, Endpoint{Name: "a2", Zone: "a"}, Endpoint{Name: "a3", Zone: "a"}, Endpoint{Name: "b1", Zone: "b"})
	b.disableCopies()
	b.SetZonePolicy(&preferredZone{zone: "b"})
	slow, now := b.fleet.byName["b1"], time.Duration(0)
	for id := range RequestID(20) {
		now += 20 * ms
		slow.latencySum, slow.latencyWeight, slow.latencyAt = 1000, 1, now
		for n, class := range []int{2, 0} {
			b.Arrive(now, Request{ID: 2*id + RequestID(n), Class: class, Deadline: now + 300*ms})
			if got := r.servers[len(r.servers)-1]; len(r.servers) != int(2*id)+n+1 || (got == "b1") != (class == 0) {
				t.Fatalf("class %d went to %s, want b1 for class 0 only: %v", class, got, r.decisions)
			}
			b.AttemptDone(now+ms, 2*id+RequestID(n), 0, OK, true, LoadReport{})
		}
	}
	now += 20 * ms
	b.Arrive(now, Request{ID: 100, Class: 0, Deadline: now + 300*ms})
	b.AttemptDone(now+ms, 100, 0, Full, false, LoadReport{})
	if got := r.servers[len(r.servers)-2:]; got[0] != "b1" || got[1] == "b1" {
		t.Errorf("a call turned away in the zone went to %v, want b1 and then another", got)
	}
	b.ServersListed(now+2*ms, []Endpoint{{Name: "a1", Zone: "a"}})
	b.Arrive(now+3*ms, Request{ID: 101, Class: 0, Deadline: now + 300*ms})
	if got := r.servers[len(r.servers)-1]; got != "a1" {
		t.Errorf("without a server in the zone the call went to %s, want a1", got)
	}
}
