package tackwave

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// lateFactor is how many times the expected time away a VM may take before
// the wave goes on more narrowly.
const lateFactor = 2

// progress is where a running wave stands.
type progress struct {
	waiting []*tackfleet.VM     // in service, may be taken
	blocked []*tackfleet.WaveVM // lost, or held by something else
	out     int                 // out of service
	settled int                 // back, and settling
	done    int
	failed  []tackid.VM
	skipped int
	late    int            // out for much longer than expected
	quiet   tackclock.Time // the newest change of a phase
}

// goOn ends, stops or widens a running wave.
func (t *tick) goOn(w *tackfleet.Wave, p *progress) {
	if reason, stop := t.broken(w, p); stop {
		t.end(w, tackfleet.WaveStopped, reason)
		return
	}
	if len(p.waiting) == 0 && p.held() == 0 {
		t.wrapUp(w, p)
		return
	}
	t.step(w, p)
}

// progress counts the wave's VMs by phase.
func (t *tick) progress(w *tackfleet.Wave) progress {
	p := progress{quiet: w.Started}
	for i := range w.VMs {
		m := &w.VMs[i]
		p.quiet = max(p.quiet, m.Since)
		switch {
		case t.done[m.VM] && m.Phase == tackfleet.PhaseSettling:
			p.done++
		case m.Phase == tackfleet.PhaseSettling:
			p.settled++
			p.late += t.overdue(m)
		case held(m.Phase):
			p.out++
			p.late += t.overdue(m)
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

// takeable reports whether a VM serves and nothing holds it.
func takeable(vm *tackfleet.VM) bool {
	return vm.Wave == "" && vm.State == tackfleet.VMInService && vm.Health == tackfleet.HealthServing
}

// overdue returns 1 for a VM that should have been back by now, or that was
// lost while it settled.
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
	case t.now.Sub(m.Since) > lateFactor*(t.times.operation.or(t.cfg.Reboot)+t.times.back.or(expectedBack)):
		return 1
	}
	return 0
}

// held returns how many VMs are out of service or settle.
func (p *progress) held() int {
	return p.out + p.settled
}

// wrapUp ends a wave that has no VM left to take. VMs that are lost, or that
// an operator holds, are waited for a while and then left out.
func (t *tick) wrapUp(w *tackfleet.Wave, p *progress) {
	if len(p.blocked) == 0 {
		t.end(w, tackfleet.WaveFinished, p.summary())
		return
	}
	var skip []tackfleet.WavePhase
	for _, m := range p.blocked {
		if !t.leaveOut(w, m, p) {
			t.hold(w, m.VM, "it is lost or held elsewhere")
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

// leaveOut reports whether the wave ends without the VM.
func (t *tick) leaveOut(w *tackfleet.Wave, m *tackfleet.WaveVM, p *progress) bool {
	vm, ok := t.f.VM(m.VM)
	if !ok || vm.Pool != w.Pool {
		return true
	}
	if vm.Wave != "" && vm.Wave != w.ID {
		return false // another wave brings it back
	}
	return t.now.Sub(p.quiet) >= t.cfg.LostWait
}

// summary says what a finished wave did not do, empty where it did all.
func (p *progress) summary() string {
	if len(p.failed) == 0 && p.skipped == 0 {
		return ""
	}
	return fmt.Sprintf("%d VMs maintained, %d failed %v, %d left out", p.done, len(p.failed), p.failed, p.skipped)
}
