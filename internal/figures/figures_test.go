package figures

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// In any order of calls each accepted request has exactly one end or is outstanding. It
// would be counted twice if a second CountRequest or CountEnd had an effect.
func TestEachRequestIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := []string{"a", "b"}
		f := New(classes)
		var open []*Request
		accepted := 0
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := new(Request)
				class := rapid.SampledFrom([]string{"a", "b", "none"}).Draw(t, "class")
				f.CountRequest(r, class)
				f.CountRequest(r, "a") // has no effect
				if class != "none" || r.figures != nil {
					accepted++
				}
				open = append(open, r)
			case 2:
				if len(open) > 0 {
					r := open[0]
					r.CountEnd(Outcome(rapid.IntRange(0, int(endCount)-1).Draw(t, "how")))
					r.CountEnd(Succeeded) // has no effect
					open = open[1:]
				}
			case 3:
				new(Request).CountEnd(Aborted) // never accepted
			}
			sum := f.Outstanding()
			for _, c := range classes {
				for how := range endCount {
					sum += f.Count(c, how)
				}
			}
			if sum != int64(accepted) {
				t.Fatalf("%d requests counted, %d accepted", sum, accepted)
			}
			if f.Outstanding() < 0 {
				t.Fatal("negative number of outstanding requests")
			}
		}
	})
}

// The last byte of a streamed body and the answer may be counted by two goroutines at the same
// time. Both count the request and one counts its end: it has to be counted once.
func TestConcurrentCallsCountARequestOnce(t *testing.T) {
	const requests = 2000
	f := New([]string{"activate"})
	for range requests {
		var r Request
		var both sync.WaitGroup
		begin := make(chan struct{})
		both.Go(func() {
			<-begin
			f.CountRequest(&r, "activate")
		})
		both.Go(func() {
			<-begin
			f.CountRequest(&r, "activate")
			r.CountEnd(Succeeded)
			if n := f.Outstanding(); n < 0 {
				t.Errorf("%d requests outstanding", n)
			}
		})
		close(begin)
		both.Wait()
	}
	if n := f.accepted.Load(); n != requests {
		t.Errorf("%d requests were counted as accepted, want %d", n, requests)
	}
	if n := f.Count("activate", Succeeded); n != requests {
		t.Errorf("%d ends were counted, want %d", n, requests)
	}
	if n := f.Outstanding(); n != 0 {
		t.Errorf("%d requests outstanding after all ended", n)
	}
}

func TestAppendFormat(t *testing.T) {
	f := New([]string{"activate", "status-check"})
	var r, left Request
	f.CountRequest(&r, "activate")
	f.CountRequest(&left, "status-check")
	r.CountEnd(Declined)
	f.CountForwarded()
	f.CountReload(true)
	f.CountReload(false)
	f.CountReload(false)
	got := string(f.Append(nil, ServerCounts{Discovered: 7, Ejected: 2}))
	for _, want := range []string{"succeeded.activate=0", "declined.activate=1", "aborted.status-check=0", "forwards=1", "outstanding=1", "discovered=7", "ejected=2", "sighup_applied=1", "sighup_rejected=2"} {
		if !strings.Contains(got, fmt.Sprintf("balancer.%s\n", want)) {
			t.Errorf("line %s is missing in\n%s", want, got)
		}
	}
	var none *Figures // methods of nil must not panic
	none.CountRequest(new(Request), "activate")
	none.CountForwarded()
	none.CountReload(true)
}

// Guards against requests of a class that a new configuration has added and that no counter shows:
// they are counted from then on, the counters of the other classes go on, and an open request of
// theirs ends where it was counted.
func TestLaterClassesAreCounted(t *testing.T) {
	f := New([]string{"a"})
	var early, unknown, late Request
	f.CountRequest(&early, "a")
	f.CountRequest(&unknown, "b")
	f.AddClasses([]string{"b", "a"})
	f.AddClasses([]string{"b"})
	f.CountRequest(&late, "b")
	if f.Outstanding() != 2 {
		t.Errorf("%d requests are outstanding, want 2", f.Outstanding())
	}
	for _, r := range []*Request{&early, &unknown, &late} {
		r.CountEnd(Succeeded)
	}
	if f.Count("a", Succeeded) != 1 || f.Count("b", Succeeded) != 1 || f.Outstanding() != 0 {
		t.Errorf("counted a %d, b %d, outstanding %d; want 1, 1, 0", f.Count("a", Succeeded), f.Count("b", Succeeded), f.Outstanding())
	}
	text := string(f.Append(nil, ServerCounts{}))
	for _, line := range []string{"balancer.succeeded.a=1\n", "balancer.succeeded.b=1\n", "balancer.aborted.b=0\n"} {
		if strings.Count(text, line) != 1 {
			t.Errorf("the page lacks %q: %s", line, text)
		}
	}
}
