package keep

import "time"

// State is what is known of the disk.
type State uint8

const (
	Good    State = iota
	Slow          // it answers late, or not at all
	Full          // it has no room, or there are no descriptors
	Failing       // it says that it can't read or write
)

var states = [...]string{"good", "slow", "full", "failing"}

// String is the state's name.
func (s State) String() string { return states[s] }

// Fault is how a call to the disk ended.
type Fault uint8

const (
	None   Fault = iota
	Late         // it had not ended when nobody waited any longer
	NoRoom       // ENOSPC, EDQUOT, EMFILE, ENFILE
	Broken       // anything else, and what was read and is not what was written
)

// DiskLimits bound what is taken for a good disk.
type DiskLimits struct {
	SlowAfter time.Duration // the mean of calls above which it is slow
	RestLeast time.Duration // between its fault and the first trial, and between trials
	RestMost  time.Duration // the rest doubles up to this with each failed trial
	Proof     int           // trials in a row that must be good before it is good again
}

const (
	meanGain = 0.125 // of the mean of calls: about the last eight count
	// The mean says nothing before so many calls: the first write after a start waits
	// for the folder's metadata.
	meanLeast = 8
)

// Disk is the state machine of the disk. Good: files are made. Otherwise none is made
// until as many trial writes as the proof asks for were good in a row; one trial is
// under way at a time, and the rest between them grows while they fail. Reads of files
// that there are go on in every state.
type Disk struct {
	lim   DiskLimits
	state State
	since time.Duration
	mean  float64 // of calls, seconds
	calls int     // that the mean has seen, up to meanLeast
	rest  time.Duration
	next  time.Duration // no trial before
	tried bool          // one is under way
	proof int           // good trials in a row
	moves int           // changes of state
}

// NewDisk returns a good disk.
func NewDisk(l DiskLimits, now time.Duration) Disk {
	return Disk{lim: l, since: now, rest: l.RestLeast}
}

// State is the state and since when.
func (d *Disk) State() (s State, since time.Duration) { return d.state, d.since }

// Moves is how often the state has changed.
func (d *Disk) Moves() int { return d.moves }

func (d *Disk) enter(s State, now time.Duration) {
	if s != d.state {
		d.state, d.since = s, now
		d.moves++
	}
	d.proof, d.next = 0, now+d.rest
	d.mean, d.calls = 0, 0
}

// Call takes how a call ended that was no trial.
func (d *Disk) Call(f Fault, took, now time.Duration) {
	switch f {
	case NoRoom:
		d.enter(Full, now)
	case Broken:
		d.enter(Failing, now)
	case Late:
		d.enter(Slow, now)
	default:
		if d.calls < meanLeast {
			d.calls++
		}
		d.mean += max(meanGain, 1/float64(d.calls)) * (took.Seconds() - d.mean)
		if d.state == Good && d.calls == meanLeast && d.mean > d.lim.SlowAfter.Seconds() {
			d.enter(Slow, now)
		}
	}
}

// Trial says whether a trial write is due. The caller makes it and tells Tried.
func (d *Disk) Trial(now time.Duration) bool {
	if d.state == Good || d.tried || now < d.next {
		return false
	}
	d.tried = true
	return true
}

// Tried takes how a trial ended.
func (d *Disk) Tried(f Fault, took, now time.Duration) {
	d.tried = false
	if f == None && took <= d.lim.SlowAfter {
		d.rest, d.next = d.lim.RestLeast, now+d.lim.RestLeast
		if d.proof++; d.proof >= d.lim.Proof {
			d.enter(Good, now)
		}
		return
	}
	d.rest = min(2*d.rest, d.lim.RestMost)
	switch f {
	case NoRoom:
		d.enter(Full, now)
	case Broken:
		d.enter(Failing, now)
	default:
		d.enter(Slow, now)
	}
}
