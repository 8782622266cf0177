package standin

import (
	"bytes"
	"crypto/hmac"
	"crypto/md5"
	"crypto/rand"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"sync"
	"time"

	"layeh.com/radius"
	"layeh.com/radius/rfc2865"
	"layeh.com/radius/rfc2866"
	"layeh.com/radius/rfc2869"
)

// The RADIUS stand-ins are coded with a library of its own, so that they bear witness
// to the sidecar's packets too.

// RadiusAct is what a RADIUS server does with a packet.
type RadiusAct struct {
	Kind  RadiusKind
	Delay time.Duration // before the answer
}

// RadiusKind is what a RADIUS server does with a packet.
type RadiusKind int

const (
	// RadiusAccept accepts access, or counts accounting, and says so.
	RadiusAccept RadiusKind = iota
	// RadiusReject rejects access.
	RadiusReject
	// RadiusChallenge asks for more, once: a request that brings the State is accepted.
	RadiusChallenge
	// RadiusIgnore drops the packet unseen.
	RadiusIgnore
	// RadiusSilent runs the request and says nothing.
	RadiusSilent
	// RadiusTwice answers twice.
	RadiusTwice
	// RadiusForged answers under another secret first, and with a wrong identifier, then
	// well.
	RadiusForged
	// RadiusElsewhere answers from another socket, and then nothing more.
	RadiusElsewhere
	// RadiusUnsigned answers access without Message-Authenticator.
	RadiusUnsigned
)

// RadiusCount is what servers received of one call, or event.
type RadiusCount struct {
	Packets  int // datagrams, duplicates among them
	Attempts int // packets that are no duplicates of another
	Effects  int // runs
}

// RadiusLedger counts what all servers of a fleet received: access by User-Name,
// accounting by NAS, session, status and time.
type RadiusLedger struct {
	mu sync.Mutex
	by map[string]*RadiusCount
}

// NewRadiusLedger returns an empty RadiusLedger.
func NewRadiusLedger() *RadiusLedger { return &RadiusLedger{by: make(map[string]*RadiusCount)} }

func (l *RadiusLedger) add(name string, attempts, effects int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.by[name]
	if c == nil {
		c = new(RadiusCount)
		l.by[name] = c
	}
	if attempts >= 0 {
		c.Packets++
		c.Attempts += attempts
	}
	c.Effects += effects
}

// Of is the count of a call or an event.
func (l *RadiusLedger) Of(name string) RadiusCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.by[name]; c != nil {
		return *c
	}
	return RadiusCount{}
}

// All is the count of each.
func (l *RadiusLedger) All() map[string]RadiusCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]RadiusCount, len(l.by))
	for name, c := range l.by {
		all[name] = *c
	}
	return all
}

// RadiusSeen is what a script sees.
type RadiusSeen struct {
	Name     string // of the call or event, as the ledger has it
	Nth      int    // of the call's attempts at all servers, from 1
	Password string
	Packet   *radius.Packet
}

// RadiusServer is a server for access and accounting on one port. It knows duplicates by
// address, identifier and authenticator, as RFC 5080 section 2.2.2 asks.
type RadiusServer struct {
	Name   string
	Ledger *RadiusLedger

	secret []byte
	addr   string
	wg     sync.WaitGroup

	mu       sync.Mutex
	script   func(RadiusSeen) RadiusAct
	conn     *net.UDPConn // nil: down
	answers  map[string][]byte
	frozen   bool
	bad      int // packets that could not be verified
	unsigned int // access without Message-Authenticator
	status   int
	got      map[string]int
}

// NewRadiusServer starts a server on a loopback port that the system picks.
func NewRadiusServer(name, secret string, ledger *RadiusLedger) (*RadiusServer, error) {
	s := &RadiusServer{Name: name, Ledger: ledger, secret: []byte(secret), addr: "127.0.0.2:0", answers: make(map[string][]byte), got: make(map[string]int)}
	s.script = func(RadiusSeen) RadiusAct { return RadiusAct{} }
	if err := s.Restart(); err != nil {
		return nil, err
	}
	return s, nil
}

// Restart starts it at its address; it remembers nothing.
func (s *RadiusServer) Restart() error {
	s.Kill()
	addr, err := net.ResolveUDPAddr("udp", s.addr)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	conn.SetReadBuffer(4 << 20)
	s.mu.Lock()
	s.conn, s.addr, s.answers = conn, conn.LocalAddr().String(), make(map[string][]byte)
	s.mu.Unlock()
	s.wg.Go(func() { s.serve(conn) })
	return nil
}

// Kill closes its port.
func (s *RadiusServer) Kill() {
	s.mu.Lock()
	conn := s.conn
	s.conn = nil
	s.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// Close ends it.
func (s *RadiusServer) Close() {
	s.Kill()
	s.wg.Wait()
}

// Addr is its address.
func (s *RadiusServer) Addr() string { return s.addr }

// Do changes what it does.
func (s *RadiusServer) Do(script func(RadiusSeen) RadiusAct) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// Freeze has it drop all packets unseen, until it is called with false.
func (s *RadiusServer) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = on
}

// Bad is how many packets it could not verify, Unsigned how many lacked a
// Message-Authenticator, Status how many asked for its status.
func (s *RadiusServer) Bad() (bad, unsigned, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bad, s.unsigned, s.status
}

func (s *RadiusServer) serve(conn *net.UDPConn) {
	buf := make([]byte, 4096)
	for {
		n, from, err := conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		s.take(conn, bytes.Clone(buf[:n]), from)
	}
}

// signature is the Message-Authenticator that a packet should have.
func signature(wire []byte, auth [16]byte, secret []byte) ([]byte, bool) {
	wire = bytes.Clone(wire)
	copy(wire[4:20], auth[:])
	for at := 20; at+2 <= len(wire); at += max(2, int(wire[at+1])) {
		if wire[at] == 80 && at+18 <= len(wire) {
			clear(wire[at+2 : at+18])
			h := hmac.New(md5.New, secret)
			h.Write(wire)
			return h.Sum(nil), true
		}
	}
	return nil, false
}

// RadiusEvent names an accounting event as the ledger has it.
func RadiusEvent(p *radius.Packet) string {
	return fmt.Sprintf("%s %s %d %v", rfc2865.NASIdentifier_GetString(p), rfc2866.AcctSessionID_GetString(p), rfc2866.AcctStatusType_Get(p), rfc2869.EventTimestamp_Get(p).Unix())
}

func (s *RadiusServer) take(conn *net.UDPConn, wire []byte, from *net.UDPAddr) {
	p, err := radius.Parse(wire, s.secret)
	if err != nil || !radius.IsAuthenticRequest(wire, s.secret) && p.Code != radius.CodeStatusServer {
		s.mu.Lock()
		s.bad++
		s.mu.Unlock()
		return
	}
	if p.Code != radius.CodeAccountingRequest {
		want, ok := signature(wire, p.Authenticator, s.secret)
		got := rfc2869.MessageAuthenticator_Get(p)
		if !ok || !hmac.Equal(want, got) {
			s.mu.Lock()
			s.unsigned++
			s.mu.Unlock()
			return
		}
	}
	s.mu.Lock()
	frozen, script := s.frozen, s.script
	if p.Code == radius.CodeStatusServer && !frozen {
		s.status++
	}
	s.mu.Unlock()
	if frozen {
		return
	}
	if p.Code == radius.CodeStatusServer {
		s.send(conn, from, p, radius.CodeAccessAccept, nil, true)
		return
	}
	seen := RadiusSeen{Packet: p}
	if p.Code == radius.CodeAccessRequest {
		seen.Name, seen.Password = rfc2865.UserName_GetString(p), rfc2865.UserPassword_GetString(p)
	} else {
		seen.Name = RadiusEvent(p)
	}
	key := fmt.Sprint(from, p.Identifier, p.Authenticator)
	s.mu.Lock()
	s.got[seen.Name]++
	answer, again := s.answers[key]
	s.mu.Unlock()
	if again {
		s.Ledger.add(seen.Name, 0, 0)
		if answer != nil {
			conn.WriteTo(answer, from)
		}
		return
	}
	seen.Nth = s.Ledger.Of(seen.Name).Attempts + 1
	act := script(seen)
	if act.Kind == RadiusIgnore {
		return
	}
	s.Ledger.add(seen.Name, 1, 1)
	code := radius.CodeAccessAccept
	var state []byte
	switch {
	case p.Code == radius.CodeAccountingRequest:
		code = radius.CodeAccountingResponse
	case act.Kind == RadiusReject:
		code = radius.CodeAccessReject
	case act.Kind == RadiusChallenge && len(rfc2865.State_Get(p)) == 0:
		code, state = radius.CodeAccessChallenge, []byte("state of "+s.Name+" for "+seen.Name)
	}
	if act.Kind == RadiusSilent {
		s.mu.Lock()
		s.answers[key] = nil
		s.mu.Unlock()
		return
	}
	good := s.answer(p, code, state, act.Kind != RadiusUnsigned)
	s.mu.Lock()
	s.answers[key] = good
	s.mu.Unlock()
	reply := func() {
		switch act.Kind {
		case RadiusForged:
			other := &RadiusServer{secret: []byte("forged")}
			q := *p
			q.Secret = other.secret
			conn.WriteTo(other.answer(&q, code, nil, true), from)
			q.Secret, q.Identifier = s.secret, p.Identifier+1
			conn.WriteTo(s.answer(&q, code, nil, true), from)
		case RadiusTwice:
			conn.WriteTo(good, from)
		case RadiusElsewhere:
			if c, err := net.DialUDP("udp", nil, from); err == nil {
				c.Write(good)
				c.Close()
			}
			return
		}
		conn.WriteTo(good, from)
	}
	if act.Delay > 0 {
		time.AfterFunc(act.Delay, reply)
		return
	}
	reply()
}

func (s *RadiusServer) send(conn *net.UDPConn, to *net.UDPAddr, p *radius.Packet, code radius.Code, state []byte, signed bool) {
	conn.WriteTo(s.answer(p, code, state, signed), to)
}

// answer is an answer as on the wire. Proxy-State is copied in its order.
func (s *RadiusServer) answer(p *radius.Packet, code radius.Code, state []byte, signed bool) []byte {
	a := p.Response(code)
	if signed && code != radius.CodeAccountingResponse {
		rfc2869.MessageAuthenticator_Set(a, make([]byte, 16))
	}
	if len(state) > 0 {
		rfc2865.State_Set(a, state)
	}
	if code == radius.CodeAccessAccept && s.Name != "" {
		rfc2865.ReplyMessage_SetString(a, "welcome from "+s.Name)
	}
	states, _ := rfc2865.ProxyState_Gets(p)
	for _, v := range states {
		rfc2865.ProxyState_Add(a, v)
	}
	return sign(a, p.Authenticator)
}

// sign fills in the Message-Authenticator and encodes.
func sign(a *radius.Packet, auth [16]byte) []byte {
	plain, err := a.MarshalBinary()
	if err != nil {
		panic(err) // of attributes that came in a packet
	}
	if sum, ok := signature(plain, auth, a.Secret); ok {
		rfc2869.MessageAuthenticator_Set(a, sum)
	}
	wire, err := a.Encode()
	if err != nil {
		panic(err)
	}
	return wire
}

// RadiusAsk is a request of a terminal's.
type RadiusAsk struct {
	User, Password string // access, if User is set
	State          []byte
	NAS, Session   string // accounting, else
	Status         uint32 // 1 start, 2 stop, 3 interim
	At             time.Time

	Tries   int           // packets at most
	Each    time.Duration // how long each waits for its answer
	NewID   bool          // each retransmission has a new identifier and another Acct-Delay-Time
	NewPort bool          // each comes from another port
	Bare    bool          // access without Message-Authenticator
}

// RadiusReply is what became of a RadiusAsk.
type RadiusReply struct {
	Code    radius.Code // 0: no answer
	Packet  *radius.Packet
	Packets int // that were sent
	Err     error
}

// RadiusClient is a counter terminal.
type RadiusClient struct {
	addr   string
	secret []byte
	local  string
}

// NewRadiusClient returns a terminal that asks at an address, from a local IP address
// (empty: any).
func NewRadiusClient(addr, secret, local string) *RadiusClient {
	return &RadiusClient{addr: addr, secret: []byte(secret), local: local}
}

func (c *RadiusClient) dial() (*net.UDPConn, error) {
	to, err := net.ResolveUDPAddr("udp", c.addr)
	if err != nil {
		return nil, err
	}
	var from *net.UDPAddr
	if c.local != "" {
		from = &net.UDPAddr{IP: net.ParseIP(c.local)}
	}
	return net.DialUDP("udp", from, to)
}

// Packet is a request as on the wire; delay is the Acct-Delay-Time.
func (c *RadiusClient) Packet(a RadiusAsk, id byte, auth [16]byte, delay time.Duration) []byte {
	code := radius.CodeAccountingRequest
	if a.User != "" {
		code = radius.CodeAccessRequest
	}
	p := &radius.Packet{Code: code, Identifier: id, Authenticator: auth, Secret: c.secret}
	if a.User != "" {
		if !a.Bare {
			rfc2869.MessageAuthenticator_Set(p, make([]byte, 16))
		}
		rfc2865.UserName_SetString(p, a.User)
		rfc2865.UserPassword_SetString(p, a.Password)
		if len(a.State) > 0 {
			rfc2865.State_Set(p, a.State)
		}
	} else {
		rfc2866.AcctStatusType_Set(p, rfc2866.AcctStatusType(a.Status))
		rfc2866.AcctSessionID_SetString(p, a.Session)
		rfc2866.AcctDelayTime_Set(p, rfc2866.AcctDelayTime(delay/time.Second))
		if !a.At.IsZero() {
			rfc2869.EventTimestamp_Set(p, a.At)
		}
	}
	rfc2865.NASIdentifier_SetString(p, a.NAS)
	rfc2865.ProxyState_Add(p, []byte("of the terminal"))
	return sign(p, auth)
}

// Do asks, and asks again while no answer comes.
func (c *RadiusClient) Do(a RadiusAsk) (r RadiusReply) {
	conn, err := c.dial()
	if err != nil {
		return RadiusReply{Err: err}
	}
	defer func() { conn.Close() }()
	var auth [16]byte
	rand.Read(auth[:])
	id := auth[0]
	wire := c.Packet(a, id, auth, 0)
	buf := make([]byte, 4096)
	for n := range a.Tries {
		if n > 0 && a.NewPort {
			conn.Close()
			if conn, err = c.dial(); err != nil {
				return RadiusReply{Packets: n, Err: err}
			}
		}
		if n > 0 && a.NewID {
			id++
			wire = c.Packet(a, id, auth, time.Duration(n)*time.Second)
		}
		conn.Write(wire)
		r.Packets++
		end := time.Now().Add(a.Each)
		for {
			conn.SetReadDeadline(end)
			k, err := conn.Read(buf)
			if err != nil {
				if time.Now().Before(end) { // the port is refused: it may come up
					time.Sleep(time.Until(end))
				}
				break
			}
			p, err := radius.Parse(buf[:k], c.secret)
			if err != nil || p.Identifier != id || !radius.IsAuthenticResponse(buf[:k], wire, c.secret) {
				r.Err = errors.New("standin: an answer that is none")
				continue
			}
			if p.Code != radius.CodeAccountingResponse {
				want, ok := signature(buf[:k], [16]byte(wire[4:20]), c.secret)
				if !ok || !hmac.Equal(want, rfc2869.MessageAuthenticator_Get(p)) {
					r.Err = errors.New("standin: an answer without its Message-Authenticator")
					continue
				}
			}
			r.Code, r.Packet, r.Err = p.Code, p, nil
			return r
		}
	}
	return r
}

// Relay passes datagrams on between clients and a server, and loses, doubles and delays
// some, by its seed.
type Relay struct {
	Loss, Double, Late float64 // shares of all datagrams, each way

	conn *net.UDPConn
	to   *net.UDPAddr
	wg   sync.WaitGroup

	mu    sync.Mutex
	rng   *mrand.Rand
	peers map[string]*net.UDPConn
	done  bool
}

// relayPeers bounds the clients that a Relay keeps a socket for.
const relayPeers = 512

// NewRelay starts a relay to an address.
func NewRelay(to string, seed uint64, loss, double, late float64) (*Relay, error) {
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	conn.SetReadBuffer(4 << 20)
	r := &Relay{Loss: loss, Double: double, Late: late, conn: conn, to: addr, rng: mrand.New(mrand.NewPCG(seed, 4)), peers: make(map[string]*net.UDPConn)}
	r.wg.Go(r.serve)
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.conn.LocalAddr().String() }

func (r *Relay) pass(send func([]byte), b []byte) {
	r.mu.Lock()
	lost, twice, late := r.rng.Float64() < r.Loss, r.rng.Float64() < r.Double, r.rng.Float64() < r.Late
	after := time.Duration(r.rng.Float64() * float64(20*time.Millisecond))
	r.mu.Unlock()
	if lost {
		return
	}
	if twice {
		send(b)
	}
	if late {
		b = bytes.Clone(b)
		time.AfterFunc(after, func() { send(b) })
		return
	}
	send(b)
}

func (r *Relay) serve() {
	buf := make([]byte, 4096)
	for {
		n, from, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		peer := r.peer(from)
		if peer == nil {
			continue
		}
		r.pass(func(b []byte) { peer.Write(b) }, buf[:n])
	}
}

// peer is the socket for a client. The system tells it of a refused port, which it does
// not pass on: what is behind a relay is lost without a word.
func (r *Relay) peer(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := from.String()
	if c := r.peers[name]; c != nil || r.done {
		return c
	}
	if len(r.peers) >= relayPeers {
		for old, c := range r.peers {
			c.Close()
			delete(r.peers, old)
			break
		}
	}
	c, err := net.DialUDP("udp", nil, r.to)
	if err != nil {
		return nil
	}
	r.peers[name] = c
	r.wg.Go(func() {
		buf := make([]byte, 4096)
		for {
			n, err := c.Read(buf)
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				continue
			}
			r.pass(func(b []byte) { r.conn.WriteTo(b, from) }, buf[:n])
		}
	})
	return c
}

// Close ends it.
func (r *Relay) Close() {
	r.conn.Close()
	r.mu.Lock()
	r.done = true
	for _, c := range r.peers {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// Throw sends a datagram and waits for nothing.
func (c *RadiusClient) Throw(b []byte) {
	if conn, err := c.dial(); err == nil {
		conn.Write(b)
		conn.Close()
	}
}

// Exchange sends a packet once and waits for its answer.
func (c *RadiusClient) Exchange(wire []byte, wait time.Duration) (r RadiusReply) {
	conn, err := c.dial()
	if err != nil {
		return RadiusReply{Err: err}
	}
	defer conn.Close()
	conn.Write(wire)
	conn.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	if err != nil {
		return RadiusReply{Packets: 1, Err: err}
	}
	p, err := radius.Parse(buf[:n], c.secret)
	if err != nil || p.Identifier != wire[1] || !radius.IsAuthenticResponse(buf[:n], wire, c.secret) {
		return RadiusReply{Packets: 1, Err: errors.New("standin: an answer that is none")}
	}
	return RadiusReply{Code: p.Code, Packet: p, Packets: 1}
}

// Got is how many packets of a call or event this server received, Names what it
// received of.
func (s *RadiusServer) Got(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got[name]
}

// Names is the calls and events that this server received.
func (s *RadiusServer) Names() (all []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.got {
		all = append(all, name)
	}
	return all
}
