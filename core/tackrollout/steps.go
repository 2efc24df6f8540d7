package tackrollout

import (
	"slices"

	"auburntack/core/tackentry"
	"auburntack/core/tackid"
	"auburntack/core/tackroster"
)

// Step drains the VMs of one step of a wave, all of them or none.
func (o *Rollouts) Step(at tackentry.At, r *tackroster.Roster, c *WaveStep) *tackentry.RefusedError {
	w := o.waves.Get(c.Wave)
	if w == nil {
		return missing(c.Wave)
	}
	if w.Status != WaveRunning {
		return w.refuse("take VMs for")
	}
	if out := w.OutCount(); w.MaxParallel > 0 && out+len(c.VMs) > w.MaxParallel {
		return tackentry.Refuse(tackentry.CodeInvalid, "wave %q has %d VMs out and may have %d", w.ID, out, w.MaxParallel)
	}
	for i, id := range c.VMs {
		if slices.Contains(c.VMs[:i], id) {
			return tackentry.Refuse(tackentry.CodeInvalid, "vm %q twice in one step", id)
		}
		if refused := w.mayTake(r, id); refused != nil {
			return refused
		}
	}
	if refused := r.CheckTake(c.VMs); refused != nil {
		return refused
	}
	w.take(at, r, c.VMs)
	return nil
}

// mayTake returns nil if the wave may take the VM now, and a refusal otherwise.
func (w *Wave) mayTake(r *tackroster.Roster, id tackid.VM) *tackentry.RefusedError {
	v, refused := r.UnheldVM(id)
	if refused != nil {
		return refused
	}
	if v.State != tackroster.VMInService || v.Pool != w.Pool {
		return tackentry.Refuse(tackentry.CodeState, "can't take vm %q, it is %s in pool %q", id, v.State, v.Pool)
	}
	if m := w.member(id); m == nil || m.Phase != PhaseWaiting {
		return tackentry.Refuse(tackentry.CodeState, "vm %q does not wait for wave %q", id, w.ID)
	}
	return nil
}

// take starts to drain the VMs as the wave's next step.
func (w *Wave) take(at tackentry.At, r *tackroster.Roster, vms []tackid.VM) {
	w.Steps++
	for _, id := range vms {
		r.Hold(at, id, w.ID)
		m := w.member(id)
		m.setPhase(PhaseDraining, at.Time)
		m.Step = w.Steps
		m.Fence = at.Revision
		m.Operation = ""
	}
}

// Phase moves one VM to the next phase, if that may follow its current one. A
// change that was proposed before the wave was paused or cancelled, and is
// applied after that, is refused; the operation must then not be requested
// from the platform.
func (o *Rollouts) Phase(at tackentry.At, r *tackroster.Roster, c *WavePhase) *tackentry.RefusedError {
	w := o.waves.Get(c.Wave)
	if w == nil {
		return missing(c.Wave)
	}
	m := w.member(c.VM)
	if m == nil {
		return tackentry.Refuse(tackentry.CodeMissing, "vm %q is not part of wave %q", c.VM, c.Wave)
	}
	if !m.Phase.leadsTo(c.Phase) {
		return tackentry.Refuse(tackentry.CodeState, "vm %q can't go from %s to %s", c.VM, m.Phase, c.Phase)
	}
	if c.Phase == PhaseSettling && r.VM(c.VM).Health != tackroster.HealthServing {
		return tackentry.Refuse(tackentry.CodeState, "vm %q does not serve yet", c.VM)
	}
	m.setPhase(c.Phase, at.Time)
	if c.Operation != "" {
		m.Operation = c.Operation
	}
	updateVM(at, r, c)
	return nil
}

// updateVM sets the state of the VM that corresponds to its new phase.
func updateVM(at tackentry.At, r *tackroster.Roster, c *WavePhase) {
	switch c.Phase {
	case PhaseWaiting, PhaseDone:
		r.Release(at, c.VM, tackroster.VMInService)
	case PhaseOperating, PhaseReturning:
		r.SetState(at, c.VM, tackroster.VMMaintenance)
	case PhaseSettling:
		r.SetState(at, c.VM, tackroster.VMSettling)
	case PhaseFailed:
		r.Release(at, c.VM, tackroster.VMFailed)
	}
}

// End finishes or stops a running wave.
func (o *Rollouts) End(at tackentry.At, r *tackroster.Roster, c *WaveEnd) *tackentry.RefusedError {
	w := o.waves.Get(c.Wave)
	if w == nil {
		return missing(c.Wave)
	}
	if w.Status != WaveRunning {
		return w.refuse("end")
	}
	switch c.Status {
	case WaveFinished:
		i := slices.IndexFunc(w.VMs, func(m WaveVM) bool { return !m.Phase.ended() })
		if i >= 0 {
			return tackentry.Refuse(tackentry.CodeState, "wave %q is not through with vm %q", w.ID, w.VMs[i].VM)
		}
		o.end(at, w, WaveFinished)
	case WaveStopped:
		w.releaseDraining(at, r, PhaseWaiting)
		w.Status = WaveStopped
	default:
		return tackentry.Refuse(tackentry.CodeInvalid, "a wave ends as finished or stopped")
	}
	w.Reason = c.Reason
	w.Touched = at.Revision
	return nil
}
