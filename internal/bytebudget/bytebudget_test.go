package bytebudget

import "testing"

func TestBudgetKeepsItsLimit(t *testing.T) {
	b := New(10)
	if !b.Reserve(6) || b.Reserve(5) || !b.Reserve(4) || b.Used() != 10 {
		t.Errorf("%d of 10 bytes used", b.Used())
	}
	b.SetLimit(5)
	b.Release(6)
	b.Release(0)
	if b.Reserve(2) || !b.Reserve(1) || b.Used() != 5 {
		t.Errorf("%d of 5 bytes used after the limit was lowered", b.Used())
	}
}

func TestDividedBudgetKeepsItsShare(t *testing.T) {
	b := New(10)
	b.Divide(2)
	if b.Reserve(6) || !b.Reserve(5) {
		t.Error("half of 10 bytes is not 5")
	}
	if b.Divide(1); b.Reserve(6) || !b.Reserve(5) {
		t.Error("the whole is not given back")
	}
	if b.Divide(0); b.Used() != 10 {
		t.Errorf("%d bytes used, want 10", b.Used())
	}
}
