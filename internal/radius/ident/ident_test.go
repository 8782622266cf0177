package ident

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const restTime = 10 * time.Second

// Identifiers must be given out once each, on as few sockets as possible. After an answer, an
// identifier can be used again at once; without an answer only after restTime, or a late answer
// could be taken for that of another request with the same identifier.
func TestAcquireAndRelease(t *testing.T) {
	pool := New(2, restTime)
	seen := make(map[ID]bool)
	for n := range 2 * identifiersPerSocket {
		id, opened, ok := pool.Acquire(0)
		if !ok || seen[id] || opened != (n%identifiersPerSocket == 0) || id.Socket != n/identifiersPerSocket {
			t.Fatalf("identifier %d: %+v, opened %v, ok %v", n, id, opened, ok)
		}
		seen[id] = true
	}
	if _, _, ok := pool.Acquire(0); ok || pool.InUse() != 2*identifiersPerSocket || pool.Sockets() != 2 {
		t.Error("more identifiers than two sockets have, or wrong totals")
	}
	late, answered := ID{0, 3}, ID{1, 4}
	pool.Release(time.Second, late, false)
	if _, _, ok := pool.Acquire(time.Second + restTime - 1); ok {
		t.Error("an identifier was used again while a late answer may come")
	}
	pool.Release(time.Second, answered, true)
	if id, _, ok := pool.Acquire(time.Second); !ok || id != answered {
		t.Errorf("after an answer: got %+v, ok %v, want the released one", id, ok)
	}
	if id, _, ok := pool.Acquire(time.Second + restTime); !ok || id != late {
		t.Errorf("after the rest: got %+v, ok %v, want the rested one", id, ok)
	}
	if pool = New(0, 0); pool.maxSockets != 1 {
		t.Error("a limit of 0 sockets did not become 1")
	}
}

// In any order of calls, no identifier may be in use twice, be used while it rests, or be lost.
func TestIdentifiersAreNeverSharedOrLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := New(2, restTime)
		now := time.Duration(0)
		inUse := make(map[ID]bool)
		until := make(map[ID]time.Duration)
		var order []ID
		for range rapid.IntRange(1, 1500).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 || len(order) == 0 {
				id, _, ok := pool.Acquire(now)
				if !ok {
					busy := len(inUse)
					for _, at := range until {
						if at > now {
							busy++
						}
					}
					if busy < 2*identifiersPerSocket {
						t.Fatalf("no identifier left with only %d in use or resting", busy)
					}
					continue
				}
				if inUse[id] || now < until[id] {
					t.Fatalf("%+v allocated at %v, in use or resting until %v", id, now, until[id])
				}
				inUse[id] = true
				delete(until, id)
				order = append(order, id)
			} else {
				n := rapid.IntRange(0, len(order)-1).Draw(t, "which")
				id := order[n]
				order = append(order[:n], order[n+1:]...)
				delete(inUse, id)
				answered := rapid.Bool().Draw(t, "answered")
				if !answered {
					until[id] = now + restTime
				}
				pool.Release(now, id, answered)
			}
			if pool.InUse() != len(inUse) {
				t.Fatalf("%d identifiers in use, want %d", pool.InUse(), len(inUse))
			}
		}
	})
}
