// Package standin provides stand-ins for the sidecar's surroundings: servers, service discovery
// and clients that speak the platform's protocol. A test or a demonstration scripts them to answer
// late, wrongly or not at all, to break connections, freeze, drain, start cold or stop.
//
// The package is written from the protocol alone and imports none of the sidecar's code, so that
// its records are independent evidence of the sidecar's behaviour: a Ledger counts the requests
// that arrived and those that took effect, by request and by class. The stand-ins listen on
// loopback only, and every random choice comes from a seed.
package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxLoggedArrivals is how many arrivals a Ledger stores. Later arrivals are only counted.
const maxLoggedArrivals = 1 << 17

// Count holds the totals of one request or of all requests of a class.
type Count struct {
	Attempts int // complete requests that arrived
	Effects  int // requests that took effect; repeats of a remembered key don't
}

// Arrival is one complete request that one server received.
type Arrival struct {
	ID, Class, Key string
	Server         string
	AttemptNumber  int // among the request's arrivals at all servers, from 1
	At             time.Time
	ActionKind     ActionKind
	DrainingFor    time.Duration // how long the server had been draining; 0 if it was not draining
	BodySize       int64         // bytes of the body
	BodyHash       [32]byte      // SHA-256 of the body
}

// Ledger records the requests that all servers of a fleet receive. Its methods may be called from
// any goroutine.
type Ledger struct {
	// Window is how long every server remembers a key. It must be set before use.
	Window time.Duration

	mu              sync.Mutex
	byID            map[string]*Count
	byClass         map[string]*Count
	effectTimeByKey map[string]time.Time // when the key took effect
	arrivals        []Arrival
}

// NewLedger returns an empty Ledger that remembers a key for the given window.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{Window: window, byID: make(map[string]*Count), byClass: make(map[string]*Count), effectTimeByKey: make(map[string]time.Time)}
}

// countFor returns the Count of a name, which it adds if it is missing.
func countFor(counts map[string]*Count, name string) *Count {
	c := counts[name]
	if c == nil {
		c = new(Count)
		counts[name] = c
	}
	return c
}

// nextAttemptNumber returns the number that the request's next arrival would have, from 1.
func (l *Ledger) nextAttemptNumber(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.byID[id]; c != nil {
		return c.Attempts + 1
	}
	return 1
}

// recordArrival records a complete request and returns its attempt number, from 1.
func (l *Ledger) recordArrival(a Arrival) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := countFor(l.byID, a.ID)
	c.Attempts++
	countFor(l.byClass, a.Class).Attempts++
	a.AttemptNumber = c.Attempts
	if len(l.arrivals) < maxLoggedArrivals {
		l.arrivals = append(l.arrivals, a)
	}
	return c.Attempts
}

// recordEffect counts an effect of a request, unless its key is still remembered.
func (l *Ledger) recordEffect(id, class, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		now := time.Now()
		if first, ok := l.effectTimeByKey[key]; ok && now.Sub(first) < l.Window {
			return
		}
		l.effectTimeByKey[key] = now
	}
	countFor(l.byID, id).Effects++
	countFor(l.byClass, class).Effects++
}

// Record records a request that arrived and took effect, as a server does.
func (l *Ledger) Record(id, class, key string) {
	l.recordArrival(Arrival{ID: id, Class: class, Key: key, At: time.Now()})
	l.recordEffect(id, class, key)
}

// RequestCount returns the Count of one request, zero for an unknown one.
func (l *Ledger) RequestCount(id string) Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.byID[id]; c != nil {
		return *c
	}
	return Count{}
}

// ClassCount returns the Count of a class, zero for an unknown one.
func (l *Ledger) ClassCount(name string) Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.byClass[name]; c != nil {
		return *c
	}
	return Count{}
}

// RequestCounts returns the Count of every request by its id.
func (l *Ledger) RequestCounts() map[string]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]Count, len(l.byID))
	for id, c := range l.byID {
		all[id] = *c
	}
	return all
}

// Arrivals returns the first maxLoggedArrivals arrivals in the order in which they came.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.arrivals)
}

// String returns a line for each request, in the order of their ids.
func (l *Ledger) String() string {
	all := l.RequestCounts()
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(&b, "%s: %d attempts, %d effects\n", id, all[id].Attempts, all[id].Effects)
	}
	return b.String()
}
