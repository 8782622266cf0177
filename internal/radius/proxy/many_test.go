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

// Thousands of calls over a network that loses, doubles and reorders, while a server is
// killed, one frozen and one drained: one final answer to each access call, within its
// cap of attempts; each accounting event that is answered counted once, and none twice.
// What was given up is counted too, and adds up.
func TestManyCalls(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.3} {
		t.Run(fmt.Sprintf("loss=%v", loss), func(t *testing.T) {
			const (
				calls   = 6667 // 20,000 in all three
				workers = 200
				cap     = 3
			)
			ledger := standin.NewRadiusLedger()
			sec := section()
			sec.MaxAttempts, sec.MaxCallsPerClient = cap, 1000
			sec.Access.AttemptTimeout, sec.Access.Deadline, sec.Access.ResendDelay, sec.Access.MaxResends = ms(200), ms(3000), ms(40), 2
			sec.Accounting.ResendDelay, sec.Accounting.MaxResends, sec.Accounting.AttemptTimeout, sec.Accounting.Deadline = ms(40), 10, ms(2500), ms(3000)
			sec.RememberTTL, sec.MaxRememberBytes, sec.MaxRememberBytesPerClient = ms(60000), 64<<20, 64<<20
			var servers []*standin.RadiusServer
			for n := range 4 {
				name := fmt.Sprint("r", n+1)
				s, err := standin.NewRadiusServer(name, ofServer+name, ledger)
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
				sec.Servers = append(sec.Servers, features.RadiusServer{Name: name, Auth: relay.Addr(), Acct: relay.Addr(), Secret: features.Secret(ofServer + name)})
			}
			p, err := New(Config{Radius: sec, Base: base(), Grace: 2 * time.Second, Seed: 5})
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			clients := make(map[bool]*standin.RadiusClient)
			for _, accounting := range []bool{false, true} {
				relay, err := standin.NewRelay(p.Addr(accounting).String(), 9, loss, 0.1, 0.1)
				if err != nil {
					t.Fatal(err)
				}
				defer relay.Close()
				clients[accounting] = standin.NewRadiusClient(relay.Addr(), terminals, "")
			}
			var mu sync.Mutex
			next, unanswered, rejected, answered := 0, 0, 0, 0
			asked := make(map[string]bool) // events, true: answered
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
						switch n { // what happens to the servers, at its call
						case calls / 4:
							servers[0].Freeze(true)
						case calls / 2:
							servers[0].Freeze(false)
							servers[1].Kill()
						case calls * 3 / 4:
							p.sides[0].pools[""].host.ApplyList(leaving("r3"))
							p.sides[1].pools[""].host.ApplyList(leaving("r3"))
						}
						if n%2 == 0 {
							a := access(fmt.Sprint("u", n))
							a.Tries, a.Each = 80, 80*time.Millisecond
							reply := clients[false].Do(a)
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
						a := event(fmt.Sprint("s", n), uint32(1+n/2%3))
						a.Tries, a.Each, a.NewID = 80, 80*time.Millisecond, n%4 == 1
						reply := clients[true].Do(a)
						mu.Lock()
						asked[eventName(a.Session, a.Status)] = reply.Code == lr.CodeAccountingResponse
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			settle(t, "held", func() bool { return p.Held() == 0 })
			all := ledger.All()
			events, open := 0, 0
			for name, ok := range asked {
				c := all[name]
				switch {
				case c.Effects > 1:
					t.Errorf("%s: %+v", name, c)
				case ok && c.Effects != 1:
					t.Errorf("%s: answered and not counted", name)
				case ok:
					events++
				default:
					open++
				}
			}
			for name, c := range all {
				if name[0] == 'u' && c.Attempts > cap {
					t.Errorf("%s: %+v", name, c)
				}
			}
			if unanswered > 0 {
				t.Errorf("%d access calls without an answer", unanswered)
			}
			l, _ := p.Counts(true)
			if open > 0 && l.GivenUp == 0 {
				t.Errorf("%d events without an answer, none given up", open)
			}
			t.Logf("%d access calls accepted, %d rejected; %d events answered, each counted once, %d not answered (%d times given up, %d retried)", answered, rejected, events, open, l.GivenUp, l.Retried)
		})
	}
}

// BenchmarkRemembered is the memory of a listener at 10,000 remembered answers.
func BenchmarkRemembered(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		r := start(b, 1, func(s *features.Radius) {
			s.MaxRememberBytes, s.MaxRememberBytesPerClient, s.RememberTTL = 64<<20, 64<<20, ms(600000)
		})
		c := r.client(false)
		before := heap()
		for n := range 10000 {
			if reply := c.Exchange(c.Packet(access("u"), byte(n), [16]byte{byte(n), byte(n >> 8)}, 0), patience); reply.Code != lr.CodeAccessAccept {
				b.Fatalf("%+v", reply)
			}
		}
		b.ReportMetric(float64(heap()-before)/10000, "bytes/answer")
	}
}
