// Package headpolicy decides how much memory the heads of HTTP messages may hold together. A head
// asks for room before it grows; one that finds none can wait for it. It has no I/O, clock or
// goroutines; callers serialize all calls with one lock.
//
// The largest size that a head may grow to falls with the room that is left (Choudhury and Hahne,
// Dynamic Queue Length Thresholds for Shared-Memory Packet Switches, IEEE/ACM ToN 6(2), 1998). So
// many long heads leave room for shorter ones, whoever came first.
package headpolicy

import "slices"

const (
	// reserveFactor is how many times the size of a growing head has to stay free beside it.
	reserveFactor = 8
	// MinLimit is the least limit of a Budget, in bytes: a single head of 64 KiB always fits.
	MinLimit = (reserveFactor + 1) * 64 << 10
)

// Head is the record of one head. The zero value holds no room.
type Head struct {
	Owner any // set and used only by the caller

	held      int64 // bytes
	wanted    int64 // bytes that it waits to hold
	isWaiting bool
}

// Held returns how many bytes the head holds.
func (h *Head) Held() int64 { return h.held }

// Budget divides a limited number of bytes among heads.
type Budget struct {
	limit, used int64
	waiting     []*Head // in the order of their arrival
}

// NewBudget returns a Budget of limit bytes, at least MinLimit.
func NewBudget(limit int64) *Budget { return &Budget{limit: max(limit, MinLimit)} }

// Used returns how many bytes all heads hold.
func (b *Budget) Used() int64 { return b.used }

// Waiting returns the number of heads that wait for room.
func (b *Budget) Waiting() int { return len(b.waiting) }

// Grow lets a head that is still arriving hold size bytes, and reports whether there is room.
func (b *Budget) Grow(h *Head, size int64) bool {
	if !b.mayGrow(h, size) {
		return false
	}
	b.hold(h, size)
	return true
}

// mayGrow reports whether a head that is still arriving may hold size bytes.
func (b *Budget) mayGrow(h *Head, size int64) bool {
	return size <= h.held || b.limit-b.used+h.held-size >= reserveFactor*size
}

// Resize lets a complete head hold size bytes, and reports whether there is room. A complete head
// may also use the room that Grow keeps free. If size is less than the head holds, the caller must
// call Admit.
func (b *Budget) Resize(h *Head, size int64) bool {
	if size > h.held && b.used-h.held+size > b.limit {
		return false
	}
	b.hold(h, size)
	return true
}

func (b *Budget) hold(h *Head, size int64) {
	b.used += size - h.held
	h.held = size
}

// Wait makes a head wait until it may hold size bytes. Admit returns it then.
func (b *Budget) Wait(h *Head, size int64) {
	h.wanted, h.isWaiting = size, true
	b.waiting = append(b.waiting, h)
}

// StopWaiting ends the wait of a head, and reports false if it was not waiting.
func (b *Budget) StopWaiting(h *Head) bool {
	if !h.isWaiting {
		return false
	}
	h.isWaiting = false
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Head) bool { return other == h })
	return true
}

// Release returns all that a head holds, and ends its wait. The caller must call Admit.
func (b *Budget) Release(h *Head) {
	b.StopWaiting(h)
	b.hold(h, 0)
}

// SetLimit changes the limit to limit bytes, at least MinLimit. If more is held already, no head
// grows until enough was released. The caller must call Admit.
func (b *Budget) SetLimit(limit int64) { b.limit = max(limit, MinLimit) }

// Admit gives room to the waiting heads that may grow now, in the order of their arrival, and
// returns them.
func (b *Budget) Admit() (admitted []*Head) {
	for _, h := range b.waiting {
		if b.mayGrow(h, h.wanted) {
			b.hold(h, h.wanted)
			h.isWaiting = false
			admitted = append(admitted, h)
		}
	}
	if admitted != nil {
		b.waiting = slices.DeleteFunc(b.waiting, func(h *Head) bool { return !h.isWaiting })
	}
	return admitted
}
