package transport

import (
	"errors"
	"log/slog"
	"net"
	"syscall"

	"chalkrack"
	"chalkrack/internal/radius"
)

// Conn is a way to one server. Only packets from its address come by it.
type Conn interface {
	Read([]byte) (int, error) // net.ErrClosed after Close
	Write([]byte) (int, error)
	Close() error
	// Refused tells of the packets whose port was refused, as far as the system says
	// so, with their first bytes at least. It is called after each Read.
	Refused(func(packet []byte))
}

// socket is a Conn with what waits on it.
type socket struct {
	t       *Transport
	server  *server
	conn    Conn
	waiting [256]*attempt // by identifier; guarded by the Transport's lock
}

func (t *Transport) open(s *server) (*socket, error) {
	dial := t.cfg.Dial
	if dial == nil {
		dial = Dial
	}
	conn, err := dial(s.addr)
	if err != nil {
		return nil, err
	}
	k := &socket{t: t, server: s, conn: conn}
	t.wg.Go(k.read)
	return k, nil
}

// write sends a packet. An error that an earlier packet met is told here at times, in
// place of sending: then it is sent again. One that can't be sent is as good as lost.
func (k *socket) write(wire []byte) {
	for range 4 {
		_, err := k.conn.Write(wire)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
	}
}

func (k *socket) read() {
	buf := make([]byte, radius.MaxPacketBytes)
	for {
		n, err := k.conn.Read(buf)
		switch {
		case err == nil:
			k.take(buf[:n])
		case errors.Is(err, net.ErrClosed):
			return
		}
		k.conn.Refused(k.refused)
	}
}

// refused takes the refusal of a packet.
func (k *socket) refused(packet []byte) {
	if len(packet) < 20 {
		return // too little of it to say whose it is
	}
	k.t.mu.Lock()
	k.t.counts.Refusals++
	a := k.waiting[packet[1]]
	over := a != nil && string(packet[:20]) == string(a.wire[:20]) && a.refusal()
	k.t.mu.Unlock()
	if over {
		a.order.Sink.Done(chalkrack.ConnectFailed, nil, chalkrack.LoadReport{})
	}
}

// take takes a packet that came. What is no verified answer to what waits is dropped.
func (k *socket) take(b []byte) {
	t := k.t
	p, err := radius.Parse(b)
	if err != nil {
		t.mu.Lock()
		t.counts.Malformed++
		t.mu.Unlock()
		return
	}
	t.mu.Lock()
	a := k.waiting[p.ID]
	if a == nil || !p.Code.Answers(a.request.Packet.Code) {
		t.counts.Unasked++
		t.mu.Unlock()
		return
	}
	if err := p.VerifyAnswer(a.hop.Secret, a.hop.Authenticator, !t.cfg.Unsigned); err != nil {
		t.counts.Unverified++
		t.mu.Unlock()
		slog.Warn("radius: answer dropped", "server", k.server.name, "err", err)
		return
	}
	back, err := radius.ForwardAnswer(p, a.request.Packet, a.hop, a.request.From, a.state)
	if err != nil { // the server's own fault: no other answer will be better
		t.counts.Malformed++
		slog.Warn("radius: answer can't be handed back", "server", k.server.name, "err", err)
	}
	t.counts.Answers++
	if a.request.parked == a { // its call was given up, and may come again
		if err == nil {
			a.request.late = &Answer{back, k.server.name}
		}
		t.mu.Unlock()
		return
	}
	over := a.ended
	a.ended, a.answered = true, true
	a.free(true)
	if err != nil {
		a.request.lose() // it has run: not again
	}
	t.mu.Unlock()
	switch {
	case over:
	case err != nil:
		a.order.Sink.Done(chalkrack.Reset, nil, chalkrack.LoadReport{})
	default:
		a.order.Sink.Done(chalkrack.OK, &Answer{back, k.server.name}, chalkrack.LoadReport{})
	}
}
