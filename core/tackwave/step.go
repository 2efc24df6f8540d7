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
)

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
		if vm.Wave == "" && vm.State == tackfleet.VMInService && vm.Health != tackfleet.HealthServing &&
			t.now.Sub(vm.HealthSince) < narrowFor {
			others++
		}
	}
	return n + max(0, others-1)
}
