package generation

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkGenerations is what a further generation of 3 and of 64 classes holds, and what
// a stamp costs with and without a trial.
// go test ./internal/generation -run '^$' -bench Generations
func BenchmarkGenerations(b *testing.B) {
	for _, n := range []int{3, 64} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("class-", i))
		}
		m, err := New(made(b, 1, names, nil))
		if err != nil {
			b.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		next := made(b, 2, names, nil)
		if _, err := m.Begin(0, next, testBake, 1); err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
		for name, v := range map[string]*View{"alone": {Current: next}, "trial": m.View()} {
			b.Run(fmt.Sprintf("%d-classes/%s", n, name), func(b *testing.B) {
				for i := range b.N {
					if v.Stamp(uint64(i)).Gen == nil {
						b.Fatal("no generation")
					}
				}
				b.ReportMetric(held, "B/trial")
			})
		}
		runtime.KeepAlive(m)
	}
}
