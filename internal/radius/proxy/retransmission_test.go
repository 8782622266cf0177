package proxy

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/features"
	"chalkrack/internal/standin"

	lr "layeh.com/radius"
)

// A terminal's retransmission joins the open call, even from another port, and gets the remembered
// answer afterwards. Otherwise the servers would receive several calls.
func TestRetransmissionJoinsCall(t *testing.T) {
	fixture := startProxy(t, 3, nil)
	fixture.setScripts(func(standin.RadiusRequest) standin.RadiusAction {
		return standin.RadiusAction{Delay: 120 * time.Millisecond}
	})
	for n, change := range []func(*standin.RadiusClientRequest){func(*standin.RadiusClientRequest) {}, func(request *standin.RadiusClientRequest) { request.NewPort = true }} {
		request := accessRequest(fmt.Sprint("u", n))
		request.MaxPackets, request.ResendInterval = 100, 20*time.Millisecond
		change(&request)
		if reply := fixture.newClient(false).Do(request); reply.Code != lr.CodeAccessAccept || reply.PacketsSent < 2 {
			t.Errorf("unexpected reply: %+v", reply)
		}
		if c := fixture.ledger.Count(request.User); c.Attempts != 1 {
			t.Errorf("unexpected ledger entry: %+v", c)
		}
	}
	counts, _ := fixture.proxy.Counts(false)
	if counts.Calls != 2 || counts.Joined == 0 {
		t.Errorf("unexpected counts: %+v", counts)
	}
	// Repeats of a packet after its answer get the remembered answer.
	client := fixture.newClient(false)
	wire := client.Encode(accessRequest("again"), 9, [16]byte{1, 2, 3}, 0)
	for range 3 {
		if reply := client.Exchange(wire, testTimeout); reply.Code != lr.CodeAccessAccept {
			t.Errorf("unexpected reply: %+v", reply)
		}
	}
	counts, _ = fixture.proxy.Counts(false)
	if n := fixture.ledger.Count("again").Attempts; n != 1 || counts.Remembered < 2 { // late packets of the calls above may be counted as well
		t.Errorf("%d attempts, want 1; counts %+v", n, counts)
	}
}

// The answer to a call goes to the sender of its latest retransmission and matches that packet:
// here it comes from another port, and for an event it has another identifier.
func TestAnswerMatchesLatestRetransmission(t *testing.T) {
	fixture := startProxy(t, 1, func(s *features.Radius) { s.Access.AttemptTimeout, s.Accounting.MaxResends = millis(5000), 0 })
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) }) // runs before the servers are closed
	fixture.setScripts(func(standin.RadiusRequest) standin.RadiusAction {
		<-hold
		return standin.RadiusAction{}
	})
	packets := func(client *standin.RadiusClient, request standin.RadiusClientRequest, id byte) (first, second []byte) {
		first = client.Encode(request, 1, [16]byte{1}, 0)
		if id == 1 {
			return first, first
		}
		return first, client.Encode(request, id, [16]byte{1}, 3*time.Second)
	}
	for name, test := range map[string]struct {
		accounting bool
		request    standin.RadiusClientRequest
		id         byte
	}{"port": {false, accessRequest("u"), 1}, "event": {true, eventRequest("s1", 1), 2}} {
		client := fixture.newClient(test.accounting)
		first, second := packets(client, test.request, test.id)
		client.Send(first)
		waitUntil(t, "taken", func() bool { l, _ := fixture.proxy.Counts(test.accounting); return l.Calls == 1 })
		got := make(chan standin.RadiusReply)
		go func() { got <- client.Exchange(second, testTimeout) }()
		waitUntil(t, "joined", func() bool { l, _ := fixture.proxy.Counts(test.accounting); return l.Joined == 1 })
		hold <- struct{}{}
		if reply := <-got; reply.Code == 0 {
			t.Errorf("%s: unexpected reply: %+v", name, reply)
		}
	}
}

// An event that was given up is sent to the same server when the client retries it, so that the
// server recognizes the duplicate. At another server it would be counted twice.
func TestEventRetriedAtSameServer(t *testing.T) {
	fixture := startProxy(t, 8, func(s *features.Radius) {
		s.Accounting.Aim, s.Accounting.Deadline, s.Accounting.AttemptTimeout, s.Accounting.MaxResends = millis(100), millis(600), millis(500), 0
	})
	for _, s := range fixture.servers {
		s.SetFrozen(true)
	}
	const events = 6
	client := fixture.newClient(true)
	for n := range events {
		client.Send(client.Encode(eventRequest(fmt.Sprint("s", n), 1), byte(n), [16]byte{}, 0))
	}
	waitUntil(t, "the events were not all given up", func() bool { l, _ := fixture.proxy.Counts(true); return l.GivenUp == events })
	for _, s := range fixture.servers {
		s.SetFrozen(false)
	}
	for n := range events {
		wire := client.Encode(eventRequest(fmt.Sprint("s", n), 1), byte(100+n), [16]byte{}, time.Second)
		waitUntil(t, "answered", func() bool { // the decision module may hold calls while their server appears to be failing
			return client.Exchange(wire, 200*time.Millisecond).Code == lr.CodeAccountingResponse
		})
		if c := fixture.ledger.Count(eventName(fmt.Sprint("s", n), 1)); c.Effects != 1 {
			t.Errorf("event %d: unexpected ledger entry: %+v", n, c)
		}
	}
	if l, tr := fixture.proxy.Counts(true); l.Retried < events || tr.Sent != events || tr.Resent < events {
		t.Errorf("unexpected counts: listener %+v, transport %+v", l, tr)
	}
}

// The terminal retransmits while the proxy is retrying the call at another server. There must be
// one call, one answer, and no more attempts than the limit.
func TestRetransmissionDuringRetry(t *testing.T) {
	fixture := startProxy(t, 4, func(s *features.Radius) { s.Access.AttemptTimeout = millis(400) })
	fixture.setScripts(func(s standin.RadiusRequest) standin.RadiusAction {
		if s.AttemptNumber < 3 {
			return standin.RadiusAction{Kind: standin.RadiusSilent}
		}
		return standin.RadiusAction{Delay: 30 * time.Millisecond}
	})
	request := accessRequest("u")
	request.MaxPackets, request.ResendInterval = 1000, 10*time.Millisecond
	if reply := fixture.newClient(false).Do(request); reply.Code != lr.CodeAccessAccept {
		t.Errorf("unexpected reply: %+v", reply)
	}
	if c := fixture.ledger.Count("u"); c.Attempts != 3 {
		t.Errorf("unexpected ledger entry: %+v", c)
	}
	if l, _ := fixture.proxy.Counts(false); l.Calls != 1 || l.Joined == 0 {
		t.Errorf("unexpected counts: %+v", l)
	}
}

// An accounting event is counted once even if the client retransmits it with new identifiers, the
// proxy resends it, or its server counts it and does not answer. Interim updates with different
// times are separate events.
func TestAccountingEventCountedOnce(t *testing.T) {
	fixture := startProxy(t, 3, func(s *features.Radius) {
		s.Accounting.Deadline, s.Accounting.AttemptTimeout, s.Accounting.ResendDelay, s.Accounting.MaxResends = millis(1500), millis(1400), millis(40), 3
	})
	request := eventRequest("s1", 1)
	request.MaxPackets, request.ResendInterval, request.NewID = 100, 20*time.Millisecond, true
	fixture.setScripts(func(standin.RadiusRequest) standin.RadiusAction {
		return standin.RadiusAction{Delay: 100 * time.Millisecond}
	})
	if reply := fixture.newClient(true).Do(request); reply.Code != lr.CodeAccountingResponse || reply.PacketsSent < 2 {
		t.Errorf("unexpected reply: %+v", reply)
	}
	if c := fixture.ledger.Count(eventName("s1", 1)); c.Attempts != 1 || c.Effects != 1 {
		t.Errorf("ledger entry after retransmission with new identifiers: %+v", c)
	}
	if reply := fixture.newClient(true).Do(request); reply.Code != lr.CodeAccountingResponse || fixture.ledger.Count(eventName("s1", 1)).Effects != 1 {
		t.Errorf("reply to a repeat after the answer: %+v, ledger entry %+v", reply, fixture.ledger.Count(eventName("s1", 1)))
	}
	for n := range 3 {
		update := eventRequest("s1", 3)
		update.EventTime = eventTime.Add(time.Duration(n) * time.Minute)
		if reply := fixture.newClient(true).Do(update); reply.Code != lr.CodeAccountingResponse {
			t.Errorf("unexpected reply: %+v", reply)
		}
	}
	if n := len(fixture.ledger.Counts()); n != 4 {
		t.Errorf("%d events, want a start and 3 interim updates", n)
	}

	// The server counts the event and does not answer: the call is given up and never sent to
	// another server.
	fixture.setScripts(alwaysDo(standin.RadiusSilent))
	lost := eventRequest("s2", 2)
	countsBefore, _ := fixture.proxy.Counts(true)
	fixture.newClient(true).Send(fixture.newClient(true).Encode(lost, 1, [16]byte{}, 0))
	waitUntil(t, "the event was never given up", func() bool { l, _ := fixture.proxy.Counts(true); return l.GivenUp == 1 })
	if l, tr := fixture.proxy.Counts(true); l.Answered != countsBefore.Answered || tr.Resent == 0 {
		t.Errorf("unexpected counts: listener %+v, transport %+v", l, tr)
	}
	if c := fixture.ledger.Count(eventName("s2", 2)); c.Attempts != 1 || c.Effects != 1 {
		t.Errorf("ledger entry of the event that was given up: %+v", c)
	}
	// The terminal's own retries go only to the server that may have counted the event.
	before := make(map[string]int)
	for n := range 5 {
		fixture.newClient(true).Do(standin.RadiusClientRequest{NAS: "shop", Session: "s2", Status: 2, EventTime: eventTime, MaxPackets: 1, ResendInterval: 20 * time.Millisecond})
		before[fmt.Sprint(n)]++
	}
	waitUntil(t, "held", func() bool { return fixture.proxy.Held() == 0 })
	serversReached := 0
	for _, s := range fixture.servers {
		if s.PacketsReceived(eventName("s2", 2)) > 0 {
			serversReached++
		}
	}
	if serversReached != 1 {
		t.Errorf("the event reached %d servers, want 1", serversReached)
	}
	if l, _ := fixture.proxy.Counts(true); l.Retried == 0 {
		t.Errorf("unexpected counts: %+v", l)
	}
}

// Requests with the same identifier from terminals behind one address are separate calls: their
// authenticators differ.
func TestSameIdentifierFromSeveralTerminals(t *testing.T) {
	fixture := startProxy(t, 2, nil)
	fixture.setScripts(func(standin.RadiusRequest) standin.RadiusAction {
		return standin.RadiusAction{Delay: 100 * time.Millisecond}
	})
	var wg sync.WaitGroup
	for n := range 5 {
		wg.Go(func() {
			client := fixture.newClient(false)
			user := fmt.Sprint("u", n)
			if reply := client.Exchange(client.Encode(accessRequest(user), 7, [16]byte{byte(n)}, 0), testTimeout); reply.Code != lr.CodeAccessAccept {
				t.Errorf("unexpected reply: %+v", reply)
			}
		})
	}
	wg.Wait()
	for n := range 5 {
		if c := fixture.ledger.Count(fmt.Sprint("u", n)); c.Attempts != 1 {
			t.Errorf("unexpected ledger entry: %+v", c)
		}
	}
}
