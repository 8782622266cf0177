package httphead

import (
	"testing"
	"testing/synctest"
	"time"

	"chalkrack/internal/headpolicy"
)

const longHead = 64 << 10 // bytes

// fill returns a Budget whose only room for a long head is taken.
func fill(t *testing.T) (*Budget, *Reservation) {
	t.Helper()
	b := NewBudget(headpolicy.MinLimit)
	first := b.Reserve()
	if !first.TryGrow(longHead) {
		t.Fatal("no room for the first long head")
	}
	return b, first
}

// A head waits for room until another one releases it.
func TestGrowWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, first := fill(t)
		second := b.Reserve()
		done := make(chan bool, 1)
		go func() { done <- second.Grow(longHead, time.Now().Add(time.Hour)) }()
		synctest.Wait()
		if b.Waiting() != 1 {
			t.Fatal("the second head does not wait")
		}
		first.Release()
		first.Release()
		if !<-done || b.Used() != longHead {
			t.Errorf("the second head got no room; %d bytes are in use", b.Used())
		}
		second.Release()
		if b.Used() != 0 {
			t.Errorf("%d bytes are in use after both were released", b.Used())
		}
	})
}

// A wait ends at its deadline, and by Cancel, also if that came first. Nothing stays reserved.
func TestGrowGivesUp(t *testing.T) {
	for name, cancelAfter := range map[string]time.Duration{"deadline": time.Hour, "cancelled": time.Second, "cancelled before": -1} {
		synctest.Test(t, func(t *testing.T) {
			b, first := fill(t)
			second := b.Reserve()
			if cancelAfter < 0 {
				second.Cancel()
			} else {
				timer := time.AfterFunc(cancelAfter, second.Cancel)
				defer timer.Stop()
			}
			began := time.Now()
			if second.Grow(longHead, began.Add(2*time.Second)) {
				t.Errorf("%s: the second head got room", name)
			}
			if want := min(max(cancelAfter, 0), 2*time.Second); time.Since(began) != want {
				t.Errorf("%s: waited %v, want %v", name, time.Since(began), want)
			}
			if b.Waiting() != 0 || b.Used() != longHead {
				t.Errorf("%s: %d heads wait and %d bytes are in use", name, b.Waiting(), b.Used())
			}
			first.Release()
			second.Release()
			if b.Used() != 0 {
				t.Errorf("%s: %d bytes are in use at the end", name, b.Used())
			}
		})
	}
}

// Processes that share a budget divide it; a share that grows again admits the heads that wait.
func TestDividedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(4 * headpolicy.MinLimit)
		b.Divide(4)
		first, second := b.Reserve(), b.Reserve()
		if !first.TryGrow(longHead) || second.TryGrow(longHead) {
			t.Fatal("a quarter of the budget does not have room for exactly one long head")
		}
		done := make(chan bool, 1)
		go func() { done <- second.Grow(longHead, time.Now().Add(time.Hour)) }()
		synctest.Wait()
		b.Divide(1)
		if !<-done {
			t.Error("the waiting head got no room of the whole budget")
		}
	})
}

// A nil Reservation is one of a head that needs no room.
func TestNilReservation(t *testing.T) {
	var r *Reservation
	r.Cancel()
	r.Release()
}
