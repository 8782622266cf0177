// Package transport implements the core's transport: it carries RADIUS attempts to servers over
// UDP. An attempt is one exchange with one server, with one packet, one identifier and one
// authenticator. If the settings say so, the identical packet is sent again to the same server from
// the same socket until its answer comes. A server recognizes such packets as duplicates and runs
// them once (RFC 5080 section 2.2.2).
//
// The outcome of an attempt says whether the server has run the request:
//
//	what comes back                              outcome            did the server run it?
//	a verified answer                            OK                 yes
//	nothing before the timeout of the attempt    timed out          it may have, or may yet
//	a refusal of the port for each packet sent   could not connect  never
//	nothing is sent: no identifier or no socket  not sent           never
//
// A datagram that can't be verified or comes from another address is dropped and counted, and the
// attempt goes on waiting.
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

// Config holds the settings of a Transport.
type Config struct {
	Secret              func(server string) []byte // returns a server's secret; a server without one gets no requests
	MaxSocketsPerServer int                        // sockets per server at most, each for 256 attempts
	LateAnswerTTL       time.Duration              // how long after an attempt a late answer may come
	AttemptTimeout      time.Duration              // how long an attempt waits for its answer
	ResendDelay         time.Duration              // wait before a packet is sent again, doubled up to three times
	MaxResends          int                        // how often a packet is sent again at most
	// AllowUnsignedAnswers accepts answers to access without Message-Authenticator. An attacker on
	// the network path can forge them (CVE-2024-3596).
	AllowUnsignedAnswers bool
	Grace                time.Duration                      // how long a retired server still gets packets
	Dial                 func(netip.AddrPort) (Conn, error) // opens a Conn to a server; Dial (UDP) if nil
}

// Request is the payload of a call: the client's request, and the hop between client and proxy.
type Request struct {
	Packet    *radius.Packet
	ClientHop radius.Hop
	// Resumable says that the client may retry the call after it is given up. The packet, identifier
	// and socket of its attempt are kept until Forget, so that the server recognizes the packet of
	// the next attempt as a duplicate. An answer that comes in the meantime is kept for the retry.
	Resumable bool

	mu         sync.Mutex // guards the next three fields
	transport  *Transport // of its attempts; nil before the first one
	sentTo     string     // see SentTo
	lost       bool       // see IsLost
	parked     *attempt   // attempt kept for a retry; guarded by the Transport's lock
	lateAnswer *Answer    // answer to the parked attempt; guarded by the Transport's lock
}

// Forget frees the attempt and the answer that are kept for a retry. It is called when the client
// will not retry the call any more, and may be called again.
func (r *Request) Forget() {
	r.mu.Lock()
	t := r.transport
	r.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := r.parked; a != nil {
		r.parked, r.lateAnswer = nil, nil
		t.parkedCount--
		a.release(false)
	}
}

// NewLostRequest returns the Request of a call that may have run at a server and can't be resumed,
// since the packet that was sent for it is no longer known.
func NewLostRequest(server string) *Request {
	return &Request{Resumable: true, sentTo: server, lost: true}
}

// IsLost reports whether the request may have run at a server that would not recognize another
// attempt as a duplicate. Such a request must not be sent again.
func (r *Request) IsLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

func (r *Request) markLost() {
	r.mu.Lock()
	r.lost = true
	r.mu.Unlock()
}

// setSentTo records the server that may have run the request, empty for none.
func (r *Request) setSentTo(server string) {
	r.mu.Lock()
	r.sentTo = server
	r.mu.Unlock()
}

// SentTo returns the name of the server that last got a packet of the request and may have run it.
// It is empty if no server did, or if the server's port refused all packets.
func (r *Request) SentTo() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentTo
}

// Answer is a server's answer, translated for the client's hop.
type Answer struct {
	Packet *radius.Packet
	Server string
}

// Counts holds the event counters of a Transport.
type Counts struct {
	Sent, Resent int64
	Answers      int64 // verified answers
	Unverified   int64 // dropped: authenticator or Message-Authenticator wrong or missing
	Unsolicited  int64 // dropped: no attempt waits for such an answer
	Refusals     int64 // packets refused by a server's port
	NoIdentifier int64 // attempts not sent because all identifiers were in use or resting
	Malformed    int64 // dropped: not a RADIUS packet, or an answer that can't be translated
}

// Transport implements core.Transport.
type Transport struct {
	cfg Config

	mu          sync.Mutex
	servers     map[string]*server
	removed     map[*server]bool // removed servers on whose sockets attempts still wait
	counts      Counts
	parkedCount int // attempts kept for calls that the client may retry
	start       time.Time
	closed      bool
	wg          sync.WaitGroup
}

// server is a server at one address, with its sockets. It stays until no attempt waits on it.
type server struct {
	name         string
	addr         netip.AddrPort
	identifiers  *ident.Pool
	sockets      []*socket // nil for one that could not be opened
	waitingCount int       // attempts that hold an identifier
	leftAt       time.Time // when it was retired or removed; zero if it was not
	removed      bool      // not listed any more, or listed at another address
}

// New returns a Transport without servers.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg, servers: make(map[string]*server), removed: make(map[*server]bool), start: time.Now()}
}

func (t *Transport) now() time.Duration { return time.Since(t.start) }

// Counts returns the event counters.
func (t *Transport) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// AddServer implements core.Transport.
func (t *Transport) AddServer(name, address string, _ time.Duration) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		slog.Warn("radius: server ignored: its address is not an IP address and a port", "server", name, "err", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil {
		if s.addr == addr {
			s.leftAt = time.Time{}
			return
		}
		t.removeServer(s)
	}
	t.servers[name] = &server{name: name, addr: addr, identifiers: ident.New(t.cfg.MaxSocketsPerServer, t.cfg.LateAnswerTTL)}
}

// RetireServer implements core.Transport.
func (t *Transport) RetireServer(name string, gone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return
	}
	if s.leftAt.IsZero() {
		s.leftAt = time.Now()
	}
	if gone {
		t.removeServer(s)
	}
}

// RetainServers implements core.Transport.
func (t *Transport) RetainServers(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.servers {
		if !listed[name] {
			if s.leftAt.IsZero() {
				s.leftAt = time.Now()
			}
			t.removeServer(s)
		}
	}
}

// removeServer takes a server off the list. Its sockets stay open while attempts wait on them.
func (t *Transport) removeServer(s *server) {
	s.removed = true
	if s.leftAt.IsZero() {
		s.leftAt = time.Now()
	}
	delete(t.servers, s.name)
	t.removed[s] = true
	t.closeIfUnused(s)
}

// closeIfUnused closes the sockets of a removed server once no attempt waits on them.
func (t *Transport) closeIfUnused(s *server) {
	if !s.removed || s.waitingCount > 0 {
		return
	}
	for _, sock := range s.sockets {
		if sock != nil {
			sock.conn.Close()
		}
	}
	s.sockets = nil
	delete(t.removed, s)
}

// CloseIdle implements core.Transport. It does nothing: idle UDP sockets cost a server nothing.
func (t *Transport) CloseIdle(string) {}

// Probe implements core.Transport. It does nothing: RADIUS servers send no load reports.
func (t *Transport) Probe(string, time.Duration, func(chalkrack.LoadReport)) {}

// Close ends all attempts as timed out, frees the parked ones, and returns once all reading
// goroutines have ended. Attempts started afterwards are not sent.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	var active, parked []*attempt
	for s := range t.removed {
		s.collect(&active, &parked)
	}
	for _, s := range t.servers {
		s.collect(&active, &parked)
	}
	t.mu.Unlock()
	for _, a := range parked {
		a.request.Forget()
	}
	for _, a := range active {
		a.timeOut()
	}
	t.RetainServers(nil)
	t.wg.Wait()
}

// collect appends the attempts that wait on a server to parked if they are kept for a retry, to
// active otherwise.
func (s *server) collect(active, parked *[]*attempt) {
	for _, sock := range s.sockets {
		if sock == nil {
			continue
		}
		for _, a := range sock.waiting {
			switch {
			case a == nil:
			case a.request.parked == a:
				*parked = append(*parked, a)
			default:
				*active = append(*active, a)
			}
		}
	}
}

// NewAttempt implements core.Transport. The payload is a *Request.
func (t *Transport) NewAttempt(order core.Order) core.Attempt {
	request := order.Payload.(*Request)
	request.mu.Lock()
	request.transport = t
	request.mu.Unlock()
	return &attempt{transport: t, order: order, request: request}
}

// attempt implements core.Attempt.
type attempt struct {
	transport *Transport
	order     core.Order
	request   *Request

	// The fields below are guarded by the Transport's lock.

	socket         *socket // nil if the attempt holds no identifier
	id             ident.ID
	server         *server
	wire           []byte     // the encoded packet
	hop            radius.Hop // between proxy and server
	proxyState     []byte     // the Proxy-State that the packet carries
	packetsSent    int
	packetsRefused int  // part of packetsSent that the server's port refused
	resendUnsafe   bool // the port was refused after a packet that the server may have read
	resends        int  // how often a resend was due, also if it was left out
	startedAt      time.Time
	timeoutAt      time.Time
	timer          *time.Timer
	ended          bool // abandoned, or its outcome was reported
	answered       bool
}

// proxyStateBytes is the length of the Proxy-State that an attempt adds.
const proxyStateBytes = 8

// Start implements core.Attempt.
func (a *attempt) Start() {
	if outcome, failed := a.tryStart(); failed {
		a.order.Sink.Done(outcome, nil, chalkrack.LoadReport{})
	}
}

// tryStart sends the first packet, or resumes the request's parked attempt. It returns the outcome
// and true if the attempt failed at once.
func (a *attempt) tryStart() (outcome chalkrack.Outcome, failed bool) {
	t := a.transport
	secret := t.cfg.Secret(a.order.Server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ended {
		return chalkrack.ConnectFailed, true
	}
	s := t.servers[a.order.Server]
	if s == nil || t.graceOver(s) || t.closed || len(secret) == 0 || !a.order.NotAfter.IsZero() && time.Now().After(a.order.NotAfter) {
		a.ended = true
		return chalkrack.ConnectFailed, true
	}
	if p := a.request.parked; p != nil {
		// A server at another address would not recognize the packet as a duplicate.
		if p.server != s && a.request.lateAnswer == nil {
			a.ended = true
			return chalkrack.NotSent, true
		}
		a.resume(p)
		return 0, false
	}
	id, opened, ok := s.identifiers.Acquire(t.now())
	if !ok {
		t.counts.NoIdentifier++
		a.ended = true
		return chalkrack.NotSent, true
	}
	if opened {
		sock, err := t.openSocket(s)
		if err != nil {
			slog.Warn("radius: can't open a socket to the server", "server", s.name, "err", err)
		}
		s.sockets = append(s.sockets, sock) // nil after an error: opened again below, or by a later attempt
	}
	sock := s.sockets[id.Socket]
	if sock == nil {
		if sock, _ = t.openSocket(s); sock == nil {
			s.identifiers.Release(t.now(), id, false)
			a.ended = true
			return chalkrack.NotSent, true
		}
		s.sockets[id.Socket] = sock
	}
	var authenticator radius.Authenticator
	rand.Read(authenticator[:])
	a.proxyState = make([]byte, proxyStateBytes)
	rand.Read(a.proxyState)
	p, hop, err := radius.ForwardRequest(a.request.Packet, a.request.ClientHop, secret, id.Number, authenticator, a.proxyState)
	if err != nil {
		slog.Info("radius: can't translate the request for the server", "err", err)
		s.identifiers.Release(t.now(), id, true)
		a.ended = true
		return chalkrack.NotSent, true
	}
	a.server, a.socket, a.id, a.wire, a.hop, a.startedAt = s, sock, id, p.Marshal(), hop, time.Now()
	a.setTimeout()
	sock.waiting[id.Number] = a
	s.waitingCount++
	a.send()
	a.startTimer()
	return 0, false
}

// resume takes over the packet, identifier and socket of a parked attempt of the same request. It
// sends the packet again, or reports the late answer if there is one.
func (a *attempt) resume(parked *attempt) {
	t := a.transport
	a.request.parked = nil
	t.parkedCount--
	a.server, a.socket, a.id, a.wire, a.hop, a.proxyState = parked.server, parked.socket, parked.id, parked.wire, parked.hop, parked.proxyState
	a.packetsSent, a.packetsRefused = parked.packetsSent, parked.packetsRefused
	parked.socket = nil
	a.socket.waiting[a.id.Number] = a
	a.startedAt = time.Now()
	a.setTimeout()
	if answer := a.request.lateAnswer; answer != nil {
		a.request.lateAnswer = nil
		a.ended, a.answered = true, true
		a.release(true)
		go a.order.Sink.Done(chalkrack.OK, answer, chalkrack.LoadReport{})
		return
	}
	a.send()
	a.startTimer()
}

// setTimeout sets the time at which the attempt times out, no later than the call's deadline.
func (a *attempt) setTimeout() {
	a.timeoutAt = a.startedAt.Add(a.transport.cfg.AttemptTimeout)
	if !a.order.Deadline.IsZero() && a.order.Deadline.Before(a.timeoutAt) {
		a.timeoutAt = a.order.Deadline
	}
}

// graceOver reports whether a server has left and its grace period is over. It is called with the
// lock held, as are the methods below.
func (t *Transport) graceOver(s *server) bool {
	return !s.leftAt.IsZero() && time.Since(s.leftAt) > t.cfg.Grace
}

func (a *attempt) send() {
	a.packetsSent++
	if a.packetsSent == 1 {
		a.transport.counts.Sent++
		a.request.setSentTo(a.server.name)
	} else {
		a.transport.counts.Resent++
	}
	a.socket.write(a.wire)
}

// maxResendDoublings is how often the time between two packets of an attempt is doubled.
const maxResendDoublings = 3

// startTimer starts the timer for the next resend or, after the last one, for the timeout.
func (a *attempt) startTimer() {
	wait := time.Until(a.timeoutAt)
	if a.resends < a.transport.cfg.MaxResends {
		wait = min(wait, a.transport.cfg.ResendDelay<<min(a.resends, maxResendDoublings))
	}
	a.timer = time.AfterFunc(max(wait, 0), a.onTimer)
}

// onTimer sends the packet again, or ends the attempt if it has timed out. It takes the lock.
func (a *attempt) onTimer() {
	a.transport.mu.Lock()
	if a.ended {
		a.transport.mu.Unlock()
		return
	}
	if time.Now().Before(a.timeoutAt) {
		a.resends++
		// A server that has left gets nothing after the grace period. A server whose port refused
		// a packet after an earlier one of this attempt may have run the request and crashed: once
		// restarted, it would not recognize another packet as a duplicate.
		if !a.transport.graceOver(a.server) && !a.resendUnsafe {
			a.send()
		}
		a.startTimer()
		a.transport.mu.Unlock()
		return
	}
	a.transport.mu.Unlock()
	a.timeOut()
}

// timeOut ends the attempt as timed out, unless it has ended. It takes the lock.
func (a *attempt) timeOut() {
	a.transport.mu.Lock()
	if a.ended {
		a.transport.mu.Unlock()
		return
	}
	a.ended = true
	a.releaseOrPark(false)
	a.transport.mu.Unlock()
	a.order.Sink.Done(chalkrack.TimedOut, nil, chalkrack.LoadReport{})
}

// releaseOrPark releases the attempt's identifier. If the client may retry the call and the server
// may have run it, the attempt is parked instead, so that it can be resumed. If that is not
// possible, the request is lost.
func (a *attempt) releaseOrPark(answered bool) {
	if a.socket == nil {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.request.Resumable && !answered && a.packetsSent > a.packetsRefused {
		if !a.resendUnsafe && a.request.parked == nil && a.transport.parkedCount < maxParked && !a.transport.closed {
			a.request.parked = a
			a.transport.parkedCount++
			return
		}
		a.request.markLost()
	}
	a.release(answered)
}

// maxParked is how many attempts are kept for calls that clients may retry. Further requests that
// are given up are lost.
const maxParked = 512

// release releases the attempt's identifier, if it holds one.
func (a *attempt) release(answered bool) {
	if a.socket == nil {
		return
	}
	a.socket.waiting[a.id.Number] = nil
	a.server.identifiers.Release(a.transport.now(), a.id, answered)
	a.socket = nil
	a.server.waitingCount--
	a.transport.closeIfUnused(a.server)
}

// Abandon implements core.Attempt.
func (a *attempt) Abandon() (began bool) {
	a.transport.mu.Lock()
	defer a.transport.mu.Unlock()
	a.ended = true
	return a.packetsSent > a.packetsRefused
}

// CancelUnsent implements core.Attempt.
func (a *attempt) CancelUnsent() bool {
	a.transport.mu.Lock()
	defer a.transport.mu.Unlock()
	if a.packetsSent > 0 {
		return false
	}
	a.ended = true
	return true
}

// Close implements core.Attempt. An identifier without an answer rests until no late answer can
// come.
func (a *attempt) Close() {
	a.transport.mu.Lock()
	defer a.transport.mu.Unlock()
	if a.request.parked != a {
		a.releaseOrPark(a.answered)
	}
}

// Phase implements core.Attempt.
func (a *attempt) Phase() string {
	a.transport.mu.Lock()
	defer a.transport.mu.Unlock()
	if a.packetsSent == 0 {
		return "not sent"
	}
	return "waiting"
}

// countRefusal counts the refusal of a packet. Once all packets of the attempt were refused, the
// server can't have run the request: the attempt ends, and finished is true.
func (a *attempt) countRefusal() (finished bool) {
	if a.packetsRefused++; a.packetsRefused < a.packetsSent || a.ended {
		a.resendUnsafe = true
		return false
	}
	a.ended = true
	a.request.setSentTo("")
	a.releaseOrPark(true) // no answer can come, so the identifier need not rest
	return true
}
