package tackfleet

import (
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

// addVM puts a new VM into a pool; its health is unknown until it announces
// itself. A VM that was removed a short while ago enters like a moved one: a
// peer that has not applied the removal yet still routes to it by its old
// pool, and the VM would serve two pools at once.
func (s *State) addVM(c *tackcommand.AddVM) *RefusedError {
	if v := s.vms.Get(c.VM); v != nil {
		return refuse(CodeExists, "vm %q exists in pool %q", c.VM, v.Pool)
	}
	if refused := s.needPool(c.Pool); refused != nil {
		return refused
	}
	v := VM{ID: c.VM, Pool: c.Pool, Since: s.now, Touched: s.revision}
	if _, found := s.removed.Get(c.VM); found {
		v.State = VMMoving
		v.MovingTo = c.Pool
		v.Fence = s.revision
	}
	s.vms.Put(c.VM, v)
	s.enter(c.Pool, c.VM)
	return nil
}

// moveVM makes the VM leave its pool. It stays counted as a down member of
// the old pool until joined puts it in the new one.
func (s *State) moveVM(c *tackcommand.MoveVM) *RefusedError {
	v, refused := s.freeVM(c.VM)
	if refused != nil {
		return refused
	}
	if refused := s.needPool(c.Pool); refused != nil {
		return refused
	}
	if v.Pool == c.Pool {
		return refuse(CodeState, "vm %q is in pool %q", c.VM, c.Pool)
	}
	if v.State == VMMoving || v.State == VMFailed {
		return v.wrongState("move")
	}
	if refused := s.CanTake([]tackid.VM{c.VM}); refused != nil {
		return refused
	}
	s.enterState(v, VMMoving)
	v.MovingTo = c.Pool
	v.Touched = s.revision
	s.touchPool(v.Pool)
	s.skipInWaves(c.VM)
	return nil
}

func (s *State) drainVM(c *tackcommand.DrainVM) *RefusedError {
	v, refused := s.freeVM(c.VM)
	if refused != nil {
		return refused
	}
	if v.State != VMInService {
		return v.wrongState("drain")
	}
	if refused := s.CanTake([]tackid.VM{c.VM}); refused != nil {
		return refused
	}
	s.enterState(v, VMDraining)
	v.Touched = s.revision
	return nil
}

func (s *State) undrainVM(c *tackcommand.UndrainVM) *RefusedError {
	v, refused := s.freeVM(c.VM)
	if refused != nil {
		return refused
	}
	switch v.State {
	case VMDraining, VMDrained, VMFailed:
		s.enterState(v, VMInService)
		v.Touched = s.revision
		return nil
	}
	return v.wrongState("undrain")
}

func (s *State) removeVM(c *tackcommand.RemoveVM) *RefusedError {
	v, refused := s.freeVM(c.VM)
	if refused != nil {
		return refused
	}
	if n := s.running[c.VM]; n > 0 {
		return refuse(CodeInUse, "vm %q runs %d tasks, drain it first", c.VM, n)
	}
	if refused := s.CanTake([]tackid.VM{c.VM}); refused != nil {
		return refused
	}
	s.skipInWaves(c.VM)
	s.leave(v.Pool, c.VM)
	s.vms.Delete(c.VM)
	s.removed.Put(s.now, c.VM, struct{}{})
	return nil
}

// drained notes that no work is left on a VM that an operator drained.
func (s *State) drained(id *tackid.VM) *RefusedError {
	v := s.vms.Get(*id)
	if v == nil {
		return refuse(CodeMissing, "no vm %q", *id)
	}
	if v.State != VMDraining || v.Wave != "" {
		return v.wrongState("be drained")
	}
	if s.running[v.ID] > 0 {
		return refuse(CodeInUse, "vm %q runs tasks", v.ID)
	}
	s.enterState(v, VMDrained)
	s.record(Event{Text: "vm " + string(v.ID) + " is drained", VMs: []tackid.VM{v.ID}})
	return nil
}

// joined puts a moving VM into its new pool. The leader proposes it only once
// no peer can route to the VM by the old pool. The backend servers of the new
// pool have not been seen yet, so the health starts as unknown.
func (s *State) joined(id *tackid.VM) *RefusedError {
	v := s.vms.Get(*id)
	if v == nil {
		return refuse(CodeMissing, "no vm %q", *id)
	}
	if v.State != VMMoving {
		return v.wrongState("join")
	}
	if s.running[v.ID] > 0 {
		return refuse(CodeInUse, "vm %q runs tasks", v.ID)
	}
	s.leave(v.Pool, v.ID)
	v.Pool = v.MovingTo
	v.MovingTo = ""
	s.enter(v.Pool, v.ID)
	s.enterState(v, VMInService)
	v.Health = HealthUnknown
	v.HealthSince = s.now
	v.Touched = s.revision
	s.record(Event{Text: "vm " + string(v.ID) + " joined pool " + string(v.Pool), VMs: []tackid.VM{v.ID}})
	return nil
}

// observe takes over what a VM announced. It never changes a pool.
func (s *State) observe(o *Observation) *RefusedError {
	v := s.vms.Get(o.VM)
	if v == nil {
		return refuse(CodeMissing, "no vm %q", o.VM)
	}
	if o.DataCentre != "" {
		v.DataCentre = o.DataCentre
	}
	if o.Rack != "" {
		v.Rack = o.Rack
	}
	if o.Cores > 0 {
		v.Cores = o.Cores
	}
	if o.MemoryMB > 0 {
		v.MemoryMB = o.MemoryMB
	}
	if o.Accelerators > 0 {
		v.Accelerators = o.Accelerators
	}
	if v.Health != o.Health {
		v.Health = o.Health
		v.HealthSince = s.now
		s.record(Event{Text: "vm " + string(v.ID) + " is " + v.Health.String(), VMs: []tackid.VM{v.ID}})
	}
	return nil
}

// freeVM returns a VM that no wave holds.
func (s *State) freeVM(id tackid.VM) (*VM, *RefusedError) {
	v := s.vms.Get(id)
	if v == nil {
		return nil, refuse(CodeMissing, "no vm %q", id)
	}
	if v.Wave != "" {
		return nil, refuse(CodeInUse, "wave %q holds vm %q, pause or cancel it first", v.Wave, id)
	}
	return v, nil
}

// enterState changes the VM's state and sets the fence where the VM stops
// being routable.
func (s *State) enterState(v *VM, state VMState) {
	was := v.Routable()
	v.State = state
	v.Since = s.now
	if was && !v.Routable() {
		v.Fence = s.revision
	}
}

// wrongState refuses what the VM's state does not allow.
func (v *VM) wrongState(what string) *RefusedError {
	return refuse(CodeState, "can't %s vm %q, it is %s", what, v.ID, v.State)
}
