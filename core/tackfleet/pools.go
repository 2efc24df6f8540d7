package tackfleet

import (
	"slices"

	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

// maxPercent is the largest percentage a budget may ask for.
const maxPercent = 100

func (s *State) createPool(c *tackcommand.CreatePool) *RefusedError {
	if s.pools.Get(c.Pool) != nil {
		return refuse(CodeExists, "pool %q exists", c.Pool)
	}
	s.pools.Put(c.Pool, Pool{ID: c.Pool, Touched: s.revision})
	return nil
}

func (s *State) deletePool(c *tackcommand.DeletePool) *RefusedError {
	if refused := s.needPool(c.Pool); refused != nil {
		return refused
	}
	if refused := s.poolUsed(c.Pool); refused != nil {
		return refused
	}
	s.pools.Delete(c.Pool)
	delete(s.members, c.Pool)
	return nil
}

// poolUsed refuses if anything rests on the pool.
func (s *State) poolUsed(pool tackid.Pool) *RefusedError {
	if vms := s.members[pool]; len(vms) > 0 {
		return refuse(CodeInUse, "pool %q has %d VMs", pool, len(vms))
	}
	for id, v := range s.vms.All() {
		if v.MovingTo == pool {
			return refuse(CodeInUse, "vm %q is moving to pool %q", id, pool)
		}
	}
	for id, v := range s.services.All() {
		if v.Pool == pool {
			return refuse(CodeInUse, "service %q is on pool %q", id, pool)
		}
	}
	for id, w := range s.waves.All() {
		if w.Pool == pool && !w.ended() {
			return refuse(CodeInUse, "wave %q is over pool %q", id, pool)
		}
	}
	for id, t := range s.tasks.All() {
		if t.Pool == pool && !t.ended() {
			return refuse(CodeInUse, "task %q is on pool %q", id, pool)
		}
	}
	return nil
}

func (s *State) createService(c *tackcommand.CreateService) *RefusedError {
	if s.services.Get(c.Service) != nil {
		return refuse(CodeExists, "service %q exists", c.Service)
	}
	if refused := s.needPool(c.Pool); refused != nil {
		return refused
	}
	s.services.Put(c.Service, Service{ID: c.Service, Pool: c.Pool, Touched: s.revision})
	return nil
}

// setBudget accepts any budget in range, also one above what is available at
// the moment: it is the operator's wish, and from then on CanTake lets
// nothing further out until enough VMs serve.
func (s *State) setBudget(c *tackcommand.SetBudget) *RefusedError {
	v := s.services.Get(c.Service)
	if v == nil {
		return refuse(CodeMissing, "no service %q", c.Service)
	}
	if c.MinAvailable < 0 || c.Percent && c.MinAvailable > maxPercent {
		return refuse(CodeInvalid, "min_available is a number from 0, or a percentage from 0%% to 100%%")
	}
	v.Budget = Budget{MinAvailable: c.MinAvailable, Percent: c.Percent}
	v.Touched = s.revision
	return nil
}

func (s *State) setQuota(c *tackcommand.SetQuota) *RefusedError {
	if c.Slots < 0 || c.Cores < 0 {
		return refuse(CodeInvalid, "slots and cores are numbers from 0")
	}
	s.quotas.Put(c.Team, Quota{Team: c.Team, Slots: c.Slots, Cores: c.Cores, Touched: s.revision})
	return nil
}

func (s *State) setConfig(c *tackcommand.SetConfig) *RefusedError {
	s.settings.Put(c.Key, Setting{Key: c.Key, Value: c.Value, Revision: s.revision})
	return nil
}

// needPool refuses if there is no such pool.
func (s *State) needPool(pool tackid.Pool) *RefusedError {
	if s.pools.Get(pool) == nil {
		return refuse(CodeMissing, "no pool %q", pool)
	}
	return nil
}

// touchPool notes that the set of the pool's VMs changed.
func (s *State) touchPool(pool tackid.Pool) {
	if p := s.pools.Get(pool); p != nil {
		p.Touched = s.revision
	}
}

// enter puts the VM into the pool.
func (s *State) enter(pool tackid.Pool, vm tackid.VM) {
	s.enlist(pool, vm)
	s.touchPool(pool)
}

// enlist puts the VM on the pool's sorted list of members.
func (s *State) enlist(pool tackid.Pool, vm tackid.VM) {
	if s.members == nil {
		s.members = make(map[tackid.Pool][]tackid.VM)
	}
	ids := s.members[pool]
	if i, found := slices.BinarySearch(ids, vm); !found {
		s.members[pool] = slices.Insert(ids, i, vm)
	}
}

// leave takes the VM out of the pool.
func (s *State) leave(pool tackid.Pool, vm tackid.VM) {
	ids := s.members[pool]
	if i, found := slices.BinarySearch(ids, vm); found {
		s.members[pool] = slices.Delete(ids, i, i+1)
	}
	s.touchPool(pool)
}
