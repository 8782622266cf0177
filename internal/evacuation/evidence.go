package evacuation

import (
	"math"
	"slices"
	"time"
)

// Kind is what an attempt met.
type Kind uint8

const (
	Good    Kind = iota
	NoConn       // no connection came up
	Broken       // the connection was reset or ended
	Late         // no answer in time, or one that took far longer than elsewhere
	Errored      // an answer that is an error
	Full         // turned away: it is up and busy, which says nothing of failure
	kinds
)

// String is the kind's word.
func (k Kind) String() string {
	return [...]string{"good", "no connection", "broken", "late", "error", "turned away"}[k]
}

// bad says that a kind speaks against the zone.
func (k Kind) bad() bool { return k != Good && k != Full }

// seen counts by kind, and forgets. It is what operators are shown.
type seen struct {
	n  [kinds]float64
	at time.Duration
}

func (t *seen) fade(now, window time.Duration) {
	if now > t.at {
		f := math.Exp(-float64(now-t.at) / float64(window))
		for k := range t.n {
			t.n[k] *= f
		}
		t.at = now
	}
}

// server is one of a zone's, with what the last of its answers was.
type server struct {
	name string
	zone *zone
	last Kind
	at   time.Duration // when; below 0: never
}

// attempt is one that has no end yet.
type attempt struct {
	to   *server
	sent time.Duration
	late bool // counted already
	lost bool // given up already
}

// mean is a fading mean of how long good answers take.
type mean struct{ sum, n float64 }

func (m *mean) add(x float64) { m.sum, m.n = m.sum*0.95+x, m.n*0.95+1 }

func (m *mean) value() float64 {
	if m.n < 1 {
		return 0
	}
	return m.sum / m.n
}

// opinion is what a sidecar's own evidence says of a zone: of each server the last word
// counts, the more the newer it is. Guards against one server that fails fast and so
// often, which would speak for the whole zone.
type opinion struct {
	ratio  float64 // of bad
	weight float64 // of all that was seen
	heard  int     // servers with a weight that counts
	bad    int     // of them with a bad one
	full   float64 // share of refusals
	good   float64 // weight of good ones
}

// countsFor windows what was met by kind is remembered.
const countsFor = 3

// least is the weight of evidence below which it says nothing.
const least = 0.5

func (z *zone) opinion(now, window time.Duration) (o opinion) {
	bad := 0.0
	for _, s := range z.servers {
		if s.at < 0 {
			continue
		}
		w := math.Exp(-float64(now-s.at) / float64(window/2))
		if w < 0.05 {
			continue
		}
		switch {
		case s.last.bad():
			bad += w
			o.bad++
		case s.last == Good:
			o.good += w
		}
		o.heard++
	}
	o.weight = bad + o.good
	if o.weight > 0 {
		o.ratio = bad / o.weight
	}
	z.counts.fade(now, countsFor*window)
	all := 0.0
	for _, x := range z.counts.n {
		all += x
	}
	if all > least {
		o.full = z.counts.n[Full] / all
	}
	return o
}

// Sent says that an attempt went to a server. What it returns is for Ended.
func (m *Machine) Sent(now time.Duration, name string) uint64 {
	m.ticket++
	if s := m.servers[name]; s != nil && len(m.open) < openMost {
		m.open[m.ticket] = attempt{to: s, sent: now}
	}
	return m.ticket
}

// Ended says how an attempt ended. One that was called off says nothing.
func (m *Machine) Ended(now time.Duration, ticket uint64, k Kind, calledOff bool) {
	a, ok := m.open[ticket]
	if !ok {
		return
	}
	delete(m.open, ticket)
	if calledOff || a.late || m.servers[a.to.name] != a.to {
		return
	}
	if k == Good {
		if took := now - a.sent; took > m.bound() {
			k = Late
		} else {
			a.to.zone.took.add(float64(took))
		}
	}
	m.met(now, a, k)
}

// met takes what an attempt met.
func (m *Machine) met(now time.Duration, a attempt, k Kind) {
	z := a.to.zone
	z.counts.fade(now, countsFor*m.cfg.Window)
	z.counts.n[k]++
	if k == Full {
		return
	}
	a.to.last, a.to.at = k, now
	switch {
	case k == Good:
		z.goodSent = max(z.goodSent, a.sent)
		if a.sent >= z.badSent {
			z.badSent = -1
		}
	case z.badSent < 0:
		z.badSent = a.sent
	}
	if k != Good {
		z.badLast = max(z.badLast, a.sent)
	}
	if z.rec.Stage >= First && a.sent >= z.since {
		if k == Good {
			z.stageGood++
		} else {
			z.stageBad++
		}
	}
}

// bound is how long an attempt may take before it is bad: by what is usual in the quickest
// zone, so that one that slows down does not become its own measure.
func (m *Machine) bound() time.Duration {
	usual := 0.0
	for _, o := range m.zones {
		if v := o.took.value(); v > 0 && (usual == 0 || v < usual) {
			usual = v
		}
	}
	return max(m.cfg.Silence, time.Duration(m.cfg.Slow*usual))
}

// overdue counts the attempts that have had no answer for too long, each once.
func (m *Machine) overdue() {
	bound := m.bound()
	for ticket, a := range m.open {
		if a.late || m.now-a.sent <= bound {
			continue
		}
		a.late = true
		m.open[ticket] = a
		if m.servers[a.to.name] == a.to {
			m.met(m.now, a, Late)
		}
	}
}

// hopeless are the attempts to zones that fail, or were left, which have waited for half
// of what makes one late: others can still be made for their calls. Each is told once.
func (m *Machine) hopeless() (tickets []uint64) {
	bound := m.bound()
	for ticket, a := range m.open {
		z := a.to.zone
		if a.lost || z.vote != Failing && z.vote != CutOff && (z.rec.Stage != Out || z.order.Action != Auto) || m.now-a.sent <= bound/2 {
			continue
		}
		a.lost = true
		m.open[ticket] = a
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	return tickets
}

// vote is what this sidecar says of a zone by its own evidence, before others are heard.
func (m *Machine) vote(z *zone) Vote {
	if z.rec.Stage >= First { // what counts is what was sent in this stage
		switch {
		case z.stageBad > 0 && 3*z.stageBad >= z.stageBad+z.stageGood:
			return Failing
		case z.stageGood > 0:
			return Fine
		}
		return None
	}
	o := z.opinion(m.now, m.cfg.Window)
	switch {
	case o.weight < least:
		return None
	case o.ratio < m.cfg.Limps:
		return Fine
	case o.ratio < m.cfg.Fails || o.bad < min(2, len(z.servers)):
		return Limping
	}
	z.ill = m.now
	// It has to be better elsewhere, by what was sent there since it went bad here: where
	// all is as bad there is a common cause, and where nothing is known of the others nobody
	// can say that they would be better. Nor does it say anything that another one is well which
	// was as bad, where nothing has been sent here since: it may be well here too.
	better, worse := false, false
	for _, x := range m.zones {
		switch {
		case x == z || x.rec.Stage == Out:
		case x.goodSent >= z.badSent && x.goodSent >= 0 && x.ill <= z.badLast:
			better = true
		case x.badSent >= 0:
			worse = true
		}
	}
	switch {
	case better:
		return Failing
	case worse:
		return Alike
	}
	return None
}
