package transport

import (
	"net"
	"net/netip"
	"syscall"
)

// udp is a connected UDP socket: the system drops what comes from another address.
type udp struct {
	*net.UDPConn
	raw syscall.RawConn
}

const (
	ipRecvErr   = 0xb  // IP_RECVERR (ip(7))
	ipv6RecvErr = 0x19 // IPV6_RECVERR
)

// Dial opens a UDP socket to a server. Refusals come with the packet that they are
// about: without that one refusal could not be told from another's, and would prove
// nothing.
func Dial(addr netip.AddrPort) (Conn, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	u := &udp{UDPConn: conn}
	if u.raw, err = conn.SyscallConn(); err != nil {
		conn.Close()
		return nil, err
	}
	cerr := u.raw.Control(func(fd uintptr) {
		if addr.Addr().Unmap().Is4() {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipRecvErr, 1)
		} else {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IPV6, ipv6RecvErr, 1)
		}
	})
	if err == nil {
		err = cerr
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return u, nil
}

// Refused implements Conn: it empties the socket's error queue.
func (u *udp) Refused(tell func(packet []byte)) {
	var packet [64]byte
	var oob [512]byte
	for {
		n := -1
		err := u.raw.Control(func(fd uintptr) {
			var rerr error
			n, _, _, _, rerr = syscall.Recvmsg(int(fd), packet[:], oob[:], syscall.MSG_ERRQUEUE|syscall.MSG_DONTWAIT)
			if rerr != nil {
				n = -1
			}
		})
		if err != nil || n < 0 {
			return
		}
		tell(packet[:n])
	}
}
