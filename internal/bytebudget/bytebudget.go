// Package bytebudget bounds the bytes that the users of a budget hold in memory together.
package bytebudget

import "sync"

// Budget is a bound on bytes. Its methods may be called from any goroutine and don't block.
type Budget struct {
	mu    sync.Mutex
	limit int64 // of all processes that share it
	parts int64 // equal shares of limit, of which this process has one
	used  int64
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, parts: 1} }

// Reserve takes n bytes, and reports false and takes none if fewer are left.
func (b *Budget) Reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit/b.parts {
		return false
	}
	b.used += n
	return true
}

// Release returns n bytes that were taken.
func (b *Budget) Release(n int64) {
	if n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// SetLimit changes the limit. If more bytes are taken already, none are given until enough have been
// returned.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Divide makes the Budget one of parts equal shares of its limit.
func (b *Budget) Divide(parts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts = int64(max(1, parts))
}

// Used returns how many bytes are taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
