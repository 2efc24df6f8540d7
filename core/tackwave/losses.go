package tackwave

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// attributionWindow is how long after the end of its maintenance a loss
	// of a VM is still attributed to the wave.
	attributionWindow = 30 * tackclock.Minute
)

// domainCount counts the VMs of a failure domain: all, those that are not
// serving, those that the wave has taken, and those of the latter that serve.
type domainCount struct {
	vms, down, taken, takenServing int
}

// mustStop reports whether the wave must stop because too many of the VMs it
// has taken are lost. While the canary is not done a single loss is enough,
// since a faulty upgrade is likely to break the first VM too.
func (t *tick) mustStop(w *tackfleet.Wave, p *progress) (reason string, stop bool) {
	lost := t.lostVMs(w)
	if len(lost) == 0 {
		return "", false
	}
	if p.done < t.cfg.Canary {
		return fmt.Sprintf("the %s broke among the first VMs: %v did not come back", w.Action, lost), true
	}
	bound := t.cfg.lossLimit(len(w.VMs))
	if len(lost) <= bound {
		return "", false
	}
	return fmt.Sprintf("the %s lost %d VMs, more than %d: %v; undrain or remove them, then resume",
		w.Action, len(lost), bound, lost), true
}

// lostVMs returns the VMs whose loss is attributed to the wave. A failed VM
// that an operator has undrained or removed does not count any more, so that a
// stopped wave can be resumed.
func (t *tick) lostVMs(w *tackfleet.Wave) []tackid.VM {
	var lost []tackid.VM
	for i := range w.VMs {
		m := &w.VMs[i]
		vm, ok := t.f.VM(m.VM)
		if ok && t.isLost(m, &vm) && !t.domainLost(w, &vm) {
			lost = append(lost, m.VM)
		}
	}
	return lost
}

// isLost reports whether a VM that the wave has taken is lost. A VM that is
// lost after it came back counts only after it has been down for longer than a
// restart takes, because VMs often restart for reasons other than the wave.
func (t *tick) isLost(m *tackfleet.WaveVM, vm *tackfleet.VM) bool {
	away := vm.Health != tackfleet.HealthServing &&
		t.now.Sub(vm.HealthSince) >= overdueFactor*t.times.away(t.cfg)
	switch m.Phase {
	case tackfleet.PhaseFailed:
		return vm.State == tackfleet.VMFailed
	case tackfleet.PhaseSettling:
		return away
	case tackfleet.PhaseDone:
		return away && vm.HealthSince.Sub(m.Since) < attributionWindow
	}
	return false
}

// domainLost reports whether the VM's whole rack or data centre is down, which
// means that the operation is not the cause of the VM's loss.
func (t *tick) domainLost(w *tackfleet.Wave, vm *tackfleet.VM) bool {
	var rack, dc, all domainCount
	taken := takenBy(w)
	for _, other := range t.members[vm.Pool] {
		was, ok := taken[other.ID], other.Health == tackfleet.HealthServing
		all.add(was, ok)
		if other.DataCentre != vm.DataCentre {
			continue
		}
		dc.add(was, ok)
		if other.Rack == vm.Rack && vm.Rack != "" {
			rack.add(was, ok)
		}
	}
	return rack.lostIndependently(&all) || dc.lostIndependently(&all)
}

func (c *domainCount) add(taken, serving bool) {
	c.vms++
	if !serving {
		c.down++
	}
	if taken {
		c.taken++
		if serving {
			c.takenServing++
		}
	}
}

// lostIndependently reports whether the whole domain is down for a reason other
// than the wave: VMs in it that the wave has not taken are down too, or most of
// the VMs that the wave has taken in other domains are serving.
func (c *domainCount) lostIndependently(all *domainCount) bool {
	if c.vms < 2 || c.down < c.vms {
		return false
	}
	elsewhere := all.taken - c.taken
	return c.taken < c.vms || 2*all.takenServing > elsewhere
}

// takenBy returns the VMs that the wave has taken out of service, now or
// earlier.
func takenBy(w *tackfleet.Wave) map[tackid.VM]bool {
	taken := make(map[tackid.VM]bool)
	for i := range w.VMs {
		phase := w.VMs[i].Phase
		taken[w.VMs[i].VM] = phase != tackfleet.PhaseWaiting && phase != tackfleet.PhaseSkipped
	}
	return taken
}
