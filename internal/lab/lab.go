// Package lab simulates a fleet in virtual time: sidecars that run the decision module, nodes
// with cores, a speed and a queue, and clients that make calls at random times and retry. It
// shows within seconds the effect of decisions over minutes or hours of load, and is deterministic
// for a seed. Nodes don't know of sidecars, and sidecars learn about a node only from its answers.
package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chalkrack"
	"chalkrack/internal/lab/virtual"
)

// Class is a class of requests.
type Class struct {
	chalkrack.Class
	Share    float64       // share of all calls
	MeanWork time.Duration // mean time on a core of speed 1: a fifth is constant, the rest exponential
}

// Node is a server.
type Node struct {
	Name      string
	Zone      string
	Speed     float64 // of a core; a request with work w takes w/Speed
	Cores     int
	QueueSize int     // capacity of the queue; further requests are rejected
	ErrorRate float64 // share of attempts answered with an error at once
	// ColdShare is the share of Speed that the node has at its start. It rises linearly to 1
	// within Rules.ColdFor. A node with 0 is warm from the start.
	ColdShare float64
}

// Config holds the fleet, the load and the rules of a Lab.
type Config struct {
	Seed                  uint64
	Nodes                 []Node
	Sidecars              int
	Classes               []Class
	Rate                  func(at time.Duration) float64 // calls per second of all clients
	SidecarShare          func(sidecar int) float64      // share of the calls made to a sidecar; nil: equal
	Rules                 chalkrack.Config               // New sets Instances and Classes
	ClientTimeout         time.Duration                  // how long a client waits for an answer
	MaxClientRetries      int                            // maximum number of retries of a client after refusals
	HonourRetryAfterShare float64                        // share of clients that wait for the time given in a refusal
	SynchronizedRetries   bool                           // clients that do not wait for that time all retry at the next whole second
	ClockAhead            time.Duration                  // by how much the sidecars' clocks are ahead of the one that dates the nodes' starts
	OnNewSidecar          func(*Sidecar)                 // called with each sidecar before its first server list; may be nil
	OnSubscribe           func(*Sidecar)                 // called when a sidecar requests the server list; may be nil
	// OnSend and OnAttemptDone are called at the start and the end of each attempt, like the
	// methods of core.AttemptObserver. Each may be nil.
	OnSend        func(s *Sidecar, node string) (ticket uint64)
	OnAttemptDone func(s *Sidecar, ticket uint64, o chalkrack.Outcome)
}

// Second counts the events of one second. Slices are indexed by class.
type Second struct {
	Asked, Served []float64 // calls made, and those with a try that was answered within the aim
	Refused       []int     // refusals, of first tries and retries
	Late, Failed  int       // tries answered after the aim, and tries that failed
	Sent          int       // attempts
	Copies        int       // attempts sent while an earlier one of the same call was in flight
	Retries       int       // attempts sent after all earlier ones of the same call had ended
	ListRequests  int       // requests for the server list
}

// Lab is one simulated run. It is not safe for concurrent use.
type Lab struct {
	virtual.Clock
	Sidecars []*Sidecar
	Seconds  []Second
	Random   *rand.Rand

	cfg   Config
	nodes map[string]*machine
}

// Sidecar hosts one Balancer and implements its Host.
type Sidecar struct {
	*chalkrack.Balancer
	Lab          *Lab
	Index        int
	OpenRequests int
	// AttemptsEnded counts all attempts that ended, AttemptsLate those of them that took longer
	// than the aim of their class, and AttemptsRejected those that a node rejected because its
	// queue was full. A reader may reset them.
	AttemptsEnded, AttemptsLate, AttemptsRejected float64

	calls       map[chalkrack.RequestID]*call
	lastID      chalkrack.RequestID
	inFlight    map[string]int // attempts in flight, by node
	connections map[string]int // maximum of inFlight: as many connections stay open
}

// call is a client's call: a first try and its retries. Only one of them at a time is open at the
// sidecar.
type call struct {
	class         int
	arrivedAt     time.Duration // start of the first try
	arrivalSecond int           // second of the first try
	retryCount    int           // retries of the client before this try
	attemptCount  int           // attempts of this try
	inFlight      int           // attempts of this try in flight
	tryEnded      bool
	tryStart      time.Duration
}

// dialTimeout is how long a sidecar waits for a connection to a node that is unreachable.
const dialTimeout = 250 * time.Millisecond

// networkDelay is the time that data takes from one machine to another.
const networkDelay = 500 * time.Microsecond

// New returns a Lab at time 0, in which all sidecars know all nodes. It returns an error if
// chalkrack.New rejects the rules.
func New(cfg Config) (*Lab, error) {
	lab := &Lab{cfg: cfg, Random: rand.New(rand.NewPCG(cfg.Seed, 1)), nodes: make(map[string]*machine)}
	rules := cfg.Rules
	rules.Instances = cfg.Sidecars
	for _, c := range cfg.Classes {
		rules.Classes = append(rules.Classes, c.Class)
	}
	var endpoints []chalkrack.Endpoint
	for _, n := range cfg.Nodes {
		lab.nodes[n.Name] = &machine{lab: lab, Node: n}
		endpoints = append(endpoints, chalkrack.Endpoint{Name: n.Name, Zone: n.Zone, Hint: 1})
	}
	for n := range cfg.Sidecars {
		s := &Sidecar{Lab: lab, Index: n, calls: make(map[chalkrack.RequestID]*call), inFlight: make(map[string]int), connections: make(map[string]int)}
		var err error
		if s.Balancer, err = chalkrack.New(rules, cfg.Seed+uint64(n), s); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		lab.Sidecars = append(lab.Sidecars, s)
		if cfg.OnNewSidecar != nil {
			cfg.OnNewSidecar(s)
		}
		s.ServersListed(0, endpoints)
		lab.startArrivals(s)
	}
	return lab, nil
}

func (l *Lab) currentSecond() *Second { return l.secondAt(int(l.Now / time.Second)) }

// secondAt returns the counts of second n and extends Seconds up to it.
func (l *Lab) secondAt(n int) *Second {
	for len(l.Seconds) <= n {
		classCount := len(l.cfg.Classes)
		l.Seconds = append(l.Seconds, Second{Asked: make([]float64, classCount), Served: make([]float64, classCount), Refused: make([]int, classCount)})
	}
	return &l.Seconds[n]
}

// ServedWorthShare returns the share of the worth that was served within the aim, of all calls made
// from firstSecond until before endSecond.
func (l *Lab) ServedWorthShare(firstSecond, endSecond int) float64 {
	asked, served := 0.0, 0.0
	for n := firstSecond; n < endSecond && n < len(l.Seconds); n++ {
		for index, class := range l.cfg.Classes {
			asked += l.Seconds[n].Asked[index] * class.Worth
			served += l.Seconds[n].Served[index] * class.Worth
		}
	}
	return served / max(asked, 1e-9)
}

// startArrivals starts the calls of a sidecar's clients: a Poisson process whose rate is read
// again for each call and at least once a second.
func (l *Lab) startArrivals(s *Sidecar) {
	share := 1 / float64(l.cfg.Sidecars)
	if l.cfg.SidecarShare != nil {
		share = l.cfg.SidecarShare(s.Index)
	}
	var next func()
	next = func() {
		rate := l.cfg.Rate(l.Now) * share
		if rate <= 0 {
			l.After(100*time.Millisecond, next)
			return
		}
		// The gap is drawn at the current rate. Rates change slowly compared to a gap.
		gap := time.Duration(l.Random.ExpFloat64() / rate * float64(time.Second))
		if gap > time.Second {
			l.After(time.Second, next)
			return
		}
		l.After(gap, func() {
			s.startCall()
			next()
		})
	}
	next()
}

// startCall makes a client's call of a random class.
func (s *Sidecar) startCall() {
	l := s.Lab
	class, random := 0, l.Random.Float64()
	for random -= l.cfg.Classes[0].Share; random > 0 && class+1 < len(l.cfg.Classes); random -= l.cfg.Classes[class].Share {
		class++
	}
	call := &call{class: class, arrivedAt: l.Now, arrivalSecond: int(l.Now / time.Second)}
	l.currentSecond().Asked[class]++
	s.startTry(call)
}

// startTry passes a first try or a retry to the balancer, as a request of its own.
func (s *Sidecar) startTry(call *call) {
	s.lastID++
	id := s.lastID
	call.tryEnded, call.attemptCount, call.inFlight, call.tryStart = false, 0, 0, s.Lab.Now
	s.calls[id] = call
	s.OpenRequests++
	s.Arrive(s.Lab.Now, chalkrack.Request{ID: id, Class: call.class, Tenant: -1, Deadline: s.Lab.Now + s.Lab.cfg.ClientTimeout})
}

// endTry ends a try. If mayRetry is set and retries are left, the client retries: after at least
// retryAfter if the client honours that time.
func (s *Sidecar) endTry(id chalkrack.RequestID, retryAfter time.Duration, mayRetry bool) {
	l, call := s.Lab, s.calls[id]
	if call == nil || call.tryEnded {
		return
	}
	call.tryEnded = true
	s.OpenRequests--
	delete(s.calls, id)
	if !mayRetry || call.retryCount >= l.cfg.MaxClientRetries {
		return
	}
	retry := *call
	retry.retryCount++
	delay := time.Duration((0.5 + l.Random.Float64()) * float64(200*time.Millisecond<<call.retryCount))
	switch {
	case l.Random.Float64() < l.cfg.HonourRetryAfterShare:
		delay = max(retryAfter, delay)
	case l.cfg.SynchronizedRetries:
		delay = l.Now.Truncate(time.Second) + time.Second - l.Now
	}
	l.After(delay, func() { s.startTry(&retry) })
}

// Send implements chalkrack.Host.
func (s *Sidecar) Send(id chalkrack.RequestID, server string, timeout time.Duration) {
	l, call := s.Lab, s.calls[id]
	attempt, class := call.attemptCount, &l.cfg.Classes[call.class]
	second := l.currentSecond()
	if second.Sent++; call.inFlight > 0 {
		second.Copies++
	} else if call.attemptCount > 0 {
		second.Retries++
	}
	call.attemptCount++
	call.inFlight++
	s.inFlight[server]++
	s.connections[server] = max(s.connections[server], s.inFlight[server])
	attemptEnded := false
	sentAt := l.Now
	ticket := uint64(0)
	if l.cfg.OnSend != nil {
		ticket = l.cfg.OnSend(s, server)
	}
	endAttempt := func(outcome chalkrack.Outcome) {
		if attemptEnded {
			return
		}
		attemptEnded = true
		if l.cfg.OnAttemptDone != nil {
			l.cfg.OnAttemptDone(s, ticket, outcome)
		}
		call.inFlight--
		s.inFlight[server]--
		s.AttemptsEnded++
		if outcome == chalkrack.Full {
			s.AttemptsRejected++
		} else if l.Now-sentAt > class.Aim {
			s.AttemptsLate++
		}
		tryHadEnded := call.tryEnded
		if outcome == chalkrack.OK && !tryHadEnded {
			if l.Now-call.tryStart <= class.Aim {
				l.secondAt(call.arrivalSecond).Served[call.class]++
			} else {
				l.currentSecond().Late++
			}
			s.endTry(id, 0, false)
		}
		s.AttemptDone(l.Now, id, attempt, outcome, call.tryEnded, chalkrack.LoadReport{})
	}
	work := time.Duration((0.2 + 0.8*l.Random.ExpFloat64()) * float64(class.MeanWork))
	l.After(networkDelay, func() {
		m := l.nodes[server]
		if m.unreachable {
			l.After(dialTimeout, func() { endAttempt(chalkrack.ConnectFailed) })
			return
		}
		if m.recordArrival(); m.ErrorRate > 0 && l.Random.Float64() < m.ErrorRate {
			l.After(networkDelay, func() { endAttempt(chalkrack.ServerError) })
			return
		}
		if !m.serve(work, func() { l.After(networkDelay, func() { endAttempt(chalkrack.OK) }) }) {
			l.After(networkDelay, func() { endAttempt(chalkrack.Full) })
		}
	})
	l.After(timeout, func() { endAttempt(chalkrack.TimedOut) })
}

// Refuse implements chalkrack.Host.
func (s *Sidecar) Refuse(id chalkrack.RequestID, retryAfter time.Duration) {
	if call := s.calls[id]; call != nil {
		s.Lab.currentSecond().Refused[call.class]++
	}
	s.endTry(id, retryAfter, true)
}

// Fail implements chalkrack.Host.
func (s *Sidecar) Fail(id chalkrack.RequestID) {
	s.Lab.currentSecond().Failed++
	s.endTry(id, 0, false)
}

// SetTimer implements chalkrack.Host.
func (s *Sidecar) SetTimer(cookie uint64, delay time.Duration) {
	s.Lab.After(delay, func() { s.Timer(s.Lab.Now, cookie) })
}

// Cancel implements chalkrack.Host. The node goes on with the work, so the attempt runs to its end.
func (s *Sidecar) Cancel(chalkrack.RequestID, int) {}

// CloseIdle implements chalkrack.Host.
func (s *Sidecar) CloseIdle(string) {}

// Probe implements chalkrack.Host.
func (s *Sidecar) Probe(string) {}

// Subscribe implements chalkrack.Host.
func (s *Sidecar) Subscribe() {
	s.Lab.currentSecond().ListRequests++
	if s.Lab.cfg.OnSubscribe != nil {
		s.Lab.cfg.OnSubscribe(s)
	}
}

// ConnectionCount returns the number of connections that all sidecars have opened to a node. None
// is ever closed.
func (l *Lab) ConnectionCount(node string) (count int) {
	for _, s := range l.Sidecars {
		count += s.connections[node]
	}
	return count
}

// ArrivalsBySecond returns the number of attempts that reached a node in each second of the run.
func (l *Lab) ArrivalsBySecond(node string) []int { return l.nodes[node].arrivalsBySecond }

// Replace replaces a node by one of another name that starts now, cold if its ColdShare is set.
// Each sidecar learns of both changes after a random delay of up to maxDelay. The old node drains:
// it finishes its work and still serves what sidecars send to it.
func (l *Lab) Replace(old string, replacement Node, maxDelay time.Duration) {
	l.nodes[replacement.Name] = &machine{lab: l, Node: replacement, start: l.Now}
	changes := []chalkrack.Endpoint{{Name: old, State: chalkrack.Gone}, {Name: replacement.Name, Hint: 1, Started: max(1, l.Now-l.cfg.ClockAhead)}}
	for _, s := range l.Sidecars {
		l.After(time.Duration(l.Random.Float64()*float64(maxDelay)), func() { s.ServersChanged(l.Now, changes) })
	}
}

// Remove takes a node off the server list. Each sidecar learns of it after a random delay of up to
// maxDelay. The node drains: it finishes its work and still serves what sidecars send to it.
func (l *Lab) Remove(node string, maxDelay time.Duration) {
	changes := []chalkrack.Endpoint{{Name: node, State: chalkrack.Gone}}
	for _, s := range l.Sidecars {
		l.After(time.Duration(l.Random.Float64()*float64(maxDelay)), func() { s.ServersChanged(l.Now, changes) })
	}
}

// SetUnreachable makes a node unreachable or reachable again. Attempts that arrive while it is
// unreachable fail to connect; those that it had received before are still answered.
func (l *Lab) SetUnreachable(node string, unreachable bool) { l.nodes[node].unreachable = unreachable }

// SetErrorRate sets the share of attempts that a node answers with errors from now on.
func (l *Lab) SetErrorRate(node string, share float64) { l.nodes[node].ErrorRate = share }

// machine is the state of a node.
type machine struct {
	Node
	start            time.Duration
	arrivalsBySecond []int
	coldArrivals     []time.Duration // times of the attempts that arrived while it was cold
	lab              *Lab
	busyCores        int
	queue            []func() // each starts a request
	unreachable      bool
}

func (m *machine) recordArrival() {
	for n := int(m.lab.Now / time.Second); len(m.arrivalsBySecond) <= n; {
		m.arrivalsBySecond = append(m.arrivalsBySecond, 0)
	}
	m.arrivalsBySecond[len(m.arrivalsBySecond)-1]++
	if m.isCold() {
		m.coldArrivals = append(m.coldArrivals, m.lab.Now)
	}
}

func (m *machine) isCold() bool {
	return m.ColdShare > 0 && m.lab.Now < m.start+m.lab.cfg.Rules.ColdFor
}

// currentSpeed returns the speed of a core, which is reduced while the node is cold.
func (m *machine) currentSpeed() float64 {
	if m.isCold() {
		return m.Speed * (m.ColdShare + (1-m.ColdShare)*float64(m.lab.Now-m.start)/float64(m.lab.cfg.Rules.ColdFor))
	}
	return m.Speed
}

// serve starts or queues a request that takes work on a core of speed 1, and calls done at its end.
// It returns false if all cores are busy and the queue is full.
func (m *machine) serve(work time.Duration, done func()) bool {
	start := func() {
		m.busyCores++
		m.lab.After(time.Duration(float64(work)/m.currentSpeed()), func() {
			m.busyCores--
			done()
			if len(m.queue) > 0 {
				next := m.queue[0]
				m.queue = m.queue[1:]
				next()
			}
		})
	}
	switch {
	case m.busyCores < m.Cores:
		start()
	case len(m.queue) < m.QueueSize:
		m.queue = append(m.queue, start)
	default:
		return false
	}
	return true
}

// SetSpeed sets the speed of a node's cores for work that starts from now on.
func (l *Lab) SetSpeed(node string, speed float64) { l.nodes[node].Speed = speed }
