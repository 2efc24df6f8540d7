package tackroster

import (
	"slices"

	"auburntack/core/tackbudget"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

// CanTake reports whether the VMs may all be taken out of service now,
// together; nil means that they may. It is asked where a change is applied: a
// check made earlier, by whoever proposes, would let two operators or waves
// that both saw the last free VM take one each.
//
// A VM that is out of service already, or that is known to be lost, takes
// nothing away. One whose health is unknown may be serving, so it needs room
// in the budget although it does not count as available.
func (r *Roster) CanTake(vms []tackid.VM) *tackentry.RefusedError {
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
		if refused := r.budgetsHold(pool, taken); refused != nil {
			return refused
		}
	}
	return nil
}

// budgetsHold refuses if a budget on the pool would break without the taken
// VMs.
func (r *Roster) budgetsHold(pool tackid.Pool, taken map[tackid.VM]bool) *tackentry.RefusedError {
	count := r.count(pool, taken)
	for id, v := range r.services.All() {
		if v.Pool != pool || tackbudget.Short(v.Budget, count) == 0 {
			continue
		}
		return tackentry.Refuse(tackentry.CodeBudget, "service %q needs %d available VMs of pool %q and would have %d (%d of them settling)",
			id, tackbudget.Required(v.Budget, count.Total), pool, count.Available, count.Available-count.Proven)
	}
	return nil
}

// Count returns how the VMs of a pool stand towards its budgets now.
func (r *Roster) Count(pool tackid.Pool) tackbudget.Count {
	return r.count(pool, nil)
}

func (r *Roster) count(pool tackid.Pool, taken map[tackid.VM]bool) tackbudget.Count {
	var count tackbudget.Count
	for _, id := range r.members[pool] {
		v := r.vms.Get(id)
		count.Add(tackbudget.Standing{
			Available: v.Available(),
			Settling:  v.State == VMSettling,
			Taken:     taken[id],
		})
	}
	return count
}
