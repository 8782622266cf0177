package proxy

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/features"
	"chalkrack/internal/standin"
	lr "layeh.com/radius"
)

// Thousands of calls run over a network that loses, duplicates and reorders datagrams, while one
// server is killed, one frozen and one drained. Each access call must get one final answer within
// its limit of attempts. Each answered accounting event must be counted exactly once and none
// twice; unanswered events must show in the count of calls given up.
func TestManyCallsOverLossyNetwork(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.3} {
		t.Run(fmt.Sprintf("loss=%v", loss), func(t *testing.T) {
			const (
				calls       = 6667 // about 20,000 over the three loss rates
				workers     = 200
				maxAttempts = 3
			)
			ledger := standin.NewRadiusLedger()
			section := defaultSection()
			section.MaxAttempts, section.MaxCallsPerClient = maxAttempts, 1000
			section.Access.AttemptTimeout, section.Access.Deadline, section.Access.ResendDelay, section.Access.MaxResends = millis(200), millis(3000), millis(40), 2
			section.Accounting.ResendDelay, section.Accounting.MaxResends, section.Accounting.AttemptTimeout, section.Accounting.Deadline = millis(40), 10, millis(2500), millis(3000)
			section.RememberTTL, section.MaxRememberBytes, section.MaxRememberBytesPerClient = millis(60000), 64<<20, 64<<20
			var servers []*standin.RadiusServer
			for n := range 4 {
				name := fmt.Sprint("r", n+1)
				s, err := standin.NewRadiusServer(name, serverSecret+name, ledger)
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				relay, err := standin.NewRelay(s.Addr(), uint64(n), loss, 0.1, 0.1)
				if err != nil {
					t.Fatal(err)
				}
				defer relay.Close()
				servers = append(servers, s)
				section.Servers = append(section.Servers, features.RadiusServer{Name: name, Auth: relay.Addr(), Acct: relay.Addr(), Secret: features.Secret(serverSecret + name)})
			}
			proxy, err := New(Config{Radius: section, Platform: basePlatform(), DrainGrace: 2 * time.Second, Seed: 5})
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			clients := make(map[bool]*standin.RadiusClient)
			for _, accounting := range []bool{false, true} {
				relay, err := standin.NewRelay(proxy.Addr(accounting).String(), 9, loss, 0.1, 0.1)
				if err != nil {
					t.Fatal(err)
				}
				defer relay.Close()
				clients[accounting] = standin.NewRadiusClient(relay.Addr(), clientSecret, "")
			}
			var mu sync.Mutex
			next, unanswered, rejected, answered := 0, 0, 0, 0
			eventAnswered := make(map[string]bool) // by event
			var wg sync.WaitGroup
			for range workers {
				wg.Go(func() {
					for {
						mu.Lock()
						n := next
						next++
						mu.Unlock()
						if n >= calls {
							return
						}
						switch n { // faults of servers, each at a fixed call
						case calls / 4:
							servers[0].SetFrozen(true)
						case calls / 2:
							servers[0].SetFrozen(false)
							servers[1].Kill()
						case calls * 3 / 4:
							proxy.services[0].pools[""].host.ApplyList(drainingList("r3"))
							proxy.services[1].pools[""].host.ApplyList(drainingList("r3"))
						}
						if n%2 == 0 {
							request := accessRequest(fmt.Sprint("u", n))
							request.MaxPackets, request.ResendInterval = 80, 80*time.Millisecond
							reply := clients[false].Do(request)
							mu.Lock()
							switch reply.Code {
							case lr.CodeAccessAccept:
								answered++
							case lr.CodeAccessReject:
								rejected++
							default:
								unanswered++
							}
							mu.Unlock()
							continue
						}
						request := eventRequest(fmt.Sprint("s", n), uint32(1+n/2%3))
						request.MaxPackets, request.ResendInterval, request.NewID = 80, 80*time.Millisecond, n%4 == 1
						reply := clients[true].Do(request)
						mu.Lock()
						eventAnswered[eventName(request.Session, request.Status)] = reply.Code == lr.CodeAccountingResponse
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			waitUntil(t, "held", func() bool { return proxy.Held() == 0 })
			all := ledger.Counts()
			answeredEvents, unansweredEvents := 0, 0
			for name, ok := range eventAnswered {
				c := all[name]
				switch {
				case c.Effects > 1:
					t.Errorf("%s: unexpected ledger entry: %+v", name, c)
				case ok && c.Effects != 1:
					t.Errorf("%s: answered but not counted", name)
				case ok:
					answeredEvents++
				default:
					unansweredEvents++
				}
			}
			for name, c := range all {
				if name[0] == 'u' && c.Attempts > maxAttempts {
					t.Errorf("%s: unexpected ledger entry: %+v", name, c)
				}
			}
			if unanswered > 0 {
				t.Errorf("%d access calls without an answer", unanswered)
			}
			counts, _ := proxy.Counts(true)
			if unansweredEvents > 0 && counts.GivenUp == 0 {
				t.Errorf("%d events without an answer, but no call counted as given up", unansweredEvents)
			}
			t.Logf("%d access calls accepted, %d rejected; %d events answered, each counted once, %d not answered (%d times given up, %d retried)", answered, rejected, answeredEvents, unansweredEvents, counts.GivenUp, counts.Retried)
		})
	}
}

// BenchmarkRememberedAnswerMemory measures the heap bytes that a listener needs for each
// remembered answer, at 10,000 answers.
func BenchmarkRememberedAnswerMemory(b *testing.B) {
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		fixture := startProxy(b, 1, func(s *features.Radius) {
			s.MaxRememberBytes, s.MaxRememberBytesPerClient, s.RememberTTL = 64<<20, 64<<20, millis(600000)
		})
		client := fixture.newClient(false)
		heapBefore := heapBytes()
		for n := range 10000 {
			if reply := client.Exchange(client.Encode(accessRequest("u"), byte(n), [16]byte{byte(n), byte(n >> 8)}, 0), testTimeout); reply.Code != lr.CodeAccessAccept {
				b.Fatalf("unexpected reply: %+v", reply)
			}
		}
		b.ReportMetric(float64(heapBytes()-heapBefore)/10000, "bytes/answer")
	}
}
