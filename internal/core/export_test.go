package core

// WithoutBalancer removes the Balancer, so that each event panics, until the returned
// function is called.
func (h *Host) WithoutBalancer() (back func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.balancer
	h.balancer = nil
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.balancer = b
	}
}
