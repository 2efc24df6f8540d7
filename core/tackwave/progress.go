package tackwave

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// overdueFactor is how many times the expected time a VM may be out of service
// before it counts as overdue and the wave takes fewer VMs at once.
const overdueFactor = 2

// progress groups the VMs of a running wave by how far they are.
type progress struct {
	waiting    []*tackfleet.VM     // in service and not yet maintained
	blocked    []*tackfleet.WaveVM // lost, or held by another wave or an operator
	out        int                 // out of service
	settling   int                 // back in service and settling
	done       int
	failed     []tackid.VM
	skipped    int
	overdue    int            // out of service for much longer than expected, or lost while settling
	lastChange tackclock.Time // time of the last phase change
}

// continueWave stops or finishes a running wave, or takes its next VMs.
func (t *tick) continueWave(w *tackfleet.Wave, p *progress) {
	if reason, stop := t.mustStop(w, p); stop {
		t.endWave(w, tackfleet.WaveStopped, reason)
		return
	}
	if len(p.waiting) == 0 && p.held() == 0 {
		t.finishWave(w, p)
		return
	}
	t.step(w, p)
}

// progress returns the progress of the wave.
func (t *tick) progress(w *tackfleet.Wave) progress {
	p := progress{lastChange: w.Started}
	for i := range w.VMs {
		m := &w.VMs[i]
		p.lastChange = max(p.lastChange, m.Since)
		switch {
		case t.done[m.VM] && m.Phase == tackfleet.PhaseSettling:
			p.done++
		case m.Phase == tackfleet.PhaseSettling:
			p.settling++
			p.overdue += t.overdue(m)
		case held(m.Phase):
			p.out++
			p.overdue += t.overdue(m)
		case m.Phase == tackfleet.PhaseDone:
			p.done++
		case m.Phase == tackfleet.PhaseFailed:
			p.failed = append(p.failed, m.VM)
		case m.Phase == tackfleet.PhaseSkipped:
			p.skipped++
		default:
			if vm := t.member(w.Pool, m.VM); vm != nil && takeable(vm) {
				p.waiting = append(p.waiting, vm)
				continue
			}
			p.blocked = append(p.blocked, m)
		}
	}
	return p
}

// takeable reports whether a VM is serving and not held by a wave.
func takeable(vm *tackfleet.VM) bool {
	return vm.Wave == "" && vm.State == tackfleet.VMInService && vm.Health == tackfleet.HealthServing
}

// overdue returns 1 for a VM that should have been back by now or that was
// lost while it was settling, and 0 otherwise.
func (t *tick) overdue(m *tackfleet.WaveVM) int {
	vm, ok := t.f.VM(m.VM)
	if !ok {
		return 0
	}
	switch {
	case m.Phase == tackfleet.PhaseSettling && vm.Health != tackfleet.HealthServing:
		return 1
	case m.Phase != tackfleet.PhaseOperating && m.Phase != tackfleet.PhaseReturning:
		return 0
	case t.now.Sub(m.Since) > overdueFactor*(t.times.operation.or(t.cfg.Reboot)+t.times.back.or(expectedBack)):
		return 1
	}
	return 0
}

// held returns the number of VMs that are out of service or settling.
func (p *progress) held() int {
	return p.out + p.settling
}

// finishWave ends a wave that has no VMs left to take. It waits for VMs that
// are lost or held by an operator for LostWait and then skips them.
func (t *tick) finishWave(w *tackfleet.Wave, p *progress) {
	if len(p.blocked) == 0 {
		t.endWave(w, tackfleet.WaveFinished, p.summary())
		return
	}
	var skip []tackfleet.WavePhase
	for _, m := range p.blocked {
		if !t.shouldSkip(w, m, p) {
			t.addHold(w, m.VM, "it is lost or held elsewhere")
			continue
		}
		skip = append(skip, tackfleet.WavePhase{
			Wave: w.ID, VM: m.VM, Phase: tackfleet.PhaseSkipped, Operation: m.Operation,
		})
	}
	if len(skip) > 0 {
		t.propose(tackfleet.Change{WavePhases: skip})
	}
}

// shouldSkip reports whether the wave is to end without the VM.
func (t *tick) shouldSkip(w *tackfleet.Wave, m *tackfleet.WaveVM, p *progress) bool {
	vm, ok := t.f.VM(m.VM)
	if !ok || vm.Pool != w.Pool {
		return true
	}
	if vm.Wave != "" && vm.Wave != w.ID {
		return false // another wave brings it back
	}
	return t.now.Sub(p.lastChange) >= t.cfg.LostWait
}

// summary describes a finished wave that did not maintain all of its VMs. It is
// empty if all were maintained.
func (p *progress) summary() string {
	if len(p.failed) == 0 && p.skipped == 0 {
		return ""
	}
	return fmt.Sprintf("%d VMs maintained, %d failed %v, %d left out", p.done, len(p.failed), p.failed, p.skipped)
}
