package tackwave

import (
	"cmp"
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
	// slackShare is kept of the time that is left when the fewest VMs that
	// end in time are worked out, one part in slackShare.
	slackShare = 10
)

type (
	// progress is where a running wave stands.
	progress struct {
		waiting []*tackfleet.WaveVM // in service, may be taken
		blocked []*tackfleet.WaveVM // lost, or held by something else
		out     int
		done    int
		failed  []tackid.VM
		skipped int
		late    int            // out for much longer than expected
		quiet   tackclock.Time // the newest change of a phase
	}

	// order compares two VMs that may be taken; the lower goes first.
	order func(r *room, a, b *tackfleet.VM) int
)

// goOn ends, stops or widens a running wave.
func (t *tick) goOn(w *tackfleet.Wave) {
	p := t.progress(w)
	if reason, stop := t.broken(w, &p); stop {
		t.end(w, tackfleet.WaveStopped, reason)
		return
	}
	if len(p.waiting) == 0 && p.out == 0 {
		t.wrapUp(w, &p)
		return
	}
	t.step(w, &p)
}

// progress counts the wave's VMs by phase.
func (t *tick) progress(w *tackfleet.Wave) progress {
	p := progress{quiet: w.Started}
	for i := range w.VMs {
		m := &w.VMs[i]
		p.quiet = max(p.quiet, m.Since)
		switch {
		case held(m.Phase):
			p.out++
			p.late += t.overdue(m)
		case m.Phase == tackfleet.PhaseDone:
			p.done++
		case m.Phase == tackfleet.PhaseFailed:
			p.failed = append(p.failed, m.VM)
		case m.Phase == tackfleet.PhaseSkipped:
			p.skipped++
		case t.takeable(w, m):
			p.waiting = append(p.waiting, m)
		default:
			p.blocked = append(p.blocked, m)
		}
	}
	return p
}

// takeable reports whether a waiting VM serves and nothing else holds it.
func (t *tick) takeable(w *tackfleet.Wave, m *tackfleet.WaveVM) bool {
	vm, ok := t.f.VM(m.VM)
	if !ok {
		return false
	}
	return vm.Pool == w.Pool && vm.Wave == "" && vm.State == tackfleet.VMInService &&
		vm.Health == tackfleet.HealthServing
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
	width, binds := t.width(w, p)
	free := width - p.out
	vms := t.candidates(w, p)
	r := t.room(w.Pool)
	var step []tackid.VM
	for len(vms) > 0 && len(step) < free {
		i := t.first(r, vms)
		if b := r.take(&vms[i]); b != "" {
			binds = b
			break
		}
		step = append(step, vms[i].ID)
		vms = slices.Delete(vms, i, i+1)
	}
	if len(vms) > 0 {
		t.binds[w.ID] = binds
	}
	if len(step) > 0 {
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
	if p.out == 0 {
		t.end(w, tackfleet.WaveStopped, fmt.Sprintf("the night ends at %s, %d VMs are left", ends, left))
	}
	return true
}

// width returns how many VMs the wave may have out at once, and what sets
// that: first the canary, then twice as many as came back well, up to the
// bounds; half of it for each recent loss.
func (t *tick) width(w *tackfleet.Wave, p *progress) (int, string) {
	width, binds := len(w.VMs), ""
	lower := func(n int, why string) {
		if n < width {
			width, binds = n, why
		}
	}
	if n := t.room(w.Pool).largestDC; n > 0 {
		lower(n, "no more VMs out than the largest data centre has")
	}
	if w.MaxParallel > 0 {
		lower(w.MaxParallel, fmt.Sprintf("max_parallel %d", w.MaxParallel))
	}
	if t.cfg.Prefer == PreferBuffer {
		lower(t.fewest(w, p), "fewest VMs out that end in time")
	}
	if p.done < t.cfg.Canary {
		lower(t.cfg.Canary, "canary")
	} else {
		lower(2*p.done, "steps grow from the canary")
	}
	if n := min(t.losses(w, p), maxNarrow); n > 0 {
		lower(max(1, width>>n), fmt.Sprintf("%d VMs were lost lately", n))
	}
	return max(1, width), binds
}

// fewest returns the smallest number of VMs out at once that ends the wave in
// time, by what one VM takes.
func (t *tick) fewest(w *tackfleet.Wave, p *progress) int {
	cycle := t.times.away(t.cfg) + t.settling()
	left := t.cfg.ends(w).Sub(t.now)
	left -= left / slackShare
	rounds := int(left / cycle)
	if rounds < 1 {
		return len(w.VMs)
	}
	todo := len(p.waiting) + p.out
	return max(1, (todo+rounds-1)/rounds)
}

// losses counts what makes the wave narrow: VMs that it lost or that are
// overdue, and VMs of the pool that were lost of late.
func (t *tick) losses(w *tackfleet.Wave, p *progress) int {
	n := p.late
	for i := range w.VMs {
		m := &w.VMs[i]
		if m.Phase == tackfleet.PhaseFailed && t.now.Sub(m.Since) < narrowFor {
			n++
		}
	}
	for _, vm := range t.f.VMsOf(w.Pool) {
		if vm.Wave == "" && vm.Health == tackfleet.HealthLost && vm.State == tackfleet.VMInService &&
			t.now.Sub(vm.HealthSince) < narrowFor {
			n++
		}
	}
	return n
}

// candidates returns the VMs that may be taken. Those that did not become
// idle in an earlier try come last and wait for a while.
func (t *tick) candidates(w *tackfleet.Wave, p *progress) []tackfleet.VM {
	var fresh, again []tackfleet.VM
	for _, m := range p.waiting {
		vm, _ := t.f.VM(m.VM)
		since, busy := t.busy[m.VM]
		switch {
		case !t.proven(&vm):
		case !busy:
			fresh = append(fresh, vm)
		case t.now.Sub(since) < t.cfg.DrainLimit:
			t.hold(w, m.VM, "it did not become idle in time and is tried again later")
		default:
			again = append(again, vm)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return again
}

// first returns the index of the VM to take next.
func (t *tick) first(r *room, vms []tackfleet.VM) int {
	less := t.order
	if less == nil {
		less = spread
	}
	best := 0
	for i := 1; i < len(vms); i++ {
		if less(r, &vms[i], &vms[best]) < 0 {
			best = i
		}
	}
	return best
}

// spread takes from the data centre and rack with the most VMs in service,
// so that the largest loss that the reserve has to cover shrinks.
func spread(r *room, a, b *tackfleet.VM) int {
	return cmp.Or(
		cmp.Compare(r.dcs[b.DataCentre], r.dcs[a.DataCentre]),
		cmp.Compare(r.racks[rackOf(b)], r.racks[rackOf(a)]),
		cmp.Compare(a.ID, b.ID),
	)
}
