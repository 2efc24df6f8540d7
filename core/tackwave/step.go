package tackwave

import (
	"fmt"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// slowdownAfterLoss is how long a loss reduces the number of VMs that a
	// wave may have out of service at once.
	slowdownAfterLoss = 20 * tackclock.Minute
	// maxHalvings bounds how many times that number is halved.
	maxHalvings = 6
)

// step takes the wave's next VMs out of service.
func (t *tick) step(w *tackfleet.Wave, p *progress) {
	if t.nightOver(w, p) {
		return
	}
	free, binds := t.free(w, p)
	r := t.capacity(w.Pool)
	vms := t.candidates(w, p, r)
	var step []tackid.VM
	for len(vms) > 0 && len(step) < free {
		i := nextIndex(vms)
		if b := r.take(vms[i].vm); b != "" {
			binds = b
			break
		}
		step = append(step, vms[i].vm.ID)
		t.taken[vms[i].vm.ID] = true
		vms = removeCandidate(vms, i)
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

// nightOver reports whether a VM taken now would not be back in service before
// the night ends. Then no more VMs are taken, and the wave is stopped once all
// of its VMs are back; an operator can resume it.
func (t *tick) nightOver(w *tackfleet.Wave, p *progress) bool {
	ends := t.cfg.NightEnds
	if ends == 0 || t.now.Add(t.times.away(t.cfg)).Before(ends) {
		return false
	}
	left := len(p.waiting) + len(p.blocked)
	t.binds[w.ID] = "the night ends at " + ends.String()
	if p.held() == 0 {
		t.endWave(w, tackfleet.WaveStopped, fmt.Sprintf("the night ends at %s, %d VMs are left", ends, left))
	}
	return true
}

// free returns how many more VMs the wave may take, and the constraint that
// sets this number. A wave starts with the canary, then may have out twice as
// many VMs as are done, up to the other limits. Each recent loss after the
// first halves the number.
func (t *tick) free(w *tackfleet.Wave, p *progress) (int, string) {
	free, binds := len(w.VMs), ""
	lower := func(n int, why string) {
		if n < free {
			free, binds = max(0, n), why
		}
	}
	if n := t.capacity(w.Pool).largestDC; n > 0 {
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
	if n := min(t.losses(w, p), maxHalvings); n > 1 {
		width := (free + p.held()) >> (n - 1)
		lower(max(1, width)-p.held(), "VMs were lost lately")
	}
	return free, binds
}

// losses counts the recent losses for which the wave takes fewer VMs: VMs that
// it lost or that are overdue, and the other VMs of the pool lost recently, less
// one. A single loss outside the wave means little, and the budget counts that
// VM as down already.
func (t *tick) losses(w *tackfleet.Wave, p *progress) int {
	n := p.overdue
	for i := range w.VMs {
		m := &w.VMs[i]
		if m.Phase == tackfleet.PhaseFailed && t.now.Sub(m.Since) < slowdownAfterLoss {
			n++
		}
	}
	others := 0
	for _, vm := range t.members[w.Pool] {
		if vm.Wave == "" && vm.State == tackfleet.VMInService && vm.Health != tackfleet.HealthServing &&
			t.now.Sub(vm.HealthSince) < slowdownAfterLoss {
			others++
		}
	}
	return n + max(0, others-1)
}
