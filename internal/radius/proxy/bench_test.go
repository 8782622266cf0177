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

// plain is the least that a relay of datagrams can do: one socket each way, and who
// asked under which identifier. What it costs is what the system asks for the way.
type plain struct {
	front, back *net.UDPConn
	wg          sync.WaitGroup

	mu    sync.Mutex
	asked [256]*net.UDPAddr
}

func newPlain(b *testing.B, to string) *plain {
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		b.Fatal(err)
	}
	p := new(plain)
	if p.front, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		b.Fatal(err)
	}
	if p.back, err = net.DialUDP("udp", nil, addr); err != nil {
		b.Fatal(err)
	}
	p.wg.Go(func() {
		buf := make([]byte, 4096)
		for {
			n, from, err := p.front.ReadFromUDP(buf)
			if err != nil {
				return
			}
			p.mu.Lock()
			p.asked[buf[1]] = from
			p.mu.Unlock()
			p.back.Write(buf[:n])
		}
	})
	p.wg.Go(func() {
		buf := make([]byte, 4096)
		for {
			n, err := p.back.Read(buf)
			if err != nil {
				return
			}
			p.mu.Lock()
			to := p.asked[buf[1]]
			p.mu.Unlock()
			p.front.WriteToUDP(buf[:n], to)
		}
	})
	b.Cleanup(func() {
		p.front.Close()
		p.back.Close()
		p.wg.Wait()
	})
	return p
}

// terminalsAtOnce is how many terminals ask in BenchmarkPackets, each with a socket and
// an identifier of its own.
const terminalsAtOnce = 16

// BenchmarkPackets is access calls straight to a stand-in, through a plain relay of
// datagrams and through the proxy. Terminals and stand-in are in the process and in its
// CPU; what a way costs is what it has over the straight one.
func BenchmarkPackets(b *testing.B) {
	r := start(b, 1, func(s *features.Radius) { s.RememberTTL = ms(1000) })
	for _, way := range []struct{ name, to, secret string }{
		{"straight", r.servers[0].Addr(), ofServer + "r1"},
		{"relay", newPlain(b, r.servers[0].Addr()).front.LocalAddr().String(), ofServer + "r1"},
		{"proxy", r.p.Addr(false).String(), terminals},
	} {
		c := standin.NewRadiusClient(way.to, way.secret, "")
		b.Run(way.name, func(b *testing.B) {
			var next atomic.Int64
			var wg sync.WaitGroup
			before, began := cpu(), time.Now()
			for n := range terminalsAtOnce {
				wg.Go(func() {
					conn, err := net.Dial("udp", way.to)
					if err != nil {
						b.Error(err)
						return
					}
					defer conn.Close()
					buf := make([]byte, 4096)
					var auth [16]byte
					for {
						k := next.Add(1)
						if k > int64(b.N) {
							return
						}
						binary.BigEndian.PutUint64(auth[:], uint64(time.Now().UnixNano()))
						auth[15] = byte(n)
						conn.Write(c.Packet(access("u"), byte(n), auth, 0))
						conn.SetReadDeadline(time.Now().Add(patience))
						if size, err := conn.Read(buf); err != nil || size < 20 || lr.Code(buf[0]) != lr.CodeAccessAccept {
							b.Errorf("%v %v", err, buf[0])
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "calls/s")
			b.ReportMetric(float64((cpu()-before).Nanoseconds())/1000/float64(b.N), "cpu-us/call")
		})
	}
}
