package tackwave

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// watch is how long after its maintenance a VM's loss is laid at the wave's
// door.
const watch = 30 * tackclock.Minute

// broken reports whether the wave must stop by itself: the VMs that it
// touched are lost, beyond the bound. A new wave is stopped by the first loss
// among its canary VMs, since an upgrade that breaks what it touches breaks
// the first one too.
func (t *tick) broken(w *tackfleet.Wave, p *progress) (reason string, stop bool) {
	lost := t.lost(w)
	if len(lost) == 0 {
		return "", false
	}
	if p.done < t.cfg.Canary {
		return fmt.Sprintf("the %s broke among the first VMs: %v did not come back", w.Action, lost), true
	}
	bound := t.cfg.lostBound(len(w.VMs))
	if len(lost) <= bound {
		return "", false
	}
	return fmt.Sprintf("the %s lost %d VMs, more than %d: %v; undrain or remove them, then resume",
		w.Action, len(lost), bound, lost), true
}

// lost returns the VMs whose loss is laid at the wave's door. A failed VM
// that an operator undrained or removed no longer counts, so that a stopped
// wave can be resumed.
func (t *tick) lost(w *tackfleet.Wave) []tackid.VM {
	var lost []tackid.VM
	for i := range w.VMs {
		m := &w.VMs[i]
		vm, ok := t.f.VM(m.VM)
		if ok && t.lostBy(m, &vm) && !t.domainLost(w, &vm) {
			lost = append(lost, m.VM)
		}
	}
	return lost
}

func (t *tick) lostBy(m *tackfleet.WaveVM, vm *tackfleet.VM) bool {
	away := t.now.Sub(vm.HealthSince)
	switch m.Phase {
	case tackfleet.PhaseFailed:
		return vm.State == tackfleet.VMFailed
	case tackfleet.PhaseSettling:
		return vm.Health == tackfleet.HealthLost && away >= t.cfg.Settle
	case tackfleet.PhaseDone:
		return vm.Health == tackfleet.HealthLost && away >= t.cfg.Settle &&
			vm.HealthSince.Sub(m.Since) < watch && t.now.Sub(m.Since) < 2*watch
	}
	return false
}

// domainLost reports whether the VM's rack or data centre was lost as a
// whole: VMs there that the wave never touched are gone too, so the operation
// is not what took this one.
func (t *tick) domainLost(w *tackfleet.Wave, vm *tackfleet.VM) bool {
	var rack, dc, rackGone, dcGone int
	touched := touchedBy(w)
	for _, other := range t.f.VMsOf(vm.Pool) {
		if other.DataCentre != vm.DataCentre || touched[other.ID] {
			continue
		}
		gone := 0
		if other.Health != tackfleet.HealthServing {
			gone = 1
		}
		dc, dcGone = dc+1, dcGone+gone
		if other.Rack == vm.Rack && vm.Rack != "" {
			rack, rackGone = rack+1, rackGone+gone
		}
	}
	return rack > 0 && rack == rackGone || dc > 1 && dc == dcGone
}

// touchedBy returns the VMs that the wave has or has had out.
func touchedBy(w *tackfleet.Wave) map[tackid.VM]bool {
	touched := make(map[tackid.VM]bool)
	for i := range w.VMs {
		phase := w.VMs[i].Phase
		touched[w.VMs[i].VM] = phase != tackfleet.PhaseWaiting && phase != tackfleet.PhaseSkipped
	}
	return touched
}
