package zonal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chalkrack/internal/evacuation"
)

// FaultKind is the type of a Fault.
type FaultKind int

// Types of faults.
const (
	FaultZoneFails  FaultKind = iota // calls of all sidecars to Zone end in Result
	FaultCutOff                      // calls of sidecar Target to Zone end in Result
	FaultHalfCutOff                  // calls of the first half of the sidecars to Zone end in Result
	FaultPartition                   // no notes pass between the first Target sidecars and the others
	FaultNoteLoss                    // half of the notes are lost
	FaultStop                        // sidecar Target is suspended
	FaultKill                        // sidecar Target is killed, and started again at the end
	FaultOrder                       // sidecar Target is ordered to leave Zone; the end orders the return
	faultKindCount
)

// Fault is a fault of a simulated run, active from the time From until before the time To.
type Fault struct {
	Kind     FaultKind
	Zone     string
	From, To time.Duration
	Target   int // number of a sidecar; for FaultPartition, the size of the first part
	Result   evacuation.ResultKind
}

// String describes the fault in one line.
func (f Fault) String() string {
	description := [...]string{"zone %s fails, %v", "cut off from %s, %v", "half cut off from %s, %v", "parted", "half of the notes lost", "stopped", "killed", "ordered out of %s"}[f.Kind]
	switch f.Kind {
	case FaultZoneFails, FaultCutOff, FaultHalfCutOff:
		description = fmt.Sprintf(description, f.Zone, f.Result)
	case FaultOrder:
		description = fmt.Sprintf(description, f.Zone)
	}
	return fmt.Sprintf("%v to %v: %s (%d)", f.From.Round(time.Millisecond), f.To.Round(time.Millisecond), description, f.Target)
}

// warmup is the time from the start of a run to the first possible fault.
const warmup = 3 * time.Second

// DrawFaults returns one to five random faults, all within the first 34 seconds of a run.
func DrawFaults(rng *rand.Rand, sidecars int, zones []string) (faults []Fault) {
	for range 1 + rng.IntN(5) {
		f := Fault{Kind: FaultKind(rng.IntN(int(faultKindCount))), Zone: zones[rng.IntN(len(zones))], From: warmup + time.Duration(rng.Int64N(int64(20*time.Second))), Target: rng.IntN(sidecars),
			Result: []evacuation.ResultKind{evacuation.ResultConnectFailed, evacuation.ResultReset, evacuation.ResultLate, evacuation.ResultError}[rng.IntN(4)]}
		f.To = f.From + 300*time.Millisecond + time.Duration(rng.Int64N(int64(10*time.Second)))
		if f.Kind == FaultPartition {
			f.Target = 1 + rng.IntN(max(1, sidecars-1))
		}
		faults = append(faults, f)
	}
	return faults
}

// Outcome is the result of a run.
type Outcome struct {
	Violations []string          // violated invariants
	Departures map[string]uint32 // of the fleet, by zone
	SettleTime time.Duration     // time from the end of the last fault until all sidecars used all zones
	// LeaveTimes maps each zone that failed for all sidecars to the time until all had left it; -1
	// means that some had not left it by the end of the fault.
	LeaveTimes     map[string]time.Duration
	NotesPerSecond float64 // per sidecar and second
	BytesPerSecond float64 // length of the notes' parts for zones, per sidecar and second
}

// minVotes returns the number of sidecars whose votes are required for a departure.
func minVotes(c evacuation.Config, sidecars int) int {
	return max(1, min(c.MinWitnesses, (sidecars+1)/2))
}

// RunFaults runs the fleet with the given faults and reports violations: a departure of the fleet
// without a cause, or a zone that some sidecars do not use again after the end of the last fault.
func (w *World) RunFaults(faults []Fault) (outcome Outcome, err error) {
	sidecars := len(w.Sidecars)
	cfg := w.Sidecars[0].Config
	isActive := func(f Fault, k FaultKind) bool { return f.Kind == k && w.Now >= f.From && w.Now < f.To }
	w.CallResult = func(n int, s evacuation.Server) evacuation.ResultKind {
		for _, f := range faults {
			if f.Zone == s.Zone && (isActive(f, FaultZoneFails) || isActive(f, FaultCutOff) && n == f.Target || isActive(f, FaultHalfCutOff) && n < sidecars/2) {
				return f.Result
			}
		}
		return evacuation.ResultGood
	}
	w.IsReachable = func(from, to int) bool {
		for _, f := range faults {
			if isActive(f, FaultPartition) && (from < f.Target) != (to < f.Target) || isActive(f, FaultNoteLoss) && w.rng.IntN(2) == 0 {
				return false
			}
		}
		return true
	}
	caused, cutOff, lastEnd := make(map[string]bool), make(map[string]map[int]bool), warmup
	outcome.LeaveTimes, outcome.Departures = make(map[string]time.Duration), make(map[string]uint32)
	for _, f := range faults {
		lastEnd = max(lastEnd, f.To)
		switch f.Kind {
		case FaultZoneFails, FaultHalfCutOff, FaultOrder:
			caused[f.Zone] = true
		case FaultCutOff: // to the fleet, minVotes sidecars that are cut off look like a failing zone
			if cutOff[f.Zone] == nil {
				cutOff[f.Zone] = make(map[int]bool)
			}
			cutOff[f.Zone][f.Target] = true
			caused[f.Zone] = caused[f.Zone] || len(cutOff[f.Zone]) >= minVotes(cfg, sidecars)
		}
		w.scheduleFault(f, &outcome, &err)
	}
	w.Run(lastEnd)
	for _, z := range w.Zones {
		if outcome.Departures[z] = w.MaxDepartures(z); !caused[z] && outcome.Departures[z] > 0 {
			outcome.Violations = append(outcome.Violations, fmt.Sprintf("zone %s was left with no cause", z))
		}
	}
	// An order to return may not have reached the sidecar that holds the order to leave. It is
	// repeated, as an operator would do after a look at the status.
	w.Run(lastEnd + 10*time.Second)
	for _, z := range w.Zones {
		w.giveOrder(z, "return", func(c *Sidecar) bool { _, order := c.RecordAndOrder(z); return order.Action == evacuation.ActionLeave })
	}
	_, settled := w.RunUntil(3*cfg.MaxDwell, time.Second, func() bool {
		return !slices.ContainsFunc(w.Zones, func(z string) bool {
			n, _ := w.CountUsing(z)
			return n < sidecars || w.CountByStage(z)[evacuation.StageAll] < sidecars
		})
	})
	outcome.SettleTime = w.Now - lastEnd
	outcome.NotesPerSecond = float64(w.NoteCount) / float64(sidecars) / w.Now.Seconds()
	outcome.BytesPerSecond = float64(w.NoteBytes) / float64(sidecars) / w.Now.Seconds()
	if !settled {
		for _, z := range w.Zones {
			n, _ := w.CountUsing(z)
			outcome.Violations = append(outcome.Violations, fmt.Sprintf("zone %s: %v, used by %d of %d, %v after the last fault", z, w.CountByStage(z), n, sidecars, outcome.SettleTime))
		}
	}
	return outcome, err
}

// giveOrder gives an order to the first running sidecar for which isRecipient returns true.
func (w *World) giveOrder(zone, action string, isRecipient func(c *Sidecar) bool) {
	for _, c := range w.Sidecars {
		if !c.Dead && !c.Stopped && isRecipient(c) {
			c.SubmitOrder(w.Now, zone, action, "operator", "a rehearsal")
			return
		}
	}
}

// scheduleFault schedules the effects of a fault that CallResult and IsReachable do not cover.
func (w *World) scheduleFault(f Fault, outcome *Outcome, err *error) {
	c := w.Sidecars[f.Target]
	switch f.Kind {
	case FaultZoneFails:
		w.After(f.From, func() { w.measureDeparture(f, outcome) })
	case FaultStop:
		w.After(f.From, func() { w.SetStopped(f.Target, true) })
		w.After(f.To, func() { w.SetStopped(f.Target, false) })
	case FaultKill:
		w.After(f.From, func() { w.Kill(f.Target) })
		w.After(f.To, func() {
			if c.Dead {
				if e := w.Start(f.Target); e != nil && *err == nil {
					*err = e
				}
			}
		})
	case FaultOrder:
		w.After(f.From, func() { w.giveOrder(f.Zone, "leave", func(x *Sidecar) bool { return x == c }) })
		w.After(f.To, func() { w.giveOrder(f.Zone, "return", func(*Sidecar) bool { return true }) })
	}
}

// watchInterval is the resolution of LeaveTimes.
const watchInterval = 20 * time.Millisecond

// measureDeparture measures how long all sidecars take to leave a zone that fails.
func (w *World) measureDeparture(f Fault, outcome *Outcome) {
	if n, of := w.CountUsing(f.Zone); n == 0 && of > 0 {
		outcome.LeaveTimes[f.Zone] = max(outcome.LeaveTimes[f.Zone], w.Now-f.From)
		return
	}
	if w.Now >= f.To {
		if _, known := outcome.LeaveTimes[f.Zone]; !known {
			outcome.LeaveTimes[f.Zone] = -1
		}
		return
	}
	w.After(watchInterval, func() { w.measureDeparture(f, outcome) })
}

// RunRandomFaults runs a fleet with random faults, determined by seed. If an invariant is violated,
// it removes faults without which there is still a violation, and returns the remaining faults with
// their outcome.
func RunRandomFaults(cfg evacuation.Config, seed uint64, sidecars, serversPerZone int, zones ...string) (Outcome, []Fault, error) {
	faults := DrawFaults(rand.New(rand.NewPCG(seed, 9)), sidecars, zones)
	run := func(faults []Fault) (Outcome, error) {
		w, err := New(seed, cfg, sidecars, serversPerZone, zones...)
		if err != nil {
			return Outcome{}, err
		}
		w.Rate = func(n int) float64 {
			if n%4 == 3 { // sidecars with few calls are the harder case
				return 0.7
			}
			return 8
		}
		return w.RunFaults(faults)
	}
	outcome, err := run(faults)
	for n := 0; n < len(faults) && len(outcome.Violations) > 0 && err == nil; {
		fewer := slices.Delete(slices.Clone(faults), n, n+1)
		if fewerOutcome, e := run(fewer); e == nil && len(fewerOutcome.Violations) > 0 {
			faults, outcome = fewer, fewerOutcome
		} else {
			n++
		}
	}
	return outcome, faults, err
}
