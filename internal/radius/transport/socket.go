package transport

import (
	"errors"
	"log/slog"
	"net"
	"syscall"

	"chalkrack"
	"chalkrack/internal/radius"
)

// Conn is a datagram socket connected to one server. It delivers packets from the server's address
// only.
type Conn interface {
	Read([]byte) (int, error) // returns net.ErrClosed after Close
	Write([]byte) (int, error)
	Close() error
	// Refused calls its argument with the first bytes of each sent packet whose refusal by the
	// server's port the system has reported since the last call. It must not block. The transport
	// calls it after each Read.
	Refused(func(packet []byte))
}

// socket is a Conn with the attempts that wait for answers on it.
type socket struct {
	transport *Transport
	server    *server
	conn      Conn
	waiting   [256]*attempt // by identifier; guarded by the Transport's lock
}

// socketAt returns the socket of a server with the given index, and opens it if it is not open.
func (t *Transport) socketAt(s *server, index int) (*socket, error) {
	if s.sockets[index] == nil {
		sock, err := t.openSocket(s)
		if err != nil {
			return nil, err
		}
		s.sockets[index] = sock
	}
	return s.sockets[index], nil
}

// openSocket opens a socket to a server and starts reading from it.
func (t *Transport) openSocket(s *server) (*socket, error) {
	dial := t.cfg.Dial
	if dial == nil {
		dial = Dial
	}
	conn, err := dial(s.addr)
	if err != nil {
		return nil, err
	}
	sock := &socket{transport: t, server: s, conn: conn}
	t.wg.Go(sock.readLoop)
	return sock, nil
}

// write sends a packet, in up to four tries: the system may report the refusal of an earlier packet
// instead of sending this one. A packet that can't be sent is treated like one that was lost on the
// way.
func (s *socket) write(wire []byte) {
	for range 4 {
		_, err := s.conn.Write(wire)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
	}
}

// readLoop handles datagrams and refusals until the Conn is closed.
func (s *socket) readLoop() {
	buf := make([]byte, radius.MaxPacketBytes)
	for {
		n, err := s.conn.Read(buf)
		switch {
		case err == nil:
			s.handleDatagram(buf[:n])
		case errors.Is(err, net.ErrClosed):
			return
		}
		s.conn.Refused(s.handleRefusal)
	}
}

// handleRefusal counts the refusal of a sent packet, and ends its attempt if all its packets were
// refused. The packet is compared with what the attempt sent: an earlier attempt may have had the
// same identifier.
func (s *socket) handleRefusal(packet []byte) {
	if len(packet) < 20 {
		return // the attempt can't be identified without the whole header
	}
	t := s.transport
	t.mu.Lock()
	t.counts.Refusals++
	a := s.waiting[packet[1]]
	if a == nil || string(packet[:20]) != string(a.wire[:20]) {
		t.mu.Unlock()
		return
	}
	finished := a.countRefusal()
	t.portRefused(s.server.addr)
	t.mu.Unlock()
	if t.cfg.OnPortRefused != nil {
		t.cfg.OnPortRefused(s.server.addr)
	}
	if finished {
		a.order.Sink.Done(chalkrack.ConnectFailed, nil, chalkrack.LoadReport{})
	}
}

// handleDatagram reports a verified answer to the attempt that waits for it. If the attempt's call was
// given up, it keeps the answer for the retry. It drops all other datagrams.
func (s *socket) handleDatagram(datagram []byte) {
	t := s.transport
	p, err := radius.Parse(datagram)
	if err != nil {
		t.mu.Lock()
		t.counts.Malformed++
		t.mu.Unlock()
		return
	}
	t.mu.Lock()
	a := s.waiting[p.ID]
	if a == nil || !p.Code.Answers(a.request.Packet.Code) {
		t.counts.Unsolicited++
		t.mu.Unlock()
		return
	}
	if err := p.VerifyAnswer(a.hop.Secret, a.hop.Authenticator, !t.cfg.AllowUnsignedAnswers); err != nil {
		t.counts.Unverified++
		t.mu.Unlock()
		slog.Warn("radius: answer dropped", "server", s.server.name, "err", err)
		return
	}
	translated, err := radius.ForwardAnswer(p, a.request.Packet, a.hop, a.request.ClientHop, a.proxyState)
	if err != nil { // the server has run the call: waiting for another answer would not help
		t.counts.Malformed++
		slog.Warn("radius: can't translate the answer for the client", "server", s.server.name, "err", err)
	}
	t.counts.Answers++
	alreadyEnded := a.ended
	a.ended, a.answered = true, true
	a.unpark()
	a.releaseOrPark(true)
	switch {
	case err != nil:
		a.request.markLost() // the server has run it, so it must not be sent again
	case alreadyEnded && a.request.Resumable: // its call was given up, and the client may retry it
		a.request.lateAnswer = &Answer{translated, s.server.name}
	}
	t.mu.Unlock()
	switch {
	case alreadyEnded:
	case err != nil:
		a.order.Sink.Done(chalkrack.Reset, nil, chalkrack.LoadReport{})
	default:
		a.order.Sink.Done(chalkrack.OK, &Answer{translated, s.server.name}, chalkrack.LoadReport{})
	}
}
