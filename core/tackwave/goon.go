package tackwave

import (
	"fmt"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// narrowFor is how long a loss keeps a wave narrow.
	narrowFor = 20 * tackclock.Minute
	// maxNarrow bounds how often the width is halved.
	maxNarrow = 6
	// lateFactor is how many times the expected time away a VM may take
	// before the wave goes on more narrowly.
	lateFactor = 2
)

type (
	// progress is where a running wave stands.
	progress struct {
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

	// candidate is a VM that may be taken, and how many VMs serve in its
	// data centre and its rack.
	candidate struct {
		vm       *tackfleet.VM
		dc, rack int
	}
)

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

// step takes the VMs that may go next out of service.
func (t *tick) step(w *tackfleet.Wave, p *progress) {
	if t.nightOver(w, p) {
		return
	}
	free, binds := t.free(w, p)
	r := t.room(w.Pool)
	vms := t.candidates(w, p, r)
	var step []tackid.VM
	for len(vms) > 0 && len(step) < free {
		i := first(vms)
		if b := r.take(vms[i].vm); b != "" {
			binds = b
			break
		}
		step = append(step, vms[i].vm.ID)
		t.taken[vms[i].vm.ID] = true
		vms = drop(vms, i)
	}
	if len(vms) > 0 {
		t.binds[w.ID] = binds
	}
	if len(step) > 0 {
		t.slots -= len(step)
		slices.Sort(step)
		t.propose(tackfleet.Change{WaveStep: &tackfleet.WaveStep{Wave: w.ID, VMs: step}})
	}
}

// nightOver stops the wave cleanly where a VM taken now would not be back
// before the night ends: nothing more is taken, and once all are back the
// wave waits for an operator.
func (t *tick) nightOver(w *tackfleet.Wave, p *progress) bool {
	ends := t.cfg.NightEnds
	if ends == 0 || t.now.Add(t.times.away(t.cfg)).Before(ends) {
		return false
	}
	left := len(p.waiting) + len(p.blocked)
	t.binds[w.ID] = "the night ends at " + ends.String()
	if p.held() == 0 {
		t.end(w, tackfleet.WaveStopped, fmt.Sprintf("the night ends at %s, %d VMs are left", ends, left))
	}
	return true
}

// free returns how many more VMs the wave may take, and what sets that:
// first the canary, then twice as many as came back well, up to the bounds;
// half as many for each recent loss but the first.
func (t *tick) free(w *tackfleet.Wave, p *progress) (int, string) {
	free, binds := len(w.VMs), ""
	lower := func(n int, why string) {
		if n < free {
			free, binds = max(0, n), why
		}
	}
	if n := t.room(w.Pool).largestDC; n > 0 {
		lower(n-p.out, "no more VMs out than the largest data centre has")
	}
	if w.MaxParallel > 0 {
		lower(w.MaxParallel-p.held(), fmt.Sprintf("max_parallel %d", w.MaxParallel))
	}
	lower(t.slots, "fewest VMs out that end in time")
	if p.done < t.cfg.Canary {
		lower(t.cfg.Canary-p.held(), "canary")
	} else {
		lower(2*p.done-p.held(), "steps grow from the canary")
	}
	if n := min(t.losses(w, p), maxNarrow); n > 1 {
		width := (free + p.held()) >> (n - 1)
		lower(max(1, width)-p.held(), "VMs were lost lately")
	}
	return free, binds
}

// held returns how many VMs are out of service or settle.
func (p *progress) held() int {
	return p.out + p.settled
}

// losses counts what makes the wave narrow: VMs that it lost or that are
// overdue, and more than one VM of the pool lost of late. A single one says
// little, and the budget counts it as down already.
func (t *tick) losses(w *tackfleet.Wave, p *progress) int {
	n := p.late
	for i := range w.VMs {
		m := &w.VMs[i]
		if m.Phase == tackfleet.PhaseFailed && t.now.Sub(m.Since) < narrowFor {
			n++
		}
	}
	others := 0
	for _, vm := range t.members[w.Pool] {
		if vm.Wave == "" && vm.State == tackfleet.VMInService && vm.Health == tackfleet.HealthLost &&
			t.now.Sub(vm.HealthSince) < narrowFor {
			others++
		}
	}
	return n + max(0, others-1)
}

// candidates returns the VMs that may be taken. Those that did not become
// idle in an earlier try come last and wait for a while.
func (t *tick) candidates(w *tackfleet.Wave, p *progress, r *room) []candidate {
	fresh := make([]candidate, 0, len(p.waiting))
	var again []candidate
	for _, vm := range p.waiting {
		since, busy := t.busy[vm.ID]
		c := candidate{vm: vm, dc: r.dcs[vm.DataCentre], rack: r.racks[rackOf(vm)]}
		switch {
		case !t.proven(vm), t.taken[vm.ID]:
		case !busy:
			fresh = append(fresh, c)
		case t.now.Sub(since) < t.cfg.DrainLimit:
			t.hold(w, vm.ID, "it did not become idle in time and is tried again later")
		default:
			again = append(again, c)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return again
}

// first returns the index of the VM to take next: one in the data centre and
// rack with the most VMs in service, so that the largest loss that the
// reserve has to cover shrinks.
func first(vms []candidate) int {
	best := 0
	for i := 1; i < len(vms); i++ {
		if vms[i].before(&vms[best]) {
			best = i
		}
	}
	return best
}

func (c *candidate) before(d *candidate) bool {
	switch {
	case c.dc != d.dc:
		return c.dc > d.dc
	case c.rack != d.rack:
		return c.rack > d.rack
	}
	return c.vm.ID < d.vm.ID
}

// drop takes out the candidate at i, whose VM is taken, and brings the counts
// of the others up to date.
func drop(vms []candidate, i int) []candidate {
	taken := vms[i].vm
	vms = slices.Delete(vms, i, i+1)
	for i := range vms {
		c := &vms[i]
		if c.vm.DataCentre != taken.DataCentre {
			continue
		}
		c.dc--
		if c.vm.Rack == taken.Rack {
			c.rack--
		}
	}
	return vms
}
