// Package bake judges a new configuration against the one before, while both serve. It
// has no I/O, clock, chance or goroutines.
//
// For the time of the bake each call is given to one of the two generations by a coin
// that nobody sees before the call: Share of them to the new one. If both do equally
// well, a call that goes badly is the new one's with the chance Share, whatever the load
// and the servers do meanwhile: trouble that all suffer falls on both. So only the
// assignment of the bad calls is tested, and no rate has to be known or to stand still.
//
// The test is a likelihood ratio that grows with each bad call, held against a mixture
// of rises (A. Wald, Sequential Analysis, 1947; H. Robbins, Statistical methods related
// to the law of the iterated logarithm, 1970). Its mean stays 1 while both do equally
// well, so by J. Ville's inequality the chance that it ever passes 1/FalseUndo is at most
// FalseUndo, however often it is looked at.
package bake

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Kind is a way to go badly.
type Kind int

const (
	Failed Kind = iota
	Refused
	Late // answered past its aim
	kinds
)

// String is the kind's name.
func (k Kind) String() string { return [...]string{"failed", "refused", "late"}[k] }

// rises are the rates of the new generation that are tested, as multiples of the old
// one's. The last is a fault that the old one does not have at all.
var rises = [...]float64{1.5, 3, 10, math.Inf(1)}

// Config is what a Judge is told.
type Config struct {
	Classes   int           // 1 to 1,024
	Share     float64       // of calls that the new generation takes, 0.05 to 0.95
	FalseUndo float64       // the chance that a good change is undone, 1e-9 to 0.2
	Notice    float64       // the share of bad calls that must not pass unnoticed, above 0 and at most 1
	Bake      time.Duration // how long it watches
	// ThinUndo undoes a change that too few calls have tried; otherwise it is kept.
	ThinUndo bool
}

// Validate says what of c can't be used, by the name of its field.
func (c *Config) Validate() error {
	switch {
	case c.Classes < 1 || c.Classes > 1024:
		return fmt.Errorf("bake: Classes must be within 1 and 1024")
	case !(c.Share >= 0.05 && c.Share <= 0.95):
		return fmt.Errorf("bake: Share must be within 0.05 and 0.95")
	case !(c.FalseUndo >= 1e-9 && c.FalseUndo <= 0.2):
		return fmt.Errorf("bake: FalseUndo must be within 1e-9 and 0.2")
	case !(c.Notice > 0 && c.Notice <= 1):
		return fmt.Errorf("bake: Notice must be above 0 and at most 1")
	case c.Bake <= 0:
		return fmt.Errorf("bake: Bake must be above 0")
	}
	return nil
}

// Verdict is what a Judge says.
type Verdict int

const (
	Watching Verdict = iota
	Keep
	Undo
)

// String is the verdict's name.
func (v Verdict) String() string { return [...]string{"watching", "keep", "undo"}[v] }

// Ruling is a verdict with its reasons.
type Ruling struct {
	Verdict Verdict
	// Thin says that too few calls came for a verdict: it is the default's.
	Thin bool
	// Class and Kind weigh most in an Undo that is not Thin.
	Class int
	Kind  Kind
	// Calls of the new generation that were seen, and that are needed to notice what
	// Config.Notice says.
	Calls, Needed int
}

// cell is one class's calls of one kind.
type cell struct {
	old, new float64
}

// starts is from how many times on the bad calls are counted: from the switch, and from
// each further eighth of the bake. A fault that trouble at the servers covered at first
// shows once that is over, in counts that it is no part of. What has not started yet
// counts as 1, so the mean over the starts is held by the same bound.
const starts = 8

// Judge watches one change. Its memory is 48 counters for each class.
type Judge struct {
	cfg   Config
	cells []cell
	calls int      // of the new generation
	since [][]cell // the cells as they were at each start that has come, the switch first
	final *Ruling
	// By rise, the logarithms of what a bad call multiplies the ratio by.
	ofNew, ofOld [len(rises)]float64
}

// New returns a Judge.
func New(cfg Config) (*Judge, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	n := cfg.Classes * int(kinds)
	j := &Judge{cfg: cfg, cells: make([]cell, n), since: [][]cell{make([]cell, n)}}
	for k, r := range rises {
		// A bad call is the new one's with the chance r*share / (r*share + 1 - share).
		both := r*cfg.Share + 1 - cfg.Share
		j.ofNew[k], j.ofOld[k] = math.Log(r/both), math.Log(1/both)
		if math.IsInf(r, 1) {
			j.ofNew[k], j.ofOld[k] = -math.Log(cfg.Share), math.Inf(-1)
		}
	}
	return j, nil
}

// Good takes a call that went well.
func (j *Judge) Good(newGeneration bool) {
	if newGeneration {
		j.calls++
	}
}

// Bad takes a call of a class that went badly. A call counts once, as the first of its
// kinds. Classes out of range are left out.
func (j *Judge) Bad(class int, k Kind, newGeneration bool) {
	if class < 0 || class >= j.cfg.Classes || k < 0 || k >= kinds {
		return
	}
	c := &j.cells[class*int(kinds)+int(k)]
	if newGeneration {
		j.calls++
		c.new++
	} else {
		c.old++
	}
}

// evidence is the logarithm of a cell's likelihood ratio: the mean over the rises.
func (j *Judge) evidence(c cell) float64 {
	if c.old+c.new == 0 {
		return 0
	}
	var logs [len(rises)]float64
	for n := range rises {
		logs[n] = c.new * j.ofNew[n]
		if c.old > 0 {
			logs[n] += c.old * j.ofOld[n]
		}
	}
	return meanLog(logs[:])
}

// meanLog is the logarithm of the mean of what has these logarithms.
func meanLog(logs []float64) float64 {
	most := math.Inf(-1)
	for _, l := range logs {
		most = max(most, l)
	}
	if math.IsInf(most, -1) {
		return most
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum/float64(len(logs)))
}

// Needed is how many calls of the new generation it takes to notice a fault that spoils
// Notice of one class's calls and none of the old one's, if they all are of that class:
// as many as have that many bad ones among them with a chance of about 0.98.
func (j *Judge) Needed() int {
	per := math.Log(1 / j.cfg.Share)
	bad := math.Ceil(math.Log(float64(starts*len(rises)*len(j.cells))/j.cfg.FalseUndo) / per)
	return int(math.Ceil((bad + 2*math.Sqrt(bad) + 2) / j.cfg.Notice))
}

// Rule gives the verdict so long after the switch; it is to be asked some times in each
// eighth of the bake, at times that the calls' ends have no part in. Once it is not Watching it stays.
func (j *Judge) Rule(since time.Duration) Ruling {
	if j.final != nil {
		return *j.final
	}
	for len(j.since) < starts && since >= j.cfg.Bake/starts*time.Duration(len(j.since)) {
		j.since = append(j.since, slices.Clone(j.cells))
	}
	r := Ruling{Calls: j.calls, Needed: j.Needed()}
	logs := make([]float64, len(j.cells))
	var each [starts]float64 // 0, for 1, where it has not begun
	most := math.Inf(-1)
	for k, then := range j.since {
		for n, c := range j.cells {
			logs[n] = j.evidence(cell{c.old - then[n].old, c.new - then[n].new})
			if logs[n] > most {
				most, r.Class, r.Kind = logs[n], n/int(kinds), Kind(n%int(kinds))
			}
		}
		each[k] = meanLog(logs)
	}
	switch {
	case meanLog(each[:]) >= -math.Log(j.cfg.FalseUndo):
		r.Verdict = Undo
	case since < j.cfg.Bake:
		return r
	case j.calls < r.Needed:
		r.Thin, r.Verdict = true, Keep
		if j.cfg.ThinUndo {
			r.Verdict = Undo
		}
	default:
		r.Verdict = Keep
	}
	j.final = &r
	return r
}
