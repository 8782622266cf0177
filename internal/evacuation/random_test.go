package evacuation_test

import (
	"os"
	"strconv"
	"testing"

	"chalkrack/internal/evacuation"
	"chalkrack/internal/lab/zonal"
)

// In random fault schedules no zone may be left without a cause, and each run must end in
// agreement. FAWN_ZONES sets the number of schedules, FAWN_ZONES_FROM the first seed.
func TestRandomFaultSchedules(t *testing.T) {
	schedules := 60
	if n, err := strconv.Atoi(os.Getenv("FAWN_ZONES")); err == nil {
		schedules = n
	}
	from, _ := strconv.Atoi(os.Getenv("FAWN_ZONES_FROM"))
	for seed := uint64(from); seed < uint64(from+schedules); seed++ {
		sidecars := 3 + int(seed*7%14)
		if outcome, faults, err := zonal.RunRandomFaults(evacuation.Default(), seed, sidecars, 2, "a", "b", "c"); err != nil || len(outcome.Violations) > 0 {
			t.Errorf("seed %d, %d sidecars: error %v, violations %v, faults %v", seed, sidecars, err, outcome.Violations, faults)
		}
	}
}
