package core

// WithoutBalancer takes the Balancer away, so that each event panics, until the
// function returned is called.
func (h *Host) WithoutBalancer() (back func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.b
	h.b = nil
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.b = b
	}
}
