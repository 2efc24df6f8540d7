package tacklimit

import (
	"sync"

	"auburntack/core/tackid"
)

// Quotas limits the number of slots that each team holds at once over all Gates
// that share it. A team without a bound may hold any number. The zero value has
// no bounds. It is safe for concurrent use.
type Quotas struct {
	mu     sync.Mutex
	bounds map[tackid.Team]int
	held   map[tackid.Team]int
}

// Set replaces all bounds. A team that holds more than its new bound keeps its
// slots but gets no more until it is below the bound. With a bound of zero no
// request of the team starts.
func (q *Quotas) Set(bounds map[tackid.Team]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bounds = bounds
}

// Held returns the number of slots that the team holds.
func (q *Quotas) Held(team tackid.Team) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.held[team]
}

// bounded reports whether the team has a bound.
func (q *Quotas) bounded(team tackid.Team) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.bounds[team]
	return ok
}

// acquire counts one more slot for the team and reports whether its bound
// allows it.
func (q *Quotas) acquire(team tackid.Team) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if bound, ok := q.bounds[team]; ok && q.held[team] >= bound {
		return false
	}
	if q.held == nil {
		q.held = make(map[tackid.Team]int)
	}
	q.held[team]++
	return true
}

// release counts one slot less for the team.
func (q *Quotas) release(team tackid.Team) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held[team]--
	if q.held[team] == 0 {
		delete(q.held, team)
	}
}
