// Package failover decides for one caller whether its calls go through the daemon on its
// host or bypass it. It performs no I/O, reads no clock and starts no goroutines: the
// caller reports events and their times.
//
// A daemon counts as lost immediately, but is used again only after several successful
// probes in a row and a random delay of up to ReturnSpread. The delay keeps the callers of a
// host, or of a fleet whose daemons were all restarted, from returning at the same time.
// Each loss soon after a return doubles the spread, up to MaxReturnSpread.
package failover

import "time"

// Config configures a Machine. All values must be above 0.
type Config struct {
	ProbeInterval    time.Duration // the initial interval between two probes of a lost daemon
	MaxProbeInterval time.Duration // the maximum of that interval, which doubles after each failed probe
	MinGoodProbes    int           // the number of successful probes in a row before a return
	ReturnSpread     time.Duration // the maximum of the random delay before a return
	MaxReturnSpread  time.Duration // the maximum to which ReturnSpread is doubled
}

// Default returns a Config for daemons that restart within one or two seconds.
func Default() Config {
	return Config{ProbeInterval: 100 * time.Millisecond, MaxProbeInterval: 2 * time.Second, MinGoodProbes: 2, ReturnSpread: 2 * time.Second, MaxReturnSpread: time.Minute}
}

// Machine is the state of one caller. It must not be used concurrently. The times passed to
// it must be above 0, since 0 stands for no time.
type Machine struct {
	cfg    Config
	random func() float64 // within [0, 1)

	lost          bool          // the daemon is lost
	probeInterval time.Duration // the current interval between two probes
	spread        time.Duration // the current maximum of the delay before a return
	goodProbes    int           // successful probes in a row
	probeAt       time.Duration
	returnAt      time.Duration // 0: no return is scheduled
	returnedAt    time.Duration // the last return; 0: none
}

// New returns a Machine that uses the daemon. random returns values within [0, 1).
func New(cfg Config, random func() float64) *Machine {
	return &Machine{cfg: cfg, random: random, spread: cfg.ReturnSpread}
}

// UsesDaemon reports whether calls go through the daemon.
func (m *Machine) UsesDaemon() bool { return !m.lost }

// RecordLoss reports that the daemon could not be reached or does not answer. It returns whether
// the caller takes over from the daemon with this event.
func (m *Machine) RecordLoss(now time.Duration) (takeover bool) {
	m.goodProbes, m.returnAt = 0, 0
	if m.lost {
		return false
	}
	lastSpread := m.spread
	if m.spread = m.cfg.ReturnSpread; m.returnedAt > 0 && now-m.returnedAt < relapseSpreads*lastSpread {
		m.spread = min(2*lastSpread, m.cfg.MaxReturnSpread)
	}
	m.lost, m.probeInterval = true, m.cfg.ProbeInterval
	m.probeAt = now + m.jitter(m.probeInterval)
	return true
}

// relapseSpreads is the number of spreads after a return within which a loss doubles the spread.
const relapseSpreads = 8

// jitter returns a random duration between half of d and one and a half times d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.random()*float64(d))
}

// NextDue returns the time at which Machine.PreferredZone must be called, or 0 if there is none.
func (m *Machine) NextDue() time.Duration {
	switch {
	case !m.lost:
		return 0
	case m.returnAt > 0:
		return min(m.returnAt, m.probeAt)
	}
	return m.probeAt
}

// Advance returns what is due at a time: a probe to make, whose result must be passed to
// Machine.RecordProbe, or the caller's return to the daemon.
func (m *Machine) Advance(now time.Duration) (probe, back bool) {
	switch {
	case !m.lost:
		return false, false
	case m.returnAt > 0 && now >= m.returnAt:
		m.lost, m.returnAt, m.returnedAt = false, 0, now
		return false, true
	case now >= m.probeAt:
		m.probeAt = now + m.jitter(m.probeInterval)
		return true, false
	}
	return false, false
}

// RecordProbe records the result of a probe.
func (m *Machine) RecordProbe(now time.Duration, ok bool) {
	if !m.lost {
		return
	}
	if !ok {
		m.goodProbes, m.returnAt = 0, 0
		m.probeInterval = min(2*m.probeInterval, m.cfg.MaxProbeInterval)
		return
	}
	m.probeInterval = m.cfg.ProbeInterval
	if m.goodProbes++; m.goodProbes >= m.cfg.MinGoodProbes && m.returnAt == 0 {
		m.returnAt = now + 1 + time.Duration(m.random()*float64(m.spread))
	}
}
