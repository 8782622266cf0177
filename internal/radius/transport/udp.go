package transport

import (
	"net"
	"net/netip"
	"syscall"
)

// udpConn is a connected UDP socket: the system drops datagrams from other addresses.
type udpConn struct {
	*net.UDPConn
	raw syscall.RawConn
}

const (
	ipRecvErr   = 0xb  // IP_RECVERR, see ip(7)
	ipv6RecvErr = 0x19 // IPV6_RECVERR, see ipv6(7)
)

// Dial opens a UDP socket to a server. It has the system queue each refusal together with the
// packet that it is about (IP_RECVERR). Without the packet, a refusal could belong to any packet
// sent from the socket, and would not prove that a certain one was never read.
func Dial(addr netip.AddrPort) (Conn, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	u := &udpConn{UDPConn: conn}
	if u.raw, err = conn.SyscallConn(); err != nil {
		conn.Close()
		return nil, err
	}
	controlErr := u.raw.Control(func(fd uintptr) {
		if addr.Addr().Unmap().Is4() {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipRecvErr, 1)
		} else {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IPV6, ipv6RecvErr, 1)
		}
	})
	if err == nil {
		err = controlErr
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return u, nil
}

// Refused implements Conn. It empties the socket's error queue.
func (u *udpConn) Refused(report func(packet []byte)) {
	var packet [64]byte
	var control [512]byte
	for {
		n := -1
		err := u.raw.Control(func(fd uintptr) {
			var recvErr error
			n, _, _, _, recvErr = syscall.Recvmsg(int(fd), packet[:], control[:], syscall.MSG_ERRQUEUE|syscall.MSG_DONTWAIT)
			if recvErr != nil {
				n = -1
			}
		})
		if err != nil || n < 0 {
			return
		}
		report(packet[:n])
	}
}
