package core

import (
	"fmt"
	"testing"
	"time"
)

// A mark is known for marksFor at least and twice that at most, and however many come,
// no more than two generations are held.
func TestMarks(t *testing.T) {
	var m marks
	if m.again("a", "1", 0) || !m.again("a", "1", marksFor-1) || m.again("a", "2", 1) || m.again("b", "1", 1) {
		t.Error("told apart by call and attempt")
	}
	m = marks{}
	m.again("a", "1", 0)
	if m.again("other", "1", marksFor); !m.again("a", "1", 2*marksFor-1) {
		t.Error("forgotten in time")
	}
	m = marks{}
	m.again("a", "1", 0)
	m.again("b", "1", marksFor)
	m.again("c", "1", 2*marksFor)
	if m.again("a", "1", 2*marksFor) {
		t.Error("remembered for ever")
	}
	m = marks{}
	for n := range 5 * marksEach {
		m.again(fmt.Sprint(n), "1", time.Duration(n))
		if len(m.now)+len(m.old) > 2*marksEach {
			t.Fatalf("%d held", len(m.now)+len(m.old))
		}
	}
	if !m.again(fmt.Sprint(5*marksEach-marksEach+1), "1", 0) {
		t.Error("the last ones are forgotten")
	}
}
