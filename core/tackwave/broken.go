package tackwave

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// watch is how long after its maintenance a VM's loss is laid at the
	// wave's door.
	watch = 30 * tackclock.Minute
)

// domainCount counts VMs of a failure domain: all of them, those that do not
// serve, those that the wave touched, and those of the latter that serve.
type domainCount struct {
	vms, gone, touched, touchedServing int
}

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

// lostBy reports whether a VM that the wave touched is lost. One that was
// lost after it came back counts only once it has been away for longer than
// a restart takes: VMs restart all the time without a wave being at fault.
func (t *tick) lostBy(m *tackfleet.WaveVM, vm *tackfleet.VM) bool {
	away := vm.Health != tackfleet.HealthServing &&
		t.now.Sub(vm.HealthSince) >= lateFactor*t.times.away(t.cfg)
	switch m.Phase {
	case tackfleet.PhaseFailed:
		return vm.State == tackfleet.VMFailed
	case tackfleet.PhaseSettling:
		return away
	case tackfleet.PhaseDone:
		return away && vm.HealthSince.Sub(m.Since) < watch
	}
	return false
}

// domainLost reports whether the VM's rack or data centre was lost as a
// whole, so that the operation is not what took the VM.
func (t *tick) domainLost(w *tackfleet.Wave, vm *tackfleet.VM) bool {
	var rack, dc, all domainCount
	touched := touchedBy(w)
	for _, other := range t.members[vm.Pool] {
		was, ok := touched[other.ID], other.Health == tackfleet.HealthServing
		all.add(was, ok)
		if other.DataCentre != vm.DataCentre {
			continue
		}
		dc.add(was, ok)
		if other.Rack == vm.Rack && vm.Rack != "" {
			rack.add(was, ok)
		}
	}
	return rack.whole(&all) || dc.whole(&all)
}

// add counts one VM.
func (c *domainCount) add(touched, serving bool) {
	c.vms++
	if !serving {
		c.gone++
	}
	if touched {
		c.touched++
		if serving {
			c.touchedServing++
		}
	}
}

// whole reports whether a domain is gone as a whole for a reason of its own:
// VMs there that the wave never touched are gone too, or most of those that
// it touched elsewhere serve.
func (c *domainCount) whole(all *domainCount) bool {
	if c.vms < 2 || c.gone < c.vms {
		return false
	}
	elsewhere := all.touched - c.touched
	return c.touched < c.vms || 2*all.touchedServing > elsewhere
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
