package httphead

import (
	"sync"
	"time"

	"chalkrack/internal/headpolicy"
)

// DefaultBudgetBytes is the limit of a Budget whose owner states none.
const DefaultBudgetBytes = 4 << 20

// Budget bounds the memory of all long heads that share it. Its methods may be called from any
// goroutine.
type Budget struct {
	mu     sync.Mutex
	limit  int64 // bytes, undivided
	policy *headpolicy.Budget
}

// NewBudget returns a Budget of limit bytes; 0 means DefaultBudgetBytes.
func NewBudget(limit int64) *Budget {
	if limit == 0 {
		limit = DefaultBudgetBytes
	}
	return &Budget{limit: limit, policy: headpolicy.NewBudget(limit)}
}

// Divide sets the limit to one of parts equal shares of the limit that NewBudget got, for processes
// that share it.
func (b *Budget) Divide(parts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.SetLimit(b.limit / int64(max(1, parts)))
	b.admit()
}

// Used returns how many bytes the long heads hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Used()
}

// Waiting returns the number of heads that wait for room.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Waiting()
}

// admit wakes the heads that have got room. The caller holds b.mu.
func (b *Budget) admit() {
	for _, h := range b.policy.Admit() {
		h.Owner.(*Reservation).signal()
	}
}

// Reservation is the room of one long head. Grow and Resize belong to one goroutine; the other
// methods may be called from any goroutine, and do nothing on a nil Reservation.
type Reservation struct {
	budget *Budget
	wake   chan struct{} // receives when a wait of Grow ends; has room for one
	// Guarded by the lock of the budget.
	head        headpolicy.Head
	isCancelled bool
}

// Reserve returns a Reservation that holds nothing yet.
func (b *Budget) Reserve() *Reservation {
	r := &Reservation{budget: b, wake: make(chan struct{}, 1)}
	r.head.Owner = r
	return r
}

// Grow reserves size bytes in all for a head that is still arriving. Without room it blocks until
// there is some, until deadline or until Cancel, and reports false in the last two cases.
func (r *Reservation) Grow(size int64, deadline time.Time) bool {
	if r.startGrowing(size) {
		return true
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-r.wake:
	case <-timer.C:
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.StopWaiting(&r.head)
	select {
	case <-r.wake: // the wait ended at the deadline and in another way at once
	default:
	}
	return r.head.Held() >= size
}

// startGrowing reserves size bytes, or else enters the wait for them unless the Reservation is
// cancelled.
func (r *Reservation) startGrowing(size int64) (reserved bool) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.policy.Grow(&r.head, size) {
		return true
	}
	if r.isCancelled {
		r.signal()
	} else {
		b.policy.Wait(&r.head, size)
	}
	return false
}

// signal ends the wait of Grow, if it has not been ended already. The caller holds the budget's lock.
func (r *Reservation) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// TryGrow is like Grow and never blocks.
func (r *Reservation) TryGrow(size int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Grow(&r.head, size)
}

// Resize reserves size bytes in all for a complete head, which may be less than before. It reports
// false if there is no room.
func (r *Reservation) Resize(size int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.policy.Resize(&r.head, size) {
		return false
	}
	b.admit()
	return true
}

// Cancel ends the wait of Grow, also a later one.
func (r *Reservation) Cancel() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.isCancelled = true
	if r.budget.policy.StopWaiting(&r.head) {
		r.signal()
	}
}

// Release returns all reserved bytes. Calls after the first one do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.policy.Release(&r.head)
	r.budget.admit()
}
