package fleet

import (
	"slices"
	"time"

	"chalkrack/internal/duration"
)

// Shrink leaves faults of a schedule out, and makes those that are left shorter, as long as
// breaks says that what is left breaks still. breaks may err on the side of what does not:
// a run of processes is no proof that there is nothing to find.
func Shrink(s *Schedule, breaks func(*Schedule) (bool, error)) (*Schedule, error) {
	try := func(change func(x *Schedule)) (bool, error) {
		less := *s
		less.Faults = slices.Clone(s.Faults)
		change(&less)
		broken, err := breaks(&less)
		if broken && err == nil {
			s = &less
		}
		return broken, err
	}
	for n := 0; n < len(s.Faults); {
		out, err := try(func(x *Schedule) { x.Faults = slices.Delete(x.Faults, n, n+1) })
		if err != nil {
			return s, err
		}
		if !out {
			n++
		}
	}
	for n := range s.Faults {
		for s.Faults[n].For > duration.Duration(shrinkLeast) {
			shorter, err := try(func(x *Schedule) { x.Faults[n].For /= 2 })
			if err != nil {
				return s, err
			}
			if !shorter {
				break
			}
		}
	}
	return s, nil
}

// shrinkLeast is how short a fault is made at the least.
const shrinkLeast = 400 * time.Millisecond
