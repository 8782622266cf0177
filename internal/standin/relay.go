package standin

import (
	"bytes"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relay forwards datagrams between clients and a server. It drops, duplicates and delays some of
// them, chosen by its seed.
type Relay struct {
	LossShare, DuplicateShare, DelayShare float64 // shares of all datagrams in each direction

	conn       *net.UDPConn
	serverAddr *net.UDPAddr
	goroutines sync.WaitGroup

	mu      sync.Mutex
	rng     *mrand.Rand
	sockets map[string]*net.UDPConn
	closed  bool
}

// maxRelayClients is how many clients a Relay keeps a socket for. A new client beyond it takes the
// place of another.
const maxRelayClients = 512

// NewRelay starts a Relay to serverAddr. The shares are between 0 and 1. The caller must close it.
func NewRelay(serverAddr string, seed uint64, lossShare, duplicateShare, delayShare float64) (*Relay, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", serverAddr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("standin: start relay: %w", err)
	}
	conn.SetReadBuffer(4 << 20)
	r := &Relay{LossShare: lossShare, DuplicateShare: duplicateShare, DelayShare: delayShare, conn: conn, serverAddr: udpAddr, rng: mrand.New(mrand.NewPCG(seed, 4)), sockets: make(map[string]*net.UDPConn)}
	r.goroutines.Go(r.serve)
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.conn.LocalAddr().String() }

// forward sends a datagram, duplicates it, delays it by up to 20 ms or drops it, at random.
func (r *Relay) forward(send func([]byte), datagram []byte) {
	r.mu.Lock()
	lost, duplicated, delayed := r.rng.Float64() < r.LossShare, r.rng.Float64() < r.DuplicateShare, r.rng.Float64() < r.DelayShare
	delay := time.Duration(r.rng.Float64() * float64(20*time.Millisecond))
	r.mu.Unlock()
	if lost {
		return
	}
	if duplicated {
		send(datagram)
	}
	if delayed {
		datagram = bytes.Clone(datagram)
		time.AfterFunc(delay, func() { send(datagram) })
		return
	}
	send(datagram)
}

// serve forwards the datagrams of clients until the relay is closed.
func (r *Relay) serve() {
	buf := make([]byte, 4096)
	for {
		n, client, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		socket := r.socketFor(client)
		if socket == nil {
			continue
		}
		r.forward(func(datagram []byte) { socket.Write(datagram) }, buf[:n])
	}
}

// socketFor returns the socket that forwards for a client, or nil if there is none and none can be
// opened. Errors of a closed server port reach only this socket: to the client, the datagram is
// lost without notice.
func (r *Relay) socketFor(client *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := client.String()
	if socket := r.sockets[name]; socket != nil || r.closed {
		return socket
	}
	if len(r.sockets) >= maxRelayClients {
		for oldName, socket := range r.sockets {
			socket.Close()
			delete(r.sockets, oldName)
			break
		}
	}
	socket, err := net.DialUDP("udp", nil, r.serverAddr)
	if err != nil {
		return nil
	}
	r.sockets[name] = socket
	r.goroutines.Go(func() {
		buf := make([]byte, 4096)
		for {
			n, err := socket.Read(buf)
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				continue
			}
			r.forward(func(datagram []byte) { r.conn.WriteTo(datagram, client) }, buf[:n])
		}
	})
	return socket
}

// Close stops the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.conn.Close()
	r.mu.Lock()
	r.closed = true
	for _, c := range r.sockets {
		c.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}
