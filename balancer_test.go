package chalkrack

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// recorder is a Host that writes down what it is asked.
type recorder struct {
	got     []string
	servers []string // by send
	timers  []uint64
	delays  []time.Duration
	after   []time.Duration // of refusals
}

func (r *recorder) say(format string, args ...any) {
	r.got = append(r.got, fmt.Sprintf(format, args...))
}
func (r *recorder) Send(id RequestID, server string, _ time.Duration) {
	r.servers = append(r.servers, server)
	r.say("send %d", id)
}
func (r *recorder) Cancel(id RequestID, n int) { r.say("cancel %d/%d", id, n) }
func (r *recorder) Refuse(id RequestID, after time.Duration) {
	r.after = append(r.after, after)
	r.say("refuse %d", id)
}
func (r *recorder) Fail(id RequestID)       { r.say("fail %d", id) }
func (r *recorder) CloseIdle(server string) {}
func (r *recorder) Probe(server string)     { r.say("probe %s", server) }
func (r *recorder) Subscribe()              { r.say("subscribe") }
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

func newTest(t *testing.T, cfg Config, servers ...Endpoint) (*Balancer, *recorder) {
	t.Helper()
	r := new(recorder)
	b, err := New(cfg, 1, r)
	if err != nil {
		t.Fatal(err)
	}
	b.ServersListed(0, servers)
	return b, r
}

// without copies: the draw for one always fails.
func (b *Balancer) noCopies() { b.reissue.q = 0 }

func TestFurtherAttempts(t *testing.T) {
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
			b, r := newTest(t, testConfig(), c.servers...)
			b.noCopies()
			b.Arrive(0, Request{ID: 1, Class: c.class, Deadline: 300 * ms})
			b.Done(c.at, 1, 0, c.o, false, Report{})
			if !slices.Equal(r.got, c.want) {
				t.Errorf("got %v, want %v", r.got, c.want)
			}
			if len(r.servers) == 2 && r.servers[0] == r.servers[1] {
				t.Errorf("both attempts went to %s", r.servers[0])
			}
		})
	}
}

// Where only probes tell loads, a request waits for its probes and then goes to
// the less loaded server; where that one cannot answer within the aim, it is
// refused at once. Without, quiet balancers fed jams that they could not see.
func TestProbesFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Probes = true
	b, r := newTest(t, cfg, Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.noCopies()
	arrive := func(id RequestID, deadline time.Duration, a, bb float64) {
		r.got, r.delays = nil, nil
		b.Arrive(0, Request{ID: id, Deadline: deadline})
		if len(r.got) != probesEach {
			t.Fatalf("asked %v on arrival, want %d probes", r.got, probesEach)
		}
		b.Probed(0, "a", Report{HasInFlight: true, InFlight: a})
		b.Probed(0, "b", Report{HasInFlight: true, InFlight: bb})
		b.Probed(0, "gone", Report{})
		r.got = nil
		b.Timer(0, r.timers[len(r.timers)-1])
	}
	for id := RequestID(1); id <= 10; id++ {
		arrive(id, 300*ms, 5, 0)
		if got := r.servers[id-1]; got != "b" {
			t.Errorf("request %d went to the loaded %s", id, got)
		}
		b.Done(20*ms, id, 0, OK, true, Report{})
	}
	arrive(11, 300*ms, 90, 90)
	if !slices.Equal(r.got, []string{"refuse 11"}) {
		t.Errorf("got %v where the aim is out of reach, want a refusal", r.got)
	}
	arrive(12, 2*ms, 0, 0)
	if r.delays[0] > ms {
		t.Errorf("waits %v for probes with 2 ms left", r.delays[0])
	}
}

// Probes that cost more than they can win are not sent.
func TestDearProbes(t *testing.T) {
	cfg := testConfig()
	cfg.Probes, cfg.ProbeCost = true, 2*probePrice/probesEach
	b, r := newTest(t, cfg, Endpoint{Name: "a"})
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if !slices.Contains(r.got, "send 1") {
		t.Errorf("got %v, want a send at once", r.got)
	}
}

func TestHedgeAndCancel(t *testing.T) {
	b, r := newTest(t, testConfig(), Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.reissue.q, b.reissue.d, b.reissue.tokens = 1, 0.5, 3
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if len(r.delays) != 1 || r.delays[0] != 50*ms {
		t.Fatalf("timers %v, want one after half the aim", r.delays)
	}
	b.Timer(50*ms, r.timers[0])
	b.requests[1].wholePair = false
	b.Done(60*ms, 1, 1, OK, true, Report{})
	b.Done(60*ms, 1, 0, Cancelled, true, Report{})
	if want := []string{"send 1", "send 1", "cancel 1/0"}; !slices.Equal(r.got, want) {
		t.Errorf("got %v, want %v", r.got, want)
	}
	if n := len(b.requests) + len(b.timers); n != 0 {
		t.Errorf("%d requests and timers kept after the end", n)
	}
	if p := b.reissue.primary.buf; len(p) != 1 || !p[0].censored {
		t.Errorf("primary log %v, want one censored sample", p)
	}
}

// turnedAway plays 200 requests, each of which meets full servers only, every tenth of
// class 2, and counts the sends of those and of the others.
func turnedAway(t *testing.T, worth float64) (tenth, others int) {
	t.Helper()
	cfg := testConfig()
	cfg.Classes[2].Worth = worth
	b, r := newTest(t, cfg, fleetOf(4)...)
	for id := RequestID(1); id <= 200; id++ {
		b.noCopies()
		now := time.Duration(id) * 10 * ms
		b.admit.level = 0
		b.Arrive(now, Request{ID: id, Class: int(id%10/9) * 2, Tenant: -1, Deadline: now + 300*ms})
		for n := 0; b.requests[id] != nil; n++ {
			b.Done(now, id, n, Full, false, Report{})
		}
	}
	for _, did := range r.got {
		var id int
		if _, err := fmt.Sscanf(did, "send %d", &id); err != nil {
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

// A retry budget binds all but the dearest: where all queues are full, retries
// only push others out. What the dearest use of it is not there for the cheap.
func TestRetryBudget(t *testing.T) {
	if tenth, others := turnedAway(t, 1); tenth+others < 200+40 || tenth+others > 200+80 {
		t.Errorf("%d sends of 200 requests of one worth, want about %v retries a request", tenth+others, retryBudget)
	}
	dear, cheap := turnedAway(t, 20)
	if most := testConfig().MaxAttempts; dear != 20*most {
		t.Errorf("%d sends of 20 dear requests, want all %d attempts each", dear, most)
	}
	if cheap <= 180 || cheap > 180+retriesMax {
		t.Errorf("%d sends of 180 cheap requests, want a few retries at the start", cheap)
	}
}

// In an overload copies only add to what comes late: while the balancer sheds, a
// planned copy is not sent.
func TestNoCopiesWhileShedding(t *testing.T) {
	for _, level := range []float64{0, 0.5} {
		b, r := newTest(t, testConfig(), fleetOf(4)...)
		b.reissue.q = 1
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
		b.admit.level = level
		b.Timer(10*ms, r.timers[0])
		if copied := len(r.servers) == 2; copied != (level == 0) {
			t.Errorf("level %v: copied %v", level, copied)
		}
	}
}

// A jam must be heard of at the aim, not only by the time-outs seconds later, and
// each request counts once.
func TestOverdueCountsAsLate(t *testing.T) {
	b, r := newTest(t, testConfig(), fleetOf(4)...)
	b.reissue.q = 0
	b.Arrive(0, Request{ID: 1, Class: 2, Tenant: -1, Deadline: time.Second})
	b.Timer(100*ms, r.timers[0])
	level := b.admit.level
	if level <= 0 {
		t.Error("unanswered at its aim: the shed level did not rise")
	}
	b.Done(150*ms, 1, 0, OK, true, Report{})
	if b.admit.level != level {
		t.Errorf("level %v after the late answer, want still %v", b.admit.level, level)
	}
}

// The timer at the aim is never one for a copy, not even from a host whose clock
// cuts fractions off and fires a little early.
func TestAimTimerSendsNoCopy(t *testing.T) {
	b, r := newTest(t, testConfig(), fleetOf(4)...)
	b.reissue.q = 0
	b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
	b.Timer(100*ms-1, r.timers[0])
	if len(r.servers) != 1 {
		t.Errorf("%d sends without a copy drawn, want 1", len(r.servers))
	}
}

// Another configuration in the middle goes on with what was learned, and a request keeps
// the one that it came under: its attempts, its class, its copies.
func TestAdopt(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []float64{30}
	var servers []Endpoint
	for n := range 4 {
		servers = append(servers, Endpoint{Name: fmt.Sprint("s", n), Hint: 1})
	}
	b, r := newTest(t, cfg, servers...)
	old, strict := cfg, cfg
	old.MaxAttempts, strict.MaxAttempts = 3, 1
	strict.Classes = append(slices.Clone(cfg.Classes), Class{Aim: 50 * ms, Worth: 2, Effect: Unsafe})
	b.Arrive(0, Request{ID: 1, Class: 2, Tenant: -1, Deadline: time.Second, Under: &old})
	for n := range 3 * ejectAfter { // one server fails
		b.fleet.failed(b.fleet.byName["s1"], time.Duration(n)*ms)
	}
	b.admit.level, b.admit.tenants[0].tokens = 0.4, 0.25
	share, rank := b.admit.share[4], b.admit.arrived(2, 0, 0)
	strict.ColdFor = 30 * time.Second
	if err := b.Adopt(strict); err != nil {
		t.Fatal(err)
	}
	if s := b.fleet.byName["s1"]; s.out.until == 0 || b.admit.level != 0.4 || b.admit.tenants[0].tokens != 0.25 && rank != 5 || len(b.admit.share) != 8 || b.admit.share[4] > share {
		t.Errorf("what was learned is gone: %+v", b.admit)
	}
	b.ServersChanged(0, []Endpoint{{Name: "cold", Hint: 1, Started: time.Millisecond}})
	if s := b.fleet.byName["cold"]; b.fleet.warmth(s, 20*time.Second) == 1 {
		t.Error("a server is warm by the rules before")
	}
	b.Arrive(ms, Request{ID: 2, Class: 3, Tenant: -1, Deadline: time.Second, Under: &strict})
	b.Arrive(ms, Request{ID: 3, Class: 3, Tenant: -1, Deadline: time.Second, Under: &old}) // it knows no such class
	for id := range RequestID(2) {
		for n := range 3 {
			b.Done(2*ms, id+1, n, Full, false, Report{})
		}
	}
	sends := make(map[string]int)
	for _, s := range r.got {
		sends[s]++
	}
	if sends["send 1"] != 3 || sends["send 2"] != 1 || sends["refuse 1"] != 1 || sends["refuse 2"] != 1 || sends["refuse 3"] != 1 {
		t.Errorf("%v", sends)
	}
	// A copy that was planned before is sent after: the request may have one, though no new
	// one may.
	b.admit.level, b.reissue.q, b.reissue.d, b.reissue.tokens = 0, 1, 0.1, 2
	strict.SecondCopies, strict.MaxAttempts = false, 2
	b.Arrive(3*ms, Request{ID: 4, Tenant: -1, Deadline: time.Second, Under: &old})
	b.Arrive(3*ms, Request{ID: 5, Tenant: -1, Deadline: time.Second, Under: &strict})
	if err := b.Adopt(strict); err != nil {
		t.Fatal(err)
	}
	for _, timer := range r.timers[len(r.timers)-2:] {
		b.Timer(20*ms, timer)
	}
	sends = make(map[string]int)
	for _, s := range r.got {
		sends[s]++
	}
	if sends["send 4"] != 2 || sends["send 5"] != 1 {
		t.Errorf("copies: %v", sends)
	}
	b.fleet.classFailed(b.fleet.byName["s2"], 3, 0) // of a class that came with the change
	if bad := strict; b.Adopt(func() Config { bad.MaxAttempts = 0; return bad }()) == nil || b.cfg.MaxAttempts != 2 {
		t.Error("a bad configuration is taken, or half of it")
	}
}

// What of a request goes by the configuration that it came under, after another has been
// adopted: each is other in the two.
func TestRulesOfTheRequest(t *testing.T) {
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
	b, r := newTest(t, old, servers...)
	if err := b.Adopt(now); err != nil {
		t.Fatal(err)
	}
	if want := newReissuer(now.WasteCost).budget; b.reissue.budget != want {
		t.Errorf("the budget of copies is %v, want %v", b.reissue.budget, want)
	}
	both := func(r Request, do func(id RequestID)) {
		for n, under := range []*Config{&old, &now} {
			r.ID, r.Under, r.Tenant, r.Deadline = RequestID(10*r.Class+n+1), under, -1, time.Minute
			b.Arrive(0, r)
			do(r.ID)
		}
	}
	// A keyed one that may have run goes on; one that must run once does not.
	both(Request{Class: 1}, func(id RequestID) { b.Done(ms, id, 0, Reset, false, Report{}) })
	if got := fmt.Sprint(r.got); !strings.Contains(got, "send 11 send 11 send 12 fail 12") {
		t.Error(got)
	}
	// Refusals say when to come back, and losers are cancelled, where each says so.
	r.got, b.reissue.q, b.reissue.d, b.reissue.tokens = nil, 1, 0, hedgeTokensMax
	both(Request{Class: 0}, func(id RequestID) {
		b.Timer(ms, r.timers[len(r.timers)-1])
		b.Done(2*ms, id, 0, OK, true, Report{})
	})
	if got := fmt.Sprint(r.got); !strings.Contains(got, "cancel 1/1") || strings.Contains(got, "cancel 2") || strings.Count(got, "send") != 4 {
		t.Error(got)
	}
	r.after = nil
	both(Request{Class: 2, Attempts: 1}, func(id RequestID) { b.Done(3*ms, id, 0, Full, false, Report{}) })
	if len(r.after) != 2 || r.after[0] > time.Second || r.after[1] < time.Minute {
		t.Errorf("to come back after %v", r.after)
	}
	// Keys draw to their server only where they are warm.
	r.servers = nil
	for n := range 30 {
		b.Arrive(10*ms, Request{ID: RequestID(100 + n), Class: 2, Key: "k", Tenant: -1, Deadline: time.Minute, Under: &old})
		b.Done(10*ms, RequestID(100+n), 0, OK, true, Report{})
	}
	if all := slices.Compact(slices.Sorted(slices.Values(r.servers))); len(all) > 2 {
		t.Errorf("one key went to %v", all)
	}
}

// dueZone has the next call that may be repeated see a zone first.
type dueZone struct {
	open
	zone string
}

func (d *dueZone) Due(_ time.Duration, repeats bool) string {
	if !repeats {
		return ""
	}
	return d.zone
}

// What is due is seen first, however bad it looks, and not by what may not run twice. Where it
// can't be, for a call's attempts have been there or it has no server, the others serve.
func TestZoneThatIsDue(t *testing.T) {
	b, r := newTest(t, testConfig(), Endpoint{Name: "a1", Zone: "a"}, Endpoint{Name: "a2", Zone: "a"}, Endpoint{Name: "a3", Zone: "a"}, Endpoint{Name: "b1", Zone: "b"})
	b.noCopies()
	b.SetZones(&dueZone{zone: "b"})
	bad, now := b.fleet.byName["b1"], time.Duration(0)
	for id := range RequestID(20) {
		now += 20 * ms
		bad.latSum, bad.latN, bad.latAt = 1000, 1, now
		for n, class := range []int{2, 0} {
			b.Arrive(now, Request{ID: 2*id + RequestID(n), Class: class, Deadline: now + 300*ms})
			if got := r.servers[len(r.servers)-1]; len(r.servers) != int(2*id)+n+1 || (got == "b1") != (class == 0) {
				t.Fatalf("class %d went to %s: %v", class, got, r.got)
			}
			b.Done(now+ms, 2*id+RequestID(n), 0, OK, true, Report{})
		}
	}
	now += 20 * ms
	b.Arrive(now, Request{ID: 100, Class: 0, Deadline: now + 300*ms})
	b.Done(now+ms, 100, 0, Full, false, Report{})
	if got := r.servers[len(r.servers)-2:]; got[0] != "b1" || got[1] == "b1" {
		t.Errorf("turned away there it went to %v", got)
	}
	b.ServersListed(now+2*ms, []Endpoint{{Name: "a1", Zone: "a"}})
	b.Arrive(now+3*ms, Request{ID: 101, Class: 0, Deadline: now + 300*ms})
	if got := r.servers[len(r.servers)-1]; got != "a1" {
		t.Errorf("without a server of the zone it went to %s", got)
	}
}
