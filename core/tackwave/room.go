package tackwave

import (
	"fmt"

	"auburntack/core/tackbudget"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// reserveNone keeps nothing back: the budget alone holds.
	reserveNone reserve = iota
	// reserveRack keeps enough back for the loss of any one rack.
	reserveRack
	// reserveDataCentre keeps enough back for the loss of any one data
	// centre.
	reserveDataCentre
)

type (
	// reserve is the failure domain whose loss the pool must stand while
	// VMs are out.
	reserve uint8

	// rackID names a rack; racks of two data centres may share a name.
	rackID struct {
		dataCentre tackid.DataCentre
		rack       tackid.Rack
	}

	// room is what the budgets of one pool leave free. Its counts go down as
	// VMs are taken in the same tick.
	room struct {
		census
		total     int
		required  int
		binding   tackid.Service
		proven    int // available, and relied upon while others are stopped
		full      int // available once the waves are through
		largestDC int // VMs of the pool in its largest data centre
		reserve   reserve
		tick      int // of the planner, when it was counted
	}

	// census counts the VMs that serve, by failure domain. Settling ones are
	// among them: they serve if another domain is lost.
	census struct {
		serving int
		dcs     map[tackid.DataCentre]int
		racks   map[rackID]int
	}
)

// room returns what the pool's budgets leave free now.
func (t *tick) room(pool tackid.Pool) *room {
	r := t.rooms[pool]
	if r == nil {
		r = &room{census: newCensus()}
		t.rooms[pool] = r
	}
	if r.tick != t.count {
		*r = room{census: r.cleared(), tick: t.count}
		t.fill(r, pool)
	}
	return r
}

// fill counts the pool's VMs.
func (t *tick) fill(r *room, pool tackid.Pool) {
	base := t.base.cleared()
	clear(t.sizes)
	for _, vm := range t.members[pool] {
		r.total++
		t.sizes[vm.DataCentre]++
		if vm.Available() {
			r.count(vm, 1)
		}
		if vm.Available() || vm.Wave != "" {
			base.count(vm, 1)
		}
		if t.proven(vm) {
			r.proven++
		}
	}
	r.full = base.serving
	r.largestDC = largest(t.sizes)
	t.budget(pool, r)
	r.reserve = base.satisfiable(r.required)
}

// proven reports whether a VM may be relied on while others are stopped. One
// that has just been repaired may not: a second loss often follows.
func (t *tick) proven(vm *tackfleet.VM) bool {
	if !vm.Available() || vm.State == tackfleet.VMSettling && !t.done[vm.ID] {
		return false
	}
	return !t.repair.settlingAfterRepair(t.now, vm.ID, t.settling())
}

// budget finds the strictest budget on the pool.
func (t *tick) budget(pool tackid.Pool, r *room) {
	for _, s := range t.f.ServicesOn(pool) {
		n := tackbudget.Required(s.Budget, r.total)
		if n > r.required {
			r.required = n
			r.binding = s.ID
		}
	}
}

func newCensus() census {
	return census{dcs: make(map[tackid.DataCentre]int), racks: make(map[rackID]int)}
}

// cleared returns an empty census that reuses the maps.
func (c *census) cleared() census {
	clear(c.dcs)
	clear(c.racks)
	return census{dcs: c.dcs, racks: c.racks}
}

func (c *census) count(vm *tackfleet.VM, n int) {
	c.serving += n
	c.dcs[vm.DataCentre] += n
	if vm.Rack != "" {
		c.racks[rackOf(vm)] += n
	}
}

// satisfiable returns the largest failure domain whose loss the pool could
// stand with one VM out, if all its other VMs served.
func (c *census) satisfiable(required int) reserve {
	if c.serving-1-lossAfterOne(c.dcs) >= required {
		return reserveDataCentre
	}
	if len(c.racks) > 0 && c.serving-1-lossAfterOne(c.racks) >= required {
		return reserveRack
	}
	return reserveNone
}

// take counts the VM as out of service if the budgets and the reserve allow
// that. Otherwise it returns what binds.
func (r *room) take(vm *tackfleet.VM) (binds string) {
	if r.required > 0 && r.proven-1 < r.required {
		return r.budgetText()
	}
	r.count(vm, -1)
	if binds = r.reserveBinds(); binds != "" {
		r.count(vm, 1)
		return binds
	}
	r.proven--
	return ""
}

// reserveBinds names the failure domain whose loss would now break a budget,
// if the reserve covers such domains.
func (r *room) reserveBinds() string {
	if r.required == 0 {
		return ""
	}
	if r.reserve == reserveDataCentre {
		if r.serving-largest(r.dcs) < r.required {
			return "reserve for the loss of a data centre, by the " + r.budgetText()
		}
	}
	if r.reserve == reserveRack {
		if r.serving-largest(r.racks) < r.required {
			return "reserve for the loss of a rack, by the " + r.budgetText()
		}
	}
	return ""
}

// budgetText says which budget binds, and that no reserve stands behind it
// where none can.
func (r *room) budgetText() string {
	text := fmt.Sprintf("budget of service %s (%d of %d VMs)", r.binding, r.required, r.total)
	if r.reserve == reserveNone {
		text += ", no reserve: it leaves no room for the loss of a rack"
	}
	return text
}

func rackOf(vm *tackfleet.VM) rackID {
	return rackID{dataCentre: vm.DataCentre, rack: vm.Rack}
}

// lossAfterOne returns the largest count once one VM of the largest domain
// is out.
func lossAfterOne[K comparable](domains map[K]int) int {
	most, times := 0, 0
	for _, n := range domains {
		switch {
		case n > most:
			most, times = n, 1
		case n == most:
			times++
		}
	}
	if times == 1 && most > 0 {
		return most - 1
	}
	return most
}

func largest[K comparable](domains map[K]int) int {
	most := 0
	for _, n := range domains {
		most = max(most, n)
	}
	return most
}
