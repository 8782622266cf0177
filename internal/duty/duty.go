package duty

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// never is an age that all are older than.
	never = 1 << 62
	// newsFor is how often a piece of news is told, times the logarithm of the peers.
	newsFor = 3
	// rampFrom is the part of the budget that takeovers begin with, and rampBy what it
	// grows by in a second: a partition makes no burst.
	rampFrom = 0.1
	rampBy   = 1.3
)

type peer struct {
	Peer
	id   ID
	inc  uint64
	life Life
	at   time.Duration // when it became what it is
	told int           // how often this news may still be told
	sign time.Duration // when it last gave a sign by itself
	// ahead is by how much this sidecar's clock is ahead of the peer's, and the least time
	// that a note took, in milliseconds, as the quickest of its start's notes showed.
	ahead uint32
	heard bool
}

type node struct {
	Node
	id     ID
	state  State
	seen   time.Duration // when; -1: never
	own    bool          // by this sidecar
	probed time.Duration // by this sidecar; -1: never
	free   time.Duration // when it may take over again
	from   time.Duration // when it was first listed
	place  int           // of this sidecar in its order, of those that are not dead
	fixed  int           // and of all
	told   int
}

type bucket struct {
	room float64
	at   time.Duration
}

func (b *bucket) take(now time.Duration, rate, most float64) bool {
	b.room = min(b.room+rate*(now-b.at).Seconds(), max(1, most))
	b.at = now
	if b.room < 1 {
		return false
	}
	b.room--
	return true
}

// Outgoing is a note to a peer.
type Outgoing struct {
	To   string
	Note Note
}

// Out is what a Duty wants done.
type Out struct {
	Probes []string // nodes
	Notes  []Outgoing
}

// asked is a sign that is waited for.
type asked struct {
	seq    uint32
	whom   *peer
	at     time.Duration
	helped bool
	forID  ID // who asked for it; 0: this sidecar itself
	forSeq uint32
}

// Duty is one sidecar's part. One owner calls its methods in turn, with a time that never
// goes back. Peers are fixed at the start; nodes are those of the owner's list.
type Duty struct {
	cfg   Config
	rng   *rand.Rand
	now   time.Duration
	self  ID
	inc   uint64
	peers []*peer
	byID  map[ID]*peer
	nodes []*node
	byNod map[ID]*node
	order []*peer // in which signs are asked, shuffled anew after each round
	next  int
	due   time.Duration // of the next period
	seq   uint32
	open  []asked
	dirty bool                                     // places must be worked out anew
	turn  int                                      // of findings that are told
	part  func(now time.Duration, room int) []byte // what others add to notes; nil: nobody does

	probes, notes bucket
	ramp          float64 // of takeovers, a second
	rampAt        time.Duration
	counts        Counts
}

// Counts are what a Duty did.
type Counts struct {
	Probes    uint64 `json:"probes"`
	Takeovers uint64 `json:"takeovers"` // of them, beyond the own watch
	Notes     uint64 `json:"notes"`
	Heard     uint64 `json:"heard"`
	Strange   uint64 `json:"strange"`  // notes of who is no peer
	Held      uint64 `json:"held"`     // probes that a budget put off
	Unsent    uint64 `json:"unsent"`   // notes that it dropped
	Refuted   uint64 `json:"refuted"`  // suspicions of this sidecar
	Suspected uint64 `json:"suspects"` // and of others, by it
}

// New returns a Duty that takes all peers to be alive.
func New(cfg Config) (*Duty, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	d := &Duty{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.id()))), self: cfg.id(), inc: max(cfg.Inc, 1), byID: make(map[ID]*peer), byNod: make(map[ID]*node), dirty: true}
	for _, p := range cfg.Peers {
		q := &peer{Peer: p, id: p.id()}
		d.peers = append(d.peers, q)
		d.byID[q.id] = q
	}
	slices.SortFunc(d.peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	d.order = slices.Clone(d.peers)
	d.ramp = rampFrom * cfg.Probes
	return d, nil
}

// Carry has each note carry a part of somebody else's, who is told how many bytes there
// are for it; nothing is added where the part is empty.
func (d *Duty) Carry(part func(now time.Duration, room int) []byte) { d.part = part }

// TellSome tells so many living peers, drawn, and those named, what there is to tell, as
// far as the budget goes.
func (d *Duty) TellSome(now time.Duration, n int, named ...string) (out Out) {
	d.now = now
	for _, name := range named {
		for _, p := range d.peers {
			if p.Name == name {
				d.send(&out, p, Note{Kind: Tell})
			}
		}
	}
	if n > 0 {
		for _, p := range d.some(n, nil) {
			d.send(&out, p, Note{Kind: Tell})
		}
	}
	return out
}

// Nodes takes the owner's list: only these are probed and told of.
func (d *Duty) Nodes(now time.Duration, list []Node) {
	d.now = now
	listed := make(map[ID]bool, len(list))
	for _, n := range list[:min(len(list), NodesMost)] {
		id := IDOf(n.Name)
		if old := d.byNod[id]; old != nil && old.Name != n.Name {
			continue // the hash of another: it goes unwatched, which the module can bear
		}
		listed[id] = true
		if d.byNod[id] == nil {
			// All may have started at once: their first turns are spread.
			x := &node{Node: n, id: id, seen: -1, probed: -1, from: now, free: now + time.Duration(d.rng.Float64()*float64(d.cfg.share(len(d.peers)+1)))}
			d.byNod[id] = x
			d.nodes = append(d.nodes, x)
			d.dirty = true
		}
	}
	d.nodes = slices.DeleteFunc(d.nodes, func(n *node) bool {
		if !listed[n.id] {
			delete(d.byNod, n.id)
		}
		return !listed[n.id]
	})
	slices.SortFunc(d.nodes, func(a, b *node) int { return cmp.Compare(a.id, b.id) })
}

// weight is a sidecar's in a node's order.
func weight(n *node, id ID) uint64 {
	x := uint64(n.id)<<32 | uint64(id)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// places works out where this sidecar stands in each node's order, among those that are
// not dead and among all: by weight, but that a node's first is one of its own zone and its second one of
// another, where there are such, so that neither zone's loss leaves it unwatched.
func (d *Duty) places() {
	if !d.dirty {
		return
	}
	d.dirty = false
	for _, n := range d.nodes {
		n.place = d.place(n, false)
		n.fixed = d.place(n, true)
	}
}

func (d *Duty) place(n *node, all bool) int {
	mine := weight(n, d.self)
	home := d.cfg.Zone == n.Zone
	side := 0 // before me on my side of the zone's border
	homes, aways := 0, 0
	if home {
		homes++
	} else {
		aways++
	}
	for _, p := range d.peers {
		if p.life == Dead && !all {
			continue
		}
		if (p.Zone == n.Zone) == home && weight(n, p.id) > mine {
			side++
		}
		if p.Zone == n.Zone {
			homes++
		} else {
			aways++
		}
	}
	// The two sides take turns until one has no more.
	other := aways
	if !home {
		other = homes
	}
	if home {
		return side + min(side, other)
	}
	return side + min(side+1, other)
}

// age is how long ago a node was seen by anybody, as far as is known here.
func (d *Duty) age(n *node) time.Duration {
	if n.seen < 0 {
		return d.now - n.from
	}
	return d.now - n.seen
}

// wants says whether this sidecar should probe a node now, and whether that is a takeover.
func (d *Duty) wants(n *node) (probe, takeover bool) {
	since := time.Duration(never)
	if n.probed >= 0 {
		since = d.now - n.probed
	}
	if n.fixed < d.cfg.Watchers {
		return since >= d.cfg.Every, false
	}
	// Of all the others any number may be alone and take the rest for dead: none probes a
	// node more often than an equal part of what it is to bear, whatever it believes.
	if d.now < n.free {
		return false, false
	}
	return d.age(n) >= 2*d.cfg.Every+time.Duration(max(0, n.place-d.cfg.Watchers+1))*d.cfg.Step, true
}

// Tick says what is due.
func (d *Duty) Tick(now time.Duration) (out Out) {
	d.now = now
	d.places()
	d.signs(&out)
	// Takeovers have a budget that rises while there are some, and falls back.
	var due []*node
	takeovers := 0
	for _, n := range d.nodes {
		if probe, over := d.wants(n); probe {
			if over {
				takeovers++
			}
			due = append(due, n)
		}
	}
	passed := (now - d.rampAt).Seconds()
	d.rampAt = now
	least := rampFrom * d.cfg.Probes
	if takeovers == 0 {
		d.ramp = max(least, d.ramp-passed*least)
	} else {
		for ; passed > 0; passed-- {
			d.ramp = min(d.ramp*(1+(rampBy-1)*min(passed, 1)), d.cfg.Probes)
		}
	}
	// Its own watch first, then what has gone unseen for longest.
	slices.SortStableFunc(due, func(a, b *node) int {
		return cmp.Or(cmp.Compare(min(a.fixed, d.cfg.Watchers), min(b.fixed, d.cfg.Watchers)), cmp.Compare(d.age(b), d.age(a)))
	})
	for _, n := range due {
		rate := d.cfg.Probes
		if n.fixed >= d.cfg.Watchers {
			rate = d.ramp
		}
		if !d.probes.take(now, rate, rate/4) {
			d.counts.Held++
			continue
		}
		n.probed = now
		n.free = now + time.Duration((0.75+d.rng.Float64()/2)*float64(d.cfg.share(len(d.peers)+1)))
		d.counts.Probes++
		if n.fixed >= d.cfg.Watchers {
			d.counts.Takeovers++
		}
		out.Probes = append(out.Probes, n.Name)
	}
	return out
}

// Next is when Tick should be called again, at the latest.
func (d *Duty) Next() time.Duration { return d.now + tickMost/2 }

// Probed takes what a probe of this sidecar's found.
func (d *Duty) Probed(now time.Duration, name string, s State) {
	d.now = now
	if n := d.byNod[IDOf(name)]; n != nil && n.Name == name {
		n.state, n.seen, n.own, n.told = s, now, true, 0
	}
}

// View is one node or sidecar for operators.
type View struct {
	Self     string     `json:"self"`
	Alive    int        `json:"alive"` // this one too
	Suspects []string   `json:"suspects,omitempty"`
	Dead     []string   `json:"dead,omitempty"`
	Nodes    []NodeView `json:"nodes"`
	Counts   Counts     `json:"counts"`
}

// NodeView is what is known of a node.
type NodeView struct {
	Name  string        `json:"name"`
	State string        `json:"state"`
	Age   time.Duration `json:"age_ns"` // of what is known; of the listing where nothing is
	Own   bool          `json:"own"`    // seen by this sidecar
	Place int           `json:"place"`  // of this sidecar in the node's order
	Watch bool          `json:"watch"`  // it is its duty
}

// View is all that is known.
func (d *Duty) View() View {
	v := View{Self: d.cfg.Self, Alive: 1, Counts: d.counts}
	d.places()
	for _, p := range d.peers {
		switch p.life {
		case Alive:
			v.Alive++
		case Suspect:
			v.Alive++
			v.Suspects = append(v.Suspects, p.Name)
		case Dead:
			v.Dead = append(v.Dead, p.Name)
		}
	}
	for _, n := range d.nodes {
		state := "unknown"
		if n.seen >= 0 {
			state = n.state.String()
		}
		v.Nodes = append(v.Nodes, NodeView{n.Name, state, d.age(n), n.own, n.place, n.place < d.cfg.Watchers})
	}
	return v
}

// Known is what is known of a node by anybody, with its age; false for nothing.
func (d *Duty) Known(name string) (s State, age time.Duration, own, ok bool) {
	n := d.byNod[IDOf(name)]
	if n == nil || n.Name != name || n.seen < 0 {
		return 0, 0, false, false
	}
	return n.state, d.now - n.seen, n.own, true
}
