// Package transport implements the core's transport: it carries RADIUS attempts to servers over
// UDP. An attempt is one exchange with one server, with one packet, one identifier and one
// authenticator. If the settings say so, the identical packet is sent again to the same server from
// the same socket until its answer comes. A server recognizes such packets as duplicates and runs
// them once (RFC 5080 section 2.2.2).
//
// The outcome of an attempt says whether the server has run the request:
//
//	what comes back                              outcome            did the server run it?
//	a verified answer                            OK                 yes
//	nothing before the timeout of the attempt    timed out          it may have, or may yet
//	a refusal of the port for each packet sent   could not connect  never
//	another process takes the server's place     cancelled          it may have
//	nothing is sent: no identifier or no socket  not sent           never
//
// A server recognizes duplicates only as long as its process lives. A packet of a request that must not
// run twice is not sent again once another process may be at the server's address, see process.go.
//
// A datagram that can't be verified or comes from another address is dropped and counted, and the
// attempt goes on waiting.
package transport

import (
	"iter"
	"net/netip"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/radius"
	"chalkrack/internal/radius/ident"
)

// Config holds the settings of a Transport.
type Config struct {
	Secret              func(server string) []byte // returns a server's secret; a server without one gets no requests
	MaxSocketsPerServer int                        // sockets per server at most, each for 256 attempts
	LateAnswerTTL       time.Duration              // how long after an attempt a late answer may come
	AttemptTimeout      time.Duration              // how long an attempt waits for its answer
	ResendDelay         time.Duration              // wait before a packet is sent again, doubled up to three times
	MaxResends          int                        // how often a packet is sent again at most
	// AllowUnsignedAnswers accepts answers to access without Message-Authenticator. An attacker on
	// the network path can forge them (CVE-2024-3596).
	AllowUnsignedAnswers bool
	Grace                time.Duration                      // how long a retired server still gets packets
	Dial                 func(netip.AddrPort) (Conn, error) // opens a Conn to a server; Dial (UDP) if nil
	// OnPortRefused is called, without the lock, with the address of a server whose port has refused a
	// packet of this Transport. It may be nil.
	OnPortRefused func(netip.AddrPort)
}

// Request is the payload of a call: the client's request, and the hop between client and proxy.
type Request struct {
	Packet    *radius.Packet
	ClientHop radius.Hop
	// Resumable says that the client may retry the call after it is given up. The packet, identifier
	// and socket of its attempt are kept until Forget, so that the server recognizes the packet of
	// the next attempt as a duplicate. An answer that comes in the meantime is kept for the retry.
	Resumable bool

	mu         sync.Mutex // guards the next three fields
	transport  *Transport // of its attempts; nil before the first one
	sentTo     string     // see SentTo
	lost       bool       // see IsLost
	parked     *attempt   // attempt kept for a retry; guarded by the Transport's lock
	lateAnswer *Answer    // that came after the call was given up; guarded by the Transport's lock
}

// Forget frees the attempt and the answer that are kept for a retry. It is called when the client
// will not retry the call any more, and may be called again.
func (r *Request) Forget() {
	r.mu.Lock()
	t := r.transport
	r.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.lateAnswer = nil
	if a := r.parked; a != nil {
		a.unpark()
		a.release(false)
	}
}

// NewLostRequest returns the Request of a call that may have run at a server and can't be resumed,
// since the packet that was sent for it is no longer known.
func NewLostRequest(server string) *Request {
	return &Request{Resumable: true, sentTo: server, lost: true}
}

// IsLost reports whether the request may have run at a server that would not recognize another
// attempt as a duplicate. Such a request must not be sent again.
func (r *Request) IsLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

func (r *Request) markLost() {
	r.mu.Lock()
	r.lost = true
	r.mu.Unlock()
}

// setSentTo records the server that may have run the request, empty for none.
func (r *Request) setSentTo(server string) {
	r.mu.Lock()
	r.sentTo = server
	r.mu.Unlock()
}

// SentTo returns the name of the server that last got a packet of the request and may have run it.
// It is empty if no server did, or if the server's port refused all packets.
func (r *Request) SentTo() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentTo
}

// Answer is a server's answer, translated for the client's hop.
type Answer struct {
	Packet *radius.Packet
	Server string
}

// Counts holds the event counters of a Transport.
type Counts struct {
	Sent, Resent int64
	Answers      int64 // verified answers
	Unverified   int64 // dropped: authenticator or Message-Authenticator wrong or missing
	Unsolicited  int64 // dropped: no attempt waits for such an answer
	Refusals     int64 // packets refused by a server's port
	NoIdentifier int64 // attempts not sent because all identifiers were in use or resting
	Malformed    int64 // dropped: not a RADIUS packet, or an answer that can't be translated
}

// Transport implements core.Transport.
type Transport struct {
	cfg Config

	mu          sync.Mutex
	servers     map[string]*server
	removed     map[*server]bool // removed servers on whose sockets attempts still wait
	counts      Counts
	parkedCount int // attempts kept for calls that the client may retry
	start       time.Time
	closed      bool
	wg          sync.WaitGroup
}

// server is one process of a server at one address, with its sockets. It stays until no attempt waits
// on it.
type server struct {
	name         string
	addr         netip.AddrPort
	started      time.Duration // since the Unix epoch; 0 if that is not known
	identifiers  *ident.Pool
	sockets      []*socket // nil for one that could not be opened
	waitingCount int       // attempts that hold an identifier
	leftAt       time.Time // when it was retired or removed; zero if it was not
	removed      bool      // not listed any more; another process may be at its address
	ended        bool      // the process is known to have ended; implies removed
}

// New returns a Transport without servers.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg, servers: make(map[string]*server), removed: make(map[*server]bool), start: time.Now()}
}

func (t *Transport) now() time.Duration { return time.Since(t.start) }

// Counts returns the event counters.
func (t *Transport) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// CloseIdle implements core.Transport. It does nothing: idle UDP sockets cost a server nothing.
func (t *Transport) CloseIdle(string) {}

// Probe implements core.Transport. It does nothing: RADIUS servers send no load reports.
func (t *Transport) Probe(string, time.Duration, func(chalkrack.LoadReport)) {}

// Close ends all attempts as timed out, frees the parked ones, and returns once all reading
// goroutines have ended. Attempts started afterwards are not sent.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	var active, parked []*attempt
	for s := range t.removed {
		s.collect(&active, &parked)
	}
	for _, s := range t.servers {
		s.collect(&active, &parked)
	}
	t.mu.Unlock()
	for _, a := range parked {
		a.request.Forget()
	}
	for _, a := range active {
		a.timeOut()
	}
	t.RetainServers(nil)
	t.wg.Wait()
}

// collect appends the attempts that wait on a server to parked if they are kept for a retry, to
// active otherwise.
func (s *server) collect(active, parked *[]*attempt) {
	for a := range s.waitingAttempts() {
		if a.request.parked == a {
			*parked = append(*parked, a)
		} else {
			*active = append(*active, a)
		}
	}
}

// waitingAttempts returns the attempts that hold an identifier of a server. They may be released while
// the sequence is read.
func (s *server) waitingAttempts() iter.Seq[*attempt] {
	return func(yield func(*attempt) bool) {
		for _, sock := range s.sockets {
			if sock == nil {
				continue
			}
			for _, a := range sock.waiting {
				if a != nil && !yield(a) {
					return
				}
			}
		}
	}
}
