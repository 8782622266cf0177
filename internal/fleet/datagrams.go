package fleet

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// maxHeldDatagrams limits the datagrams that a link queues during a Hold. More are lost.
const maxHeldDatagrams = 4096

// NoteLink forwards the datagrams with notes from one sidecar to another, at an address of its own,
// and injects faults.
type NoteLink struct {
	From, To Party
	linkState

	conn   *net.UDPConn
	target *net.UDPAddr
	wg     sync.WaitGroup

	queueMu       sync.Mutex
	held          [][]byte
	delayed       []byte // a datagram to be sent after the next one; nil: none
	byteCount     int64
	datagramCount int64
}

// NewNoteLink starts a link for datagrams to target. It listens on a free port of the IP address
// host. The caller must close it.
func NewNoteLink(host string, from, to Party, target *net.UDPAddr, seed uint64) (*NoteLink, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, fmt.Errorf("fleet: notes: %w", err)
	}
	n := &NoteLink{From: from, To: to, linkState: newLinkState(seed), conn: conn, target: target}
	n.wg.Go(n.receiveLoop)
	return n, nil
}

// Addr returns the address to which From sends datagrams for To.
func (n *NoteLink) Addr() string { return n.conn.LocalAddr().String() }

// Sent returns the number of datagrams that From has sent and the number of their bytes.
func (n *NoteLink) Sent() (count, bytes int64) {
	n.queueMu.Lock()
	defer n.queueMu.Unlock()
	return n.datagramCount, n.byteCount
}

// receiveLoop reads datagrams until the link is closed.
func (n *NoteLink) receiveLoop() {
	buf := make([]byte, 2048)
	for {
		size, _, err := n.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the port of the target is closed
		}
		n.forward(slices.Clone(buf[:size]))
	}
}

// forward counts a datagram and forwards it with the impairment of the link.
func (n *NoteLink) forward(datagram []byte) {
	n.mu.Lock()
	current := n.impairments[outbound]
	n.mu.Unlock()
	n.queueMu.Lock()
	n.datagramCount++
	n.byteCount += int64(len(datagram))
	if current.hold {
		if len(n.held) < maxHeldDatagrams {
			n.held = append(n.held, datagram)
		}
		n.queueMu.Unlock()
		return
	}
	n.queueMu.Unlock()
	if current.cut || n.randomChance(current.lossShare) {
		return
	}
	outgoing := [][]byte{datagram}
	if n.randomChance(current.duplicateShare) {
		outgoing = append(outgoing, datagram)
	}
	n.queueMu.Lock()
	switch {
	case n.delayed != nil:
		outgoing, n.delayed = append(outgoing, n.delayed), nil
	case n.randomChance(current.reorderShare):
		n.delayed, outgoing = datagram, nil
	}
	n.queueMu.Unlock()
	for _, datagram := range outgoing {
		if delay := n.randomDelay(current); delay > 0 {
			time.AfterFunc(delay, func() { n.send(datagram) })
		} else {
			n.send(datagram)
		}
	}
}

func (n *NoteLink) send(datagram []byte) { n.conn.WriteToUDP(datagram, n.target) }

// setImpairment changes the impairment of the link. If it does not hold datagrams, the held ones
// are sent.
func (n *NoteLink) setImpairment(modify func(imp *impairment)) {
	n.update(func() { modify(&n.impairments[outbound]) })
	n.mu.Lock()
	hold := n.impairments[outbound].hold
	n.mu.Unlock()
	if hold {
		return
	}
	n.queueMu.Lock()
	held := n.held
	n.held = nil
	n.queueMu.Unlock()
	for _, datagram := range held {
		n.send(datagram)
	}
}

// Close closes the link and waits for its goroutine.
func (n *NoteLink) Close() {
	n.conn.Close()
	n.wg.Wait()
}
