package tackhttp

// Waiting reports whether requests wait for a slot, so that shares are asked
// for at once rather than at the next turn.
func (h *Handler) Waiting() bool {
	for _, s := range h.all() {
		s.mu.Lock()
		waiting := s.gate.Waiting() > 0
		s.mu.Unlock()
		if waiting {
			return true
		}
	}
	return false
}
