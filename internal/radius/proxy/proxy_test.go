package proxy

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/duration"
	"chalkrack/internal/features"
	"chalkrack/internal/standin"
	"go.uber.org/goleak"
	lr "layeh.com/radius"
	"layeh.com/radius/rfc2865"
	"layeh.com/radius/rfc3576"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

const patience = 30 * time.Second

const (
	terminals = "of the terminals"
	ofServer  = "of server "
)

func ms(n int) duration.Duration { return duration.Duration(time.Duration(n) * time.Millisecond) }

func section() features.Radius {
	r := features.Default().Radius
	r.Enabled, r.Auth, r.Acct = true, "127.0.0.1:0", "127.0.0.1:0"
	r.Clients = []features.RadiusClient{{Name: "terminals", Range: "127.0.0.0/8", Secret: terminals}}
	r.Access.Aim, r.Access.Deadline, r.Access.AttemptTimeout = ms(5000), ms(10000), ms(600)
	r.Accounting.Aim, r.Accounting.Deadline, r.Accounting.AttemptTimeout, r.Accounting.ResendDelay = ms(5000), ms(10000), ms(9000), ms(100)
	return r
}

// rig is a proxy before some servers.
type rig struct {
	t       testing.TB
	ledger  *standin.RadiusLedger
	servers []*standin.RadiusServer
	p       *Proxy
}

func base() chalkrack.Config {
	return chalkrack.Config{Instances: 1, MaxRetryAfter: time.Second}
}

func start(t testing.TB, servers int, change func(*features.Radius)) *rig {
	t.Helper()
	r := &rig{t: t, ledger: standin.NewRadiusLedger()}
	sec := section()
	for n := range servers {
		name := fmt.Sprint("r", n+1)
		s, err := standin.NewRadiusServer(name, ofServer+name, r.ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		r.servers = append(r.servers, s)
		sec.Servers = append(sec.Servers, features.RadiusServer{Name: name, Auth: s.Addr(), Acct: s.Addr(), Secret: features.Secret(ofServer + name)})
	}
	if change != nil {
		change(&sec)
	}
	var err error
	if r.p, err = New(Config{Radius: sec, Base: base(), Grace: 2 * time.Second, Seed: 1}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.p.Close)
	return r
}

func (r *rig) all(act func(standin.RadiusSeen) standin.RadiusAct) {
	for _, s := range r.servers {
		s.Do(act)
	}
}

func always(k standin.RadiusKind) func(standin.RadiusSeen) standin.RadiusAct {
	return func(standin.RadiusSeen) standin.RadiusAct { return standin.RadiusAct{Kind: k} }
}

func (r *rig) client(accounting bool) *standin.RadiusClient {
	return standin.NewRadiusClient(r.p.Addr(accounting).String(), terminals, "")
}

func access(user string) standin.RadiusAsk {
	return standin.RadiusAsk{User: user, Password: "pin of " + user, NAS: "shop", Tries: 1, Each: 8 * time.Second}
}

var began = time.Unix(1790000000, 0)

func event(session string, status uint32) standin.RadiusAsk {
	return standin.RadiusAsk{NAS: "shop", Session: session, Status: status, At: began, Tries: 1, Each: 8 * time.Second}
}

func eventName(session string, status uint32) string {
	return fmt.Sprintf("shop %s %d %d", session, status, began.Unix())
}

func settle(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// A call through the proxy: the server sees the password, the terminal a good answer,
// and its own Proxy-State alone.
func TestAccessAndAccounting(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("calls", func(t *testing.T) {
		r := start(t, 2, nil)
		var seen standin.RadiusSeen
		var mu sync.Mutex
		r.all(func(s standin.RadiusSeen) standin.RadiusAct {
			mu.Lock()
			defer mu.Unlock()
			seen = s
			if strings.HasPrefix(s.Name, "bad") {
				return standin.RadiusAct{Kind: standin.RadiusReject}
			}
			return standin.RadiusAct{}
		})
		reply := r.client(false).Do(access("nemo"))
		mu.Lock()
		password := seen.Password
		mu.Unlock()
		if reply.Code != lr.CodeAccessAccept || password != "pin of nemo" {
			t.Errorf("%+v, password %q", reply, password)
		}
		if states, _ := rfc2865.ProxyState_Gets(reply.Packet); len(states) != 1 || string(states[0]) != "of the terminal" {
			t.Errorf("states %q", states)
		}
		if reply := r.client(false).Do(access("bad")); reply.Code != lr.CodeAccessReject {
			t.Errorf("%+v", reply)
		}
		if reply := r.client(true).Do(event("s1", 1)); reply.Code != lr.CodeAccountingResponse || r.ledger.Of(eventName("s1", 1)) != (standin.RadiusCount{Packets: 1, Attempts: 1, Effects: 1}) {
			t.Errorf("%+v, %+v", reply, r.ledger.Of(eventName("s1", 1)))
		}
		settle(t, "held", func() bool { return r.p.Held() == 0 })
	})
}

// A terminal's retransmission joins the call that is under way, whatever port it comes
// from, and gets the remembered answer afterwards: the servers see one call.
func TestRetransmission(t *testing.T) {
	r := start(t, 3, nil)
	r.all(func(standin.RadiusSeen) standin.RadiusAct { return standin.RadiusAct{Delay: 120 * time.Millisecond} })
	for n, change := range []func(*standin.RadiusAsk){func(*standin.RadiusAsk) {}, func(a *standin.RadiusAsk) { a.NewPort = true }} {
		a := access(fmt.Sprint("u", n))
		a.Tries, a.Each = 100, 20*time.Millisecond
		change(&a)
		if reply := r.client(false).Do(a); reply.Code != lr.CodeAccessAccept || reply.Packets < 2 {
			t.Errorf("%+v", reply)
		}
		if c := r.ledger.Of(a.User); c.Attempts != 1 {
			t.Errorf("%+v", c)
		}
	}
	l, _ := r.p.Counts(false)
	if l.Calls != 2 || l.Joined == 0 {
		t.Errorf("%+v", l)
	}
	// The same packet again, long after: from memory.
	c := r.client(false)
	wire := c.Packet(access("again"), 9, [16]byte{1, 2, 3}, 0)
	for range 3 {
		if reply := c.Exchange(wire, patience); reply.Code != lr.CodeAccessAccept {
			t.Errorf("%+v", reply)
		}
	}
	l, _ = r.p.Counts(false)
	if n := r.ledger.Of("again").Attempts; n != 1 || l.Remembered < 2 { // a packet of the calls above may have come late
		t.Errorf("%d attempts, %+v", n, l)
	}
}

// What joins a call is answered where it came from last, and as the packet that it was:
// from another port, and, for an event, under another identifier.
func TestJoinedAnswer(t *testing.T) {
	r := start(t, 1, func(s *features.Radius) { s.Access.AttemptTimeout, s.Accounting.MaxResends = ms(5000), 0 })
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) }) // before the servers end
	r.all(func(standin.RadiusSeen) standin.RadiusAct {
		<-hold
		return standin.RadiusAct{}
	})
	packets := func(c *standin.RadiusClient, a standin.RadiusAsk, id byte) (first, second []byte) {
		first = c.Packet(a, 1, [16]byte{1}, 0)
		if id == 1 {
			return first, first
		}
		return first, c.Packet(a, id, [16]byte{1}, 3*time.Second)
	}
	for name, c := range map[string]struct {
		accounting bool
		ask        standin.RadiusAsk
		id         byte
	}{"port": {false, access("u"), 1}, "event": {true, event("s1", 1), 2}} {
		client := r.client(c.accounting)
		first, second := packets(client, c.ask, c.id)
		client.Throw(first)
		settle(t, "taken", func() bool { l, _ := r.p.Counts(c.accounting); return l.Calls == 1 })
		got := make(chan standin.RadiusReply)
		go func() { got <- client.Exchange(second, patience) }()
		settle(t, "joined", func() bool { l, _ := r.p.Counts(c.accounting); return l.Joined == 1 })
		hold <- struct{}{}
		if reply := <-got; reply.Code == 0 {
			t.Errorf("%s: %+v", name, reply)
		}
	}
}

// Events that were given up go on, when they come again, at the servers that had them.
func TestRetryAtItsServer(t *testing.T) {
	r := start(t, 8, func(s *features.Radius) {
		s.Accounting.Aim, s.Accounting.Deadline, s.Accounting.AttemptTimeout, s.Accounting.MaxResends = ms(100), ms(600), ms(500), 0
	})
	for _, s := range r.servers {
		s.Freeze(true)
	}
	const events = 6
	c := r.client(true)
	for n := range events {
		c.Throw(c.Packet(event(fmt.Sprint("s", n), 1), byte(n), [16]byte{}, 0))
	}
	settle(t, "given up", func() bool { l, _ := r.p.Counts(true); return l.GivenUp == events })
	for _, s := range r.servers {
		s.Freeze(false)
	}
	for n := range events {
		wire := c.Packet(event(fmt.Sprint("s", n), 1), byte(100+n), [16]byte{}, time.Second)
		settle(t, "answered", func() bool { // the module may hold what comes while its server looks ill
			return c.Exchange(wire, 200*time.Millisecond).Code == lr.CodeAccountingResponse
		})
		if c := r.ledger.Of(eventName(fmt.Sprint("s", n), 1)); c.Effects != 1 {
			t.Errorf("%d: %+v", n, c)
		}
	}
	if l, tr := r.p.Counts(true); l.Retried < events || tr.Sent != events || tr.Resent < events {
		t.Errorf("%+v %+v", l, tr)
	}
}

// A further attempt is in flight when the terminal asks again: one answer, no third
// call, and not more attempts than the cap.
func TestRetransmissionDuringRetry(t *testing.T) {
	r := start(t, 4, func(s *features.Radius) { s.Access.AttemptTimeout = ms(400) })
	r.all(func(s standin.RadiusSeen) standin.RadiusAct {
		if s.Nth < 3 {
			return standin.RadiusAct{Kind: standin.RadiusSilent}
		}
		return standin.RadiusAct{Delay: 30 * time.Millisecond}
	})
	a := access("u")
	a.Tries, a.Each = 1000, 10*time.Millisecond
	if reply := r.client(false).Do(a); reply.Code != lr.CodeAccessAccept {
		t.Errorf("%+v", reply)
	}
	if c := r.ledger.Of("u"); c.Attempts != 3 {
		t.Errorf("%+v", c)
	}
	if l, _ := r.p.Counts(false); l.Calls != 1 || l.Joined == 0 {
		t.Errorf("%+v", l)
	}
}

// An accounting event is counted once: under new identifiers, over our own resends, and
// when its server says nothing. Interim updates are events of their own.
func TestAccountingOnce(t *testing.T) {
	r := start(t, 3, func(s *features.Radius) {
		s.Accounting.Deadline, s.Accounting.AttemptTimeout, s.Accounting.ResendDelay, s.Accounting.MaxResends = ms(1500), ms(1400), ms(40), 3
	})
	a := event("s1", 1)
	a.Tries, a.Each, a.NewID = 100, 20*time.Millisecond, true
	r.all(func(standin.RadiusSeen) standin.RadiusAct { return standin.RadiusAct{Delay: 100 * time.Millisecond} })
	if reply := r.client(true).Do(a); reply.Code != lr.CodeAccountingResponse || reply.Packets < 2 {
		t.Errorf("%+v", reply)
	}
	if c := r.ledger.Of(eventName("s1", 1)); c.Attempts != 1 || c.Effects != 1 {
		t.Errorf("with new identifiers: %+v", c)
	}
	if reply := r.client(true).Do(a); reply.Code != lr.CodeAccountingResponse || r.ledger.Of(eventName("s1", 1)).Effects != 1 {
		t.Errorf("after its answer: %+v, %+v", reply, r.ledger.Of(eventName("s1", 1)))
	}
	for n := range 3 {
		u := event("s1", 3)
		u.At = began.Add(time.Duration(n) * time.Minute)
		if reply := r.client(true).Do(u); reply.Code != lr.CodeAccountingResponse {
			t.Errorf("%+v", reply)
		}
	}
	if n := len(r.ledger.All()); n != 4 {
		t.Errorf("%d events, want a start and 3 interim updates", n)
	}

	// Counted, and the answer never comes: given up, and never sent to another server.
	r.all(always(standin.RadiusSilent))
	lost := event("s2", 2)
	answered, _ := r.p.Counts(true)
	r.client(true).Throw(r.client(true).Packet(lost, 1, [16]byte{}, 0))
	settle(t, "given up", func() bool { l, _ := r.p.Counts(true); return l.GivenUp == 1 })
	if l, tr := r.p.Counts(true); l.Answered != answered.Answered || tr.Resent == 0 {
		t.Errorf("%+v %+v", l, tr)
	}
	if c := r.ledger.Of(eventName("s2", 2)); c.Attempts != 1 || c.Effects != 1 {
		t.Errorf("given up: %+v", c)
	}
	// The terminal's own retry goes where it may have been counted, and nowhere else.
	before := make(map[string]int)
	for n := range 5 {
		r.client(true).Do(standin.RadiusAsk{NAS: "shop", Session: "s2", Status: 2, At: began, Tries: 1, Each: 20 * time.Millisecond})
		before[fmt.Sprint(n)]++
	}
	settle(t, "held", func() bool { return r.p.Held() == 0 })
	served := 0
	for _, s := range r.servers {
		if s.Got(eventName("s2", 2)) > 0 {
			served++
		}
	}
	if served != 1 {
		t.Errorf("it reached %d servers", served)
	}
	if l, _ := r.p.Counts(true); l.Retried == 0 {
		t.Errorf("%+v", l)
	}
}

// The next request of a challenge goes to the server that gave it; if that one is gone,
// the conversation fails at once and clearly.
func TestConversation(t *testing.T) {
	r := start(t, 4, func(s *features.Radius) { s.ErrorCause = 502 })
	r.all(always(standin.RadiusChallenge))
	for n := range 12 {
		user := fmt.Sprint("u", n)
		first := r.client(false).Do(access(user))
		if first.Code != lr.CodeAccessChallenge {
			t.Fatalf("%+v", first)
		}
		a := access(user)
		a.State = rfc2865.State_Get(first.Packet)
		second := r.client(false).Do(a)
		if want := "welcome from " + strings.Fields(string(a.State))[2]; second.Code != lr.CodeAccessAccept || rfc2865.ReplyMessage_GetString(second.Packet) != want {
			t.Errorf("%v, want %s", second, want)
		}
	}
	first := r.client(false).Do(access("left"))
	a := access("left")
	a.State = rfc2865.State_Get(first.Packet)
	for _, s := range r.servers {
		if strings.Contains(string(a.State), s.Name) {
			s.Kill()
		}
	}
	began := time.Now()
	second := r.client(false).Do(a)
	if second.Code != lr.CodeAccessReject || time.Since(began) > 5*time.Second || rfc3576.ErrorCause_Get(second.Packet) != 502 {
		t.Errorf("%+v after %v", second, time.Since(began))
	}
	if c := r.ledger.Of("left"); c.Attempts != 1 {
		t.Errorf("%+v", c)
	}
}

// What has run: a refused port never has, silence may have. Access goes on elsewhere in
// both cases, accounting in the first only.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name       string
		do         func(*standin.RadiusServer)
		accounting bool
		answered   bool
		attempts   int
	}{
		{"refused, access", (*standin.RadiusServer).Kill, false, true, 1},
		{"refused, accounting", (*standin.RadiusServer).Kill, true, true, 1},
		{"silent, access", func(s *standin.RadiusServer) { s.Do(always(standin.RadiusSilent)) }, false, true, 2},
		{"silent, accounting", func(s *standin.RadiusServer) { s.Do(always(standin.RadiusSilent)) }, true, false, 1},
		{"unseen, access", func(s *standin.RadiusServer) { s.Freeze(true) }, false, true, 1},
		{"unseen, accounting", func(s *standin.RadiusServer) { s.Freeze(true) }, true, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// One of two servers is so; calls are made until it was chosen first.
			r := start(t, 2, func(s *features.Radius) {
				s.Accounting.Deadline, s.Accounting.AttemptTimeout, s.Accounting.MaxResends = ms(600), ms(500), 2
			})
			c.do(r.servers[0])
			for n := range 50 {
				name := fmt.Sprint("c", n)
				var reply standin.RadiusReply
				_, before := r.p.Counts(c.accounting)
				if c.accounting {
					a := event(name, 1)
					a.Each = 1500 * time.Millisecond
					reply = r.client(true).Do(a)
					name = eventName(name, 1)
				} else {
					reply = r.client(false).Do(access(name))
				}
				_, after := r.p.Counts(c.accounting)
				if after.Refusals == before.Refusals && after.Sent-before.Sent == 1 && reply.Code != 0 {
					continue // the other one was chosen, and is well
				}
				got := r.ledger.Of(name)
				if (reply.Code != 0 && reply.Code != lr.CodeAccessReject) != c.answered || got.Attempts != c.attempts || c.accounting && got.Effects > 1 {
					t.Errorf("%+v, %+v", reply, got)
				}
				return
			}
			t.Error("never chosen")
		})
	}
}

// Answers that are none: forged ones, ones without Message-Authenticator, from another
// address, or a second time, count for nothing.
func TestBadAnswers(t *testing.T) {
	for kind, want := range map[standin.RadiusKind]lr.Code{
		standin.RadiusForged: lr.CodeAccessAccept, standin.RadiusTwice: lr.CodeAccessAccept,
		standin.RadiusUnsigned: lr.CodeAccessReject, standin.RadiusElsewhere: lr.CodeAccessReject,
	} {
		// The stand-in answers a resend from its own address.
		r := start(t, 2, func(s *features.Radius) { s.Access.MaxResends = 0 })
		r.all(always(kind))
		if reply := r.client(false).Do(access("u")); reply.Code != want {
			t.Errorf("%d: %+v", kind, reply)
		}
		if kind == standin.RadiusTwice { // the second copy may come after the client has its answer
			settle(t, "the second copy of the answer was never dropped", func() bool {
				_, counts := r.p.Counts(false)
				return counts.Unasked == 1
			})
		}
		if _, tr := r.p.Counts(false); kind != standin.RadiusElsewhere && tr.Unverified+tr.Unasked == 0 {
			t.Errorf("%d: nothing dropped: %+v", kind, tr)
		}
	}
	r := start(t, 2, func(s *features.Radius) { s.AllowUnsignedAnswers = true })
	r.all(always(standin.RadiusUnsigned))
	if reply := r.client(false).Do(access("u")); reply.Code != lr.CodeAccessAccept {
		t.Errorf("unsigned, where that is let through: %+v", reply)
	}
}

// A late answer to an attempt that was given up finds nothing under its identifier.
func TestLateAnswer(t *testing.T) {
	r := start(t, 2, func(s *features.Radius) { s.Access.AttemptTimeout = ms(50) })
	r.all(func(s standin.RadiusSeen) standin.RadiusAct {
		if s.Nth == 1 {
			return standin.RadiusAct{Delay: 200 * time.Millisecond}
		}
		return standin.RadiusAct{Delay: 400 * time.Millisecond, Kind: standin.RadiusReject}
	})
	a := access("u")
	reply := r.client(false).Do(a)
	if reply.Code != lr.CodeAccessReject {
		t.Errorf("%+v", reply)
	}
	settle(t, "the late ones never came", func() bool { _, tr := r.p.Counts(false); return tr.Unasked >= 1 })
}

// Whoever is not known, or can't sign, gets nothing, reaches nobody, and disturbs nobody.
func TestBadRequests(t *testing.T) {
	r := start(t, 2, func(s *features.Radius) {
		s.Clients = []features.RadiusClient{
			{Name: "all", Range: "127.0.0.0/16", Secret: terminals}, {Name: "one", Range: "127.0.0.9", Secret: "another"},
			{Name: "old", Range: "127.0.0.8", Secret: terminals, AllowUnsigned: true},
		}
	})
	addr := r.p.Addr(false).String()
	quick := func(a standin.RadiusAsk) standin.RadiusAsk { a.Each = 100 * time.Millisecond; return a }
	bare := quick(access("bare"))
	bare.Bare = true
	for name, c := range map[string]struct {
		client *standin.RadiusClient
		ask    standin.RadiusAsk
	}{
		"unknown":            {standin.NewRadiusClient(addr, terminals, "127.7.0.1"), quick(access("x"))},
		"wrong secret":       {standin.NewRadiusClient(addr, "guess", "127.0.0.1"), quick(access("x"))},
		"the range's secret": {standin.NewRadiusClient(addr, terminals, "127.0.0.9"), quick(access("x"))},
		"unsigned":           {standin.NewRadiusClient(addr, terminals, "127.0.0.1"), bare},
		"accounting":         {standin.NewRadiusClient(addr, terminals, "127.0.0.1"), quick(event("x", 1))},
	} {
		if reply := c.client.Do(c.ask); reply.Code != 0 {
			t.Errorf("%s: %+v", name, reply)
		}
	}
	if n := len(r.ledger.All()); n != 0 {
		t.Errorf("%d reached a server", n)
	}
	l, _ := r.p.Counts(false)
	if l.Unknown != 1 || l.Unsigned != 1 || l.Unverified != 2 || l.Unexpected != 1 {
		t.Errorf("%+v", l)
	}
	if reply := standin.NewRadiusClient(addr, "another", "127.0.0.9").Do(access("one")); reply.Code != lr.CodeAccessAccept {
		t.Errorf("the narrower range: %+v", reply)
	}
	bare.Each = patience
	if reply := standin.NewRadiusClient(addr, terminals, "127.0.0.8").Do(bare); reply.Code != lr.CodeAccessAccept {
		t.Errorf("unsigned, where that is let through: %+v", reply)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 500 { // noise
		b := make([]byte, rng.IntN(200))
		for n := range b {
			b[n] = byte(rng.Uint32())
		}
		standin.NewRadiusClient(addr, terminals, "127.0.0.1").Throw(b)
	}
	after := access("after") // it may be lost beside the noise, as datagrams are
	after.Tries, after.Each = 100, 200*time.Millisecond
	if reply := r.client(false).Do(after); reply.Code != lr.CodeAccessAccept {
		t.Errorf("after the noise: %+v", reply)
	}
}

// Two terminals behind one address with the same identifier are two calls.
func TestSameIdentifier(t *testing.T) {
	r := start(t, 2, nil)
	r.all(func(standin.RadiusSeen) standin.RadiusAct { return standin.RadiusAct{Delay: 100 * time.Millisecond} })
	var wg sync.WaitGroup
	for n := range 5 {
		wg.Go(func() {
			c := r.client(false)
			user := fmt.Sprint("u", n)
			if reply := c.Exchange(c.Packet(access(user), 7, [16]byte{byte(n)}, 0), patience); reply.Code != lr.CodeAccessAccept {
				t.Errorf("%+v", reply)
			}
		})
	}
	wg.Wait()
	for n := range 5 {
		if c := r.ledger.Of(fmt.Sprint("u", n)); c.Attempts != 1 {
			t.Errorf("%+v", c)
		}
	}
}

// A flood from one client, of calls that end late, leaves others theirs.
func TestFlood(t *testing.T) {
	r := start(t, 2, func(s *features.Radius) { s.MaxCallsPerClient = 20 })
	r.all(func(s standin.RadiusSeen) standin.RadiusAct {
		if strings.HasPrefix(s.Name, "flood") {
			return standin.RadiusAct{Kind: standin.RadiusSilent}
		}
		return standin.RadiusAct{}
	})
	flood := standin.NewRadiusClient(r.p.Addr(false).String(), terminals, "127.0.0.66")
	for n := range 400 {
		flood.Throw(flood.Packet(access(fmt.Sprint("flood", n)), byte(n), [16]byte{byte(n), byte(n >> 8), 1}, 0))
	}
	settle(t, "the flood is not bounded", func() bool { l, _ := r.p.Counts(false); return l.Full > 0 })
	for n := range 20 {
		a := access(fmt.Sprint("quiet", n))
		a.Tries, a.Each = 100, 200*time.Millisecond
		if reply := r.client(false).Do(a); reply.Code != lr.CodeAccessAccept {
			t.Errorf("%+v", reply)
		}
	}
}

// Nothing new goes to a server that the probes take for gone; one that comes back is
// used again.
func TestProbes(t *testing.T) {
	r := start(t, 2, func(s *features.Radius) { s.ProbeInterval, s.MaxProbeMisses = ms(100), 2 })
	settle(t, "no probes", func() bool { _, _, n := r.servers[0].Bad(); return n > 2 })
	r.servers[0].Kill()
	down := func() bool {
		pl := r.p.sides[0].pools[""]
		pl.mu.Lock()
		defer pl.mu.Unlock()
		down, _ := pl.health.of("r1")
		return down
	}
	settle(t, "its end is not noticed", down)
	_, before := r.p.Counts(false)
	for n := range 20 {
		if reply := r.client(false).Do(access(fmt.Sprint("u", n))); reply.Code != lr.CodeAccessAccept {
			t.Errorf("%+v", reply)
		}
	}
	if _, after := r.p.Counts(false); after.Refusals != before.Refusals || after.Sent != before.Sent+20 {
		t.Errorf("%+v, then %+v", before, after)
	}
	if err := r.servers[0].Restart(); err != nil {
		t.Fatal(err)
	}
	settle(t, "its return is not noticed", func() bool { return !down() })
	settle(t, "it is not used", func() bool {
		r.client(false).Do(access(fmt.Sprint("v", time.Now().UnixNano())))
		return strings.Contains(fmt.Sprint(r.servers[0].Names()), "v")
	})
}

// Realms have servers of their own; where none serves a realm the call is rejected.
func TestRealms(t *testing.T) {
	rest := start(t, 2, func(s *features.Radius) { s.Servers[0].Realms = []string{"shop.example"} })
	for user, want := range map[string]string{"a@shop.example": "welcome from r1", "a": "welcome from r2", "a@third": "welcome from r2"} {
		if reply := rest.client(false).Do(access(user)); reply.Code != lr.CodeAccessAccept || rfc2865.ReplyMessage_GetString(reply.Packet) != want {
			t.Errorf("%s: %+v", user, reply)
		}
	}
	r := start(t, 2, func(s *features.Radius) {
		s.Servers[0].Realms = []string{"Shop.example"}
		s.Servers[1].Realms = []string{"other.example"}
	})
	for user, want := range map[string]string{"a@shop.example": "welcome from r1", "a@b@OTHER.example": "welcome from r2", "a": "", "a@third": ""} {
		reply := r.client(false).Do(access(user))
		got := ""
		if reply.Code == lr.CodeAccessAccept {
			got = rfc2865.ReplyMessage_GetString(reply.Packet)
		}
		if got != want {
			t.Errorf("%s: %q, %+v", user, got, reply)
		}
	}
}

// 256 identifiers to a socket: more calls at once take further sockets, up to the
// limit, and what is beyond is answered at once too.
func TestManySockets(t *testing.T) {
	r := start(t, 1, func(s *features.Radius) {
		s.MaxSocketsPerServer, s.MaxCallsPerClient, s.MaxAttempts = 2, 1000, 1
		s.Access.AttemptTimeout, s.Access.Deadline = ms(3000), ms(3500)
	})
	r.all(func(standin.RadiusSeen) standin.RadiusAct { return standin.RadiusAct{Delay: 1200 * time.Millisecond} })
	var wg sync.WaitGroup
	var mu sync.Mutex
	codes := make(map[lr.Code]int)
	for n := range 600 {
		wg.Go(func() {
			a := access(fmt.Sprint("u", n))
			a.Tries, a.Each = 40, 200*time.Millisecond
			reply := r.client(false).Do(a)
			mu.Lock()
			codes[reply.Code]++
			mu.Unlock()
		})
	}
	wg.Wait()
	if codes[0] > 0 || codes[lr.CodeAccessAccept] < 256 || codes[lr.CodeAccessAccept]+codes[lr.CodeAccessReject] != 600 {
		t.Errorf("%v", codes)
	}
	for name, c := range r.ledger.All() {
		if c.Attempts != 1 {
			t.Errorf("%s: %+v", name, c)
		}
	}
}
