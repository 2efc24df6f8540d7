package tackwave

import (
	"slices"

	"auburntack/core/tackfleet"
)

// candidate is a VM that may be taken, and how many VMs serve in its data
// centre and its rack.
type candidate struct {
	vm       *tackfleet.VM
	dc, rack int
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
