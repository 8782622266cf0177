package bodypolicy

import "time"

// State is the health of the disk.
type State uint8

const (
	Good    State = iota
	Slow          // calls are slow or do not return
	Full          // no space, or no file descriptors
	Failing       // reads or writes return errors
)

var stateNames = [...]string{"good", "slow", "full", "failing"}

// String returns the name of the state as used in views.
func (s State) String() string { return stateNames[s] }

// Fault is the outcome of a call to the disk.
type Fault uint8

const (
	None   Fault = iota
	Late         // timed out
	NoRoom       // ENOSPC, EDQUOT, EMFILE, ENFILE
	Broken       // any other error, including data that was read back altered
)

// DiskLimits holds the settings of a Disk.
type DiskLimits struct {
	SlowAfter      time.Duration // mean call duration above which the disk is slow
	MinTrialDelay  time.Duration // initial delay before a trial
	MaxTrialDelay  time.Duration // maximum of the delay, which doubles with each failed trial
	RequiredTrials int           // consecutive trials that must succeed before the disk is good again
}

const (
	meanWeight = 0.125 // weight of a call in the moving mean: about the last eight calls count
	// minMeanCalls is the number of calls before the mean is used: the first write after a start
	// is slow because it waits for the folder's metadata.
	minMeanCalls = 8
)

// Disk is a circuit breaker for the disk. New files are created only while the state is Good.
// In any other state, several consecutive trial writes must succeed first; one trial runs at a
// time, with a delay between them that doubles while they fail. Existing files are read in
// every state.
type Disk struct {
	limits      DiskLimits
	state       State
	since       time.Duration
	meanSeconds float64 // moving mean of call durations, in seconds
	meanCalls   int     // calls in the mean, counted up to minMeanCalls
	trialDelay  time.Duration
	nextTrial   time.Duration // earliest time of the next trial
	isTrying    bool          // a trial is in progress
	goodTrials  int           // consecutive successful trials
	changes     int           // number of state changes
}

// NewDisk returns a Disk in the state Good.
func NewDisk(l DiskLimits, now time.Duration) Disk {
	return Disk{limits: l, since: now, trialDelay: l.MinTrialDelay}
}

// State returns the state and the time since when it holds.
func (d *Disk) State() (s State, since time.Duration) { return d.state, d.since }

// Changes returns the number of state changes.
func (d *Disk) Changes() int { return d.changes }

// setState sets the state, starts the delay before the next trial and resets the mean.
func (d *Disk) setState(s State, now time.Duration) {
	if s != d.state {
		d.state, d.since = s, now
		d.changes++
	}
	d.goodTrials, d.nextTrial = 0, now+d.trialDelay
	d.meanSeconds, d.meanCalls = 0, 0
}

// RecordCall records the outcome and duration of a call that was not a trial.
func (d *Disk) RecordCall(f Fault, took, now time.Duration) {
	switch f {
	case NoRoom:
		d.setState(Full, now)
	case Broken:
		d.setState(Failing, now)
	case Late:
		d.setState(Slow, now)
	default:
		if d.meanCalls < minMeanCalls {
			d.meanCalls++
		}
		d.meanSeconds += max(meanWeight, 1/float64(d.meanCalls)) * (took.Seconds() - d.meanSeconds)
		if d.state == Good && d.meanCalls == minMeanCalls && d.meanSeconds > d.limits.SlowAfter.Seconds() {
			d.setState(Slow, now)
		}
	}
}

// TrialDue reports whether a trial write is due. If so, the caller must perform it and pass the
// outcome to RecordTrial.
func (d *Disk) TrialDue(now time.Duration) bool {
	if d.state == Good || d.isTrying || now < d.nextTrial {
		return false
	}
	d.isTrying = true
	return true
}

// RecordTrial records the outcome and duration of a trial.
func (d *Disk) RecordTrial(f Fault, took, now time.Duration) {
	d.isTrying = false
	if f == None && took <= d.limits.SlowAfter {
		d.trialDelay, d.nextTrial = d.limits.MinTrialDelay, now+d.limits.MinTrialDelay
		if d.goodTrials++; d.goodTrials >= d.limits.RequiredTrials {
			d.setState(Good, now)
		}
		return
	}
	d.trialDelay = min(2*d.trialDelay, d.limits.MaxTrialDelay)
	switch f {
	case NoRoom:
		d.setState(Full, now)
	case Broken:
		d.setState(Failing, now)
	default:
		d.setState(Slow, now)
	}
}
