// Package failover decides, for one caller, whether its calls go by way of the daemon
// on its host or past it. It has no I/O, clock or goroutines: the caller tells it what
// it met, and when.
//
// A daemon is lost at once and comes back slowly: only after some good probes in a
// row, and then at a random moment within Spread, so that the callers of a host, or of
// a fleet whose daemons were all restarted, do not return as one. Each loss soon after
// a return doubles Spread, up to SpreadMost.
package failover

import "time"

// Config is what a Machine is told. All times must be above 0.
type Config struct {
	ProbeEach  time.Duration // between two probes of a daemon that is away, at first
	ProbeMost  time.Duration // what that grows to while it stays away
	Steady     int           // good probes in a row before a return
	Spread     time.Duration // a return is put off by a random part of it
	SpreadMost time.Duration
}

// Default suits a daemon that restarts within a second or two.
func Default() Config {
	return Config{ProbeEach: 100 * time.Millisecond, ProbeMost: 2 * time.Second, Steady: 2, Spread: 2 * time.Second, SpreadMost: time.Minute}
}

// Machine is the state of one caller. The zero time is not a time.
type Machine struct {
	cfg    Config
	random func() float64 // within [0, 1)

	away     bool
	wait     time.Duration // between two probes, now
	spread   time.Duration
	good     int
	probeAt  time.Duration
	returnAt time.Duration // 0: not settled
	backAt   time.Duration // when it came back last; 0: never
}

// New returns a Machine whose daemon counts as there.
func New(cfg Config, random func() float64) *Machine {
	return &Machine{cfg: cfg, random: random, spread: cfg.Spread}
}

// Here says whether calls go by way of the daemon.
func (m *Machine) Here() bool { return !m.away }

// Lost takes a daemon that could not be reached, or does not answer. It says whether
// the caller takes over just now.
func (m *Machine) Lost(now time.Duration) (takeover bool) {
	m.good, m.returnAt = 0, 0
	if m.away {
		return false
	}
	last := m.spread
	if m.spread = m.cfg.Spread; m.backAt > 0 && now-m.backAt < soon*last {
		m.spread = min(2*last, m.cfg.SpreadMost)
	}
	m.away, m.wait = true, m.cfg.ProbeEach
	m.probeAt = now + m.jitter(m.wait)
	return true
}

// soon is for how many of the last spreads a loss counts as one of the same spell.
const soon = 8

func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.random()*float64(d))
}

// Next is when Due wants to be called, 0 for never.
func (m *Machine) Next() time.Duration {
	switch {
	case !m.away:
		return 0
	case m.returnAt > 0:
		return min(m.returnAt, m.probeAt)
	}
	return m.probeAt
}

// Due says what a time brings: a probe to make, whose end Probed takes, or the
// caller's return to the daemon.
func (m *Machine) Due(now time.Duration) (probe, back bool) {
	switch {
	case !m.away:
		return false, false
	case m.returnAt > 0 && now >= m.returnAt:
		m.away, m.returnAt, m.backAt = false, 0, now
		return false, true
	case now >= m.probeAt:
		m.probeAt = now + m.jitter(m.wait)
		return true, false
	}
	return false, false
}

// Probed takes the end of a probe.
func (m *Machine) Probed(now time.Duration, ok bool) {
	if !m.away {
		return
	}
	if !ok {
		m.good, m.returnAt = 0, 0
		m.wait = min(2*m.wait, m.cfg.ProbeMost)
		return
	}
	m.wait = m.cfg.ProbeEach
	if m.good++; m.good >= m.cfg.Steady && m.returnAt == 0 {
		m.returnAt = now + 1 + time.Duration(m.random()*float64(m.spread))
	}
}
