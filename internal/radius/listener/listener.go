// Package listener takes RADIUS requests over UDP and brings them to the core as calls.
// It tells clients apart, checks what they send, and answers: a retransmission joins
// its call or gets the remembered answer, and is never a new call.
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

// Client is who may ask: all addresses of a range.
type Client struct {
	Name   string
	Range  netip.Prefix
	Secret []byte
	// Unsigned takes access without Message-Authenticator, which whoever is on the way
	// can change (CVE-2024-3596).
	Unsigned bool
}

// Config is what a Listener is told.
type Config struct {
	Accounting bool // accounting is taken, else access
	Clients    []Client
	// Pool is the core for a realm: what follows the last '@' of User-Name, empty if
	// there is none. nil: there is none for it.
	Pool          func(realm string) *core.Host
	Class         string
	Wait          time.Duration // how long a client waits for its answer
	Replies       replies.Config
	Conversations conversation.Config
	// Silent gives access that ends without a server's answer none; else it is
	// rejected with ErrorCause (RFC 5176 section 3.5).
	Silent     bool
	ErrorCause uint32
	Conn       Conn // where it listens; nil: a UDP socket
}

// Conn is a socket that takes datagrams from anybody.
type Conn interface {
	ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) // net.ErrClosed after Close
	WriteToUDPAddrPort([]byte, netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Counts is what a Listener has met.
type Counts struct {
	Requests   int64
	Unknown    int64 // from no client's range
	Malformed  int64
	Unsigned   int64 // without the Message-Authenticator that is needed
	Unverified int64 // under a wrong secret, or changed
	Unexpected int64 // codes that have no place here
	Calls      int64
	Joined     int64 // repeats of what is under way
	Remembered int64 // repeats that got the remembered answer
	Retried    int64 // repeats of what was given up: calls too
	Full       int64 // no room to remember them
	Answered   int64 // by servers
	Rejected   int64 // access given up, and rejected
	GivenUp    int64 // ended without any answer
	Lost       int64 // of them, at once: retries of what may have run and can't go on
	NoRealm    int64
}

// readBuffer is what may wait to be read: some thousand requests.
const readBuffer = 4 << 20

// Listener is one socket.
type Listener struct {
	cfg   Config
	conn  Conn
	start time.Time

	mu     sync.Mutex
	table  *replies.Table
	talks  *conversation.Table
	counts Counts
}

// Listen opens a Listener; Serve makes it work.
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
		udp.SetReadBuffer(readBuffer) // as far as the system lets it
		conn = udp
	}
	cfg.Replies.OnForget = func(memo any) { memo.(*transport.Request).Forget() }
	return &Listener{
		cfg: cfg, conn: conn, start: time.Now(),
		table: replies.NewTable(cfg.Replies), talks: conversation.New(cfg.Conversations),
	}, nil
}

// Addr is where it listens.
func (l *Listener) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Counts is what it has met so far.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Listener) now() time.Duration { return time.Since(l.start) }

// Serve takes requests until Close.
func (l *Listener) Serve() {
	buf := make([]byte, radius.MaxPacketBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			slog.Warn("radius: can't read", "err", err)
			continue
		}
		l.take(bytes.Clone(buf[:n]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// Drain takes no new call from now on. Its client sends it again, to what listens here
// next.
func (l *Listener) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Drain()
}

// Shut ends Serve. What is under way gets no answer any more.
func (l *Listener) Shut() { l.conn.Close() }

// client is whose range holds an address: the narrowest.
func (l *Listener) client(addr netip.Addr) *Client {
	var best *Client
	for n := range l.cfg.Clients {
		c := &l.cfg.Clients[n]
		if c.Range.Contains(addr) && (best == nil || c.Range.Bits() > best.Range.Bits()) {
			best = c
		}
	}
	return best
}

func (l *Listener) count(n *int64) {
	l.mu.Lock()
	*n++
	l.mu.Unlock()
}

// take takes one datagram. Nothing is answered before it is known who sent it.
func (l *Listener) take(b []byte, from netip.AddrPort) {
	l.count(&l.counts.Requests)
	c := l.client(from.Addr())
	if c == nil {
		l.count(&l.counts.Unknown)
		return
	}
	p, err := radius.Parse(b)
	if err != nil {
		l.count(&l.counts.Malformed)
		return
	}
	want := radius.AccessRequest
	if l.cfg.Accounting {
		want = radius.AccountingRequest
	}
	if p.Code != want && p.Code != radius.StatusServer {
		l.count(&l.counts.Unexpected)
		return
	}
	switch err := p.VerifyRequest(c.Secret, !c.Unsigned); {
	case errors.Is(err, radius.ErrNoMessageAuthenticator):
		l.count(&l.counts.Unsigned)
		slog.Warn("radius: request dropped", "client", c.Name, "err", err)
		return
	case err != nil:
		l.count(&l.counts.Unverified)
		slog.Warn("radius: request dropped", "client", c.Name, "err", err)
		return
	}
	hop := radius.Hop{Secret: c.Secret, Authenticator: p.Authenticator}
	if p.Code == radius.StatusServer { // asks whether this is alive (RFC 5997)
		code := radius.AccessAccept
		if l.cfg.Accounting {
			code = radius.AccountingResponse
		}
		l.send(l.own(p, hop, code), from)
		return
	}
	l.request(p, hop, from)
}

// own is an answer of the proxy's own, signed.
func (l *Listener) own(p *radius.Packet, hop radius.Hop, code radius.Code) []byte {
	a := radius.Answer(p, code)
	if code == radius.AccessReject && l.cfg.ErrorCause > 0 {
		a.AddUint32(radius.ErrorCause, l.cfg.ErrorCause)
	}
	a.SignAnswer(hop.Secret, hop.Authenticator)
	return a.Marshal()
}

func (l *Listener) send(wire []byte, to netip.AddrPort) {
	if _, err := l.conn.WriteToUDPAddrPort(wire, to); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Info("radius: answer not sent", "err", err)
	}
}

// exchange is one call: the core's Caller.
type exchange struct {
	core.Call
	l       *Listener
	request *transport.Request // of a retry: that of the call which was given up
	entry   *replies.Call
	first   *radius.Packet // by which the entry is known
	own     radius.Hop     // of it

	// Guarded by the Listener's lock:
	latest *radius.Packet // the last packet that asked for it
	hop    radius.Hop
	from   netip.AddrPort
}

func (l *Listener) request(p *radius.Packet, hop radius.Hop, from netip.AddrPort) {
	k := replies.Key{Client: from.Addr(), Code: byte(p.Code), ID: p.ID, Authenticator: p.Authenticator}
	event := ""
	if l.cfg.Accounting {
		event = Event(from.Addr(), p)
	}
	l.mu.Lock()
	entry, verdict := l.table.Arrive(l.now(), k, event)
	switch verdict {
	case replies.Full:
		l.counts.Full++
		l.mu.Unlock()
		return
	case replies.Joined:
		l.counts.Joined++
		x := entry.State.(*exchange)
		x.latest, x.hop, x.from = p, hop, from // where it listens now
		l.mu.Unlock()
		return
	case replies.Answered:
		l.counts.Remembered++
		wire := entry.Answer()
		l.mu.Unlock()
		if !entry.HasKey(k) { // the event, in a packet of its own
			wire = l.own(p, hop, radius.AccountingResponse)
		}
		l.send(wire, from)
		return
	case replies.Retried:
		l.counts.Retried++
	}
	l.counts.Calls++
	x := &exchange{l: l, entry: entry, first: p, own: hop, latest: p, hop: hop, from: from}
	entry.State = x
	only := ""
	if before, ok := entry.RetryState.(*transport.Request); ok {
		x.request, only = before, before.SentTo()
		if before.IsLost() {
			l.counts.Lost++
			l.mu.Unlock()
			x.giveUp(only)
			return
		}
	} else {
		x.request = &transport.Request{Packet: p, ClientHop: hop, Resumable: l.cfg.Accounting}
	}
	if state := p.Get(radius.State); state != nil && !l.cfg.Accounting {
		only = l.talks.ServerFor(l.now(), from.Addr(), state)
	}
	l.mu.Unlock()
	host := l.cfg.Pool(realm(p.Get(radius.UserName)))
	if host == nil {
		l.count(&l.counts.NoRealm)
		x.giveUp("")
		return
	}
	x.Call = core.Call{Class: l.cfg.Class, Timeout: l.cfg.Wait, Received: time.Now(), Payload: x.request, Caller: x}
	if only != "" {
		x.Limits = &core.Limits{OnlyServer: only}
	}
	host.Arrive(&x.Call)
}

// realm is what follows a name's last '@'.
func realm(name []byte) string {
	for n := len(name) - 1; n >= 0; n-- {
		if name[n] == '@' {
			return string(name[n+1:])
		}
	}
	return ""
}

// Serve implements core.Caller.
func (x *exchange) Serve(answer any) {
	a := answer.(*transport.Answer)
	l := x.l
	wire := a.Packet.Marshal()
	if x.first.Authenticator != x.request.ClientHop.Authenticator || x.first.ID != x.request.Packet.ID {
		wire = l.own(x.first, x.own, radius.AccountingResponse)
	}
	l.mu.Lock()
	l.counts.Answered++
	x.entry.RetryState = nil
	latest, hop, from := x.latest, x.hop, x.from
	if state := a.Packet.Get(radius.State); state != nil && !l.cfg.Accounting {
		l.talks.Bind(l.now(), from.Addr(), state, a.Server)
	}
	l.table.End(l.now(), x.entry, wire)
	l.mu.Unlock()
	if latest.Authenticator != x.first.Authenticator || latest.ID != x.first.ID {
		wire = l.own(latest, hop, radius.AccountingResponse)
	}
	l.send(wire, from)
}

// Refuse implements core.Caller. RADIUS has no word for when to come back: a client
// does by its own timers.
func (x *exchange) Refuse(_ time.Duration, unsent bool) {
	server := ""
	if !unsent {
		server = x.request.SentTo()
	}
	x.giveUp(server)
}

// Fail implements core.Caller.
func (x *exchange) Fail() { x.giveUp(x.request.SentTo()) }

// giveUp ends a call that no server answered; server is the one that may have run it.
// Access is rejected at once. Accounting has no negative answer: none is sent, and what
// comes again is the client's own retry. Where the first may have run it goes to that
// server only, which knows the event; counted at another it would be counted twice.
func (x *exchange) giveUp(server string) {
	l := x.l
	l.mu.Lock()
	var wire []byte
	if !l.cfg.Accounting && !l.cfg.Silent {
		wire = l.own(x.latest, x.hop, radius.AccessReject)
		l.counts.Rejected++
	} else {
		l.counts.GivenUp++
		if l.cfg.Accounting && server != "" {
			x.entry.RetryState = x.request
		}
	}
	l.table.End(l.now(), x.entry, wire)
	from := x.from
	l.mu.Unlock()
	if wire != nil {
		l.send(wire, from)
		return
	}
	slog.Warn("radius: given up without an answer", "accounting", l.cfg.Accounting, "client", from.Addr(), "may_have_run", server)
}

// Stream implements core.Caller: no answer is that long.
func (x *exchange) Stream(any, func()) core.Stream { return nil }

// Release implements core.Caller.
func (x *exchange) Release() {}
