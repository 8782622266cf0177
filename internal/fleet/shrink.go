package fleet

import (
	"slices"
	"time"

	"chalkrack/internal/duration"
)

// Shrink returns a smaller schedule that still breaks a rule. It removes faults and shortens the
// remaining ones as long as breaks reports true. breaks may report false for a schedule that can
// break a rule, since a run of processes may miss a violation; the result is then less small.
func Shrink(s *Schedule, breaks func(*Schedule) (bool, error)) (*Schedule, error) {
	tryChange := func(change func(candidate *Schedule)) (bool, error) {
		candidate := *s
		candidate.Faults = slices.Clone(s.Faults)
		change(&candidate)
		stillBreaks, err := breaks(&candidate)
		if stillBreaks && err == nil {
			s = &candidate
		}
		return stillBreaks, err
	}
	for n := 0; n < len(s.Faults); {
		removed, err := tryChange(func(candidate *Schedule) { candidate.Faults = slices.Delete(candidate.Faults, n, n+1) })
		if err != nil {
			return s, err
		}
		if !removed {
			n++
		}
	}
	for n := range s.Faults {
		for s.Faults[n].For > duration.Duration(shortFaultLength) {
			stillBreaks, err := tryChange(func(candidate *Schedule) { candidate.Faults[n].For /= 2 })
			if err != nil {
				return s, err
			}
			if !stillBreaks {
				break
			}
		}
	}
	return s, nil
}

// shortFaultLength is the length up to which Shrink does not shorten a fault further.
const shortFaultLength = 400 * time.Millisecond
