package ident

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const rest = 10 * time.Second

func TestTakeAndGive(t *testing.T) {
	p := New(2, rest)
	seen := make(map[ID]bool)
	for n := range 2 * each {
		id, opened, ok := p.Take(0)
		if !ok || seen[id] || opened != (n%each == 0) || id.Socket != n/each {
			t.Fatalf("%d: %+v, opened %v, %v", n, id, opened, ok)
		}
		seen[id] = true
	}
	if _, _, ok := p.Take(0); ok || p.Out() != 2*each || p.Sockets() != 2 {
		t.Error("one more than there are")
	}
	late, answered := ID{0, 3}, ID{1, 4}
	p.Give(time.Second, late, false)
	if _, _, ok := p.Take(time.Second + rest - 1); ok {
		t.Error("used again while its late answer may come")
	}
	p.Give(time.Second, answered, true)
	if id, _, ok := p.Take(time.Second); !ok || id != answered {
		t.Errorf("%+v, %v", id, ok)
	}
	if id, _, ok := p.Take(time.Second + rest); !ok || id != late {
		t.Errorf("%+v, %v", id, ok)
	}
	if p = New(0, 0); p.most != 1 {
		t.Error("no socket at all")
	}
}

// In any order: none is out twice, none is used while it rests, and none is lost.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(2, rest)
		now := time.Duration(0)
		out := make(map[ID]bool)
		until := make(map[ID]time.Duration)
		var order []ID
		for range rapid.IntRange(1, 1500).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 || len(order) == 0 {
				id, _, ok := p.Take(now)
				if !ok {
					busy := len(out)
					for _, at := range until {
						if at > now {
							busy++
						}
					}
					if busy < 2*each {
						t.Fatalf("none left with %d busy", busy)
					}
					continue
				}
				if out[id] || now < until[id] {
					t.Fatalf("%+v given out at %v, rests until %v", id, now, until[id])
				}
				out[id] = true
				delete(until, id)
				order = append(order, id)
			} else {
				n := rapid.IntRange(0, len(order)-1).Draw(t, "which")
				id := order[n]
				order = append(order[:n], order[n+1:]...)
				delete(out, id)
				answered := rapid.Bool().Draw(t, "answered")
				if !answered {
					until[id] = now + rest
				}
				p.Give(now, id, answered)
			}
			if p.Out() != len(out) {
				t.Fatalf("%d out, %d are", p.Out(), len(out))
			}
		}
	})
}
