package transport

import (
	"errors"
	"log/slog"
	"net"
	"syscall"

	"chalkrack"
	"chalkrack/internal/radius"
)

// socket is one connected UDP socket: the system drops what comes from another address.
type socket struct {
	t       *Transport
	server  *server
	conn    *net.UDPConn
	raw     syscall.RawConn
	waiting [256]*attempt // by identifier; guarded by the Transport's lock
}

const (
	ipRecvErr   = 0xb  // IP_RECVERR (ip(7))
	ipv6RecvErr = 0x19 // IPV6_RECVERR
)

func (t *Transport) open(s *server) (*socket, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(s.addr))
	if err != nil {
		return nil, err
	}
	k := &socket{t: t, server: s, conn: conn}
	if k.raw, err = conn.SyscallConn(); err != nil {
		conn.Close()
		return nil, err
	}
	// Refusals come with the packet that they are about. Without that one refusal could
	// not be told from another's, and would prove nothing.
	err = k.raw.Control(func(fd uintptr) {
		if s.addr.Addr().Unmap().Is4() {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipRecvErr, 1)
		} else {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IPV6, ipv6RecvErr, 1)
		}
	})
	if err != nil {
		conn.Close()
		return nil, err
	}
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
	buf := make([]byte, radius.MaxSize)
	for {
		n, err := k.conn.Read(buf)
		switch {
		case err == nil:
			k.take(buf[:n])
		case errors.Is(err, net.ErrClosed):
			return
		}
		k.refusals()
	}
}

// refusals reads which packets the system says were refused.
func (k *socket) refusals() {
	var packet [64]byte
	var oob [512]byte
	for {
		n := -1
		err := k.raw.Control(func(fd uintptr) {
			var rerr error
			n, _, _, _, rerr = syscall.Recvmsg(int(fd), packet[:], oob[:], syscall.MSG_ERRQUEUE|syscall.MSG_DONTWAIT)
			if rerr != nil {
				n = -1
			}
		})
		if err != nil || n < 0 {
			return
		}
		if n < 20 {
			continue // too little of it to say whose it is
		}
		k.t.mu.Lock()
		k.t.counts.Refusals++
		a := k.waiting[packet[1]]
		over := a != nil && string(packet[:20]) == string(a.wire[:20]) && a.refusal()
		k.t.mu.Unlock()
		if over {
			a.order.Sink.Done(chalkrack.ConnectFailed, nil, chalkrack.Report{})
		}
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
	back, err := radius.Return(p, a.request.Packet, a.hop, a.request.From, a.state)
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
		a.order.Sink.Done(chalkrack.Reset, nil, chalkrack.Report{})
	default:
		a.order.Sink.Done(chalkrack.OK, &Answer{back, k.server.name}, chalkrack.Report{})
	}
}
