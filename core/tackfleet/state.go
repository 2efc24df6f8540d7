// Package tackfleet is the state machine that the replicated log drives: VMs,
// pools, services and their budgets, quotas, settings, waves and tasks. The
// same changes in the same order give the same state on every peer.
package tackfleet

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// State is the fleet at one revision. Its zero value is an empty fleet. It is
// not safe for concurrent use; what the query methods return must not be
// changed by the caller and holds until the next Apply.
type State struct{}

// Apply takes the change at revision into the state. The time is the log
// entry's. It never fails: a change that may not take effect is refused by
// the result, the same way on every peer.
func (s *State) Apply(revision tackid.Revision, now tackclock.Time, c Change) Result {
	return Result{Revision: revision}
}
