// Package listener receives RADIUS requests over UDP and passes them to the core as calls. It
// finds the client by its address, verifies its requests, and sends the answers. A retransmission
// joins its call or gets the remembered answer, and never becomes a new call.
package listener

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/radius"
	"chalkrack/internal/radius/conversation"
	"chalkrack/internal/radius/replies"
	"chalkrack/internal/radius/transport"
)

// Client is a client, or all clients of an address range, whose requests are accepted.
type Client struct {
	Name   string
	Range  netip.Prefix
	Secret []byte
	// AllowUnsigned accepts Access-Requests without Message-Authenticator, which an attacker on the
	// network path can change (CVE-2024-3596).
	AllowUnsigned bool
}

// Config holds the settings of a Listener.
type Config struct {
	Accounting bool // handles accounting, otherwise access
	Clients    []Client
	// HostForRealm returns the core for a realm, nil if there is none. The realm is the part of
	// User-Name after the last '@', empty if there is no '@'.
	HostForRealm  func(realm string) *core.Host
	Class         string        // of all calls
	AnswerTimeout time.Duration // how long a client waits for its answer
	Replies       replies.Config
	Conversations conversation.Config
	// SilentOnGiveUp leaves an Access-Request that no server answered without an answer. Otherwise
	// the request is rejected, with ErrorCause (RFC 5176 section 3.5) if that is above 0.
	SilentOnGiveUp bool
	ErrorCause     uint32
	Conn           Conn // to listen on; nil for a new UDP socket
}

// Conn is a datagram socket that receives from any address.
type Conn interface {
	ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) // returns net.ErrClosed after Close
	WriteToUDPAddrPort([]byte, netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Counts holds the event counters of a Listener.
type Counts struct {
	Requests      int64 // datagrams received
	UnknownClient int64 // dropped: from an address in no client's range
	Malformed     int64 // dropped: not a RADIUS packet
	Unsigned      int64 // dropped: without the required Message-Authenticator
	Unverified    int64 // dropped: signed under a wrong secret, or changed on the way
	Unexpected    int64 // dropped: a code that this Listener does not handle
	Calls         int64 // new calls and retries
	Joined        int64 // retransmissions of calls under way
	Remembered    int64 // retransmissions that got the remembered answer
	Retried       int64 // repeats of calls that were given up; also counted in Calls
	TableFull     int64 // dropped: no room to remember the call, or draining
	Answered      int64 // calls answered by servers
	Rejected      int64 // access calls that no server answered, and that were rejected
	GivenUp       int64 // calls that ended without any answer
	Lost          int64 // part of GivenUp: retries ended at once, as their call may have run and can't be resumed
	NoRealm       int64 // calls for a realm without a core
}

// readBufferBytes is the size of the socket's receive buffer, enough for some thousand requests.
const readBufferBytes = 4 << 20

// Listener receives requests on one socket.
type Listener struct {
	cfg   Config
	conn  Conn
	start time.Time

	mu            sync.Mutex
	table         *replies.Table
	conversations *conversation.Table
	counts        Counts
}

// Listen opens a Listener at an IP address and port. Serve starts receiving.
func Listen(address string, cfg Config) (*Listener, error) {
	conn := cfg.Conn
	if conn == nil {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fmt.Errorf("radius: %w", err)
		}
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			return nil, fmt.Errorf("radius: %w", err)
		}
		udp.SetReadBuffer(readBufferBytes) // the system may limit it to less
		conn = udp
	}
	cfg.Replies.OnForget = func(retryState any) { retryState.(*transport.Request).Forget() }
	return &Listener{
		cfg: cfg, conn: conn, start: time.Now(),
		table: replies.NewTable(cfg.Replies), conversations: conversation.New(cfg.Conversations),
	}, nil
}

// Addr returns the address that the Listener listens on.
func (l *Listener) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Counts returns the event counters.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Listener) now() time.Duration { return time.Since(l.start) }

// Serve receives and handles requests. It blocks until the socket is closed, but does not wait for
// the answers of servers.
func (l *Listener) Serve() {
	buf := make([]byte, radius.MaxPacketBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			slog.Warn("radius: can't read from the listening socket", "err", err)
			continue
		}
		l.handleDatagram(bytes.Clone(buf[:n]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// Drain stops the Listener from accepting new calls: it drops them without an answer. Clients
// retransmit them to the next process that listens on the address.
func (l *Listener) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Drain()
}

// Close closes the socket, which ends Serve. Calls under way get no answer any more.
func (l *Listener) Close() { l.conn.Close() }

// clientFor returns the client whose range contains the address, the one with the narrowest range
// if there are several, nil if there is none.
func (l *Listener) clientFor(addr netip.Addr) *Client {
	var best *Client
	for n := range l.cfg.Clients {
		c := &l.cfg.Clients[n]
		if c.Range.Contains(addr) && (best == nil || c.Range.Bits() > best.Range.Bits()) {
			best = c
		}
	}
	return best
}

// increment adds 1 to a counter. It takes the lock.
func (l *Listener) increment(counter *int64) {
	l.mu.Lock()
	*counter++
	l.mu.Unlock()
}

// handleDatagram verifies a datagram and handles its request. Nothing is answered before the sender
// is verified.
func (l *Listener) handleDatagram(datagram []byte, from netip.AddrPort) {
	l.increment(&l.counts.Requests)
	client := l.clientFor(from.Addr())
	if client == nil {
		l.increment(&l.counts.UnknownClient)
		return
	}
	p, err := radius.Parse(datagram)
	if err != nil {
		l.increment(&l.counts.Malformed)
		return
	}
	want := radius.AccessRequest
	if l.cfg.Accounting {
		want = radius.AccountingRequest
	}
	if p.Code != want && p.Code != radius.StatusServer {
		l.increment(&l.counts.Unexpected)
		return
	}
	switch err := p.VerifyRequest(client.Secret, !client.AllowUnsigned); {
	case errors.Is(err, radius.ErrNoMessageAuthenticator):
		l.increment(&l.counts.Unsigned)
		slog.Warn("radius: request dropped", "client", client.Name, "err", err)
		return
	case err != nil:
		l.increment(&l.counts.Unverified)
		slog.Warn("radius: request dropped", "client", client.Name, "err", err)
		return
	}
	hop := radius.Hop{Secret: client.Secret, Authenticator: p.Authenticator}
	if p.Code == radius.StatusServer { // asks whether this proxy is alive (RFC 5997)
		code := radius.AccessAccept
		if l.cfg.Accounting {
			code = radius.AccountingResponse
		}
		l.send(l.ownAnswer(p, hop, code), from)
		return
	}
	l.handleRequest(p, hop, from)
}

// ownAnswer returns an encoded and signed answer of the proxy itself to a request.
func (l *Listener) ownAnswer(p *radius.Packet, hop radius.Hop, code radius.Code) []byte {
	answer := radius.NewAnswer(p, code)
	if code == radius.AccessReject && l.cfg.ErrorCause > 0 {
		answer.AddUint32(radius.ErrorCause, l.cfg.ErrorCause)
	}
	answer.SignAnswer(hop.Secret, hop.Authenticator)
	return answer.Marshal()
}

func (l *Listener) send(wire []byte, to netip.AddrPort) {
	if _, err := l.conn.WriteToUDPAddrPort(wire, to); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Info("radius: can't send an answer", "err", err)
	}
}

// exchange is one call of a client. It implements core.Caller.
type exchange struct {
	core.Call
	listener    *Listener
	request     *transport.Request // a retry has the request of the call that was given up
	entry       *replies.Call
	firstPacket *radius.Packet // the entry has its key
	firstHop    radius.Hop     // of firstPacket

	// The last packet that the client sent for the call, its hop and its sender, guarded by the
	// Listener's lock.
	latestPacket *radius.Packet
	latestHop    radius.Hop
	latestFrom   netip.AddrPort
}

// handleRequest handles a verified request: it answers a retransmission, or passes a new call to
// the core.
func (l *Listener) handleRequest(p *radius.Packet, hop radius.Hop, from netip.AddrPort) {
	key := replies.Key{Client: from.Addr(), Code: byte(p.Code), ID: p.ID, Authenticator: p.Authenticator}
	event := ""
	if l.cfg.Accounting {
		event = EventName(from.Addr(), p)
	}
	l.mu.Lock()
	entry, verdict := l.table.Arrive(l.now(), key, event)
	switch verdict {
	case replies.Full:
		l.counts.TableFull++
		l.mu.Unlock()
		return
	case replies.Joined:
		l.counts.Joined++
		x := entry.State.(*exchange)
		x.latestPacket, x.latestHop, x.latestFrom = p, hop, from // where the client expects the answer now
		l.mu.Unlock()
		return
	case replies.Answered:
		l.counts.Remembered++
		wire := entry.Answer()
		l.mu.Unlock()
		if !entry.HasKey(key) { // the same event in another packet, which needs its own answer
			wire = l.ownAnswer(p, hop, radius.AccountingResponse)
		}
		l.send(wire, from)
		return
	case replies.Retried:
		l.counts.Retried++
	}
	l.counts.Calls++
	x, onlyServer := l.newExchange(entry, p, hop, from)
	isLost := x.request.IsLost()
	if isLost {
		l.counts.Lost++
	}
	l.mu.Unlock()
	if isLost {
		x.giveUp(onlyServer)
		return
	}
	x.start(onlyServer)
}

// newExchange returns the exchange of a new call or a retry, and the only server that may take it, empty
// for any. It is called with the lock held.
func (l *Listener) newExchange(entry *replies.Call, p *radius.Packet, hop radius.Hop, from netip.AddrPort) (x *exchange, onlyServer string) {
	x = &exchange{listener: l, entry: entry, firstPacket: p, firstHop: hop, latestPacket: p, latestHop: hop, latestFrom: from}
	entry.State = x
	if earlier, ok := entry.RetryState.(*transport.Request); ok {
		x.request = earlier
		return x, earlier.SentTo()
	}
	x.request = &transport.Request{Packet: p, ClientHop: hop, Resumable: l.cfg.Accounting}
	if state := p.Get(radius.State); state != nil && !l.cfg.Accounting {
		onlyServer = l.conversations.ServerFor(l.now(), from.Addr(), state)
	}
	return x, onlyServer
}

// start passes the call to the core of its realm.
func (x *exchange) start(onlyServer string) {
	l := x.listener
	host := l.cfg.HostForRealm(realmOf(x.firstPacket.Get(radius.UserName)))
	if host == nil {
		l.increment(&l.counts.NoRealm)
		x.giveUp("")
		return
	}
	x.Call = core.Call{Class: l.cfg.Class, Timeout: l.cfg.AnswerTimeout, Received: time.Now(), Payload: x.request, Caller: x}
	if onlyServer != "" {
		x.Limits = &core.Limits{OnlyServer: onlyServer}
	}
	host.Arrive(&x.Call)
}

// realmOf returns the part of a user name after the last '@', empty if there is no '@'.
func realmOf(name []byte) string {
	for n := len(name) - 1; n >= 0; n-- {
		if name[n] == '@' {
			return string(name[n+1:])
		}
	}
	return ""
}

// Serve implements core.Caller.
func (x *exchange) Serve(answer any) {
	serverAnswer := answer.(*transport.Answer)
	l := x.listener
	wire := serverAnswer.Packet.Marshal()
	if x.firstPacket.Authenticator != x.request.ClientHop.Authenticator || x.firstPacket.ID != x.request.Packet.ID {
		wire = l.ownAnswer(x.firstPacket, x.firstHop, radius.AccountingResponse)
	}
	l.mu.Lock()
	l.counts.Answered++
	x.entry.RetryState = nil
	latest, hop, from := x.latestPacket, x.latestHop, x.latestFrom
	if state := serverAnswer.Packet.Get(radius.State); state != nil && !l.cfg.Accounting {
		l.conversations.Bind(l.now(), from.Addr(), state, serverAnswer.Server)
	}
	l.table.End(l.now(), x.entry, wire)
	l.mu.Unlock()
	if latest.Authenticator != x.firstPacket.Authenticator || latest.ID != x.firstPacket.ID {
		wire = l.ownAnswer(latest, hop, radius.AccountingResponse)
	}
	l.send(wire, from)
}

// Refuse implements core.Caller. RADIUS has no field for the time until a retry: clients retry by
// timers of their own.
func (x *exchange) Refuse(_ time.Duration, unsent bool) {
	server := ""
	if !unsent {
		server = x.request.SentTo()
	}
	x.giveUp(server)
}

// Fail implements core.Caller.
func (x *exchange) Fail() { x.giveUp(x.request.SentTo()) }

// giveUp ends a call that no server answered. server may have run it; empty if none can have.
// Access is rejected at once, unless SilentOnGiveUp is set. Accounting has no negative answer, so
// none is sent, and the client retries. If a server may have run the call, the retry goes to that
// server only: it recognizes the event, which another server would count a second time.
func (x *exchange) giveUp(server string) {
	l := x.listener
	l.mu.Lock()
	var wire []byte
	if !l.cfg.Accounting && !l.cfg.SilentOnGiveUp {
		wire = l.ownAnswer(x.latestPacket, x.latestHop, radius.AccessReject)
		l.counts.Rejected++
	} else {
		l.counts.GivenUp++
		if l.cfg.Accounting && server != "" {
			x.entry.RetryState = x.request
		}
	}
	l.table.End(l.now(), x.entry, wire)
	from := x.latestFrom
	l.mu.Unlock()
	if wire != nil {
		l.send(wire, from)
		return
	}
	slog.Warn("radius: given up without an answer", "accounting", l.cfg.Accounting, "client", from.Addr(), "may_have_run", server)
}

// Stream implements core.Caller. It returns nil: RADIUS answers are never streamed.
func (x *exchange) Stream(any, func()) core.Stream { return nil }

// Release implements core.Caller. There is nothing to release.
func (x *exchange) Release() {}
