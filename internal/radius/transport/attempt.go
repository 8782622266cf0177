package transport

import (
	"crypto/rand"
	"log/slog"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/radius"
	"chalkrack/internal/radius/ident"
)

// NewAttempt implements core.Transport. The payload is a *Request.
func (t *Transport) NewAttempt(order core.Order) core.Attempt {
	request := order.Payload.(*Request)
	request.mu.Lock()
	request.transport = t
	request.mu.Unlock()
	return &attempt{transport: t, order: order, request: request, atMostOnce: order.AtMostOnce || request.Resumable}
}

// attempt implements core.Attempt.
type attempt struct {
	transport  *Transport
	order      core.Order
	request    *Request
	atMostOnce bool // the request must not run twice

	// The fields below are guarded by the Transport's lock.

	socket         *socket // nil if the attempt holds no identifier
	id             ident.ID
	server         *server
	wire           []byte     // the encoded packet
	hop            radius.Hop // between proxy and server
	proxyState     []byte     // the Proxy-State that the packet carries
	packetsSent    int
	packetsRefused int // part of packetsSent that the server's port refused
	resends        int // how often a resend was due, also if it was left out
	startedAt      time.Time
	timeoutAt      time.Time
	timeoutOutcome chalkrack.Outcome // at that time
	timer          *time.Timer
	timerDueAt     time.Time
	isPostponed    bool // the packet that is due has been postponed
	ended          bool // abandoned, or its outcome was reported
	answered       bool

	// isResumptionDue says that the packet that is due is the first one of a resumed attempt.
	isResumptionDue bool
}

// proxyStateBytes is the length of the Proxy-State that an attempt adds.
const proxyStateBytes = 8

// Start implements core.Attempt.
func (a *attempt) Start() {
	if outcome, failed := a.tryStart(); failed {
		a.order.Sink.Done(outcome, nil, chalkrack.LoadReport{})
	}
}

// tryStart sends the first packet, or resumes the request's parked attempt. It returns the outcome
// and true if the attempt failed at once.
func (a *attempt) tryStart() (outcome chalkrack.Outcome, failed bool) {
	t := a.transport
	secret := t.cfg.Secret(a.order.Server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ended {
		return chalkrack.ConnectFailed, true
	}
	s := t.servers[a.order.Server]
	if s == nil || t.graceOver(s) || t.closed || len(secret) == 0 || !a.order.NotAfter.IsZero() && time.Now().After(a.order.NotAfter) {
		a.ended = true
		return chalkrack.ConnectFailed, true
	}
	switch parked := a.request.parked; {
	case a.request.lateAnswer != nil:
		a.takeLateAnswer()
		return 0, false
	case parked != nil && parked.server == s:
		a.resume(parked)
		return 0, false
	case parked != nil || a.request.Resumable && a.request.SentTo() != "":
		// It may have run, and only the process that has the first packet recognizes it as a duplicate.
		a.ended = true
		return chalkrack.NotSent, true
	}
	if !a.startOn(s, secret) {
		a.ended = true
		return chalkrack.NotSent, true
	}
	return 0, false
}

// startOn sends the first packet of a request to a server. It returns false if there is no identifier, no
// socket or no way to translate the request.
func (a *attempt) startOn(s *server, secret []byte) bool {
	t := a.transport
	id, opened, ok := s.identifiers.Acquire(t.now())
	if !ok {
		t.counts.NoIdentifier++
		return false
	}
	if opened {
		s.sockets = append(s.sockets, nil)
	}
	sock, err := t.socketAt(s, id.Socket)
	if err != nil {
		if opened {
			slog.Warn("radius: can't open a socket to the server", "server", s.name, "err", err)
		}
		s.identifiers.Release(t.now(), id, false)
		return false
	}
	var authenticator radius.Authenticator
	rand.Read(authenticator[:])
	proxyState := make([]byte, proxyStateBytes)
	rand.Read(proxyState)
	p, hop, err := radius.ForwardRequest(a.request.Packet, a.request.ClientHop, secret, id.Number, authenticator, proxyState)
	if err != nil {
		slog.Info("radius: can't translate the request for the server", "err", err)
		s.identifiers.Release(t.now(), id, true)
		return false
	}
	a.server, a.socket, a.id, a.wire, a.hop, a.proxyState = s, sock, id, p.Marshal(), hop, proxyState
	s.waitingCount++
	a.beginWaiting()
	a.send()
	a.startTimer()
	return true
}

// beginWaiting starts to wait for the attempt's answer.
func (a *attempt) beginWaiting() {
	a.socket.waiting[a.id.Number] = a
	a.startedAt = time.Now()
	a.setTimeout()
}

// takeLateAnswer ends the attempt with the answer that came after the request's earlier call was given
// up.
func (a *attempt) takeLateAnswer() {
	answer := a.request.lateAnswer
	a.request.lateAnswer = nil
	a.ended, a.answered = true, true
	go a.order.Sink.Done(chalkrack.OK, answer, chalkrack.LoadReport{}) // which may call the Transport
}

// resume takes over the packet, identifier and socket of a parked attempt of the same request. It sends
// the packet again after newsDelay: the process may have been held up while the client's retry and news
// of the server came.
func (a *attempt) resume(parked *attempt) {
	parked.unpark()
	a.server, a.socket, a.id, a.wire, a.hop, a.proxyState = parked.server, parked.socket, parked.id, parked.wire, parked.hop, parked.proxyState
	a.packetsSent, a.packetsRefused = parked.packetsSent, parked.packetsRefused
	parked.socket = nil
	a.beginWaiting()
	a.isResumptionDue = true
	a.setTimer(a.newsDelay())
}

// setTimeout sets the time at which the attempt times out, no later than the call's deadline.
func (a *attempt) setTimeout() {
	a.timeoutAt, a.timeoutOutcome = a.startedAt.Add(a.transport.cfg.AttemptTimeout), chalkrack.TimedOut
	if !a.order.Deadline.IsZero() && a.order.Deadline.Before(a.timeoutAt) {
		a.timeoutAt = a.order.Deadline
	}
}

// graceOver reports whether a server has left and its grace period is over. It is called with the
// lock held, as are the methods below.
func (t *Transport) graceOver(s *server) bool {
	return !s.leftAt.IsZero() && time.Since(s.leftAt) > t.cfg.Grace
}

func (a *attempt) send() {
	a.packetsSent++
	if a.packetsSent == 1 {
		a.transport.counts.Sent++
		a.request.setSentTo(a.server.name)
	} else {
		a.transport.counts.Resent++
	}
	a.socket.write(a.wire)
}

// maxResendDoublings is how often the time between two packets of an attempt is doubled.
const maxResendDoublings = 3

// startTimer starts the timer for the next resend or, after the last one, for the timeout.
func (a *attempt) startTimer() {
	wait := time.Until(a.timeoutAt)
	if a.resends < a.transport.cfg.MaxResends {
		wait = min(wait, a.transport.cfg.ResendDelay<<min(a.resends, maxResendDoublings))
	}
	a.isPostponed = false
	a.setTimer(max(wait, 0))
}

func (a *attempt) setTimer(wait time.Duration) {
	a.timerDueAt = time.Now().Add(wait)
	a.timer = time.AfterFunc(wait, a.onTimer)
}

const (
	// maxTimerDelay is how late a timer may run before the process counts as held up.
	maxTimerDelay = 5 * time.Millisecond
	// maxNewsDelay is how long a packet waits to be sent again where the process may have been held up,
	// so that what has come in the meantime is read first: discovery may have told that the server's
	// process is another one.
	maxNewsDelay = 100 * time.Millisecond
)

// newsDelay returns maxNewsDelay, or less where resends or the timeout come sooner.
func (a *attempt) newsDelay() time.Duration {
	return max(0, min(maxNewsDelay, a.transport.cfg.ResendDelay, time.Until(a.timeoutAt)))
}

// postponeOverdue postpones a resend, once, if its timer runs late.
func (a *attempt) postponeOverdue() (postponed bool) {
	if !a.atMostOnce || a.isPostponed || time.Since(a.timerDueAt) <= maxTimerDelay {
		return false
	}
	a.isPostponed = true
	a.setTimer(a.newsDelay())
	return true
}

// onTimer sends the packet again, or ends the attempt if it has timed out. It takes the lock.
func (a *attempt) onTimer() {
	a.transport.mu.Lock()
	if a.ended {
		a.transport.mu.Unlock()
		return
	}
	if time.Now().Before(a.timeoutAt) {
		if a.postponeOverdue() {
			a.transport.mu.Unlock()
			return
		}
		if !a.isResumptionDue {
			a.resends++
		}
		a.isResumptionDue = false
		if a.mayResend() {
			a.send()
		}
		a.startTimer()
		a.transport.mu.Unlock()
		return
	}
	a.transport.mu.Unlock()
	a.timeOut()
}

// mayResend reports whether the attempt's packet may be sent again. A server that has left gets nothing
// after the grace period. Another process at the server's address would not recognize the packet as a
// duplicate.
func (a *attempt) mayResend() bool {
	return !(a.atMostOnce && a.server.removed) && !a.transport.graceOver(a.server)
}

// mayHaveRun reports whether the server may have run the request: not all packets sent were refused.
func (a *attempt) mayHaveRun() bool { return a.packetsSent > a.packetsRefused }

// timeOut ends the attempt as timed out, unless it has ended. It takes the lock.
func (a *attempt) timeOut() {
	a.transport.mu.Lock()
	if a.ended {
		a.transport.mu.Unlock()
		return
	}
	a.ended = true
	outcome := a.timeoutOutcome
	a.releaseOrPark(false)
	a.transport.mu.Unlock()
	a.order.Sink.Done(outcome, nil, chalkrack.LoadReport{})
}

// releaseOrPark releases the attempt's identifier. If the client may retry the call and the server
// may have run it, the attempt is parked instead, so that it can be resumed. If that is not
// possible, the request is lost.
func (a *attempt) releaseOrPark(answered bool) {
	if a.socket == nil {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.request.Resumable && !answered && a.mayHaveRun() {
		if !a.server.ended && a.request.parked == nil && a.transport.parkedCount < maxParked && !a.transport.closed {
			a.request.parked = a
			a.transport.parkedCount++
			return
		}
		a.request.markLost()
	}
	a.release(answered)
}

// unpark ends that the attempt is kept for a retry, if it is.
func (a *attempt) unpark() {
	if a.request.parked == a {
		a.request.parked = nil
		a.transport.parkedCount--
	}
}

// maxParked is how many attempts are kept for calls that clients may retry. Further requests that
// are given up are lost.
const maxParked = 512

// release releases the attempt's identifier, if it holds one.
func (a *attempt) release(answered bool) {
	if a.socket == nil {
		return
	}
	a.socket.waiting[a.id.Number] = nil
	a.server.identifiers.Release(a.transport.now(), a.id, answered)
	a.socket = nil
	a.server.waitingCount--
	a.transport.closeIfUnused(a.server)
}

// Abandon implements core.Attempt.
func (a *attempt) Abandon() (began bool) {
	a.transport.mu.Lock()
	defer a.transport.mu.Unlock()
	a.ended = true
	return a.mayHaveRun()
}

// CancelUnsent implements core.Attempt.
func (a *attempt) CancelUnsent() bool {
	a.transport.mu.Lock()
	defer a.transport.mu.Unlock()
	if a.packetsSent > 0 {
		return false
	}
	a.ended = true
	return true
}

// Close implements core.Attempt. An identifier without an answer rests until no late answer can
// come.
func (a *attempt) Close() {
	a.transport.mu.Lock()
	defer a.transport.mu.Unlock()
	if a.request.parked != a {
		a.releaseOrPark(a.answered)
	}
}

// Phase implements core.Attempt.
func (a *attempt) Phase() string {
	a.transport.mu.Lock()
	defer a.transport.mu.Unlock()
	if a.packetsSent == 0 {
		return "not sent"
	}
	return "waiting"
}

// Cause implements core.Attempt. The outcomes of attempts over UDP say all.
func (a *attempt) Cause() string { return "" }

// countRefusal counts the refusal of a packet. Once all packets of the attempt were refused, the
// server can't have run the request: the attempt ends, and finished is true.
func (a *attempt) countRefusal() (finished bool) {
	if a.packetsRefused++; a.mayHaveRun() || a.ended {
		return false
	}
	a.ended = true
	a.request.setSentTo("")
	a.releaseOrPark(true) // no answer can come, so the identifier need not rest
	return true
}
