// Package transport carries RADIUS attempts to servers over UDP, for the core. An
// attempt is one exchange with one server: one packet, under one identifier and one
// authenticator. Where the settings say so the very same packet is sent again, to the
// same server, from the same socket, until its answer comes; a server knows such
// packets for duplicates and runs them once (RFC 5080 section 2.2.2).
//
// What has run:
//
//	what comes back                               outcome         has it run?
//	a verified answer                             OK              yes
//	nothing, until the patience is over           timed out       it may have, or may yet
//	for each packet sent, a refusal of the port   could not connect  never
//	no identifier, no socket left                 not sent        never
//
// A packet that can't be verified, or comes from elsewhere, is dropped and counted; the
// attempt waits on.
package transport

import (
	"crypto/rand"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/radius"
	"chalkrack/internal/radius/ident"
)

// Config is what a Transport is told.
type Config struct {
	Secret   func(server string) []byte // of a server; nil: it has none and gets nothing
	Sockets  int                        // of each server at most, each for 256 attempts
	Rest     time.Duration              // how long a late answer may come
	Patience time.Duration              // how long an attempt waits for its answer
	Resend   time.Duration              // after how long a packet is sent again; doubled thrice
	Resends  int                        // how often at most
	// Unsigned takes answers to access without Message-Authenticator: whoever is on the
	// way can forge them (CVE-2024-3596).
	Unsigned bool
	Grace    time.Duration                      // after which nothing new goes to a server that has left
	Dial     func(netip.AddrPort) (Conn, error) // nil: UDP
}

// Request is the payload of a call: a request as it came, and the hop that it came by.
type Request struct {
	Packet *radius.Packet
	From   radius.Hop
	// Resumes says that a call that is given up may come again: its packet, identifier
	// and socket are kept until Forget, so that its server knows the next attempt for a
	// duplicate of this one. An answer that comes meanwhile is kept for it.
	Resumes bool

	mu     sync.Mutex
	t      *Transport // whose attempts it has; nil: none yet
	sent   string     // the server that got a packet of it last and may have run it
	lost   bool       // it may have run, and nothing is kept to go on with
	parked *attempt   // guarded by the Transport's lock
	late   *Answer    // likewise
}

// Forget frees what is kept for a call that does not come again.
func (r *Request) Forget() {
	r.mu.Lock()
	t := r.t
	r.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := r.parked; a != nil {
		r.parked, r.late = nil, nil
		t.parked--
		a.release(false)
	}
}

// Lost is the Request of a call that may have run at a server, and can't go on: what
// was sent for it is not known any more.
func Lost(server string) *Request { return &Request{Resumes: true, sent: server, lost: true} }

// IsLost says whether it may have run at a server that would not know another attempt
// for a duplicate. It is not to be sent again.
func (r *Request) IsLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

func (r *Request) lose() {
	r.mu.Lock()
	r.lost = true
	r.mu.Unlock()
}

// ran notes the server that may have run it, empty for none.
func (r *Request) ran(server string) {
	r.mu.Lock()
	r.sent = server
	r.mu.Unlock()
}

// SentTo is the server that got a packet of it last, empty if none did or it was
// refused.
func (r *Request) SentTo() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// Answer is a server's answer, as the client's hop is to have it.
type Answer struct {
	Packet *radius.Packet
	Server string
}

// Counts is what a Transport has met.
type Counts struct {
	Sent, Resent int64
	Answers      int64
	Unverified   int64 // dropped: wrong authenticator, or none
	Unasked      int64 // dropped: nothing waits for it
	Refusals     int64 // of ports
	NoIdentifier int64
	Malformed    int64
}

// Transport implements core.Transport.
type Transport struct {
	cfg Config

	mu      sync.Mutex
	servers map[string]*server
	off     map[*server]bool // dropped, and something waits on their sockets
	counts  Counts
	parked  int // attempts that are kept for a call that may come again
	start   time.Time
	closed  bool
	wg      sync.WaitGroup
}

// server is where a server is, with its sockets. It stays until nothing waits on it.
type server struct {
	name    string
	addr    netip.AddrPort
	ids     *ident.Pool
	sockets []*socket
	waiting int
	left    time.Time // zero: it has not
	gone    bool      // off the list, or moved: its sockets close when nothing waits
}

// New returns a Transport without servers.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg, servers: make(map[string]*server), off: make(map[*server]bool), start: time.Now()}
}

func (t *Transport) now() time.Duration { return time.Since(t.start) }

// Counts is what it has met so far.
func (t *Transport) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// AddServer implements core.Transport.
func (t *Transport) AddServer(name, address string, _ time.Duration) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		slog.Warn("radius: server without a usable address", "server", name, "err", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil {
		if s.addr == addr {
			s.left = time.Time{}
			return
		}
		t.drop(s)
	}
	t.servers[name] = &server{name: name, addr: addr, ids: ident.New(t.cfg.Sockets, t.cfg.Rest)}
}

// RetireServer implements core.Transport.
func (t *Transport) RetireServer(name string, gone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return
	}
	if s.left.IsZero() {
		s.left = time.Now()
	}
	if gone {
		t.drop(s)
	}
}

// RetainServers implements core.Transport.
func (t *Transport) RetainServers(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.servers {
		if !listed[name] {
			if s.left.IsZero() {
				s.left = time.Now()
			}
			t.drop(s)
		}
	}
}

// drop takes a server off. Its sockets stay for what waits on them.
func (t *Transport) drop(s *server) {
	s.gone = true
	if s.left.IsZero() {
		s.left = time.Now()
	}
	delete(t.servers, s.name)
	t.off[s] = true
	t.release(s)
}

// release closes the sockets of a server that is off, once nothing waits on them.
func (t *Transport) release(s *server) {
	if !s.gone || s.waiting > 0 {
		return
	}
	for _, k := range s.sockets {
		if k != nil {
			k.conn.Close()
		}
	}
	s.sockets = nil
	delete(t.off, s)
}

// CloseIdle implements core.Transport: sockets without traffic cost a server nothing.
func (t *Transport) CloseIdle(string) {}

// Probe implements core.Transport: RADIUS has no load reports.
func (t *Transport) Probe(string, time.Duration, func(chalkrack.LoadReport)) {}

// Close ends all attempts, as timed out or never sent, and its goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	var all, parked []*attempt
	for s := range t.off {
		s.collect(&all, &parked)
	}
	for _, s := range t.servers {
		s.collect(&all, &parked)
	}
	t.mu.Unlock()
	for _, a := range parked {
		a.request.Forget()
	}
	for _, a := range all {
		a.timedOut()
	}
	t.RetainServers(nil)
	t.wg.Wait()
}

// collect adds the attempts that wait on a server, and those that are kept.
func (s *server) collect(all, parked *[]*attempt) {
	for _, k := range s.sockets {
		if k == nil {
			continue
		}
		for _, a := range k.waiting {
			switch {
			case a == nil:
			case a.request.parked == a:
				*parked = append(*parked, a)
			default:
				*all = append(*all, a)
			}
		}
	}
}

// NewAttempt implements core.Transport. The payload is a *Request.
func (t *Transport) NewAttempt(o core.Order) core.Attempt {
	r := o.Payload.(*Request)
	r.mu.Lock()
	r.t = t
	r.mu.Unlock()
	return &attempt{t: t, order: o, request: r}
}

// attempt implements core.Attempt. All below is guarded by the Transport's lock.
type attempt struct {
	t       *Transport
	order   core.Order
	request *Request

	socket   *socket // nil: it has no identifier
	id       ident.ID
	server   *server
	wire     []byte
	hop      radius.Hop
	state    []byte
	sent     int  // packets
	refused  int  // of them
	quiet    bool // the port was refused after a packet that may have been read
	resends  int
	began    time.Time
	until    time.Time // when its patience is over
	timer    *time.Timer
	ended    bool // abandoned, or its outcome is told
	answered bool
}

// stateSize is that of the Proxy-State that an attempt adds.
const stateSize = 8

// Start implements core.Attempt.
func (a *attempt) Start() {
	if o, failed := a.start(); failed {
		a.order.Sink.Done(o, nil, chalkrack.LoadReport{})
	}
}

func (a *attempt) start() (o chalkrack.Outcome, failed bool) {
	t := a.t
	secret := t.cfg.Secret(a.order.Server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ended {
		return chalkrack.ConnectFailed, true
	}
	s := t.servers[a.order.Server]
	if s == nil || t.late(s) || t.closed || len(secret) == 0 || !a.order.NotAfter.IsZero() && time.Now().After(a.order.NotAfter) {
		a.ended = true
		return chalkrack.ConnectFailed, true
	}
	if p := a.request.parked; p != nil {
		if p.server != s && a.request.late == nil { // it has moved: there nobody knows the packet
			a.ended = true
			return chalkrack.NotSent, true
		}
		a.adopt(p)
		return 0, false
	}
	id, opened, ok := s.ids.Acquire(t.now())
	if !ok {
		t.counts.NoIdentifier++
		a.ended = true
		return chalkrack.NotSent, true
	}
	if opened {
		k, err := t.open(s)
		if err != nil {
			slog.Warn("radius: no socket", "server", s.name, "err", err)
		}
		s.sockets = append(s.sockets, k) // nil: what is given an identifier of it is not sent
	}
	k := s.sockets[id.Socket]
	if k == nil {
		if k, _ = t.open(s); k == nil {
			s.ids.Release(t.now(), id, false)
			a.ended = true
			return chalkrack.NotSent, true
		}
		s.sockets[id.Socket] = k
	}
	var auth radius.Authenticator
	rand.Read(auth[:])
	a.state = make([]byte, stateSize)
	rand.Read(a.state)
	p, hop, err := radius.ForwardRequest(a.request.Packet, a.request.From, secret, id.Number, auth, a.state)
	if err != nil {
		slog.Info("radius: request can't be sent on", "err", err)
		s.ids.Release(t.now(), id, true)
		a.ended = true
		return chalkrack.NotSent, true
	}
	a.server, a.socket, a.id, a.wire, a.hop, a.began = s, k, id, p.Marshal(), hop, time.Now()
	a.limit()
	k.waiting[id.Number] = a
	s.waiting++
	a.send()
	a.wind()
	return 0, false
}

// adopt goes on with the packet of an attempt that was given up.
func (a *attempt) adopt(p *attempt) {
	t := a.t
	a.request.parked = nil
	t.parked--
	a.server, a.socket, a.id, a.wire, a.hop, a.state = p.server, p.socket, p.id, p.wire, p.hop, p.state
	a.sent, a.refused = p.sent, p.refused
	p.socket = nil
	a.socket.waiting[a.id.Number] = a
	a.began = time.Now()
	a.limit()
	if ans := a.request.late; ans != nil {
		a.request.late = nil
		a.ended, a.answered = true, true
		a.release(true)
		go a.order.Sink.Done(chalkrack.OK, ans, chalkrack.LoadReport{})
		return
	}
	a.send()
	a.wind()
}

// limit sets when its patience is over.
func (a *attempt) limit() {
	a.until = a.began.Add(a.t.cfg.Patience)
	if !a.order.Deadline.IsZero() && a.order.Deadline.Before(a.until) {
		a.until = a.order.Deadline
	}
}

// late says that the grace of a server that left is over. It is called with the lock
// held, as are the methods below.
func (t *Transport) late(s *server) bool {
	return !s.left.IsZero() && time.Since(s.left) > t.cfg.Grace
}

func (a *attempt) send() {
	a.sent++
	if a.sent == 1 {
		a.t.counts.Sent++
		a.request.ran(a.server.name)
	} else {
		a.t.counts.Resent++
	}
	a.socket.write(a.wire)
}

// resendDoubles is how often the time between two packets of an attempt is doubled.
const resendDoubles = 3

// wind sets the timer for the next packet, or the end.
func (a *attempt) wind() {
	left := time.Until(a.until)
	if a.resends < a.t.cfg.Resends {
		left = min(left, a.t.cfg.Resend<<min(a.resends, resendDoubles))
	}
	a.timer = time.AfterFunc(max(left, 0), a.ring)
}

func (a *attempt) ring() {
	a.t.mu.Lock()
	if a.ended {
		a.t.mu.Unlock()
		return
	}
	if time.Now().Before(a.until) {
		a.resends++
		// One that has left gets nothing after the grace. One whose port was refused after
		// a packet of this attempt may have run it and died: back again, it would not know
		// the next one for a duplicate.
		if !a.t.late(a.server) && !a.quiet {
			a.send()
		}
		a.wind()
		a.t.mu.Unlock()
		return
	}
	a.t.mu.Unlock()
	a.timedOut()
}

func (a *attempt) timedOut() {
	a.t.mu.Lock()
	if a.ended {
		a.t.mu.Unlock()
		return
	}
	a.ended = true
	a.free(false)
	a.t.mu.Unlock()
	a.order.Sink.Done(chalkrack.TimedOut, nil, chalkrack.LoadReport{})
}

// free gives its identifier back, or keeps it for a call that may come again.
func (a *attempt) free(answered bool) {
	if a.socket == nil {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.request.Resumes && !answered && a.sent > a.refused {
		if !a.quiet && a.request.parked == nil && a.t.parked < parkedMost && !a.t.closed {
			a.request.parked = a
			a.t.parked++
			return
		}
		a.request.lose()
	}
	a.release(answered)
}

// parkedMost bounds the attempts that are kept for calls that may come again. What is
// given up past it is lost.
const parkedMost = 512

func (a *attempt) release(answered bool) {
	if a.socket == nil {
		return
	}
	a.socket.waiting[a.id.Number] = nil
	a.server.ids.Release(a.t.now(), a.id, answered)
	a.socket = nil
	a.server.waiting--
	a.t.release(a.server)
}

// Abandon implements core.Attempt.
func (a *attempt) Abandon() (began bool) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.ended = true
	return a.sent > a.refused
}

// CancelUnsent implements core.Attempt.
func (a *attempt) CancelUnsent() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	if a.sent > 0 {
		return false
	}
	a.ended = true
	return true
}

// Close implements core.Attempt: the identifier rests until no answer can come.
func (a *attempt) Close() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	if a.request.parked != a {
		a.free(a.answered)
	}
}

// Phase implements core.Attempt.
func (a *attempt) Phase() string {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	if a.sent == 0 {
		return "not sent"
	}
	return "waiting"
}

// refusal takes the refusal of a packet. Once all packets of an attempt were refused
// none can have been read.
func (a *attempt) refusal() (over bool) {
	if a.refused++; a.refused < a.sent || a.ended {
		a.quiet = true
		return false
	}
	a.ended = true
	a.request.ran("")
	a.free(true) // nothing can come
	return true
}
