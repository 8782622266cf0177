// Package standin has what the sidecar meets outside itself, as servers, discovery and
// clients of the platform's form, which do as a test or a demonstration tells them:
// answer late, wrongly or not at all, break off, freeze, drain, start cold, vanish. It
// is written from the protocol alone and imports nothing of the sidecar's, so that it
// can bear witness: a Ledger counts what came and what took effect, by request and by
// class. It listens on loopback only, and all chance in it comes from seeds.
package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// logMost bounds the arrivals that a Ledger remembers one by one; it counts on past
// that.
const logMost = 1 << 17

// Count is what became of one request, or of all of a class.
type Count struct {
	Attempts int // arrivals of a whole request
	Effects  int // runs, but for repeats that the servers' memory of keys dropped
}

// Arrival is one whole request at one server.
type Arrival struct {
	ID, Class, Key string
	Server         string
	Nth            int // of the request's arrivals at all servers, from 1
	At             time.Time
	Act            Kind
	Draining       time.Duration // for how long the server had been draining; 0: it was not
	Size           int64         // of its body
	Sum            [32]byte      // SHA-256 of its body
}

// Ledger is what all servers of a fleet have received.
type Ledger struct {
	// Window is how long a key is remembered, at all servers alike. Set it before use.
	Window time.Duration

	mu      sync.Mutex
	byID    map[string]*Count
	byClass map[string]*Count
	keys    map[string]time.Time // when a key first took effect
	log     []Arrival
}

// NewLedger returns an empty Ledger.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{Window: window, byID: make(map[string]*Count), byClass: make(map[string]*Count), keys: make(map[string]time.Time)}
}

func entry(m map[string]*Count, name string) *Count {
	c := m[name]
	if c == nil {
		c = new(Count)
		m[name] = c
	}
	return c
}

// nth is how many arrivals a request would have with one more.
func (l *Ledger) nth(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.byID[id]; c != nil {
		return c.Attempts + 1
	}
	return 1
}

// arrived books a whole request and says the how many-th it is.
func (l *Ledger) arrived(a Arrival) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := entry(l.byID, a.ID)
	c.Attempts++
	entry(l.byClass, a.Class).Attempts++
	a.Nth = c.Attempts
	if len(l.log) < logMost {
		l.log = append(l.log, a)
	}
	return c.Attempts
}

// ran books that a request takes effect, unless its key is remembered.
func (l *Ledger) ran(id, class, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		now := time.Now()
		if first, ok := l.keys[key]; ok && now.Sub(first) < l.Window {
			return
		}
		l.keys[key] = now
	}
	entry(l.byID, id).Effects++
	entry(l.byClass, class).Effects++
}

// Book books a request that arrived and took effect, as a server does.
func (l *Ledger) Book(id, class, key string) {
	l.arrived(Arrival{ID: id, Class: class, Key: key, At: time.Now()})
	l.ran(id, class, key)
}

// ID is the count of one request.
func (l *Ledger) ID(id string) Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.byID[id]; c != nil {
		return *c
	}
	return Count{}
}

// Class is the count of a class.
func (l *Ledger) Class(name string) Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.byClass[name]; c != nil {
		return *c
	}
	return Count{}
}

// IDs is the count of every request.
func (l *Ledger) IDs() map[string]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]Count, len(l.byID))
	for id, c := range l.byID {
		all[id] = *c
	}
	return all
}

// Log is the arrivals in their order, the first logMost of them.
func (l *Ledger) Log() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.log)
}

// String has a line for each request, in the order of their ids.
func (l *Ledger) String() string {
	all := l.IDs()
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(&b, "%s: %d attempts, %d effects\n", id, all[id].Attempts, all[id].Effects)
	}
	return b.String()
}
