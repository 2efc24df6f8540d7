package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackquota"
	"auburntack/core/tackroom"
)

// heldAccounts holds, for each account with steps in partitionHeld, the least of each
// resource that an item of these steps needs.
//
// Load pattern: the caps of workspaces with thousands of waiting steps are lowered, and
// workers have room. If the heartbeat of each of them went over these steps, of which the
// cap lets none start, the leader would be busy with nothing else.
type heldAccounts map[*tackquota.Account]tackroom.Resources

// add includes a step, if it is in partitionHeld.
func (h *heldAccounts) add(s *openStep) {
	if s.partition&partitionHeld == 0 {
		return
	}
	if *h == nil {
		*h = make(heldAccounts)
	}
	least, known := (*h)[s.job.account]
	if !known {
		least = s.Resources
	}
	(*h)[s.job.account] = least.Min(s.Resources)
}

// mayStart reports whether the caps may now let an item of these steps start.
func (h heldAccounts) mayStart(now tackclock.Time) bool {
	for account, least := range h {
		if !account.CapReached(now, least) {
			return true
		}
	}
	return false
}

// startsHeld reports whether the worker may start items of the steps in partitionHeld.
func (d *Dispatcher) startsHeld(now tackclock.Time, p *pool, w *worker) bool {
	if len(p.held) == 0 || p.held.mayStart(now) {
		return true
	}
	p.passedOver = p.passedOver || p.steps.Fits(w.room().MilliCores, func(partition int) bool { return partition&partitionHeld != 0 })
	return false
}
