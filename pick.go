package chalkrack

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	samplerTTL    = 200 * time.Millisecond // age at which sampling weights are computed again
	localZoneOdds = 3.0                    // odds that a server of the own zone precedes one of another in the priority order
	// The working set is kept small enough that the balancer learns from each
	// of its servers often: serversPerSendRate servers for each send a second,
	// and at least minWorkingSet. Where open connections have a cost, the set
	// shrinks further until that cost fits connBudgetPoints (points of the
	// score), down to minPricedWorkingSet.
	serversPerSendRate  = 1.0
	minWorkingSet       = 4
	connBudgetPoints    = 0.08
	minPricedWorkingSet = 3
	// Each latency sample multiplies the server's learned weight by the ratio
	// of the mean latency to it, raised to latencyExponent (less where the last
	// sample is younger than learnInterval). The weight stays between
	// 1/maxLearnedWeight and maxLearnedWeight.
	latencyExponent    = 0.2
	maxLearnedWeight   = 4.0
	learnInterval      = 2 * time.Second
	runningMeanStep    = 0.04 // step of the running mean and median over all servers
	sendRateDecay      = 4 * time.Second
	acceptedDecay      = 20 * time.Second // about as long as servers are cold
	latencyPriorWeight = 1.0              // weight, in samples, of the assumption that a server is as fast as the fleet
	latencyDecay       = 12 * time.Second
	inFlightCost       = 1e4 // makes one own request in flight outweigh every other part of the cost
	maxKeyCostRatio    = 0.5 // a request leaves its key's first server for the second one below this ratio of costs
	// A server is ejected when its failures add up to ejectThreshold; each
	// successful answer in between leaves failureRetention of them. An ejection
	// lasts ejectBaseDuration, doubled each time up to maxEjectDuration, with a
	// random part so that balancers do not all return at once.
	ejectThreshold    = 2
	failureRetention  = 0.75
	ejectBaseDuration = time.Second
	maxEjectDuration  = 16 * time.Second
	maxEjectedShare   = 0.4             // share of the fleet that may be ejected; beyond it the cause is common to all servers or lies in this process
	coldSendShare     = 0.5             // share of the load that overloads a cold server that is sent at most; the rest covers random variation
	loadDecay         = 3 * time.Second // load reports lose weight at this rate, because queues last for seconds
	// A timed-out or late answer counts as a load report of timedOutLoad and
	// multiplies the learned weight by timedOutFactor.
	timedOutLoad   = 8.0
	timedOutFactor = 0.7
)

// server is what this balancer knows about one back end.
type server struct {
	name, zone                string
	hash                      uint64
	group                     int
	hint                      float64       // capacity hint of the list, 1 where it gives none
	learnedWeight             float64       // factor that corrects the hint by observed latencies
	started, coldSince        time.Duration // last start: as listed; and limited to when it was heard of, because the local clock may be behind
	serving, inWorkingSet     bool          // listed as serving; in the working set
	inFlight                  int
	ejection                  ejection // ejection for all classes
	latencySum, latencyWeight float64  // decaying sum and weight of relative latencies
	load                      float64  // last load report, in requests held
	latencyAt, loadAt         time.Duration
	learnedAt                 time.Duration
	priority                  float64     // position among the serving servers, lowest first
	coldBudget                tokenBucket // sends left while cold, in the window that ends at its time
	classEjections            []ejection  // ejections by class; empty until a class has failed
}

// ejection counts the failures of a server and says until when it gets no
// requests. Each server has one for all classes and one for each class:
// otherwise a server that fails a single class would be cleared each time by
// its successes with the other classes.
type ejection struct {
	failures  float64       // failures not yet outweighed by successful answers
	ejections int           // ejections in a row, for the backoff
	errorAt   time.Duration // time of the last error; time-outs are left out, because a single one may be due to load
	until     time.Duration
}

// fleet holds the server list, the working set and the sampling table over it.
type fleet struct {
	cfg                                 *Config
	rand                                func() float64
	byName                              map[string]*server
	byPriority                          []*server // serving servers, by priority
	workingSet                          []*server
	cumulativeWeights                   []float64     // running sums of the weights of the working set, 0 for ejected servers
	weightsAt                           time.Duration // when the weights were computed
	dirty                               bool          // the list or the ejections changed since
	ejected                             []*server
	sends, acceptedSends, acceptedShare float64 // decaying counts of sends and of accepted sends; running share of accepted ones
	sendsAt                             time.Duration
	latencyPerHeld                      float64 // running median of the latency per request held
	meanLatency                         float64 // running mean of latencies, in fractions of the aim
}

// updateServer applies a discovery entry for one server. It keeps the serving
// servers sorted by insertion: a large fleet sees many small changes, and
// sorting for each of them cost more than the requests did.
func (f *fleet) updateServer(entry Endpoint, now time.Duration) {
	f.dirty = true
	s := f.byName[entry.Name]
	if s == nil && entry.State == Gone {
		return
	}
	if s == nil {
		// Each balancer draws its own order and keeps it, so that its working set changes little.
		s = &server{name: entry.Name, hash: hashName(entry.Name), learnedWeight: 1, priority: -math.Log(1 - f.rand())}
		if f.cfg.CrossZoneCost > 0 && entry.Zone == f.cfg.Zone {
			s.priority /= localZoneOdds
		}
		f.byName[entry.Name] = s
	}
	if serving := entry.State == Serving; serving != s.serving {
		s.serving = serving
		i, _ := slices.BinarySearchFunc(f.byPriority, s, func(a, b *server) int {
			return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.name, b.name))
		})
		if serving {
			f.byPriority = slices.Insert(f.byPriority, i, s)
		} else {
			f.byPriority = slices.Delete(f.byPriority, i, i+1)
		}
	}
	if entry.State == Gone {
		delete(f.byName, entry.Name)
		return
	}
	s.zone, s.group, s.hint = entry.Zone, entry.Group, entry.Hint
	if !(s.hint > 0) || math.IsInf(s.hint, 0) {
		s.hint = 1
	}
	if entry.Started > s.started {
		// A restarted process has neither the faults nor the speed of the old
		// one. Tokens left over from its warm time would allow a burst of sends.
		s.latencySum, s.latencyWeight, s.learnedWeight, s.coldBudget, s.ejection, s.classEjections, s.coldSince = 0, 0, 1, tokenBucket{}, ejection{}, nil, max(now, 1)
	}
	s.started, s.coldSince = entry.Started, min(s.coldSince, entry.Started)
}

// replaceList applies a whole server list and removes the servers that it lacks.
func (f *fleet) replaceList(list []Endpoint, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Name] = true
	}
	for name := range f.byName { // the order does not matter: removals are independent of each other
		if !listed[name] {
			f.updateServer(Endpoint{Name: name, State: Gone}, now)
		}
	}
	for _, e := range list {
		f.updateServer(e, now)
	}
}

// isCold reports whether s started less than ColdFor ago.
func (f *fleet) isCold(s *server, now time.Duration) bool {
	return s.coldSince > 0 && now < s.coldSince+f.cfg.ColdFor
}

// warmth returns a lower bound of the share of its full capacity that s has now.
func (f *fleet) warmth(s *server, now time.Duration) float64 {
	if !f.isCold(s, now) {
		return 1
	}
	return f.cfg.ColdFrom + (1-f.cfg.ColdFrom)*float64(max(0, now-s.coldSince))/float64(f.cfg.ColdFor)
}

// refreshWeights rebuilds the working set and the sampling table when they are
// old or when the list or the ejections changed.
func (f *fleet) refreshWeights(now time.Duration) {
	ejected := len(f.ejected)
	f.ejected = slices.DeleteFunc(f.ejected, func(s *server) bool { return now >= s.ejection.until || !s.serving })
	f.dirty = f.dirty || len(f.ejected) < ejected
	if !f.dirty && now-f.weightsAt < samplerTTL {
		return
	}
	if size := f.workingSetSize(now); f.dirty || size > len(f.workingSet) || size < len(f.workingSet)*2/3 {
		f.chooseWorkingSet(size, now)
	}
	f.dirty, f.weightsAt = false, now
	f.cumulativeWeights = f.cumulativeWeights[:0]
	sum := 0.0
	for _, s := range f.workingSet {
		if now >= s.ejection.until {
			sum += s.hint * s.learnedWeight * f.warmth(s, now)
		}
		f.cumulativeWeights = append(f.cumulativeWeights, sum)
	}
}

// workingSetSize returns how many servers the working set should have.
func (f *fleet) workingSetSize(now time.Duration) int {
	n := len(f.byPriority)
	size := max(minWorkingSet, int(serversPerSendRate*f.sendRate(now)))
	if f.cfg.ConnectionCost > 0 && n > 0 {
		costFactor := f.cfg.ConnectionCost * float64(f.cfg.Instances) / (100 * float64(n))
		size = max(minPricedWorkingSet, min(size, int(math.Sqrt(connBudgetPoints/costFactor)+0.5)))
	}
	return min(size, n)
}

// chooseWorkingSet takes the first size servers by priority into the working
// set; ejected ones come after all others.
func (f *fleet) chooseWorkingSet(size int, now time.Duration) {
	for _, s := range f.workingSet {
		s.inWorkingSet = false
	}
	f.workingSet = f.workingSet[:0]
	for _, ejected := range []bool{false, true} {
		for i := 0; i < len(f.byPriority) && len(f.workingSet) < size; i++ {
			if s := f.byPriority[i]; now < s.ejection.until == ejected {
				s.inWorkingSet = true
				f.workingSet = append(f.workingSet, s)
			}
		}
	}
}

// drawServer returns a random server of the working set by weight, or nil if
// none has a weight.
func (f *fleet) drawServer() *server {
	n := len(f.cumulativeWeights)
	if n == 0 || f.cumulativeWeights[n-1] <= 0 {
		return nil
	}
	i, _ := slices.BinarySearch(f.cumulativeWeights, math.Nextafter(f.rand()*f.cumulativeWeights[n-1], math.Inf(1)))
	return f.workingSet[min(i, n-1)]
}

// pickServer chooses a server for which isAllowed holds: by rendezvous hashing
// where keyHash is not 0, else the cheaper of two random choices from the
// working set. If neither yields a server that is not ejected, it chooses any
// other serving server, and an ejected one as the last resort. It returns nil if
// there is none.
func (f *fleet) pickServer(now time.Duration, keyHash uint64, isAllowed func(*server) bool) *server {
	f.refreshWeights(now)
	if keyHash != 0 {
		if s := f.pickByKey(now, keyHash, isAllowed); s != nil {
			return s
		}
	}
	best, bestCost := (*server)(nil), math.Inf(1)
	for tries, found := 0, 0; tries < 8 && found < 2; tries++ {
		s := f.drawServer()
		if s == nil {
			break
		}
		if s == best || !isAllowed(s) || !f.hasColdBudget(s, now) {
			continue
		}
		found++
		if c := f.cost(s, now); c < bestCost {
			best, bestCost = s, c
		}
	}
	n := len(f.byPriority)
	start := int(f.rand() * float64(n))
	for i := 0; i < n && (best == nil || now < best.ejection.until); i++ {
		if s := f.byPriority[(start+i)%n]; isAllowed(s) && f.hasColdBudget(s, now) && (best == nil || now >= s.ejection.until) {
			best = s
		}
	}
	return best
}

// pickByKey returns the first server of the working set in the weighted
// rendezvous order of keyHash, or the second if it costs much less. It returns
// nil if no server is allowed.
func (f *fleet) pickByKey(now time.Duration, keyHash uint64, isAllowed func(*server) bool) *server {
	var first, second *server
	var firstScore, secondScore, previousSum float64
	for i, s := range f.workingSet {
		weight := f.cumulativeWeights[i] - previousSum
		previousSum = f.cumulativeWeights[i]
		if weight <= 0 || !isAllowed(s) || !f.hasColdBudget(s, now) {
			continue
		}
		uniform := (float64(mixHash(keyHash^s.hash)>>11) + 0.5) / (1 << 53)
		switch score := weight / -math.Log(uniform); {
		case score > firstScore:
			first, second, firstScore, secondScore = s, first, score, firstScore
		case score > secondScore:
			second, secondScore = s, score
		}
	}
	if second != nil && f.cost(second, now) < maxKeyCostRatio*f.cost(first, now) {
		return second
	}
	return first
}

// mixHash is the finalizer of the SplitMix64 generator.
func mixHash(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// hashName returns the FNV-1a hash of a key or server name, and 0 for an empty one.
func hashName(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// cost ranks candidates, first by this balancer's own requests in flight.
// Balancers with little traffic mostly tie there; the observed latency and the
// load report then decide.
func (f *fleet) cost(s *server, now time.Duration) float64 {
	return inFlightCost*float64(s.inFlight) + s.held(now)*s.relativeLatency(now)
}

// held estimates from the last load report how many requests the server
// would hold with one more.
func (s *server) held(now time.Duration) float64 { return 1 + s.load*decay(now-s.loadAt, loadDecay) }

// relativeLatency returns the server's recent latency relative to the fleet's mean.
func (s *server) relativeLatency(now time.Duration) float64 {
	remaining := decay(now-s.latencyAt, latencyDecay)
	return (s.latencySum*remaining + latencyPriorWeight) / (s.latencyWeight*remaining + latencyPriorWeight)
}

// recordLatency records how long a send took, in fractions of the aim, applies
// the load report and corrects the server's learned weight. The correction is
// needed where capacity hints are missing or wrong: with equal shares the slower
// type of server fills up first. held is the number of requests that the server
// held when it was chosen.
func (f *fleet) recordLatency(s *server, outcome Outcome, loadReport LoadReport, took, held float64, now time.Duration) {
	took = max(took, 1e-6)
	f.meanLatency = cmp.Or(f.meanLatency, took) // the mean starts at the first sample
	f.meanLatency += runningMeanStep * (took - f.meanLatency)
	if f.cfg.Probes {
		f.latencyPerHeld = cmp.Or(f.latencyPerHeld, took/held)
		f.latencyPerHeld *= math.Pow(1+runningMeanStep, math.Copysign(1, took-f.latencyPerHeld*held))
	}
	remaining := decay(now-s.latencyAt, latencyDecay)
	s.latencySum, s.latencyWeight, s.latencyAt = s.latencySum*remaining+took/f.meanLatency, s.latencyWeight*remaining+1, now
	strength := latencyExponent * min(1, float64(now-s.learnedAt)/float64(learnInterval))
	s.learnedAt = now
	correction := math.Pow(f.meanLatency/took, strength)
	if outcome == TimedOut || took > 1 {
		// A late answer counts as high load. Otherwise a full queue sustains
		// itself: each balancer keeps only one send there, but all of them
		// together keep the queue full.
		s.load, s.loadAt, correction = timedOutLoad, now, timedOutFactor
	} else {
		s.applyReport(loadReport, now)
	}
	s.learnedWeight = max(1/maxLearnedWeight, min(s.learnedWeight*correction, maxLearnedWeight))
}

// applyReport takes the server's load from a load report, if it has one.
func (s *server) applyReport(loadReport LoadReport, now time.Duration) {
	switch {
	case loadReport.HasInFlight:
		s.load, s.loadAt = loadReport.InFlight, now
	case loadReport.HasUtil:
		s.load, s.loadAt = min(loadReport.Util/(1.01-min(loadReport.Util, 1)), timedOutLoad), now
	}
}

// countFailure counts a failure and ejects the server when the failures reach
// the threshold, unless too many of the other servers are ejected. It reports
// whether it ejected the server.
func (f *fleet) countFailure(e *ejection, otherEjections int, now time.Duration) bool {
	if e.failures++; e.failures < ejectThreshold || now < e.until || float64(otherEjections+1) > maxEjectedShare*float64(len(f.byPriority)) {
		return false
	}
	duration := min(ejectBaseDuration<<min(e.ejections, 10), maxEjectDuration)
	e.ejections, e.failures = e.ejections+1, ejectThreshold-1 // one failure after the return ejects it again
	e.until = now + duration/2 + time.Duration(f.rand()*float64(duration))
	return true
}

// recordSuccess lets a successful answer outweigh a part of the failures, not
// all of them: a server that fails only some of its calls is suspect too.
func (e *ejection) recordSuccess(now time.Duration) {
	if e.failures *= failureRetention; !e.isSuspect(now) {
		e.ejections = 0
	}
}

// isSuspect reports whether failures are left of an error or an ejection that
// ended less than maxEjectDuration ago. After that any call may test the server.
func (e *ejection) isSuspect(now time.Duration) bool {
	return e.failures > ejectThreshold/4.0 && max(e.errorAt, e.until) > 0 && now < max(e.errorAt, e.until)+maxEjectDuration
}

// recordFailure counts a failure of s and ejects it for all classes when the
// failures reach the threshold.
func (f *fleet) recordFailure(s *server, now time.Duration) {
	if f.countFailure(&s.ejection, len(f.ejected), now) {
		f.ejected, f.dirty = append(f.ejected, s), true
	}
}

// recordClassFailure counts an error of one class and ejects s for that class
// when its failures reach the threshold.
func (f *fleet) recordClassFailure(s *server, class int, now time.Duration) {
	if missing := len(f.cfg.Classes) - len(s.classEjections); missing > 0 {
		s.classEjections = append(s.classEjections, make([]ejection, missing)...)
	}
	otherEjections := 0
	for _, m := range f.byPriority {
		if m.isEjectedFor(class, now) {
			otherEjections++
		}
	}
	f.countFailure(&s.classEjections[class], otherEjections, now)
}

// isEjectedFor reports whether s is ejected for the class.
func (s *server) isEjectedFor(class int, now time.Duration) bool {
	return class < len(s.classEjections) && now < s.classEjections[class].until
}

// hasColdBudget reports whether s is warm or this balancer may send it one more
// request while it is cold. The budget is this balancer's share, by its own
// sends, of what all balancers may send within OverloadFor. Fractions of a send
// are rounded at random and the first window of each balancer ends at a random
// time, so that the sends of any number of balancers add up to the whole budget
// and random variation, and not to one send for each balancer. Cold servers
// outside the working set get nothing, because all balancers may fall back on
// them at once.
func (f *fleet) hasColdBudget(s *server, now time.Duration) bool {
	if limited := f.isCold(s, now) && f.cfg.OverloadFor > 0; !limited || !s.inWorkingSet {
		return !limited
	}
	if windowPart := 1.0; now >= s.coldBudget.at {
		if s.coldBudget.at == 0 {
			windowPart = f.rand()
		}
		// The budget is what a warm server gets from this balancer, now or
		// recently, times what the cold one can take; all balancers together
		// send at least one. The current rate alone would be too low, because
		// it falls by what cannot be sent to cold servers.
		warmRate := max(f.acceptedShare*f.sendRate(now), f.acceptedSends*decay(now-f.sendsAt, acceptedDecay)/acceptedDecay.Seconds()) / float64(max(1, len(f.workingSet)))
		budget := max(warmRate*f.cfg.OverloadFor.Seconds()*coldSendShare*f.cfg.OverloadFactor*f.warmth(s, now), 1/float64(f.cfg.Instances))
		s.coldBudget = tokenBucket{math.Floor(windowPart*budget + f.rand()), now + time.Duration(windowPart*float64(f.cfg.OverloadFor))}
	}
	return s.coldBudget.tokens >= 1
}

// recordSend counts a send to s. The two random choices, the size of the
// working set, the steps of the shed level and the budget of a cold server all
// depend on this count.
func (f *fleet) recordSend(s *server, now time.Duration) {
	s.inFlight++
	f.sends, f.acceptedSends, f.sendsAt = f.sends*decay(now-f.sendsAt, sendRateDecay)+1, f.acceptedSends*decay(now-f.sendsAt, acceptedDecay)+f.acceptedShare, now
	if f.isCold(s, now) {
		s.coldBudget.tokens--
	}
}

// sendRate returns this balancer's recent sends per second.
func (f *fleet) sendRate(now time.Duration) float64 {
	return f.sends * decay(now-f.sendsAt, sendRateDecay) / sendRateDecay.Seconds()
}

// decay returns the weight that is left of a value of the given age when it
// decays exponentially with the time constant decayTime.
func decay(age, decayTime time.Duration) float64 { return math.Exp(-float64(age) / float64(decayTime)) }
