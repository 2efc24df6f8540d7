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
	// domainWaitFactor is the number of operation limits to wait for a VM whose
	// whole rack or data centre is lost.
	domainWaitFactor = 4
	// operationStartLimit is the time within which the platform starts an
	// operation that it has accepted.
	operationStartLimit = 3 * tackclock.Second
)

// advance moves the VMs that a wave holds to their next phases. It does so
// regardless of the wave's status: otherwise a VM left drained by a paused,
// stopped or cancelled wave would be missing from its pool permanently.
func (t *tick) advance(w *tackfleet.Wave) {
	var phases []tackfleet.WavePhase
	for i := range w.VMs {
		m := &w.VMs[i]
		next, ok := t.nextPhase(w, m)
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

// serves reports whether the VM's backend servers are announcing themselves.
func (t *tick) serves(id tackid.VM) bool {
	vm, ok := t.f.VM(id)
	return ok && vm.Health == tackfleet.HealthServing
}

// nextPhase returns the next phase or operation of a VM and whether there is
// one.
func (t *tick) nextPhase(w *tackfleet.Wave, m *tackfleet.WaveVM) (tackfleet.WavePhase, bool) {
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
		t.awaitReturn(w, m, &vm, &p)
	case tackfleet.PhaseSettling:
		t.settle(w, m, &vm, &p)
	}
	return p, p.Phase != m.Phase || p.Operation != m.Operation
}

// drain waits until the VM has no work left. Planned maintenance never
// interrupts work, so a VM that is still busy after the drain limit is returned
// to service and retried later.
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
		t.drainTimeouts[m.VM] = t.now
	default:
		t.addHold(w, m.VM, "it still has work in flight")
	}
}

// operate requests the operation from the platform and waits for its end.
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
		delete(t.requested, m.Operation)
	case confirmed && st.State == PlatformFailed && tries(m.Operation) < t.cfg.MaxTries:
		p.Operation = operationID(w, m)
	case confirmed && st.State == PlatformFailed, waited >= t.cfg.OperationLimit:
		p.Phase = tackfleet.PhaseFailed
		delete(t.requested, m.Operation)
	case !confirmed:
		t.request(OperationRequest{VM: m.VM, Action: w.Action, Operation: m.Operation})
	default:
		t.addHold(w, m.VM, "its operation is under way")
	}
}

// wasStopped reports whether a VM that the platform reports as serving has been
// down for its operation. A platform may accept an operation and report the VM
// as serving until the operation starts; returning the VM to service then would
// let it be stopped with work in flight. So either the VM's health must have
// changed since the request, or operationStartLimit must have passed.
func (t *tick) wasStopped(m *tackfleet.WaveVM) bool {
	vm, _ := t.f.VM(m.VM)
	return vm.HealthSince.After(m.Since) || t.now.Sub(m.Since) >= operationStartLimit
}

// awaitReturn waits until the VM's backend servers announce themselves again
// after the operation.
func (t *tick) awaitReturn(w *tackfleet.Wave, m *tackfleet.WaveVM, vm *tackfleet.VM, p *tackfleet.WavePhase) {
	waited := t.now.Sub(m.Since)
	switch {
	case vm.Health == tackfleet.HealthServing:
		p.Phase = tackfleet.PhaseSettling
		t.times.back.add(waited, expectedBack)
	case waited >= domainWaitFactor*t.cfg.OperationLimit,
		waited >= t.cfg.OperationLimit && !t.domainLost(w, vm):
		p.Phase = tackfleet.PhaseFailed
	default:
		t.addHold(w, m.VM, "its backend servers have not come back")
	}
}

// settle waits until the VM has served for the settling time without
// interruption. Each loss restarts the settling time.
func (t *tick) settle(w *tackfleet.Wave, m *tackfleet.WaveVM, vm *tackfleet.VM, p *tackfleet.WavePhase) {
	served := t.now.Sub(max(m.Since, vm.HealthSince))
	switch {
	case vm.Health == tackfleet.HealthServing && served >= t.settling():
		p.Phase = tackfleet.PhaseDone
		t.done[m.VM] = true
	case vm.Health == tackfleet.HealthServing:
	case served >= domainWaitFactor*t.cfg.OperationLimit,
		served >= t.cfg.OperationLimit && !t.domainLost(w, vm):
		p.Phase = tackfleet.PhaseFailed
	default:
		t.addHold(w, m.VM, "it was lost again while it settled")
	}
}

// settling returns the current settling time.
func (t *tick) settling() tackclock.Duration {
	return t.repair.settling(t.cfg.Settle)
}

// held reports whether a wave holds a VM in this phase: it is out of service or
// settling.
func held(p tackfleet.Phase) bool {
	return p >= tackfleet.PhaseDraining && p <= tackfleet.PhaseSettling
}

// operationID returns the id of the VM's next operation. It is built from the
// wave, the VM, the step that took the VM and the attempt, all of which are in
// the replicated state. A new leader therefore requests the same operation, and
// the platform carries it out only once.
func operationID(w *tackfleet.Wave, m *tackfleet.WaveVM) tackid.Operation {
	id := fmt.Sprintf("%s-%d-%s-%d-%d", w.ID, w.Created, m.VM, m.Step, tries(m.Operation)+1)
	return tackid.Operation(id)
}

// tries returns the number of operations requested so far, which is the last
// part of the id of the last one.
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
