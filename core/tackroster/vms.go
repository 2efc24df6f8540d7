package tackroster

import (
	"auburntack/core/tackcommand"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

// AddVM adds a new VM to a pool. Its health is unknown until it announces
// itself. A VM that was removed a short while ago is fenced like a moved one:
// a peer that has not applied the removal yet still routes to it as part of
// its old pool, and the VM would serve two pools at once.
func (r *Roster) AddVM(at tackentry.At, c *tackcommand.AddVM) *tackentry.RefusedError {
	if v := r.vms.Get(c.VM); v != nil {
		return tackentry.Refuse(tackentry.CodeExists, "vm %q exists in pool %q", c.VM, v.Pool)
	}
	if refused := r.CheckPool(c.Pool); refused != nil {
		return refused
	}
	v := VM{ID: c.VM, Pool: c.Pool, Since: at.Time, Touched: at.Revision}
	if _, found := r.removed.Get(c.VM); found {
		v.State = VMMoving
		v.MovingTo = c.Pool
		v.Fence = at.Revision
	}
	r.vms.Put(c.VM, v)
	r.join(at, c.Pool, c.VM)
	return nil
}

// MoveVM starts to move a VM to another pool. The VM counts as a member of the
// old pool that is down until Joined moves it to the new one.
func (r *Roster) MoveVM(at tackentry.At, c *tackcommand.MoveVM) *tackentry.RefusedError {
	v, refused := r.UnheldVM(c.VM)
	if refused != nil {
		return refused
	}
	if refused := r.CheckPool(c.Pool); refused != nil {
		return refused
	}
	if v.Pool == c.Pool {
		return tackentry.Refuse(tackentry.CodeState, "vm %q is in pool %q", c.VM, c.Pool)
	}
	if v.State == VMMoving || v.State == VMFailed {
		return v.refuse("move")
	}
	if refused := r.CheckTake([]tackid.VM{c.VM}); refused != nil {
		return refused
	}
	v.setState(at, VMMoving)
	v.MovingTo = c.Pool
	v.Touched = at.Revision
	r.touchPool(at, v.Pool)
	return nil
}

// DrainVM starts to drain a VM for an operator.
func (r *Roster) DrainVM(at tackentry.At, c *tackcommand.DrainVM) *tackentry.RefusedError {
	v, refused := r.UnheldVM(c.VM)
	if refused != nil {
		return refused
	}
	if v.State != VMInService {
		return v.refuse("drain")
	}
	if refused := r.CheckTake([]tackid.VM{c.VM}); refused != nil {
		return refused
	}
	v.setState(at, VMDraining)
	v.Touched = at.Revision
	return nil
}

// UndrainVM returns a draining, drained or failed VM to service.
func (r *Roster) UndrainVM(at tackentry.At, c *tackcommand.UndrainVM) *tackentry.RefusedError {
	v, refused := r.UnheldVM(c.VM)
	if refused != nil {
		return refused
	}
	switch v.State {
	case VMDraining, VMDrained, VMFailed:
		v.setState(at, VMInService)
		v.Touched = at.Revision
		return nil
	}
	return v.refuse("undrain")
}

// RemoveVM removes a VM from its pool and from the roster.
func (r *Roster) RemoveVM(at tackentry.At, c *tackcommand.RemoveVM) *tackentry.RefusedError {
	v, refused := r.UnheldVM(c.VM)
	if refused != nil {
		return refused
	}
	if refused := r.CheckTake([]tackid.VM{c.VM}); refused != nil {
		return refused
	}
	r.leave(at, v.Pool, c.VM)
	r.vms.Delete(c.VM)
	r.removed.Put(at.Time, c.VM, struct{}{})
	return nil
}

// Drained ends the drain of a VM that an operator drained, after its last work.
func (r *Roster) Drained(at tackentry.At, id tackid.VM) *tackentry.RefusedError {
	v, refused := r.UnheldVM(id)
	if refused != nil {
		return refused
	}
	if v.State != VMDraining {
		return v.refuse("end the drain of")
	}
	v.setState(at, VMDrained)
	return nil
}

// Joined moves a VM into its new pool. The leader proposes it only after no
// peer can route to the VM as part of the old pool. The backend servers of the
// new pool have not announced themselves yet, so the health is unknown at
// first.
func (r *Roster) Joined(at tackentry.At, id tackid.VM) *tackentry.RefusedError {
	v, refused := r.UnheldVM(id)
	if refused != nil {
		return refused
	}
	if v.State != VMMoving {
		return v.refuse("join")
	}
	r.leave(at, v.Pool, v.ID)
	v.Pool = v.MovingTo
	v.MovingTo = ""
	r.join(at, v.Pool, v.ID)
	v.setState(at, VMInService)
	v.Health = HealthUnknown
	v.HealthSince = at.Time
	v.Touched = at.Revision
	return nil
}

// Observe applies an observation of a VM and reports whether the VM's health
// changed. It never changes the VM's pool.
func (r *Roster) Observe(at tackentry.At, o *Observation) (bool, *tackentry.RefusedError) {
	v := r.vms.Get(o.VM)
	if v == nil {
		return false, tackentry.Refuse(tackentry.CodeMissing, "no vm %q", o.VM)
	}
	v.update(o)
	if v.Health == o.Health {
		return false, nil
	}
	v.Health = o.Health
	v.HealthSince = at.Time
	return true, nil
}

// UnheldVM returns a VM, or a refusal if it does not exist or a wave holds it.
func (r *Roster) UnheldVM(id tackid.VM) (*VM, *tackentry.RefusedError) {
	v := r.vms.Get(id)
	if v == nil {
		return nil, tackentry.Refuse(tackentry.CodeMissing, "no vm %q", id)
	}
	if v.Wave != "" {
		return nil, tackentry.Refuse(tackentry.CodeInUse, "wave %q holds vm %q, pause or cancel it first", v.Wave, id)
	}
	return v, nil
}

// Hold starts to drain a VM for a wave, which has called CheckTake.
func (r *Roster) Hold(at tackentry.At, id tackid.VM, wave tackid.Wave) {
	v := r.vms.Get(id)
	v.setState(at, VMDraining)
	v.Wave = wave
	v.Touched = at.Revision
}

// SetState moves a VM that a wave holds to its next state.
func (r *Roster) SetState(at tackentry.At, id tackid.VM, state VMState) {
	r.vms.Get(id).setState(at, state)
}

// Release releases a VM that a wave holds and moves it to state.
func (r *Roster) Release(at tackentry.At, id tackid.VM, state VMState) {
	v := r.vms.Get(id)
	v.Wave = ""
	v.Touched = at.Revision
	v.setState(at, state)
}

// setState changes the VM's state, and sets the fence if the VM stops being
// routable.
func (v *VM) setState(at tackentry.At, state VMState) {
	was := v.Routable()
	v.State = state
	v.Since = at.Time
	if was && !v.Routable() {
		v.Fence = at.Revision
	}
}

// update updates the location and size of the VM. Fields that were not
// announced are not changed.
func (v *VM) update(o *Observation) {
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
}

// refuse returns the refusal of an action that the VM's state does not allow.
func (v *VM) refuse(what string) *tackentry.RefusedError {
	return tackentry.Refuse(tackentry.CodeState, "can't %s vm %q, it is %s", what, v.ID, v.State)
}
