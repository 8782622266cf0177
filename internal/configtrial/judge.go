// Package configtrial judges a new configuration (generation) against the one before it while
// both serve. It has no I/O, clock, random source or goroutines.
//
// During the trial each call is assigned at random, and unpredictably for the caller, to one
// of the two generations, a fraction Share of them to the new one. If both do equally well,
// a bad call belongs to the new generation with probability Share, whatever the load and
// the servers do, because trouble that affects all calls affects both. Therefore only the
// assignment of bad calls is tested, and no failure rate has to be known or constant.
//
// The test is a sequential likelihood ratio, updated with each bad call, against a mixture
// of rate ratios (A. Wald, Sequential Analysis, 1947; H. Robbins, Statistical methods
// related to the law of the iterated logarithm, 1970). Its mean stays 1 while both do
// equally well, so by Ville's inequality the probability that it ever passes 1/FalseUndo
// is at most FalseUndo, however often it is evaluated.
package configtrial

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Kind is the way in which a call went badly.
type Kind int

const (
	Failed Kind = iota
	Refused
	Late // answered after its class's aim
	kindCount
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"failed", "refused", "late"}[k] }

// rateRatios are the tested rates of bad calls of the new generation, as multiples of the
// old generation's rate. Infinity stands for a fault that the old one does not have at all.
var rateRatios = [...]float64{1.5, 3, 10, math.Inf(1)}

// Config configures a Judge.
type Config struct {
	Classes         int           // 1 to 1,024
	Share           float64       // fraction of calls that the new generation takes, 0.05 to 0.95
	FalseUndo       float64       // maximum probability of undoing a good change, 1e-9 to 0.2
	DetectableShare float64       // smallest fraction of bad calls that must be detected, above 0 and at most 1
	Duration        time.Duration // length of the trial
	// ThinUndo undoes a change that got fewer calls than a verdict needs; otherwise such a
	// change is kept.
	ThinUndo bool
}

// Validate returns an error that names the first invalid field of c.
func (c *Config) Validate() error {
	switch {
	case c.Classes < 1 || c.Classes > 1024:
		return fmt.Errorf("configtrial: Classes must be within 1 and 1024")
	case !(c.Share >= 0.05 && c.Share <= 0.95):
		return fmt.Errorf("configtrial: Share must be within 0.05 and 0.95")
	case !(c.FalseUndo >= 1e-9 && c.FalseUndo <= 0.2):
		return fmt.Errorf("configtrial: FalseUndo must be within 1e-9 and 0.2")
	case !(c.DetectableShare > 0 && c.DetectableShare <= 1):
		return fmt.Errorf("configtrial: DetectableShare must be above 0 and at most 1")
	case c.Duration <= 0:
		return fmt.Errorf("configtrial: Duration must be above 0")
	}
	return nil
}

// Verdict is the decision of a Judge about a change.
type Verdict int

const (
	Watching Verdict = iota
	Keep
	Undo
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"watching", "keep", "undo"}[v] }

// Result is a verdict with its reasons.
type Result struct {
	Verdict Verdict
	// Thin reports that there were too few calls for a verdict, so that Config.ThinUndo
	// decided.
	Thin bool
	// Class and Kind are the ones with the strongest evidence for an Undo that is not Thin.
	Class int
	Kind  Kind
	// Calls is the number of calls of the new generation so far, Needed the number that
	// it takes to detect a fault of size Config.DetectableShare.
	Calls, Needed int
}

// badCounts counts the bad calls of one class and kind for each generation.
type badCounts struct {
	old, new float64
}

// maxWindows is the number of windows over which bad calls are counted: one begins with the
// trial and one at each further eighth of the trial; all of them end now. Trouble at the
// servers may hide a fault at first; it shows in a window that began after the trouble. A
// window that has not begun counts as a ratio of 1, so the same bound holds for the mean
// over the windows.
const maxWindows = 8

// Judge evaluates one change. It holds at most 48 counters for each class. It is not safe
// for concurrent use.
type Judge struct {
	cfg          Config
	counts       []badCounts
	newCalls     int           // calls of the new generation
	windowStarts [][]badCounts // counts at the start of each window so far
	result       *Result
	// For each of rateRatios, the logarithm of the factor by which a bad call of the new
	// or the old generation changes the likelihood ratio.
	logFactorNew, logFactorOld [len(rateRatios)]float64
}

// New returns a Judge, or an error if cfg is invalid.
func New(cfg Config) (*Judge, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	n := cfg.Classes * int(kindCount)
	j := &Judge{cfg: cfg, counts: make([]badCounts, n), windowStarts: [][]badCounts{make([]badCounts, n)}}
	for k, r := range rateRatios {
		// A bad call is the new generation's with probability r*share / (r*share + 1 - share).
		total := r*cfg.Share + 1 - cfg.Share
		j.logFactorNew[k], j.logFactorOld[k] = math.Log(r/total), math.Log(1/total)
		if math.IsInf(r, 1) {
			j.logFactorNew[k], j.logFactorOld[k] = -math.Log(cfg.Share), math.Inf(-1)
		}
	}
	return j, nil
}

// RecordGood records a call that went well.
func (j *Judge) RecordGood(newGeneration bool) {
	if newGeneration {
		j.newCalls++
	}
}

// RecordBad records a call that went badly. The caller records a call once, under the
// first kind that applies. Calls with a class or kind out of range are ignored.
func (j *Judge) RecordBad(class int, k Kind, newGeneration bool) {
	if class < 0 || class >= j.cfg.Classes || k < 0 || k >= kindCount {
		return
	}
	c := &j.counts[class*int(kindCount)+int(k)]
	if newGeneration {
		j.newCalls++
		c.new++
	} else {
		c.old++
	}
}

// logEvidence returns the logarithm of the likelihood ratio for c: the mean of the ratios
// over rateRatios.
func (j *Judge) logEvidence(c badCounts) float64 {
	if c.old+c.new == 0 {
		return 0
	}
	var logs [len(rateRatios)]float64
	for n := range rateRatios {
		logs[n] = c.new * j.logFactorNew[n]
		if c.old > 0 {
			logs[n] += c.old * j.logFactorOld[n]
		}
	}
	return logMeanExp(logs[:])
}

// logMeanExp returns the logarithm of the mean of the numbers with these logarithms.
func logMeanExp(logs []float64) float64 {
	maxLog := math.Inf(-1)
	for _, l := range logs {
		maxLog = max(maxLog, l)
	}
	if math.IsInf(maxLog, -1) {
		return maxLog
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - maxLog)
	}
	return maxLog + math.Log(sum/float64(len(logs)))
}

// RequiredCalls returns the number of calls of the new generation that it takes to detect a
// fault which makes a fraction DetectableShare of one class's calls bad, and none of the old
// generation's, if all calls are of that class. With that many calls, enough of them are
// bad with a probability of about 0.98.
func (j *Judge) RequiredCalls() int {
	evidencePerCall := math.Log(1 / j.cfg.Share)
	badCalls := math.Ceil(math.Log(float64(maxWindows*len(rateRatios)*len(j.counts))/j.cfg.FalseUndo) / evidencePerCall)
	return int(math.Ceil((badCalls + 2*math.Sqrt(badCalls) + 2) / j.cfg.DetectableShare))
}

// Evaluate returns the ruling at a time after the start of the trial. The caller must call it a few
// times in each eighth of the trial, at times that do not depend on the outcomes of calls.
// A verdict other than Watching is final.
func (j *Judge) Evaluate(since time.Duration) Result {
	if j.result != nil {
		return *j.result
	}
	for len(j.windowStarts) < maxWindows && since >= j.cfg.Duration/maxWindows*time.Duration(len(j.windowStarts)) {
		j.windowStarts = append(j.windowStarts, slices.Clone(j.counts))
	}
	ruling := Result{Calls: j.newCalls, Needed: j.RequiredCalls()}
	logs := make([]float64, len(j.counts))
	var windowLogs [maxWindows]float64 // 0, a ratio of 1, for windows that have not begun
	maxLog := math.Inf(-1)
	for k, start := range j.windowStarts {
		for n, c := range j.counts {
			logs[n] = j.logEvidence(badCounts{c.old - start[n].old, c.new - start[n].new})
			if logs[n] > maxLog {
				maxLog, ruling.Class, ruling.Kind = logs[n], n/int(kindCount), Kind(n%int(kindCount))
			}
		}
		windowLogs[k] = logMeanExp(logs)
	}
	switch {
	case logMeanExp(windowLogs[:]) >= -math.Log(j.cfg.FalseUndo):
		ruling.Verdict = Undo
	case since < j.cfg.Duration:
		return ruling
	case j.newCalls < ruling.Needed:
		ruling.Thin, ruling.Verdict = true, Keep
		if j.cfg.ThinUndo {
			ruling.Verdict = Undo
		}
	default:
		ruling.Verdict = Keep
	}
	j.result = &ruling
	return ruling
}
