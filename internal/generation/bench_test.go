package generation

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkGenerations measures the heap that a second generation with 3 and with 64
// classes takes, and the time to stamp a call with and without a trial.
// go test ./internal/generation -run '^$' -bench Generations
func BenchmarkGenerations(b *testing.B) {
	for _, n := range []int{3, 64} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("class-", i))
		}
		m, err := New(newTestGeneration(b, 1, names, nil))
		if err != nil {
			b.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		next := newTestGeneration(b, 2, names, nil)
		if _, err := beginTrial(m, next, testTrialConfig, 1); err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		heldBytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
		for name, v := range map[string]*View{"alone": {Current: next}, "trial": m.View()} {
			b.Run(fmt.Sprintf("%d-classes/%s", n, name), func(b *testing.B) {
				for i := range b.N {
					if v.Stamp(uint64(i)).Gen == nil {
						b.Fatal("no generation")
					}
				}
				b.ReportMetric(heldBytes, "B/trial")
			})
		}
		runtime.KeepAlive(m)
	}
}
