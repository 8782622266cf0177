package fleet

import (
	"net"
	"syscall"
	"time"
)

// Limits for the connections that fill an accept queue during a cut, and for those accepted after
// it.
const (
	// maxQueueFillers limits the connections that fill an accept queue.
	maxQueueFillers = 8
	// fillerTimeout is how long establishing a filling connection may take. A timeout means that the
	// queue is full.
	fillerTimeout = 40 * time.Millisecond
	// queuedConnPeriod is the time after a cut in which an accepted connection may have been started
	// before the end of the cut.
	queuedConnPeriod = 5 * time.Second
)

// setImpairments changes the impairments of the link and starts or ends the blocking of new
// connections.
func (l *Link) setImpairments(modify func(impairments *[2]impairment)) {
	l.mu.Lock()
	wasCut, listener := l.isCut(), l.listener
	impairments := l.impairments
	modify(&impairments)
	nowCut := impairments[outbound].cut || impairments[inbound].cut
	l.mu.Unlock()
	if wasCut && !nowCut && listener != nil { // the accept loop is still paused
		l.unblockConnects(listener)
	}
	l.update(func() { l.impairments = impairments })
	if nowCut && !wasCut && listener != nil {
		l.blockConnects(listener)
	}
}

// SetCut sets for each direction of the link whether it is cut. outboundCut is the direction from
// the party that opens connections.
func (l *Link) SetCut(outboundCut, inboundCut bool) {
	l.setImpairments(func(imps *[2]impairment) { imps[outbound].cut, imps[inbound].cut = outboundCut, inboundCut })
}

// SetDelay sets the delay of the data that the target sends back.
func (l *Link) SetDelay(inboundDelay time.Duration) {
	l.setImpairments(func(imps *[2]impairment) { imps[inbound].delay = inboundDelay })
}

// blockConnects prevents new connections from being established. It pauses the accept loop and
// fills the accept queue: the kernel drops the first packet of a connection while the queue is full
// (listen(2), tcp(7)).
func (l *Link) blockConnects(ln *net.TCPListener) {
	ln.SetDeadline(time.Unix(1, 0))
	<-l.parked
	setBacklog(ln, 0)
	for range maxQueueFillers {
		c, err := net.DialTimeout("tcp", l.addr, fillerTimeout)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.queueFillers[c.LocalAddr().String()] = c
		l.mu.Unlock()
	}
}

// unblockConnects ends blockConnects. It resets the connections that entered the queue when the cut
// began, as a machine that was unreachable does not know them.
func (l *Link) unblockConnects(ln *net.TCPListener) {
	for range maxQueueFillers {
		ln.SetDeadline(time.Now().Add(5 * time.Millisecond))
		c, err := ln.AcceptTCP()
		if err != nil {
			break
		}
		l.mu.Lock()
		filler := l.queueFillers[c.RemoteAddr().String()]
		delete(l.queueFillers, c.RemoteAddr().String())
		l.mu.Unlock()
		if filler != nil {
			filler.Close()
		}
		resetConn(c)
	}
	l.mu.Lock()
	l.lastCutEnd = time.Now()
	l.mu.Unlock()
	setBacklog(ln, 128)
	ln.SetDeadline(time.Time{})
}

// setBacklog sets the length of the accept queue.
func setBacklog(ln *net.TCPListener, length int) {
	if raw, err := ln.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), length) })
	}
}
