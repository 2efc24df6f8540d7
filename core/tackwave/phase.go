package tackwave

import (
	"fmt"
	"strconv"
	"strings"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// domainPatience is how many times the operation limit a VM is awaited
	// whose whole rack or data centre is lost.
	domainPatience = 4
	// beginWithin is how long the platform may take to begin an operation
	// that it has accepted.
	beginWithin = 3 * tackclock.Second
)

// advance takes the VMs that a wave holds to their next phases. It does so
// whatever the wave's status is: a VM that a paused, stopped or cancelled
// wave left drained would be missing from its pool for good, and nobody would
// look for it.
func (t *tick) advance(w *tackfleet.Wave) {
	var phases []tackfleet.WavePhase
	for i := range w.VMs {
		m := &w.VMs[i]
		next, ok := t.next(w, m)
		if !ok {
			continue
		}
		phases = append(phases, next)
		if next.Phase == tackfleet.PhaseReturning && t.serves(m.VM) {
			next.Phase = tackfleet.PhaseSettling
			phases = append(phases, next)
		}
	}
	if len(phases) > 0 {
		t.propose(tackfleet.Change{WavePhases: phases})
	}
}

// serves reports whether the VM's backend servers announce themselves.
func (t *tick) serves(id tackid.VM) bool {
	vm, ok := t.f.VM(id)
	return ok && vm.Health == tackfleet.HealthServing
}

// next returns the phase that a VM enters now, if it enters one.
func (t *tick) next(w *tackfleet.Wave, m *tackfleet.WaveVM) (tackfleet.WavePhase, bool) {
	p := tackfleet.WavePhase{Wave: w.ID, VM: m.VM, Phase: m.Phase, Operation: m.Operation}
	if !held(m.Phase) {
		return p, false
	}
	vm, ok := t.f.VM(m.VM)
	if !ok {
		return p, false
	}
	switch m.Phase {
	case tackfleet.PhaseDraining:
		t.drain(w, m, &vm, &p)
	case tackfleet.PhaseOperating:
		t.operate(w, m, &p)
	case tackfleet.PhaseReturning:
		t.await(w, m, &vm, &p)
	case tackfleet.PhaseSettling:
		t.settle(w, m, &vm, &p)
	}
	return p, p.Phase != m.Phase || p.Operation != m.Operation
}

// drain waits until the VM has no work left. A planned stop cuts no work, so
// a VM that stays busy is returned to service and tried later.
func (t *tick) drain(w *tackfleet.Wave, m *tackfleet.WaveVM, vm *tackfleet.VM, p *tackfleet.WavePhase) {
	waited := t.now.Sub(m.Since)
	switch {
	case w.Status != tackfleet.WaveRunning, vm.Health != tackfleet.HealthServing:
		p.Phase = tackfleet.PhaseWaiting
	case t.idle(m.VM, m.Fence):
		p.Phase = tackfleet.PhaseOperating
		p.Operation = operationID(w, m)
		t.times.drain.add(waited, expectedDrain)
	case waited >= t.cfg.DrainLimit:
		p.Phase = tackfleet.PhaseWaiting
		t.busy[m.VM] = t.now
	default:
		t.hold(w, m.VM, "it still has work in flight")
	}
}

// operate has the platform carry out the operation and waits for its end.
func (t *tick) operate(w *tackfleet.Wave, m *tackfleet.WaveVM, p *tackfleet.WavePhase) {
	if !t.v.Platform() {
		p.Phase = tackfleet.PhaseReturning
		return
	}
	waited := t.now.Sub(m.Since)
	st := t.v.Operation(m.VM)
	confirmed := st.Operation == m.Operation
	switch {
	case confirmed && st.State == PlatformServing && t.wasStopped(m):
		p.Phase = tackfleet.PhaseReturning
		t.times.operation.add(waited, t.cfg.Reboot)
		delete(t.asked, m.Operation)
	case confirmed && st.State == PlatformFailed && tries(m.Operation) < t.cfg.MaxTries:
		p.Operation = operationID(w, m)
	case confirmed && st.State == PlatformFailed, waited >= t.cfg.OperationLimit:
		p.Phase = tackfleet.PhaseFailed
		delete(t.asked, m.Operation)
	case !confirmed:
		t.ask(OperationRequest{VM: m.VM, Action: w.Action, Operation: m.Operation})
	default:
		t.hold(w, m.VM, "its operation is under way")
	}
}

// wasStopped reports whether a VM that the platform shows as up has been down
// for its operation. A platform may accept an operation and show the VM as
// serving until it begins: the VM would get work again and be stopped under
// it. So either its health has changed since, or there was time to begin.
func (t *tick) wasStopped(m *tackfleet.WaveVM) bool {
	vm, _ := t.f.VM(m.VM)
	return vm.HealthSince.After(m.Since) || t.now.Sub(m.Since) >= beginWithin
}

// await waits until the VM's backend servers announce themselves again.
func (t *tick) await(w *tackfleet.Wave, m *tackfleet.WaveVM, vm *tackfleet.VM, p *tackfleet.WavePhase) {
	waited := t.now.Sub(m.Since)
	switch {
	case vm.Health == tackfleet.HealthServing:
		p.Phase = tackfleet.PhaseSettling
		t.times.back.add(waited, expectedBack)
	case waited >= domainPatience*t.cfg.OperationLimit,
		waited >= t.cfg.OperationLimit && !t.domainLost(w, vm):
		p.Phase = tackfleet.PhaseFailed
	default:
		t.hold(w, m.VM, "its backend servers have not come back")
	}
}

// settle lets the VM serve for the settling time, counted anew from each
// time that it comes back.
func (t *tick) settle(w *tackfleet.Wave, m *tackfleet.WaveVM, vm *tackfleet.VM, p *tackfleet.WavePhase) {
	served := t.now.Sub(max(m.Since, vm.HealthSince))
	switch {
	case vm.Health == tackfleet.HealthServing && served >= t.settling():
		p.Phase = tackfleet.PhaseDone
		t.done[m.VM] = true
	case vm.Health == tackfleet.HealthServing:
	case served >= domainPatience*t.cfg.OperationLimit,
		served >= t.cfg.OperationLimit && !t.domainLost(w, vm):
		p.Phase = tackfleet.PhaseFailed
	default:
		t.hold(w, m.VM, "it was lost again while it settled")
	}
}

// settling returns the settling time in force.
func (t *tick) settling() tackclock.Duration {
	return t.repair.settling(t.cfg.Settle)
}

// held reports whether a wave has the VM out of service, or not yet proven.
func held(p tackfleet.Phase) bool {
	return p >= tackfleet.PhaseDraining && p <= tackfleet.PhaseSettling
}

// operationID names the VM's next operation. It is made of the wave, the VM,
// the step that took it and the try, all of which lie in the state: a leader
// that takes over asks for the same one, and the platform carries it out
// once.
func operationID(w *tackfleet.Wave, m *tackfleet.WaveVM) tackid.Operation {
	id := fmt.Sprintf("%s-%d-%s-%d-%d", w.ID, w.Created, m.VM, m.Step, tries(m.Operation)+1)
	return tackid.Operation(id)
}

// tries returns how many operations have been asked for, by the last one.
func tries(last tackid.Operation) int {
	if last == "" {
		return 0
	}
	n, err := strconv.Atoi(string(last[strings.LastIndex(string(last), "-")+1:]))
	if err != nil {
		return 0
	}
	return n
}
