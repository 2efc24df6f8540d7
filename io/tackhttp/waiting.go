package tackhttp

// Waiting reports whether any request waits for a slot. If so, shares are
// requested immediately instead of at the next interval.
func (h *Handler) Waiting() bool {
	for _, s := range h.allServices() {
		s.mu.Lock()
		waiting := s.gate.Waiting() > 0
		s.mu.Unlock()
		if waiting {
			return true
		}
	}
	return false
}
