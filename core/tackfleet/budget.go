package tackfleet

import (
	"slices"

	"auburntack/core/tackbudget"
	"auburntack/core/tackid"
)

// CanTake reports whether the VMs may all be taken out of service now,
// together; nil means that they may. Apply itself asks it, at the revision of
// the change: a check made earlier, by whoever proposes, would let two
// operators or waves that both saw the last free VM take one each.
//
// A VM that is out of service already, or that is known to be lost, takes
// nothing away. One whose health is unknown may be serving, so it needs room
// in the budget although it does not count as available.
func (s *State) CanTake(vms []tackid.VM) *RefusedError {
	taken := make(map[tackid.VM]bool, len(vms))
	var pools []tackid.Pool
	for _, id := range vms {
		v := s.vms.Get(id)
		if v == nil {
			return refuse(CodeMissing, "no vm %q", id)
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
		if refused := s.budgetsHold(pool, taken); refused != nil {
			return refused
		}
	}
	return nil
}

// budgetsHold refuses if a budget on the pool would break without the taken
// VMs.
func (s *State) budgetsHold(pool tackid.Pool, taken map[tackid.VM]bool) *RefusedError {
	count := s.count(pool, taken)
	for id, v := range s.services.All() {
		if v.Pool != pool || tackbudget.Short(v.Budget, count) == 0 {
			continue
		}
		return refuse(CodeBudget, "service %q needs %d available VMs of pool %q and would have %d (%d of them settling)",
			id, tackbudget.Required(v.Budget, count.Total), pool, count.Available, count.Available-count.Proven)
	}
	return nil
}

// Count returns how the VMs of a pool stand towards its budgets now.
func (s *State) Count(pool tackid.Pool) tackbudget.Count {
	return s.count(pool, nil)
}

func (s *State) count(pool tackid.Pool, taken map[tackid.VM]bool) tackbudget.Count {
	var count tackbudget.Count
	for _, id := range s.members[pool] {
		v := s.vms.Get(id)
		count.Add(tackbudget.Standing{
			Available: v.Available(),
			Settling:  v.State == VMSettling,
			Taken:     taken[id],
		})
	}
	return count
}
