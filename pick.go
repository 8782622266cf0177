package chalkrack

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	samplerAge      = 200 * time.Millisecond // how long sampling weights are kept
	localPreference = 3.0
	// A balancer keeps to a working set that it can know: setPerRate servers
	// for each send a second, at least setMin. Where open connections have a
	// price, connBudget (in points) shrinks the set further, to connMin at least.
	setPerRate = 1.0
	setMin     = 4
	connBudget = 0.08
	connMin    = 3
	// One latency corrects a learned weight by this power; it stays within learnMax of the hint.
	learnLatency  = 0.2
	learnMax      = 4.0
	learnEvery    = 2 * time.Second
	meanStep      = 0.04 // of running means over all servers
	rateMemory    = 4 * time.Second
	carriedMemory = 20 * time.Second // about as long as servers are cold
	latencyPrior  = 1.0              // the weight, in samples, of "as fast as the fleet" in a latency estimate
	latencyMemory = 12 * time.Second
	inFlightFirst = 1e4 // puts one request in flight above all other signs of cost
	warmSaving    = 0.5 // this share of its cost draws a request from its key's warm server
	// Failures that add up to ejectAfter, each answer between leaving failuresKept of
	// them, make a server suspect. It is ejected for ejectBase, doubled each time up
	// to ejectMax, with a random part so that balancers do not return together.
	ejectAfter   = 2
	failuresKept = 0.75
	ejectBase    = time.Second
	ejectMax     = 16 * time.Second
	ejectShare   = 0.4             // of the fleet at most: past it, failures are everyone's or our own
	coldPart     = 0.5             // of what fells a cold server is sent at most; the rest is for chance
	reportMemory = 3 * time.Second // how fast a load report loses its weight: queues stay seconds
	// The load that a late answer stands for, and what it leaves of the weight.
	jammedLoad   = 8.0
	jammedWeight = 0.7
)

// server is one member as this balancer sees it.
type server struct {
	name, zone     string
	hash           uint64
	group          int
	hint           float64       // the list's capacity hint, 1 where it gives none
	learned        float64       // corrects the hint by what was seen
	started, since time.Duration // of its last start: as told; no later than heard of: our clock may be behind
	serving, inSet bool          // listed as serving; in the working set
	inFlight       int
	out            bar     // ejects it for all classes
	latSum, latN   float64 // fading sum and weight of relative latencies
	load           float64 // last load report, in requests held
	latAt, loadAt  time.Duration
	learnedAt      time.Duration
	priority       float64 // order among members, lowest first
	cold           bucket  // sends that it may get while cold, until at
	barred         []bar   // by class, once one has failed
}

// bar keeps a class from a server that fails it. Guards against one that fails a
// single class: what it serves of the others would clear it each time.
type bar struct {
	failures float64       // those that answers have not outweighed
	spells   int           // for the backoff
	at       time.Duration // of the last error; one time-out may be load
	until    time.Duration
}

// fleet is the membership, the working set and the sampling table over it.
type fleet struct {
	cfg                  *Config
	rand                 func() float64
	byName               map[string]*server
	members              []*server // serving servers, by priority
	set                  []*server // the working set
	weights              []float64
	fresh                time.Duration // when weights were made
	dirty                bool
	ejected              []*server
	sent, carried, taken float64 // fading counts of sends, of those that were taken; the share that is
	sentAt               time.Duration
	perHeld              float64 // running median of latency by requests held
	meanLat              float64 // running mean of latencies, in fractions of the aim
}

// update takes over what discovery says of one server. Members stay sorted: in a
// large fleet many small changes come, and sorting it for each cost more than requests.
func (f *fleet) update(e Endpoint, now time.Duration) {
	f.dirty = true
	s := f.byName[e.Name]
	if s == nil && e.State == Gone {
		return
	}
	if s == nil {
		// The order differs by balancer and stays, so that a working set changes little.
		s = &server{name: e.Name, hash: hashName(e.Name), learned: 1, priority: -math.Log(1 - f.rand())}
		if f.cfg.CrossZoneCost > 0 && e.Zone == f.cfg.Zone {
			s.priority /= localPreference
		}
		f.byName[e.Name] = s
	}
	if serving := e.State == Serving; serving != s.serving {
		s.serving = serving
		i, _ := slices.BinarySearchFunc(f.members, s, func(a, b *server) int {
			return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.name, b.name))
		})
		if serving {
			f.members = slices.Insert(f.members, i, s)
		} else {
			f.members = slices.Delete(f.members, i, i+1)
		}
	}
	if e.State == Gone {
		delete(f.byName, e.Name)
		return
	}
	s.zone, s.group, s.hint = e.Zone, e.Group, e.Hint
	if !(s.hint > 0) || math.IsInf(s.hint, 0) {
		s.hint = 1
	}
	if e.Started > s.started {
		// A restarted process has none of its old faults and none of its speed.
		// What its bucket saved up while it was warm would come as one burst.
		s.latSum, s.latN, s.learned, s.cold, s.out, s.barred, s.since = 0, 0, 1, bucket{}, bar{}, nil, max(now, 1)
	}
	s.started, s.since = e.Started, min(s.since, e.Started)
}

func (f *fleet) replace(list []Endpoint, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Name] = true
	}
	for name := range f.byName { // in any order: what goes leaves the others as they are
		if !listed[name] {
			f.update(Endpoint{Name: name, State: Gone}, now)
		}
	}
	for _, e := range list {
		f.update(e, now)
	}
}

func (f *fleet) isCold(s *server, now time.Duration) bool {
	return s.since > 0 && now < s.since+f.cfg.ColdFor
}

// warmth is the share of its full capacity that a server surely has by now.
func (f *fleet) warmth(s *server, now time.Duration) float64 {
	if !f.isCold(s, now) {
		return 1
	}
	return f.cfg.ColdFrom + (1-f.cfg.ColdFrom)*float64(max(0, now-s.since))/float64(f.cfg.ColdFor)
}

// refresh rebuilds the sampling table when it is old or what it stands on changed.
func (f *fleet) refresh(now time.Duration) {
	ejected := len(f.ejected)
	f.ejected = slices.DeleteFunc(f.ejected, func(s *server) bool { return now >= s.out.until || !s.serving })
	f.dirty = f.dirty || len(f.ejected) < ejected
	if !f.dirty && now-f.fresh < samplerAge {
		return
	}
	if size := f.setSize(now); f.dirty || size > len(f.set) || size < len(f.set)*2/3 {
		f.chooseSet(size, now)
	}
	f.dirty, f.fresh = false, now
	f.weights = f.weights[:0]
	sum := 0.0
	for _, s := range f.set {
		if now >= s.out.until {
			sum += s.hint * s.learned * f.warmth(s, now)
		}
		f.weights = append(f.weights, sum)
	}
}

func (f *fleet) setSize(now time.Duration) int {
	n := len(f.members)
	size := max(setMin, int(setPerRate*f.rate(now)))
	if f.cfg.ConnectionCost > 0 && n > 0 {
		each := f.cfg.ConnectionCost * float64(f.cfg.Instances) / (100 * float64(n))
		size = max(connMin, min(size, int(math.Sqrt(connBudget/each)+0.5)))
	}
	return min(size, n)
}

// chooseSet takes the first servers by priority into the working set, ejected ones last.
func (f *fleet) chooseSet(size int, now time.Duration) {
	for _, s := range f.set {
		s.inSet = false
	}
	f.set = f.set[:0]
	for _, ejected := range []bool{false, true} {
		for i := 0; i < len(f.members) && len(f.set) < size; i++ {
			if s := f.members[i]; now < s.out.until == ejected {
				s.inSet = true
				f.set = append(f.set, s)
			}
		}
	}
}

func (f *fleet) draw() *server {
	n := len(f.weights)
	if n == 0 || f.weights[n-1] <= 0 {
		return nil
	}
	i, _ := slices.BinarySearch(f.weights, math.Nextafter(f.rand()*f.weights[n-1], math.Inf(1)))
	return f.set[min(i, n-1)]
}

func (f *fleet) pick(now time.Duration, key uint64, ok func(*server) bool) *server {
	f.refresh(now)
	if key != 0 {
		if s := f.pickWarm(now, key, ok); s != nil {
			return s
		}
	}
	best, bestCost := (*server)(nil), math.Inf(1)
	for tries, found := 0, 0; tries < 8 && found < 2; tries++ {
		s := f.draw()
		if s == nil {
			break
		}
		if s == best || !ok(s) || !f.coldRoom(s, now) {
			continue
		}
		found++
		if c := f.cost(s, now); c < bestCost {
			best, bestCost = s, c
		}
	}
	n := len(f.members)
	start := int(f.rand() * float64(n))
	for i := 0; i < n && (best == nil || now < best.out.until); i++ {
		if s := f.members[(start+i)%n]; ok(s) && f.coldRoom(s, now) && (best == nil || now >= s.out.until) {
			best = s
		}
	}
	return best
}

func (f *fleet) pickWarm(now time.Duration, key uint64, ok func(*server) bool) *server {
	var first, second *server
	var high, next, last float64
	for i, s := range f.set {
		weight := f.weights[i] - last
		last = f.weights[i]
		if weight <= 0 || !ok(s) || !f.coldRoom(s, now) {
			continue
		}
		u := (float64(mix(key^s.hash)>>11) + 0.5) / (1 << 53)
		switch r := weight / -math.Log(u); {
		case r > high:
			first, second, high, next = s, first, r, high
		case r > next:
			second, next = s, r
		}
	}
	if second != nil && f.cost(second, now) < warmSaving*f.cost(first, now) {
		return second
	}
	return first
}

func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// hashName hashes a key or server name; 0 stands for the empty one.
func hashName(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// cost compares candidates: own in-flight first; quiet balancers mostly tie
// there, so that the seen latency and the load report decide between equals.
func (f *fleet) cost(s *server, now time.Duration) float64 {
	return inFlightFirst*float64(s.inFlight) + s.held(now)*s.latency(now)
}

func (s *server) held(now time.Duration) float64 { return 1 + s.load*fade(now-s.loadAt, reportMemory) }

// latency is a server's recent latency relative to the fleet's.
func (s *server) latency(now time.Duration) float64 {
	w := fade(now-s.latAt, latencyMemory)
	return (s.latSum*w + latencyPrior) / (s.latN*w + latencyPrior)
}

// report logs how long a send took, in fractions of the aim, takes its load
// report over and corrects its learned weight. Guards against capacity hints
// that are missing or wrong: with equal shares a slow kind of server fills first.
func (f *fleet) report(s *server, o Outcome, rep Report, took, held float64, now time.Duration) {
	took = max(took, 1e-6)
	f.meanLat = cmp.Or(f.meanLat, took) // starts at the first
	f.meanLat += meanStep * (took - f.meanLat)
	if f.cfg.Probes {
		f.perHeld = cmp.Or(f.perHeld, took/held)
		f.perHeld *= math.Pow(1+meanStep, math.Copysign(1, took-f.perHeld*held))
	}
	w := fade(now-s.latAt, latencyMemory)
	s.latSum, s.latN, s.latAt = s.latSum*w+took/f.meanLat, s.latN*w+1, now
	strength := learnLatency * min(1, float64(now-s.learnedAt)/float64(learnEvery))
	s.learnedAt = now
	correct := math.Pow(f.meanLat/took, strength)
	if o == TimedOut || took > 1 {
		// Guards against a jam that feeds itself: each balancer keeps just one
		// send there, yet all of them together hold the queue full.
		s.load, s.loadAt, correct = jammedLoad, now, jammedWeight
	} else {
		s.heed(rep, now)
	}
	s.learned = max(1/learnMax, min(s.learned*correct, learnMax))
}

func (s *server) heed(rep Report, now time.Duration) {
	switch {
	case rep.HasInFlight:
		s.load, s.loadAt = rep.InFlight, now
	case rep.HasUtil:
		s.load, s.loadAt = min(rep.Util/(1.01-min(rep.Util, 1)), jammedLoad), now
	}
}

// trip counts a failure, and sets the bar when they add up, unless too many others have theirs.
func (f *fleet) trip(b *bar, others int, now time.Duration) bool {
	if b.failures++; b.failures < ejectAfter || now < b.until || float64(others+1) > ejectShare*float64(len(f.members)) {
		return false
	}
	span := min(ejectBase<<min(b.spells, 10), ejectMax)
	b.spells, b.failures = b.spells+1, ejectAfter-1 // one more failure on return sets it again
	b.until = now + span/2 + time.Duration(f.rand()*float64(span))
	return true
}

// served weighs an answer against failures: one that fails a part of its calls is suspect too.
func (b *bar) served(now time.Duration) {
	if b.failures *= failuresKept; !b.suspect(now) {
		b.spells = 0
	}
}

// suspect is one that gave an error or was ejected, for ejectMax more: then any call may test it.
func (b *bar) suspect(now time.Duration) bool {
	return b.failures > ejectAfter/4.0 && max(b.at, b.until) > 0 && now < max(b.at, b.until)+ejectMax
}

// failed counts a failure against a server and ejects it when they add up.
func (f *fleet) failed(s *server, now time.Duration) {
	if f.trip(&s.out, len(f.ejected), now) {
		f.ejected, f.dirty = append(f.ejected, s), true
	}
}

// classFailed is failed for an error of one class, which bars the server for that class.
func (f *fleet) classFailed(s *server, class int, now time.Duration) {
	if n := len(f.cfg.Classes) - len(s.barred); n > 0 {
		s.barred = append(s.barred, make([]bar, n)...)
	}
	others := 0
	for _, m := range f.members {
		if m.barredFor(class, now) {
			others++
		}
	}
	f.trip(&s.barred[class], others, now)
}

func (s *server) barredFor(class int, now time.Duration) bool {
	return class < len(s.barred) && now < s.barred[class].until
}

// coldRoom says whether a cold server can take one more send from here: a share, by this
// balancer's own sends, of what all may send in OverloadFor. Part of a send is drawn and first
// windows end at any time, so that the sum of any number of balancers is the whole and chance,
// and not one for each. Guests, which all may fall back on, get none.
func (f *fleet) coldRoom(s *server, now time.Duration) bool {
	if cold := f.isCold(s, now) && f.cfg.OverloadFor > 0; !cold || !s.inSet {
		return !cold
	}
	if part := 1.0; now >= s.cold.at {
		if s.cold.at == 0 {
			part = f.rand()
		}
		// What a warm server gets from here, or got before, times what this one can stand; of all,
		// one at least. What is sent now alone would fall with what can't be sent to cold servers.
		warm := max(f.taken*f.rate(now), f.carried*fade(now-f.sentAt, carriedMemory)/carriedMemory.Seconds()) / float64(max(1, len(f.set)))
		share := max(warm*f.cfg.OverloadFor.Seconds()*coldPart*f.cfg.OverloadFactor*f.warmth(s, now), 1/float64(f.cfg.Instances))
		s.cold = bucket{math.Floor(part*share + f.rand()), now + time.Duration(part*float64(f.cfg.OverloadFor))}
	}
	return s.cold.tokens >= 1
}

// book counts a send to s. Guards against deciding blind: the two choices, the
// working set, the shed level's steps and a cold server's share all stand on it.
func (f *fleet) book(s *server, now time.Duration) {
	s.inFlight++
	f.sent, f.carried, f.sentAt = f.sent*fade(now-f.sentAt, rateMemory)+1, f.carried*fade(now-f.sentAt, carriedMemory)+f.taken, now
	if f.isCold(s, now) {
		s.cold.tokens--
	}
}

func (f *fleet) rate(now time.Duration) float64 {
	return f.sent * fade(now-f.sentAt, rateMemory) / rateMemory.Seconds()
}

func fade(age, memory time.Duration) float64 { return math.Exp(-float64(age) / float64(memory)) }
