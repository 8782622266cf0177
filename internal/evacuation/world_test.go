package evacuation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world is a fleet of Machines in virtual time: calls at random times to servers that are
// as a test says, and notes that arrive late, or never.
type world struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	cars    []*car
	zones   []string
	servers []Server
	up      func(car int, s Server) Kind     // what a call meets; nil: all is good
	hears   func(from, to int) bool          // nil: all hear each other
	loss    float64                          // of notes
	rate    func(car int) float64            // calls a second
	work    time.Duration                    // that a good call takes
	events  queue                            // of what is due
	n       int                              // of events, for their order
	sends   map[string]map[time.Duration]int // to a server, by second
	zoned   map[string][]time.Duration       // sends to a zone
	notes   int
	bytes   int
	counted func(car int, s Server, k Kind)
}

type car struct {
	m       *Machine
	cfg     Config
	inc     uint64
	stopped bool
	dead    bool
	notes   float64 // that may still go: the budget of package duty
	notedAt time.Duration
	loop    int // its chain of events; a restart begins another
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].n < q[b].n
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (w *world) at(t time.Duration, do func()) {
	w.n++
	heap.Push(&w.events, event{max(t, w.now), w.n, do})
}

// until plays on to a time.
func (w *world) until(t time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= t {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = t
}

const (
	tickEach   = 100 * time.Millisecond
	noteBudget = 20.0 // a second
)

func newWorld(t testing.TB, seed uint64, cars, each int, zones ...string) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), zones: zones, rate: func(int) float64 { return 12 }, work: 40 * time.Millisecond,
		sends: make(map[string]map[time.Duration]int), zoned: make(map[string][]time.Duration)}
	for n := range each * len(zones) {
		w.servers = append(w.servers, Server{fmt.Sprint("s", n), zones[n%len(zones)]})
	}
	for n := range cars {
		c := &car{cfg: Default()}
		c.cfg.Self, c.cfg.Peers, c.cfg.Seed = n, cars, seed
		w.cars = append(w.cars, c)
		w.start(n)
	}
	return w
}

// start begins a sidecar from nothing.
func (w *world) start(n int) {
	c := w.cars[n]
	c.inc++
	c.loop++
	c.dead, c.stopped, c.notes = false, false, 2*noteBudget
	c.cfg.Inc = c.inc
	m, err := New(c.cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	c.m = m
	m.Servers(w.now, w.servers)
	loop := c.loop
	var tick, call, tell func()
	tick = func() {
		if c.loop != loop {
			return
		}
		next := tickEach
		if !c.stopped {
			out := c.m.Tick(w.now)
			w.carry(n, out)
			next = out.Next
		}
		w.at(w.now+next, tick)
	}
	call = func() {
		if c.loop != loop {
			return
		}
		if !c.stopped {
			w.call(n)
		}
		w.at(w.now+time.Duration(w.rng.ExpFloat64()/w.rate(n)*float64(time.Second)), call)
	}
	tell = func() { // as package duty does each second
		if c.loop != loop {
			return
		}
		if !c.stopped {
			for range 4 {
				w.send(n, w.other(n))
			}
		}
		w.at(w.now+time.Second, tell)
	}
	w.at(w.now+time.Duration(w.rng.Int64N(int64(tickEach))), tick)
	w.at(w.now+time.Duration(w.rng.Int64N(int64(time.Second))), tell)
	w.at(w.now+time.Duration(w.rng.ExpFloat64()/w.rate(n)*float64(time.Second)), call)
}

func (w *world) kill(n int) { w.cars[n].dead, w.cars[n].loop = true, w.cars[n].loop+1 }

func (w *world) other(n int) int {
	if len(w.cars) < 2 {
		return n
	}
	o := w.rng.IntN(len(w.cars) - 1)
	if o >= n {
		o++
	}
	return o
}

func (w *world) carry(n int, out Wants) {
	for _, to := range out.To {
		w.send(n, to)
	}
	for range out.Tell {
		w.send(n, w.other(n))
	}
}

// send sends a note.
func (w *world) send(n, to int) {
	c := w.cars[n]
	c.notes = min(2*noteBudget, c.notes+noteBudget*(w.now-c.notedAt).Seconds())
	c.notedAt = w.now
	if n == to || c.notes < 1 {
		return
	}
	c.notes--
	b := c.m.Note(w.now, 150)
	if b == nil {
		return
	}
	w.notes++
	w.bytes += len(b)
	if w.rng.Float64() < w.loss || w.hears != nil && !w.hears(n, to) {
		return
	}
	inc := c.inc
	w.at(w.now+time.Duration(1400+w.rng.IntN(32600))*time.Microsecond, func() { w.receive(n, to, inc, b) })
}

func (w *world) receive(from, to int, inc uint64, b []byte) {
	c := w.cars[to]
	switch {
	case c.dead:
	case c.stopped: // it waits in the socket
		w.at(w.now+50*time.Millisecond, func() { w.receive(from, to, inc, b) })
	default:
		w.carry(to, c.m.Receive(w.now, from, inc, b))
	}
}

// call makes one call: of two servers that may be used one is taken.
func (w *world) call(n int) {
	c := w.cars[n]
	var ok []Server
	for _, s := range w.servers {
		if c.m.Uses(s.Zone) && c.m.Room(w.now, s.Zone, 0) {
			ok = append(ok, s)
		}
	}
	if len(ok) == 0 {
		return
	}
	s := ok[w.rng.IntN(len(ok))]
	ticket := c.m.Sent(w.now, s.Name)
	c.m.Booked(w.now, s.Zone)
	if w.sends[s.Name] == nil {
		w.sends[s.Name] = make(map[time.Duration]int)
	}
	w.sends[s.Name][w.now/time.Second]++
	w.zoned[s.Zone] = append(w.zoned[s.Zone], w.now)
	k := Good
	if w.up != nil {
		k = w.up(n, s)
	}
	if w.counted != nil {
		w.counted(n, s, k)
	}
	took := time.Duration(float64(w.work) * (0.2 + 0.8*w.rng.ExpFloat64()))
	switch k {
	case NoConn:
		took = 250 * time.Millisecond
	case Late:
		took = 2500 * time.Millisecond
	case Broken, Errored, Full:
		took = 2 * time.Millisecond
	}
	loop := c.loop
	w.at(w.now+took, func() { w.ended(n, loop, ticket, k) })
}

func (w *world) ended(n, loop int, ticket uint64, k Kind) {
	c := w.cars[n]
	switch {
	case c.loop != loop:
	case c.stopped:
		w.at(w.now+50*time.Millisecond, func() { w.ended(n, loop, ticket, k) })
	default:
		c.m.Ended(w.now, ticket, k, false)
	}
}

// lost has a zone meet calls with a kind while it is down.
func lost(down *bool, zone string, k Kind) func(int, Server) Kind {
	return func(_ int, s Server) Kind {
		if *down && s.Zone == zone {
			return k
		}
		return Good
	}
}

// stage is what each sidecar that lives holds of a zone, by count.
func (w *world) stages(zone string) map[Stage]int {
	all := make(map[Stage]int)
	for _, c := range w.cars {
		if !c.dead {
			all[c.m.named(zone).rec.Stage]++
		}
	}
	return all
}

func (w *world) using(zone string) (n int) {
	for _, c := range w.cars {
		if !c.dead && c.m.Uses(zone) {
			n++
		}
	}
	return n
}

// agrees fails unless all hold the same record and order of a zone.
func (w *world) agrees(zone string, within time.Duration) time.Duration {
	w.t.Helper()
	began := w.now
	for {
		same := true
		var first *zoneKey
		for _, c := range w.cars {
			if c.dead || c.stopped {
				continue
			}
			z := c.m.named(zone)
			k := zoneKey{z.rec.Gen, z.rec.Stage, z.order.Version, z.order.Author}
			if first == nil {
				first = &k
			}
			same = same && k == *first
		}
		if same {
			return w.now - began
		}
		if w.now-began > within {
			w.t.Errorf("at %v of zone %s after %v: no agreement: %v", w.now, zone, within, w.stages(zone))
			return within
		}
		w.until(w.now + 50*time.Millisecond)
	}
}

type zoneKey struct {
	gen     uint32
	stage   Stage
	version uint32
	author  uint16
}

// departures counts the zones' departures that any sidecar's log tells of.
func (w *world) departures(zone string) (gens uint32) {
	for _, c := range w.cars {
		if !c.dead {
			gens = max(gens, c.m.named(zone).rec.Gen)
		}
	}
	return gens
}
