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

// A hostile client sends random bytes, packets signed with a wrong secret, truncated and corrupted
// valid packets, replays and a flood of valid requests to both ports. Meanwhile a regular terminal
// must be served, each of its events counted once, no wrongly signed packet may reach a server,
// and memory must stay bounded.
func TestHostileClient(t *testing.T) {
	fixture := startProxy(t, 2, func(s *features.Radius) {
		s.MaxRememberBytes, s.MaxRememberBytesPerClient, s.MaxCallsPerClient = 1<<20, 1<<18, 50
	})
	const seed = 11
	rng := rand.New(rand.NewPCG(seed, 1))
	stop := make(chan struct{})
	done := make(chan int)
	var hostileConns []*net.UDPConn
	for _, accounting := range []bool{false, true} {
		conn, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 66)}, net.UDPAddrFromAddrPort(fixture.proxy.Addr(accounting)))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		hostileConns = append(hostileConns, conn)
	}
	clientWithSecret := fixture.newClient(false) // its packets are valid
	clientWithWrongSecret := standin.NewRadiusClient(fixture.proxy.Addr(false).String(), "guessed", "")
	replayed := clientWithSecret.Encode(accessRequest("replayed"), 1, [16]byte{1}, 0)
	go func() {
		n := 0
		for ; ; n++ {
			select {
			case <-stop:
				done <- n
				return
			default:
			}
			var payload []byte
			authenticator := [16]byte{byte(n), byte(n >> 8), byte(n >> 16), 7}
			switch n % 6 {
			case 0:
				payload = make([]byte, rng.IntN(5000))
				for index := range payload {
					payload[index] = byte(rng.Uint32())
				}
			case 1:
				payload = clientWithWrongSecret.Encode(accessRequest("forged"), byte(n), authenticator, 0)
			case 2:
				payload = clientWithWrongSecret.Encode(eventRequest("forged", 1), byte(n), authenticator, 0)
			case 3: // a valid packet with one bit flipped
				payload = clientWithSecret.Encode(accessRequest("twisted"), byte(n), authenticator, 0)
				payload[rng.IntN(len(payload))] ^= 1 << rng.IntN(8)
			case 4:
				payload = clientWithSecret.Encode(accessRequest("cut"), byte(n), authenticator, 0)
				payload = payload[:rng.IntN(len(payload))]
			case 5:
				payload = replayed
				if n%12 == 5 {
					payload = clientWithSecret.Encode(accessRequest(fmt.Sprint("insider", n)), byte(n), authenticator, 0)
				}
			}
			hostileConns[n%7%2].Write(payload)
			if n%10 == 0 {
				time.Sleep(time.Millisecond) // all clients share the socket's receive buffer
			}
		}
	}()
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	heapBefore := heapBytes()
	regularClients := map[bool]*standin.RadiusClient{}
	for _, accounting := range []bool{false, true} {
		regularClients[accounting] = standin.NewRadiusClient(fixture.proxy.Addr(accounting).String(), clientSecret, "127.0.0.9")
	}
	for n := range 500 {
		accessAsk := accessRequest(fmt.Sprint("quiet", n))
		accessAsk.MaxPackets, accessAsk.ResendInterval = 100, 200*time.Millisecond
		if reply := regularClients[false].Do(accessAsk); reply.Code != lr.CodeAccessAccept {
			t.Errorf("%d: unexpected reply: %+v", n, reply)
		}
		eventAsk := eventRequest(fmt.Sprint("quiet", n), 1)
		eventAsk.MaxPackets, eventAsk.ResendInterval, eventAsk.NewID = 100, 200*time.Millisecond, true
		if reply := regularClients[true].Do(eventAsk); reply.Code != lr.CodeAccountingResponse {
			t.Errorf("%d: unexpected reply: %+v", n, reply)
		}
		if c := fixture.ledger.Count(eventName(fmt.Sprint("quiet", n), 1)); c.Effects != 1 {
			t.Errorf("%d: unexpected ledger entry: %+v", n, c)
		}
	}
	close(stop)
	datagramsSent := <-done
	waitUntil(t, "held", func() bool { return fixture.proxy.Held() == 0 })
	for name, c := range fixture.ledger.Counts() {
		if name == "forged" || name == "cut" || name == eventName("forged", 1) {
			t.Errorf("%s reached a server: %+v", name, c)
		}
	}
	if c := fixture.ledger.Count("replayed"); c.Attempts > 3 {
		t.Errorf("the replayed packet was sent in more than 3 attempts: %+v", c)
	}
	if unverified, unsigned, _ := fixture.servers[0].PacketCounts(); unverified+unsigned > 0 {
		t.Errorf("a server received %d invalid and %d unsigned packets, want none", unverified, unsigned)
	}
	if heapGrowth := int64(heapBytes()) - int64(heapBefore); heapGrowth > 32<<20 {
		t.Errorf("the heap has grown by %d bytes, including the stand-ins, want at most 32 MiB", heapGrowth)
	}
	counts, _ := fixture.proxy.Counts(false)
	t.Logf("seed %d: %d hostile datagrams sent; %+v", seed, datagramsSent, counts)
	if counts.Malformed == 0 || counts.Unverified == 0 || counts.Remembered == 0 {
		t.Errorf("unexpected counts: %+v", counts)
	}
}
