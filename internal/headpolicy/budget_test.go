package headpolicy

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Random heads grow, wait, are resized and released. The room that they hold never exceeds the
// limit, and no head waits that could grow.
func TestBudgetKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(MinLimit, 4*MinLimit).Draw(t, "limit"))
		b := NewBudget(limit)
		heads := make([]*Head, rapid.IntRange(1, 40).Draw(t, "heads"))
		for n := range heads {
			heads[n] = new(Head)
		}
		sizes := rapid.SampledFrom([]int64{8 << 10, 16 << 10, 32 << 10, 64 << 10, 100 << 10})
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			h := rapid.SampledFrom(heads).Draw(t, "head")
			size := sizes.Draw(t, "size")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				if !h.isWaiting && !b.Grow(h, size) {
					b.Wait(h, size)
				}
			case 2:
				if !h.isWaiting {
					b.Resize(h, size)
				}
			case 3:
				b.Release(h)
			case 4:
				b.StopWaiting(h)
			}
			for _, h := range b.Admit() {
				if h.isWaiting || h.Held() < h.wanted {
					t.Fatalf("admitted head %+v holds less than it waited for", h)
				}
			}
			checkBudget(t, b, heads, limit)
		}
		for _, h := range heads {
			b.Release(h)
		}
		if b.Used() != 0 || b.Waiting() != 0 {
			t.Errorf("%d bytes in use and %d heads wait after all were released", b.Used(), b.Waiting())
		}
	})
}

func checkBudget(t *rapid.T, b *Budget, heads []*Head, limit int64) {
	sum, waiting := int64(0), 0
	for _, h := range heads {
		sum += h.Held()
		if h.isWaiting {
			waiting++
			if b.mayGrow(h, h.wanted) {
				t.Fatalf("head %+v waits for room that is free", h)
			}
		}
	}
	if sum != b.Used() || waiting != b.Waiting() {
		t.Fatalf("%d bytes in use and %d heads wait, counted %d and %d", b.Used(), b.Waiting(), sum, waiting)
	}
	if sum > limit {
		t.Fatalf("heads hold %d bytes of %d", sum, limit)
	}
}

// However many long heads arrive first, a shorter one finds room.
func TestLongHeadsLeaveRoomForShorterOnes(t *testing.T) {
	b := NewBudget(2 << 20)
	var long int
	for b.Grow(new(Head), 64<<10) {
		long++
	}
	if long < 16 {
		t.Errorf("%d heads of 64 KiB find room in 2 MiB, want 16 or more", long)
	}
	for _, size := range []int64{32 << 10, 16 << 10, 8 << 10} {
		if !b.Grow(new(Head), size) {
			t.Errorf("a head of %d bytes finds no room beside long ones", size)
		}
	}
}

// Heads that wait are admitted in the order of their arrival, as room becomes free.
func TestWaitingHeadsAreAdmittedInOrder(t *testing.T) {
	b := NewBudget(MinLimit)
	first, second, third := new(Head), new(Head), new(Head)
	if !b.Grow(first, 64<<10) {
		t.Fatal("the least limit has no room for a head of 64 KiB")
	}
	for _, h := range []*Head{second, third} {
		if b.Grow(h, 64<<10) {
			t.Fatal("a further head of 64 KiB finds room in the least limit")
		}
		b.Wait(h, 64<<10)
	}
	b.Release(first)
	if got := b.Admit(); !slices.Equal(got, []*Head{second}) {
		t.Errorf("admitted %v, want the second head alone", got)
	}
	b.SetLimit(2 * MinLimit)
	if got := b.Admit(); !slices.Equal(got, []*Head{third}) {
		t.Errorf("admitted %v at a higher limit, want the third head", got)
	}
}

// A complete head may use the room that is kept free of heads that are still arriving, up to the
// limit.
func TestCompleteHeadsMayUseAllRoom(t *testing.T) {
	b := NewBudget(MinLimit)
	h := new(Head)
	if b.Grow(h, 100<<10) {
		t.Error("an incomplete head of 100 KiB finds room in the least limit")
	}
	if !b.Resize(h, MinLimit) || b.Resize(new(Head), 1) {
		t.Error("complete heads do not get exactly the limit")
	}
}
