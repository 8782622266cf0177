package proxy

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chalkrack/internal/features"
	"chalkrack/internal/standin"
	lr "layeh.com/radius"
)

// plainRelay forwards datagrams with as little work as possible: one socket in each direction, and
// the client address of each RADIUS identifier. Its cost is that of an additional hop in the
// operating system.
type plainRelay struct {
	clientConn, serverConn *net.UDPConn
	wg                     sync.WaitGroup

	mu         sync.Mutex
	clientByID [256]*net.UDPAddr
}

func newPlainRelay(b *testing.B, serverAddr string) *plainRelay {
	addr, err := net.ResolveUDPAddr("udp", serverAddr)
	if err != nil {
		b.Fatal(err)
	}
	relay := new(plainRelay)
	if relay.clientConn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		b.Fatal(err)
	}
	if relay.serverConn, err = net.DialUDP("udp", nil, addr); err != nil {
		b.Fatal(err)
	}
	relay.wg.Go(func() {
		buf := make([]byte, 4096)
		for {
			n, from, err := relay.clientConn.ReadFromUDP(buf)
			if err != nil {
				return
			}
			relay.mu.Lock()
			relay.clientByID[buf[1]] = from
			relay.mu.Unlock()
			relay.serverConn.Write(buf[:n])
		}
	})
	relay.wg.Go(func() {
		buf := make([]byte, 4096)
		for {
			n, err := relay.serverConn.Read(buf)
			if err != nil {
				return
			}
			relay.mu.Lock()
			serverAddr := relay.clientByID[buf[1]]
			relay.mu.Unlock()
			relay.clientConn.WriteToUDP(buf[:n], serverAddr)
		}
	})
	b.Cleanup(func() {
		relay.clientConn.Close()
		relay.serverConn.Close()
		relay.wg.Wait()
	})
	return relay
}

// concurrentTerminals is the number of terminals in BenchmarkAccessCalls. Each has its own
// socket and its own identifier.
const concurrentTerminals = 16

// BenchmarkAccessCalls measures access calls sent directly to a stand-in, through a plain relay of
// datagrams, and through the proxy. The terminals and the stand-in run in the same process, so the
// CPU time of the relay or the proxy is the difference from the direct route.
func BenchmarkAccessCalls(b *testing.B) {
	fixture := startProxy(b, 1, func(s *features.Radius) { s.RememberTTL = millis(1000) })
	for _, route := range []struct{ name, addr, secret string }{
		{"straight", fixture.servers[0].Addr(), serverSecret + "r1"},
		{"relay", newPlainRelay(b, fixture.servers[0].Addr()).clientConn.LocalAddr().String(), serverSecret + "r1"},
		{"proxy", fixture.proxy.Addr(false).String(), clientSecret},
	} {
		client := standin.NewRadiusClient(route.addr, route.secret, "")
		b.Run(route.name, func(b *testing.B) {
			var next atomic.Int64
			var wg sync.WaitGroup
			cpuBefore, startTime := processCPUTime(), time.Now()
			for terminal := range concurrentTerminals {
				wg.Go(func() {
					conn, err := net.Dial("udp", route.addr)
					if err != nil {
						b.Error(err)
						return
					}
					defer conn.Close()
					buf := make([]byte, 4096)
					var authenticator [16]byte
					for {
						call := next.Add(1)
						if call > int64(b.N) {
							return
						}
						binary.BigEndian.PutUint64(authenticator[:], uint64(time.Now().UnixNano()))
						authenticator[15] = byte(terminal)
						conn.Write(client.Encode(accessRequest("u"), byte(terminal), authenticator, 0))
						conn.SetReadDeadline(time.Now().Add(testTimeout))
						if size, err := conn.Read(buf); err != nil || size < 20 || lr.Code(buf[0]) != lr.CodeAccessAccept {
							b.Errorf("no Access-Accept: error %v, code %v", err, buf[0])
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/time.Since(startTime).Seconds(), "calls/s")
			b.ReportMetric(float64((processCPUTime()-cpuBefore).Nanoseconds())/1000/float64(b.N), "cpu-us/call")
		})
	}
}
