package figures

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Over random lives each request that was taken is counted at one end, or is outstanding.
func TestEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := []string{"a", "b"}
		f := New(classes)
		var open []*Request
		taken := 0
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := new(Request)
				class := rapid.SampledFrom([]string{"a", "b", "none"}).Draw(t, "class")
				f.Take(r, class)
				f.Take(r, "a") // once only
				if class != "none" || r.f != nil {
					taken++
				}
				open = append(open, r)
			case 2:
				if len(open) > 0 {
					r := open[0]
					r.Over(End(rapid.IntRange(0, int(ends)-1).Draw(t, "how")))
					r.Over(Succeeded) // counts no more
					open = open[1:]
				}
			case 3:
				new(Request).Over(Aborted) // never taken
			}
			sum := f.Outstanding()
			for _, c := range classes {
				for how := range ends {
					sum += f.Count(c, how)
				}
			}
			if sum != int64(taken) {
				t.Fatalf("%d counted of %d taken", sum, taken)
			}
			if f.Outstanding() < 0 {
				t.Fatal("less than none outstanding")
			}
		}
	})
}

func TestForm(t *testing.T) {
	f := New([]string{"activate", "status-check"})
	var r, left Request
	f.Take(&r, "activate")
	f.Take(&left, "status-check")
	r.Over(Declined)
	f.Forwarded()
	f.Read(true)
	f.Read(false)
	f.Read(false)
	got := string(f.Append(nil, Members{Discovered: 7, Ejected: 2}))
	for _, want := range []string{"succeeded.activate=0", "declined.activate=1", "aborted.status-check=0", "forwards=1", "outstanding=1", "discovered=7", "ejected=2", "sighup_applied=1", "sighup_rejected=2"} {
		if !strings.Contains(got, fmt.Sprintf("balancer.%s\n", want)) {
			t.Errorf("no %s in\n%s", want, got)
		}
	}
	var none *Figures
	none.Take(new(Request), "activate") // nobody counts
	none.Forwarded()
	none.Read(true)
}
