package tackroster

import (
	"slices"

	"auburntack/core/tackbudget"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

// CheckTake returns nil if the VMs may all be taken out of service together now,
// and a refusal otherwise. The check is made when a change is applied: if only
// the proposer checked, two operators or waves could both take the last VM
// that the budget leaves free.
//
// A VM that is already out of service or known to be lost does not need room
// in the budget. A VM with unknown health may be serving, so it needs room
// although it does not count as available.
func (r *Roster) CheckTake(vms []tackid.VM) *tackentry.RefusedError {
	taken := make(map[tackid.VM]bool, len(vms))
	var pools []tackid.Pool
	for _, id := range vms {
		v := r.vms.Get(id)
		if v == nil {
			return tackentry.Refuse(tackentry.CodeMissing, "no vm %q", id)
		}
		if !v.Routable() || v.Health == HealthLost {
			continue
		}
		taken[id] = true
		if !slices.Contains(pools, v.Pool) {
			pools = append(pools, v.Pool)
		}
	}
	for _, pool := range pools {
		if refused := r.checkBudgets(pool, taken); refused != nil {
			return refused
		}
	}
	return nil
}

// checkBudgets returns a refusal if a budget on the pool would be broken
// without the taken VMs.
func (r *Roster) checkBudgets(pool tackid.Pool, taken map[tackid.VM]bool) *tackentry.RefusedError {
	count := r.count(pool, taken)
	for id, v := range r.services.All() {
		if v.Pool != pool || tackbudget.Shortfall(v.Budget, count) == 0 {
			continue
		}
		return tackentry.Refuse(tackentry.CodeBudget, "service %q needs %d available VMs of pool %q and would have %d (%d of them settling)",
			id, tackbudget.Required(v.Budget, count.Total), pool, count.Available, count.Available-count.Proven)
	}
	return nil
}

// Count returns the current counts of a pool's VMs, against which its budgets
// are checked.
func (r *Roster) Count(pool tackid.Pool) tackbudget.Count {
	return r.count(pool, nil)
}

func (r *Roster) count(pool tackid.Pool, taken map[tackid.VM]bool) tackbudget.Count {
	var count tackbudget.Count
	for _, id := range r.members[pool] {
		v := r.vms.Get(id)
		count.Add(tackbudget.VMStatus{
			Available: v.Available(),
			Settling:  v.State == VMSettling,
			Taken:     taken[id],
		})
	}
	return count
}
