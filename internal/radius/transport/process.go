package transport

import (
	"log/slog"
	"net/netip"
	"time"

	"chalkrack"
	"chalkrack/internal/radius/ident"
)

// A server recognizes a packet as a duplicate only as long as its process lives: the next process at
// its address would run the request again. So each process has a server of its own here, and a request
// that must not run twice is not sent again once another process may be at the address.

// AddServer implements core.Transport. A server with another start is another process.
func (t *Transport) AddServer(name, address string, started time.Duration) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		slog.Warn("radius: server ignored: its address is not an IP address and a port", "server", name, "err", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s == nil || s.addr != addr || s.isOtherProcess(started) {
		t.addProcess(name, addr, started)
	}
	t.servers[name].leftAt = time.Time{}
}

// RetireServer implements core.Transport. A server that drains may be told with another start, or at
// the address of another server.
func (t *Transport) RetireServer(name, address string, started time.Duration, gone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		if addr, err := netip.ParseAddrPort(address); err == nil && !gone {
			t.endReplaced(&server{name: name, addr: addr, started: started})
		}
		return
	}
	if !gone && s.isOtherProcess(started) {
		leftAt := s.leftAt
		s = t.addProcess(name, s.addr, started)
		s.leftAt = leftAt
	}
	if s.leftAt.IsZero() {
		s.leftAt = time.Now()
	}
	if gone {
		t.removeServer(s)
	}
}

// RetainServers implements core.Transport.
func (t *Transport) RetainServers(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.servers {
		if !listed[name] {
			t.removeServer(s)
		}
	}
}

// isOtherProcess reports whether a listed start is that of another process. A start of 0 says nothing,
// since it stands for one that is long ago or unknown.
func (s *server) isOtherProcess(started time.Duration) bool {
	return started != 0 && started != s.started
}

// addProcess makes the process with the given address and start the one that is listed under a name.
// It is called with the lock held, as are all functions below.
func (t *Transport) addProcess(name string, addr netip.AddrPort, started time.Duration) *server {
	if earlier := t.servers[name]; earlier != nil {
		if earlier.isOtherProcess(started) {
			slog.Info("radius: server has started again", "server", name, "attempts", earlier.waitingCount)
		}
		t.removeServer(earlier)
	}
	s := t.findRemoved(name, addr, started)
	if s == nil {
		s = t.newServer(name, addr, started, time.Time{})
	}
	s.removed = false
	delete(t.removed, s)
	t.servers[name] = s
	t.endReplaced(s)
	return s
}

func (t *Transport) newServer(name string, addr netip.AddrPort, started time.Duration, leftAt time.Time) *server {
	return &server{name: name, addr: addr, started: started, leftAt: leftAt, identifiers: ident.New(t.cfg.MaxSocketsPerServer, t.cfg.LateAnswerTTL)}
}

// findRemoved returns the removed server whose process is listed again, nil if there is none. Only a
// start that is known shows that it is the same process.
func (t *Transport) findRemoved(name string, addr netip.AddrPort, started time.Duration) *server {
	for s := range t.removed {
		if s.name == name && s.addr == addr && s.started == started && started != 0 && !s.ended {
			return s
		}
	}
	return nil
}

// endReplaced ends the processes that a listed one shows to have ended: those of the same server with
// another start, and those of other servers at its address.
func (t *Transport) endReplaced(listed *server) {
	isReplaced := func(s *server) bool {
		if s.name == listed.name {
			return s != listed && s.isOtherProcess(listed.started)
		}
		return s.addr == listed.addr
	}
	for _, s := range t.busyServers(isReplaced) {
		t.endProcess(s)
		t.limitWaits(s)
	}
}

// PortRefused records that the port at an address has refused a packet: the processes that were there
// have ended. It takes the lock.
func (t *Transport) PortRefused(addr netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.portRefused(addr)
}

func (t *Transport) portRefused(addr netip.AddrPort) {
	for _, s := range t.busyServers(func(s *server) bool { return s.addr == addr && s.mayHaveRunCalls() }) {
		t.endProcess(s)
	}
}

// Suspect records that the process of a server may have ended, since it doesn't answer probes. What it
// may have run is not sent again; its attempts wait on, as it may also be slow or cut off.
func (t *Transport) Suspect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil && s.mayHaveRunCalls() {
		t.separate(s)
		slog.Warn("radius: a server doesn't answer probes: calls that it may have run are not sent again", "server", s.name, "address", s.addr)
	}
}

// separate removes a listed server and lists a new one in its place: what is sent there from now on goes
// to another process, for all that is known.
func (t *Transport) separate(s *server) {
	next := t.newServer(s.name, s.addr, s.started, s.leftAt)
	t.removeServer(s)
	t.servers[s.name] = next
}

// busyServers returns those of the servers that a function chooses, listed or removed, on which attempts
// wait.
func (t *Transport) busyServers(isChosen func(*server) bool) (busy []*server) {
	for s := range t.removed {
		if isChosen(s) {
			busy = append(busy, s)
		}
	}
	for _, s := range t.servers {
		if s.waitingCount > 0 && isChosen(s) {
			busy = append(busy, s)
		}
	}
	return busy
}

// mayHaveRunCalls reports whether a call that must not run twice may have run at the server and has no
// answer.
func (s *server) mayHaveRunCalls() bool {
	for a := range s.waitingAttempts() {
		if a.atMostOnce && a.mayHaveRun() {
			return true
		}
	}
	return false
}

// endProcess records that a server's process has ended. Its open attempts wait on, as an answer may be on
// its way; parked ones that may have run are lost.
func (t *Transport) endProcess(s *server) {
	if s.ended {
		return
	}
	if !s.removed {
		t.separate(s)
	}
	s.ended = true
	open, parked := 0, 0
	for a := range s.waitingAttempts() {
		switch {
		case a.request.parked == a:
			parked++
			a.unpark()
			a.request.markLost()
			a.release(false)
		case a.atMostOnce && !a.ended:
			open++
		}
	}
	if open+parked > 0 {
		slog.Warn("radius: a server's process has ended: calls that it may have run are not sent again", "server", s.name, "address", s.addr, "open", open, "given_up", parked)
	}
}

// limitWaits ends the open attempts of an ended process soon, when another one has taken its place: they
// wait for an answer on its way no longer than for a resend, and the new process isn't blamed for them.
func (t *Transport) limitWaits(s *server) {
	latest := time.Now().Add(t.cfg.ResendDelay)
	for a := range s.waitingAttempts() {
		if a.atMostOnce && !a.ended && latest.Before(a.timeoutAt) {
			a.timeoutAt, a.timeoutOutcome = latest, chalkrack.Cancelled
			a.timer.Stop()
			a.startTimer()
		}
	}
}

// removeServer takes a server off the list. Its sockets stay open while attempts wait on them.
func (t *Transport) removeServer(s *server) {
	s.removed = true
	if s.leftAt.IsZero() {
		s.leftAt = time.Now()
	}
	delete(t.servers, s.name)
	t.removed[s] = true
	t.closeIfUnused(s)
}

// closeIfUnused closes the sockets of a removed server once no attempt waits on them.
func (t *Transport) closeIfUnused(s *server) {
	if !s.removed || s.waitingCount > 0 {
		return
	}
	for _, sock := range s.sockets {
		if sock != nil {
			sock.conn.Close()
		}
	}
	s.sockets = nil
	delete(t.removed, s)
}
