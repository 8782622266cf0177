package proxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"chalkrack/internal/features"
	"chalkrack/internal/standin"
	lr "layeh.com/radius"
)

// A hostile peer throws garbage, packets under a wrong secret, truncated and twisted
// good ones, replays, and floods of its own at both ports: the quiet terminal is served
// all the while, each of its events is counted once, nothing of the hostile's that is not
// signed reaches a server, and the memory stays within its bounds.
func TestHostile(t *testing.T) {
	r := start(t, 2, func(s *features.Radius) {
		s.MaxRememberBytes, s.MaxRememberBytesPerClient, s.MaxCallsPerClient = 1<<20, 1<<18, 50
	})
	const seed = 11
	rng := rand.New(rand.NewPCG(seed, 1))
	stop := make(chan struct{})
	done := make(chan int)
	var targets []*net.UDPConn
	for _, accounting := range []bool{false, true} {
		conn, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 66)}, net.UDPAddrFromAddrPort(r.p.Addr(accounting)))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		targets = append(targets, conn)
	}
	insider := r.client(false) // who knows the secret, and floods
	outsider := standin.NewRadiusClient(r.p.Addr(false).String(), "guessed", "")
	replay := insider.Packet(access("replayed"), 1, [16]byte{1}, 0)
	go func() {
		n := 0
		for ; ; n++ {
			select {
			case <-stop:
				done <- n
				return
			default:
			}
			var b []byte
			auth := [16]byte{byte(n), byte(n >> 8), byte(n >> 16), 7}
			switch n % 6 {
			case 0:
				b = make([]byte, rng.IntN(5000))
				for k := range b {
					b[k] = byte(rng.Uint32())
				}
			case 1:
				b = outsider.Packet(access("forged"), byte(n), auth, 0)
			case 2:
				b = outsider.Packet(event("forged", 1), byte(n), auth, 0)
			case 3: // a good one, twisted
				b = insider.Packet(access("twisted"), byte(n), auth, 0)
				b[rng.IntN(len(b))] ^= 1 << rng.IntN(8)
			case 4:
				b = insider.Packet(access("cut"), byte(n), auth, 0)
				b = b[:rng.IntN(len(b))]
			case 5:
				b = replay
				if n%12 == 5 {
					b = insider.Packet(access(fmt.Sprint("insider", n)), byte(n), auth, 0)
				}
			}
			targets[n%7%2].Write(b)
			if n%10 == 0 {
				time.Sleep(time.Millisecond) // the socket's buffer is for all
			}
		}
	}()
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	quiet := map[bool]*standin.RadiusClient{}
	for _, accounting := range []bool{false, true} {
		quiet[accounting] = standin.NewRadiusClient(r.p.Addr(accounting).String(), terminals, "127.0.0.9")
	}
	for n := range 500 {
		a := access(fmt.Sprint("quiet", n))
		a.Tries, a.Each = 100, 200*time.Millisecond
		if reply := quiet[false].Do(a); reply.Code != lr.CodeAccessAccept {
			t.Errorf("%d: %+v", n, reply)
		}
		e := event(fmt.Sprint("quiet", n), 1)
		e.Tries, e.Each, e.NewID = 100, 200*time.Millisecond, true
		if reply := quiet[true].Do(e); reply.Code != lr.CodeAccountingResponse {
			t.Errorf("%d: %+v", n, reply)
		}
		if c := r.ledger.Of(eventName(fmt.Sprint("quiet", n), 1)); c.Effects != 1 {
			t.Errorf("%d: %+v", n, c)
		}
	}
	close(stop)
	thrown := <-done
	settle(t, "held", func() bool { return r.p.Held() == 0 })
	for name, c := range r.ledger.All() {
		if name == "forged" || name == "cut" || name == eventName("forged", 1) {
			t.Errorf("%s reached a server: %+v", name, c)
		}
	}
	if c := r.ledger.Of("replayed"); c.Attempts > 3 {
		t.Errorf("replayed: %+v", c)
	}
	if bad, unsigned, _ := r.servers[0].Bad(); bad+unsigned > 0 {
		t.Errorf("a server got %d bad packets, %d unsigned ones", bad, unsigned)
	}
	if grown := int64(heap()) - int64(before); grown > 32<<20 {
		t.Errorf("%d bytes more, the stand-ins' included", grown)
	}
	l, _ := r.p.Counts(false)
	t.Logf("seed %d: %d datagrams thrown; %+v", seed, thrown, l)
	if l.Malformed == 0 || l.Unverified == 0 || l.Remembered == 0 {
		t.Errorf("%+v", l)
	}
}
