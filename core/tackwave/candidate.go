package tackwave

import (
	"slices"

	"auburntack/core/tackfleet"
)

// candidate is a VM that may be taken out of service, with the number of VMs
// serving in its data centre and in its rack.
type candidate struct {
	vm       *tackfleet.VM
	dc, rack int
}

// candidates returns the VMs that may be taken out of service. VMs whose drain
// timed out before are returned only if there are no others, and only after
// another DrainLimit has passed.
func (t *tick) candidates(w *tackfleet.Wave, p *progress, r *capacity) []candidate {
	fresh := make([]candidate, 0, len(p.waiting))
	var retries []candidate
	for _, vm := range p.waiting {
		since, busy := t.drainTimeouts[vm.ID]
		c := candidate{vm: vm, dc: r.dcs[vm.DataCentre], rack: r.racks[rackOf(vm)]}
		switch {
		case !t.proven(vm), t.taken[vm.ID]:
		case !busy:
			fresh = append(fresh, c)
		case t.now.Sub(since) < t.cfg.DrainLimit:
			t.addHold(w, vm.ID, "it did not become idle in time and is tried again later")
		default:
			retries = append(retries, c)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return retries
}

// nextIndex returns the index of the VM to take next: one in the data centre
// and rack with the most VMs in service, so that the largest loss that the
// reserve has to cover becomes smaller.
func nextIndex(vms []candidate) int {
	best := 0
	for i := 1; i < len(vms); i++ {
		if vms[i].before(&vms[best]) {
			best = i
		}
	}
	return best
}

// before reports whether c is taken before d.
func (c *candidate) before(d *candidate) bool {
	switch {
	case c.dc != d.dc:
		return c.dc > d.dc
	case c.rack != d.rack:
		return c.rack > d.rack
	}
	return c.vm.ID < d.vm.ID
}

// removeCandidate removes the candidate at i, whose VM is taken out of service,
// and updates the counts of the others.
func removeCandidate(vms []candidate, i int) []candidate {
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
