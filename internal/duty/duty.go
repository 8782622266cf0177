package duty

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// infiniteAge is the time since an event that has not happened; longer than any other.
	infiniteAge = 1 << 62
	// repeatFactor times the logarithm of the number of peers is how often an update is sent.
	repeatFactor = 3
	// initialRampShare is the share of the probe budget that takeovers may use at first, and
	// rampGrowth its growth factor per second, so that a partition causes no burst of probes.
	initialRampShare = 0.1
	rampGrowth       = 1.3
)

// peer is what is known about one peer.
type peer struct {
	Peer
	id          ID
	incarnation uint64
	state       PeerState
	changedAt   time.Duration // when state last changed, or when a dead peer was last pinged
	sendsLeft   int           // how often this state may still be sent
	lastSign    time.Duration // when it last gave a sign of life
	// clockOffsetMillis is the offset of this sidecar's clock from the peer's plus the shortest
	// transit time of a note, in milliseconds, from the fastest note of the current incarnation.
	clockOffsetMillis uint32
	hasClockOffset    bool
}

// server is what is known about one server.
type server struct {
	Server
	id           ID
	state        State
	foundAt      time.Duration // when state was found; -1: never
	isOwn        bool          // whether this sidecar found it
	probedAt     time.Duration // when this sidecar last probed it; -1: never
	takeoverFrom time.Duration // when this sidecar may take over probing it again
	listedAt     time.Duration // when it was first listed
	rank         int           // rank of this sidecar among those that are not dead
	fixedRank    int           // rank of this sidecar among all
	sends        int           // how often the last own finding was sent
}

// tokenBucket is a token bucket.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// take removes a token and reports whether there was one. Tokens are added at rate per second
// up to capacity, or up to 1 if that is less.
func (b *tokenBucket) take(now time.Duration, rate, capacity float64) bool {
	b.tokens = min(b.tokens+rate*(now-b.refilledAt).Seconds(), max(1, capacity))
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// OutgoingNote is a note to be sent to the peer named To.
type OutgoingNote struct {
	To   string
	Note Note
}

// Actions lists what a Detector requests from its owner.
type Actions struct {
	Probes []string // names of servers to probe
	Notes  []OutgoingNote
}

// pendingPing is a ping that has not been answered yet.
type pendingPing struct {
	seq          uint32
	target       *peer
	sentAt       time.Duration
	askedOthers  bool
	requester    ID // the peer on whose behalf it was sent; 0: this sidecar itself
	requesterSeq uint32
}

// Detector is one sidecar's part in the shared probing: it detects failed peers and decides
// which servers to probe. It is not safe for concurrent use, and the times passed to it must
// not decrease. Peers are fixed at the start; servers are those of the owner's list.
type Detector struct {
	cfg           Config
	rng           *rand.Rand
	now           time.Duration
	self          ID
	incarnation   uint64
	peers         []*peer
	peersByID     map[ID]*peer
	servers       []*server
	serversByID   map[ID]*server
	pingOrder     []*peer // in which peers are pinged, shuffled before each round
	nextPing      int
	nextPeriod    time.Duration // when the next period begins
	seq           uint32
	pendingPings  []pendingPing
	ranksOutdated bool                                         // ranks must be recomputed
	lastFinding   int                                          // index of the finding that was last sent in turn
	payload       func(now time.Duration, maxBytes int) []byte // returns the payload of a note; nil: none

	probeBudget, noteBudget tokenBucket
	takeoverRate            float64 // maximum takeovers per second
	takeoverRateAt          time.Duration
	counts                  Counts
}

// Counts holds the totals of a Detector since its start.
type Counts struct {
	Probes        uint64 `json:"probes"`
	Takeovers     uint64 `json:"takeovers"` // probes of servers that this sidecar does not watch
	Notes         uint64 `json:"notes"`
	Received      uint64 `json:"heard"`
	UnknownSender uint64 `json:"strange"`  // notes from unknown senders
	Deferred      uint64 `json:"held"`     // probes deferred by a budget
	Dropped       uint64 `json:"unsent"`   // notes dropped by a budget
	Refuted       uint64 `json:"refuted"`  // suspicions of this sidecar that it refuted
	Suspected     uint64 `json:"suspects"` // suspicions of others by this sidecar
}

// New returns a Detector that assumes all peers to be alive, or the error of Config.Validate.
func New(cfg Config) (*Detector, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	d := &Detector{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.id()))), self: cfg.id(), incarnation: max(cfg.Incarnation, 1), peersByID: make(map[ID]*peer), serversByID: make(map[ID]*server), ranksOutdated: true}
	for _, p := range cfg.Peers {
		added := &peer{Peer: p, id: p.id()}
		d.peers = append(d.peers, added)
		d.peersByID[added.id] = added
	}
	slices.SortFunc(d.peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	d.pingOrder = slices.Clone(d.peers)
	d.takeoverRate = initialRampShare * cfg.MaxProbeRate
	return d, nil
}

// SetPayload sets the function that returns the payload of each note, given the number of bytes
// available. An empty payload is not added.
func (d *Detector) SetPayload(payload func(now time.Duration, maxBytes int) []byte) {
	d.payload = payload
}

// SendNotes returns notes with current updates and findings to n randomly chosen living peers and
// to the named ones, within the budget for notes.
func (d *Detector) SendNotes(now time.Duration, n int, named ...string) (out Actions) {
	d.now = now
	for _, name := range named {
		for _, p := range d.peers {
			if p.Name == name {
				d.send(&out, p, Note{Kind: Gossip})
			}
		}
	}
	if n > 0 {
		for _, p := range d.randomPeers(n, nil) {
			d.send(&out, p, Note{Kind: Gossip})
		}
	}
	return out
}

// SetServers sets the list of servers. Only these are probed and included in notes.
func (d *Detector) SetServers(now time.Duration, list []Server) {
	d.now = now
	listed := make(map[ID]bool, len(list))
	for _, entry := range list[:min(len(list), MaxServers)] {
		id := IDOf(entry.Name)
		if known := d.serversByID[id]; known != nil && known.Name != entry.Name {
			continue // a hash collision: the server is not probed, which the balancer tolerates
		}
		listed[id] = true
		if d.serversByID[id] == nil {
			// All sidecars may have started at the same time: spread their first takeovers.
			srv := &server{Server: entry, id: id, foundAt: -1, probedAt: -1, listedAt: now, takeoverFrom: now + time.Duration(d.rng.Float64()*float64(d.cfg.minTakeoverInterval(len(d.peers)+1)))}
			d.serversByID[id] = srv
			d.servers = append(d.servers, srv)
			d.ranksOutdated = true
		}
	}
	d.servers = slices.DeleteFunc(d.servers, func(srv *server) bool {
		if !listed[srv.id] {
			delete(d.serversByID, srv.id)
		}
		return !listed[srv.id]
	})
	slices.SortFunc(d.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
}

// rendezvousWeight returns the rendezvous hashing weight of the sidecar id for a server.
// Sidecars are ranked by decreasing weight, from rank 0.
func rendezvousWeight(srv *server, id ID) uint64 {
	x := uint64(srv.id)<<32 | uint64(id)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// updateRanks recomputes the rank of this sidecar for each server, among the sidecars that are
// not dead and among all. Ranks go by weight, but alternate between the server's own zone, which
// comes first, and the other zones while both have sidecars left, so that the loss of one zone
// does not leave a server without watchers.
func (d *Detector) updateRanks() {
	if !d.ranksOutdated {
		return
	}
	d.ranksOutdated = false
	for _, srv := range d.servers {
		srv.rank = d.rankFor(srv, false)
		srv.fixedRank = d.rankFor(srv, true)
	}
}

// rankFor returns the rank of this sidecar for a server, with dead peers counted if
// countDead is set.
func (d *Detector) rankFor(srv *server, countDead bool) int {
	ownWeight := rendezvousWeight(srv, d.self)
	sameZone := d.cfg.Zone == srv.Zone
	before := 0 // sidecars of higher weight on the same side of the zone boundary
	sameZoneCount, otherZoneCount := 0, 0
	if sameZone {
		sameZoneCount++
	} else {
		otherZoneCount++
	}
	for _, p := range d.peers {
		if p.state == Dead && !countDead {
			continue
		}
		if (p.Zone == srv.Zone) == sameZone && rendezvousWeight(srv, p.id) > ownWeight {
			before++
		}
		if p.Zone == srv.Zone {
			sameZoneCount++
		} else {
			otherZoneCount++
		}
	}
	// The two sides alternate until one is exhausted.
	otherSide := otherZoneCount
	if !sameZone {
		otherSide = sameZoneCount
	}
	if sameZone {
		return before + min(before, otherSide)
	}
	return before + min(before+1, otherSide)
}

// age returns the time since the latest known finding of a server by any sidecar, or since
// its listing if there is none.
func (d *Detector) age(srv *server) time.Duration {
	if srv.foundAt < 0 {
		return d.now - srv.listedAt
	}
	return d.now - srv.foundAt
}

// shouldProbe reports whether this sidecar should probe a server now, and whether that is a
// takeover.
func (d *Detector) shouldProbe(srv *server) (probe, takeover bool) {
	since := time.Duration(infiniteAge)
	if srv.probedAt >= 0 {
		since = d.now - srv.probedAt
	}
	if srv.fixedRank < d.cfg.Watchers {
		return since >= d.cfg.ProbeInterval, false
	}
	// Any number of the other sidecars may be isolated and consider the rest dead. Whatever a
	// sidecar believes, it therefore takes over no more than an equal share of the server's
	// maximum probe rate.
	if d.now < srv.takeoverFrom {
		return false, false
	}
	return d.age(srv) >= 2*d.cfg.ProbeInterval+time.Duration(max(0, srv.rank-d.cfg.Watchers+1))*d.cfg.TakeoverStep, true
}

// Tick returns the probes and notes that are due. It must be called no later than NextTick.
func (d *Detector) Tick(now time.Duration) (out Actions) {
	d.now = now
	d.updateRanks()
	d.tickMembership(&out)
	// The budget for takeovers grows while there are any, and shrinks otherwise.
	var due []*server
	takeovers := 0
	for _, srv := range d.servers {
		if probe, isTakeover := d.shouldProbe(srv); probe {
			if isTakeover {
				takeovers++
			}
			due = append(due, srv)
		}
	}
	elapsed := (now - d.takeoverRateAt).Seconds()
	d.takeoverRateAt = now
	minRate := initialRampShare * d.cfg.MaxProbeRate
	if takeovers == 0 {
		d.takeoverRate = max(minRate, d.takeoverRate-elapsed*minRate)
	} else {
		for ; elapsed > 0; elapsed-- {
			d.takeoverRate = min(d.takeoverRate*(1+(rampGrowth-1)*min(elapsed, 1)), d.cfg.MaxProbeRate)
		}
	}
	// Watched servers first by rank, then the others by the age of their finding.
	slices.SortStableFunc(due, func(a, b *server) int {
		return cmp.Or(cmp.Compare(min(a.fixedRank, d.cfg.Watchers), min(b.fixedRank, d.cfg.Watchers)), cmp.Compare(d.age(b), d.age(a)))
	})
	for _, srv := range due {
		rate := d.cfg.MaxProbeRate
		if srv.fixedRank >= d.cfg.Watchers {
			rate = d.takeoverRate
		}
		if !d.probeBudget.take(now, rate, rate/4) {
			d.counts.Deferred++
			continue
		}
		srv.probedAt = now
		srv.takeoverFrom = now + time.Duration((0.75+d.rng.Float64()/2)*float64(d.cfg.minTakeoverInterval(len(d.peers)+1)))
		d.counts.Probes++
		if srv.fixedRank >= d.cfg.Watchers {
			d.counts.Takeovers++
		}
		out.Probes = append(out.Probes, srv.Name)
	}
	return out
}

// NextTick returns the latest time at which Tick should be called again.
func (d *Detector) NextTick() time.Duration { return d.now + maxTickDelay/2 }

// RecordProbe records the result of a probe by this sidecar.
func (d *Detector) RecordProbe(now time.Duration, name string, s State) {
	d.now = now
	if srv := d.serversByID[IDOf(name)]; srv != nil && srv.Name == name {
		srv.state, srv.foundAt, srv.isOwn, srv.sends = s, now, true, 0
	}
}

// View is the state of a Detector as shown to operators.
type View struct {
	Self     string       `json:"self"`
	Alive    int          `json:"alive"` // including this one
	Suspects []string     `json:"suspects,omitempty"`
	Dead     []string     `json:"dead,omitempty"`
	Servers  []ServerView `json:"nodes"`
	Counts   Counts       `json:"counts"`
}

// ServerView is the state of one server.
type ServerView struct {
	Name      string        `json:"name"`
	State     string        `json:"state"`
	Age       time.Duration `json:"age_ns"` // of the finding, or of the listing if there is none
	IsOwn     bool          `json:"own"`    // found by this sidecar
	Rank      int           `json:"place"`  // rank of this sidecar for the server
	IsWatcher bool          `json:"watch"`  // whether the rank makes this sidecar a watcher
}

// View returns the current state.
func (d *Detector) View() View {
	v := View{Self: d.cfg.Self, Alive: 1, Counts: d.counts}
	d.updateRanks()
	for _, p := range d.peers {
		switch p.state {
		case Alive:
			v.Alive++
		case Suspect:
			v.Alive++
			v.Suspects = append(v.Suspects, p.Name)
		case Dead:
			v.Dead = append(v.Dead, p.Name)
		}
	}
	for _, srv := range d.servers {
		state := "unknown"
		if srv.foundAt >= 0 {
			state = srv.state.String()
		}
		v.Servers = append(v.Servers, ServerView{srv.Name, state, d.age(srv), srv.isOwn, srv.rank, srv.rank < d.cfg.Watchers})
	}
	return v
}

// Lookup returns the latest known finding of a server with its age, and whether it is this
// sidecar's own. ok is false if there is none.
func (d *Detector) Lookup(name string) (s State, age time.Duration, own, ok bool) {
	srv := d.serversByID[IDOf(name)]
	if srv == nil || srv.Name != name || srv.foundAt < 0 {
		return 0, 0, false, false
	}
	return srv.state, d.now - srv.foundAt, srv.isOwn, true
}
