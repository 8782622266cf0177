package fleet

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// heldMost bounds the datagrams that a link holds up; more are lost.
const heldMost = 4096

// Notes carries datagrams from one sidecar to one other, by an address of its own.
type Notes struct {
	From, To Party
	gate

	conn   *net.UDPConn
	target *net.UDPAddr
	wg     sync.WaitGroup

	heldMu sync.Mutex
	held   [][]byte
	after  []byte // comes after the next
	bytes  int64
	count  int64
}

// NewNotes starts a link for datagrams, which listens at a host.
func NewNotes(host string, from, to Party, target *net.UDPAddr, seed uint64) (*Notes, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, fmt.Errorf("fleet: notes: %w", err)
	}
	n := &Notes{From: from, To: to, gate: newGate(seed), conn: conn, target: target}
	n.wg.Go(n.run)
	return n, nil
}

// Addr is where From sends what is for To.
func (n *Notes) Addr() string { return n.conn.LocalAddr().String() }

// Sent is how many datagrams, and bytes of them, From has sent.
func (n *Notes) Sent() (count, bytes int64) {
	n.heldMu.Lock()
	defer n.heldMu.Unlock()
	return n.count, n.bytes
}

func (n *Notes) run() {
	buf := make([]byte, 2048)
	for {
		size, _, err := n.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // of a peer whose port is closed
		}
		n.take(slices.Clone(buf[:size]))
	}
}

func (n *Notes) take(b []byte) {
	n.mu.Lock()
	w := n.ways[out]
	n.mu.Unlock()
	n.heldMu.Lock()
	n.count++
	n.bytes += int64(len(b))
	if w.hold {
		if len(n.held) < heldMost {
			n.held = append(n.held, b)
		}
		n.heldMu.Unlock()
		return
	}
	n.heldMu.Unlock()
	if w.cut || n.chance(w.loss) {
		return
	}
	all := [][]byte{b}
	if n.chance(w.double) {
		all = append(all, b)
	}
	n.heldMu.Lock()
	switch {
	case n.after != nil:
		all, n.after = append(all, n.after), nil
	case n.chance(w.reorder):
		n.after, all = b, nil
	}
	n.heldMu.Unlock()
	for _, b := range all {
		if d := n.late(w); d > 0 {
			time.AfterFunc(d, func() { n.send(b) })
		} else {
			n.send(b)
		}
	}
}

func (n *Notes) send(b []byte) { n.conn.WriteToUDP(b, n.target) }

// change alters what holds; what was held up is let go where that has ended.
func (n *Notes) change(how func(w *way)) {
	n.set(func() { how(&n.ways[out]) })
	n.mu.Lock()
	hold := n.ways[out].hold
	n.mu.Unlock()
	if hold {
		return
	}
	n.heldMu.Lock()
	held := n.held
	n.held = nil
	n.heldMu.Unlock()
	for _, b := range held {
		n.send(b)
	}
}

// Close ends it.
func (n *Notes) Close() {
	n.conn.Close()
	n.wg.Wait()
}
