package proxy

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack/internal/features"
	"chalkrack/internal/radius"
	"chalkrack/internal/radius/listener"
	"chalkrack/internal/radius/transport"
)

// air carries datagrams in memory and virtual time. What becomes of a packet hangs on
// the seed, its way and which of that way it is, so that all runs are alike.
type air struct {
	seed uint64
	loss float64

	mu   sync.Mutex
	sent map[string]int // by way
	ends map[netip.AddrPort]*end
	next int
}

// chance is a number within 0 and 1 for a use of a packet.
func (a *air) chance(way string, n int, use byte) float64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, a.seed))
	h.Write(binary.BigEndian.AppendUint64([]byte(way), uint64(n)))
	h.Write([]byte{use, use, use})
	v := h.Sum64()
	v ^= v >> 29
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 32
	return float64(v>>11) / (1 << 53)
}

// carry takes a packet to an end, perhaps, perhaps twice, each after a time of its own.
func (a *air) carry(from, to netip.AddrPort, b []byte) {
	way := from.String() + ">" + to.String()
	a.mu.Lock()
	n := a.sent[way]
	a.sent[way]++
	a.mu.Unlock()
	b = append([]byte(nil), b...)
	for copy := range byte(2) {
		if copy == 1 && a.chance(way, n, 1) > 0.1 || a.chance(way, n, 2+copy) < a.loss {
			continue
		}
		after := time.Millisecond + time.Duration(a.chance(way, n, 4+copy)*float64(3*time.Millisecond))
		if a.chance(way, n, 6+copy) < 0.1 {
			after += time.Duration(a.chance(way, n, 8+copy) * float64(20*time.Millisecond))
		}
		time.AfterFunc(after, func() {
			a.mu.Lock()
			e := a.ends[to]
			a.mu.Unlock()
			if e != nil {
				e.deliver(from, b)
			}
		})
	}
}

// end is a socket of the air: the listener's, one to a server, a terminal's or a server's.
type end struct {
	air    *air
	addr   netip.AddrPort
	peer   netip.AddrPort // where Write sends to
	take   func(from netip.AddrPort, b []byte)
	in     chan parcel
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	refusal [][]byte
}

type parcel struct {
	from netip.AddrPort
	b    []byte // nil: a refusal
}

func (a *air) open(peer netip.AddrPort, take func(netip.AddrPort, []byte)) *end {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	e := &end{air: a, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(a.next >> 8), byte(a.next)}), 1812), peer: peer, take: take, in: make(chan parcel, 4096), closed: make(chan struct{})}
	a.ends[e.addr] = e
	return e
}

func (e *end) deliver(from netip.AddrPort, b []byte) {
	switch {
	case e.take != nil:
		e.take(from, b)
	case e.peer.IsValid() && from != e.peer: // the system drops it
	default:
		select {
		case e.in <- parcel{from, b}:
		default:
		}
	}
}

func (e *end) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-e.in:
		if p.b == nil {
			return 0, p.from, syscall.ECONNREFUSED
		}
		return copy(b, p.b), p.from, nil
	case <-e.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (e *end) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	e.air.carry(e.addr, to, b)
	return len(b), nil
}

func (e *end) Read(b []byte) (int, error) { n, _, err := e.ReadFromUDPAddrPort(b); return n, err }
func (e *end) Write(b []byte) (int, error) {
	return e.WriteToUDPAddrPort(b, e.peer)
}
func (e *end) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(e.addr) }

func (e *end) Close() error {
	e.once.Do(func() {
		e.air.mu.Lock()
		delete(e.air.ends, e.addr)
		e.air.mu.Unlock()
		close(e.closed)
	})
	return nil
}

// refuse is the news that a packet's port was refused.
func (e *end) refuse(b []byte) {
	e.mu.Lock()
	e.refusal = append(e.refusal, b)
	e.mu.Unlock()
	select {
	case e.in <- parcel{}:
	default:
	}
}

func (e *end) Refused(tell func([]byte)) {
	e.mu.Lock()
	all := e.refusal
	e.refusal = nil
	e.mu.Unlock()
	for _, b := range all {
		tell(b)
	}
}

// tally is what the servers of a run received of one call or event.
type tally struct{ packets, attempts, effects int }

// virtualServer counts as the stand-in does, and knows duplicates by address,
// identifier and authenticator.
type virtualServer struct {
	name    string
	end     *end
	mu      *sync.Mutex // of the run
	ledger  map[string]tally
	answers map[string][]byte
	frozen  bool
	down    bool
}

func (s *virtualServer) take(from netip.AddrPort, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.end.air.mu.Lock()
		e := s.end.air.ends[from]
		s.end.air.mu.Unlock()
		if e != nil {
			e.refuse(b)
		}
		return
	}
	p, err := radius.Parse(b)
	if s.frozen || err != nil || p.VerifyRequest([]byte(ofServer), true) != nil {
		return
	}
	name := string(p.Get(radius.UserName)) + string(p.Get(radius.AcctSessionID))
	key := fmt.Sprint(from, p.ID, p.Authenticator)
	t := s.ledger[name]
	t.packets++
	answer, again := s.answers[key]
	if !again {
		t.attempts++
		t.effects++
		code := radius.AccountingResponse
		if p.Code == radius.AccessRequest {
			code = radius.AccessAccept
		}
		a := radius.Answer(p, code)
		a.SignAnswer([]byte(ofServer), p.Authenticator)
		answer = a.Marshal()
		s.answers[key] = answer
	}
	s.ledger[name] = t
	s.end.WriteToUDPAddrPort(answer, from)
}

// script is what becomes of one call: its answer's code, 0 for none, and the packets sent.
type script struct {
	code    radius.Code
	packets int
}

// terminal asks until it is answered, as often as it may; accounting has a new
// identifier and another delay each time.
func (a *air) terminal(to netip.AddrPort, name string, accounting bool) (s script) {
	e := a.open(to, nil)
	defer e.Close()
	var wire []byte
	var auth radius.Authenticator
	copy(auth[:], name)
	for n := range 100 {
		if n == 0 || accounting {
			p := &radius.Packet{Code: radius.AccessRequest, ID: byte(n), Authenticator: auth}
			if accounting {
				p = &radius.Packet{Code: radius.AccountingRequest, ID: byte(n)}
				p.AddUint32(radius.AcctStatusType, 1)
				p.Add(radius.AcctSessionID, []byte(name))
				p.AddUint32(radius.EventTimestamp, 1790000000)
				p.AddUint32(radius.AcctDelayTime, uint32(n))
			} else {
				p.Add(radius.MessageAuthenticator, make([]byte, 16))
				p.Add(radius.UserName, []byte(name))
			}
			p.SignRequest([]byte(terminals))
			wire = p.Marshal()
		}
		e.Write(wire)
		s.packets++
		wait := time.NewTimer(80 * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case p := <-e.in:
				request, _ := radius.Parse(wire)
				answer, err := radius.Parse(p.b)
				if err == nil && answer.ID == request.ID && answer.VerifyAnswer([]byte(terminals), request.Authenticator, true) == nil {
					wait.Stop()
					s.code = answer.Code
					return s
				}
			case <-wait.C:
				waiting = false
			}
		}
	}
	return s
}

// virtualRun plays calls through the proxy, with a server frozen for a time, one killed
// and one drained, and returns what became of each and what the servers received.
func virtualRun(t *testing.T, loss float64, calls, most int) (scripts map[string]script, ledger map[string]tally, counts string) {
	scripts, ledger = make(map[string]script), make(map[string]tally)
	synctest.Test(t, func(t *testing.T) {
		a := &air{seed: 7, loss: loss, sent: make(map[string]int), ends: make(map[netip.AddrPort]*end)}
		var mu sync.Mutex
		var servers []*virtualServer
		sec := section()
		sec.MaxAttempts, sec.MaxCallsPerClient = most, 1000
		sec.Clients[0].Range = "127.1.0.0/16"
		sec.Access.AttemptTimeout, sec.Access.Deadline, sec.Access.ResendDelay, sec.Access.MaxResends = ms(200), ms(3000), ms(40), 2
		sec.Accounting.ResendDelay, sec.Accounting.MaxResends, sec.Accounting.AttemptTimeout, sec.Accounting.Deadline = ms(40), 10, ms(2500), ms(3000)
		for n := range 4 {
			s := &virtualServer{name: fmt.Sprint("r", n+1), mu: &mu, ledger: ledger, answers: make(map[string][]byte)}
			s.end = a.open(netip.AddrPort{}, s.take)
			servers = append(servers, s)
			sec.Servers = append(sec.Servers, features.RadiusServer{Name: s.name, Auth: s.end.addr.String(), Acct: s.end.addr.String(), Secret: ofServer})
		}
		p, err := New(Config{
			Radius: sec, Base: base(), Grace: 2 * time.Second, Seed: 5,
			Listen: func(string) listener.Conn { return a.open(netip.AddrPort{}, nil) },
			Dial:   func(to netip.AddrPort) (transport.Conn, error) { return a.open(to, nil), nil },
		})
		if err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for n := range calls {
			switch n {
			case calls / 4:
				mu.Lock()
				servers[0].frozen = true
				mu.Unlock()
			case calls / 2:
				mu.Lock()
				servers[0].frozen, servers[1].down = false, true
				mu.Unlock()
			case calls * 3 / 4:
				for _, s := range p.sides {
					s.pools[""].host.ApplyList(leaving("r3"))
				}
			}
			accounting := n%2 == 1
			name, to := fmt.Sprint("u", n), p.Addr(accounting)
			if accounting {
				name = fmt.Sprint("s", n)
			}
			wg.Go(func() {
				s := a.terminal(to, name, accounting)
				mu.Lock()
				scripts[name] = s
				mu.Unlock()
			})
			time.Sleep(2*time.Millisecond + time.Duration(n%97)*time.Nanosecond)
		}
		wg.Wait()
		access, at := p.Counts(false)
		acct, st := p.Counts(true)
		counts = fmt.Sprintf("%+v %+v %+v %+v", access, at, acct, st)
		p.Close()
		for _, s := range servers {
			s.end.Close()
		}
	})
	return scripts, ledger, counts
}

// In virtual time, over a seeded way: what becomes of each call and what the servers
// receive of it is the same on every run, to the packet; each event that is answered is
// counted once, no event twice, and each access call has one answer within its cap.
func TestVirtual(t *testing.T) {
	const (
		calls = 3334 // twice for each loss: 20,004
		most  = 3
	)
	for _, loss := range []float64{0, 0.1, 0.3} {
		t.Run(fmt.Sprintf("loss=%v", loss), func(t *testing.T) {
			scripts, ledger, counts := virtualRun(t, loss, calls, most)
			again, ledgerAgain, countsAgain := virtualRun(t, loss, calls, most)
			if !maps.Equal(scripts, again) || !maps.Equal(ledger, ledgerAgain) || counts != countsAgain {
				differ := 0
				for name, s := range scripts {
					if s != again[name] || ledger[name] != ledgerAgain[name] {
						if differ++; differ <= 5 {
							t.Errorf("%s: %+v %+v, then %+v %+v", name, s, ledger[name], again[name], ledgerAgain[name])
						}
					}
				}
				t.Errorf("%d of %d calls differ;\n%s\n%s", differ, calls, counts, countsAgain)
			}
			accepted, rejected, answered, open := 0, 0, 0, 0
			for name, s := range scripts {
				l := ledger[name]
				switch {
				case name[0] == 'u' && s.code == 0:
					t.Errorf("%s: no answer", name)
				case name[0] == 'u' && l.attempts > most:
					t.Errorf("%s: %+v", name, l)
				case name[0] == 's' && (l.effects > 1 || s.code != 0 && l.effects != 1):
					t.Errorf("%s: %+v %+v", name, s, l)
				case s.code == radius.AccessAccept:
					accepted++
				case s.code == radius.AccessReject:
					rejected++
				case s.code == radius.AccountingResponse:
					answered++
				default:
					open++
				}
			}
			if len(scripts) != calls || accepted == 0 || answered == 0 {
				t.Errorf("%d calls", len(scripts))
			}
			t.Logf("%d access calls accepted, %d rejected; %d events answered and counted once, %d given up\n%s", accepted, rejected, answered, open, counts)
		})
	}
}
