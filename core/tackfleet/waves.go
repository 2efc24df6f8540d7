package tackfleet

import (
	"fmt"

	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

func (s *State) createWave(c *tackcommand.CreateWave) *RefusedError {
	if s.waves.Get(c.Wave) != nil {
		return refuse(CodeExists, "wave %q exists", c.Wave)
	}
	if refused := s.needPool(c.Pool); refused != nil {
		return refused
	}
	action := Action(c.Action)
	if action != ActionReboot && action != ActionUpgrade {
		return refuse(CodeInvalid, "unknown action %q, want reboot or upgrade", c.Action)
	}
	if c.MaxParallel < 0 {
		return refuse(CodeInvalid, "max_parallel is a number from 0")
	}
	s.waves.Put(c.Wave, Wave{
		ID: c.Wave, Pool: c.Pool, Action: action, MaxParallel: c.MaxParallel,
		Created: s.now, Touched: s.revision,
	})
	return nil
}

func (s *State) changeWave(c *tackcommand.ChangeWave) *RefusedError {
	w := s.waves.Get(c.Wave)
	if w == nil {
		return refuse(CodeMissing, "no wave %q", c.Wave)
	}
	var refused *RefusedError
	switch c.Change {
	case tackcommand.WaveStart:
		refused = s.startWave(w)
	case tackcommand.WavePause:
		refused = s.pauseWave(w)
	case tackcommand.WaveResume:
		refused = s.resumeWave(w)
	case tackcommand.WaveCancel:
		refused = s.cancelWave(w)
	default:
		refused = refuse(CodeInvalid, "unknown change %q of a wave", c.Change)
	}
	if refused == nil {
		w.Touched = s.revision
	}
	return refused
}

// startWave takes the VMs that are in the pool now. VMs that join later are
// not part of the wave.
func (s *State) startWave(w *Wave) *RefusedError {
	if w.Status != WavePlanned {
		return w.wrongStatus("start")
	}
	for _, id := range s.members[w.Pool] {
		w.VMs = append(w.VMs, WaveVM{VM: id, Since: s.now})
	}
	w.Status = WaveRunning
	w.Started = s.now
	return nil
}

func (s *State) pauseWave(w *Wave) *RefusedError {
	if w.Status != WaveRunning {
		return w.wrongStatus("pause")
	}
	s.holdWave(w, PhaseWaiting)
	w.Status = WavePaused
	return nil
}

// resumeWave goes on with a wave. VMs that failed and that an operator put
// back in service are maintained again.
func (s *State) resumeWave(w *Wave) *RefusedError {
	if w.Status != WavePaused && w.Status != WaveStopped {
		return w.wrongStatus("resume")
	}
	for i := range w.VMs {
		m := &w.VMs[i]
		if m.Phase != PhaseFailed {
			continue
		}
		if v := s.vms.Get(m.VM); v != nil && v.Pool == w.Pool && v.State == VMInService {
			m.enter(PhaseWaiting, s.now)
		}
	}
	w.Status = WaveRunning
	w.Reason = ""
	return nil
}

func (s *State) cancelWave(w *Wave) *RefusedError {
	if w.ended() {
		return w.wrongStatus("cancel")
	}
	s.holdWave(w, PhaseSkipped)
	for i := range w.VMs {
		if w.VMs[i].Phase == PhaseWaiting {
			w.VMs[i].enter(PhaseSkipped, s.now)
		}
	}
	s.endWave(w, WaveCancelled)
	return nil
}

// holdWave gives back the VMs that are draining; they get the phase next.
// A VM that the platform already has can't be called back: it goes on to its
// end, also under a wave that is paused, stopped or cancelled.
func (s *State) holdWave(w *Wave, next Phase) {
	for i := range w.VMs {
		m := &w.VMs[i]
		if m.Phase != PhaseDraining {
			continue
		}
		m.enter(next, s.now)
		s.giveBack(s.vms.Get(m.VM), VMInService)
	}
}

// giveBack ends the wave's hold on a VM.
func (s *State) giveBack(v *VM, state VMState) {
	v.Wave = ""
	v.Touched = s.revision
	s.enterState(v, state)
}

func (s *State) endWave(w *Wave, status WaveStatus) {
	w.Status = status
	w.Ended = s.now
	s.endedWaves.Put(s.now, w.ID, struct{}{})
}

// waveStep drains the VMs of one step of a wave, all of them or none.
func (s *State) waveStep(c *WaveStep) *RefusedError {
	w := s.waves.Get(c.Wave)
	if w == nil {
		return refuse(CodeMissing, "no wave %q", c.Wave)
	}
	if w.Status != WaveRunning {
		return w.wrongStatus("take VMs for")
	}
	if out := w.Out(); w.MaxParallel > 0 && out+len(c.VMs) > w.MaxParallel {
		return refuse(CodeInvalid, "wave %q has %d VMs out and may have %d", w.ID, out, w.MaxParallel)
	}
	members := make([]*WaveVM, 0, len(c.VMs))
	for i, id := range c.VMs {
		m, refused := s.waveMember(w, id)
		if refused != nil {
			return refused
		}
		for _, earlier := range c.VMs[:i] {
			if earlier == id {
				return refuse(CodeInvalid, "vm %q twice in one step", id)
			}
		}
		members = append(members, m)
	}
	if refused := s.CanTake(c.VMs); refused != nil {
		return refused
	}
	s.takeStep(w, members)
	s.record(Event{Text: fmt.Sprintf("wave %s drains step %d", w.ID, w.Steps), VMs: c.VMs})
	return nil
}

// waveMember returns the wave's record of a VM that it may take now.
func (s *State) waveMember(w *Wave, id tackid.VM) (*WaveVM, *RefusedError) {
	v, refused := s.freeVM(id)
	if refused != nil {
		return nil, refused
	}
	if v.State != VMInService || v.Pool != w.Pool {
		return nil, v.wrongState("take")
	}
	m := w.member(id)
	if m == nil || m.Phase != PhaseWaiting {
		return nil, refuse(CodeState, "vm %q does not wait for wave %q", id, w.ID)
	}
	return m, nil
}

func (s *State) takeStep(w *Wave, members []*WaveVM) {
	w.Steps++
	for _, m := range members {
		v := s.vms.Get(m.VM)
		s.enterState(v, VMDraining)
		v.Wave = w.ID
		v.Touched = s.revision
		m.enter(PhaseDraining, s.now)
		m.Step = w.Steps
		m.Fence = s.revision
		m.Operation = ""
	}
}

// wavePhase takes one VM to the next phase, if that follows the one it is in.
// A phase proposed before a pause or a cancel is applied after it: it is
// refused then, and the platform must not be asked for the operation.
func (s *State) wavePhase(c *WavePhase) *RefusedError {
	w := s.waves.Get(c.Wave)
	if w == nil {
		return refuse(CodeMissing, "no wave %q", c.Wave)
	}
	m := w.member(c.VM)
	if m == nil {
		return refuse(CodeMissing, "vm %q is not part of wave %q", c.VM, c.Wave)
	}
	if !m.Phase.leadsTo(c.Phase) {
		return refuse(CodeState, "vm %q can't go from %s to %s", c.VM, m.Phase, c.Phase)
	}
	if c.Phase == PhaseSkipped {
		m.enter(PhaseSkipped, s.now)
		return nil
	}
	v := s.vms.Get(c.VM)
	if c.Phase == PhaseSettling && v.Health != HealthServing {
		return refuse(CodeState, "vm %q does not serve yet", c.VM)
	}
	if c.Phase == PhaseOperating && s.running[c.VM] > 0 {
		return refuse(CodeInUse, "vm %q runs tasks", c.VM)
	}
	m.enter(c.Phase, s.now)
	if c.Operation != "" {
		m.Operation = c.Operation
	}
	s.followPhase(w, v, c.Phase)
	return nil
}

// followPhase gives the VM the state that goes with its phase.
func (s *State) followPhase(w *Wave, v *VM, phase Phase) {
	switch phase {
	case PhaseWaiting:
		s.giveBack(v, VMInService)
	case PhaseDone:
		s.giveBack(v, VMInService)
		s.recordPhase(w, v, phase)
	case PhaseOperating, PhaseReturning:
		s.enterState(v, VMMaintenance)
	case PhaseSettling:
		s.enterState(v, VMSettling)
	case PhaseFailed:
		s.giveBack(v, VMFailed)
		s.recordPhase(w, v, phase)
	}
}

// recordPhase adds the end of a VM's way through a wave to the history.
func (s *State) recordPhase(w *Wave, v *VM, phase Phase) {
	s.record(Event{Text: fmt.Sprintf("vm %s is %s in wave %s", v.ID, phase, w.ID), VMs: []tackid.VM{v.ID}})
}

// waveEnd finishes or stops a wave.
func (s *State) waveEnd(c *WaveEnd) *RefusedError {
	w := s.waves.Get(c.Wave)
	if w == nil {
		return refuse(CodeMissing, "no wave %q", c.Wave)
	}
	if w.Status != WaveRunning {
		return w.wrongStatus("end")
	}
	switch c.Status {
	case WaveFinished:
		for i := range w.VMs {
			if !w.VMs[i].Phase.ended() {
				return refuse(CodeState, "wave %q is not through with vm %q", w.ID, w.VMs[i].VM)
			}
		}
		s.endWave(w, WaveFinished)
	case WaveStopped:
		s.holdWave(w, PhaseWaiting)
		w.Status = WaveStopped
	default:
		return refuse(CodeInvalid, "a wave ends as finished or stopped")
	}
	w.Reason = c.Reason
	w.Touched = s.revision
	s.record(Event{Text: "wave " + string(w.ID) + " " + w.Status.String() + reasonSuffix(c.Reason)})
	return nil
}

// skipInWaves lets every wave that still waits for the VM pass it over.
func (s *State) skipInWaves(id tackid.VM) {
	for _, w := range s.waves.All() {
		if w.ended() {
			continue
		}
		if m := w.member(id); m != nil && m.Phase == PhaseWaiting {
			m.enter(PhaseSkipped, s.now)
		}
	}
}

func (w *Wave) wrongStatus(what string) *RefusedError {
	return refuse(CodeState, "can't %s wave %q, it is %s", what, w.ID, w.Status)
}

func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}
