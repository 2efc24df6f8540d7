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
		total     int
		required  int
		binding   tackid.Service
		available int
		proven    int
		held      int // available again once the waves are through
		dcs       map[tackid.DataCentre]int
		racks     map[rackID]int
		largestDC int // VMs of the pool in its largest data centre
		reserve   reserve
	}
)

// room returns what the pool's budgets leave free now.
func (t *tick) room(pool tackid.Pool) *room {
	if r := t.rooms[pool]; r != nil {
		return r
	}
	r := &room{
		dcs:   make(map[tackid.DataCentre]int),
		racks: make(map[rackID]int),
	}
	base := &room{dcs: make(map[tackid.DataCentre]int), racks: make(map[rackID]int)}
	sizes := make(map[tackid.DataCentre]int)
	for _, vm := range t.f.VMsOf(pool) {
		r.total++
		sizes[vm.DataCentre]++
		proven := t.proven(&vm)
		if vm.Available() {
			r.available++
		}
		if proven {
			r.count(&vm, 1)
		}
		if proven || vm.Wave != "" {
			base.count(&vm, 1)
		}
	}
	r.held = base.proven - r.proven
	r.largestDC = largest(sizes)
	t.budget(pool, r)
	r.reserve = base.satisfiable(r.required)
	t.rooms[pool] = r
	return r
}

// proven reports whether a VM may be relied on while others are stopped. One
// that has just been repaired may not: a second loss often follows.
func (t *tick) proven(vm *tackfleet.VM) bool {
	if !vm.Available() || vm.State == tackfleet.VMSettling {
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

func (r *room) count(vm *tackfleet.VM, n int) {
	r.proven += n
	r.dcs[vm.DataCentre] += n
	if vm.Rack != "" {
		r.racks[rackOf(vm)] += n
	}
}

// satisfiable returns the largest failure domain whose loss the pool could
// stand with one VM out, if all its other VMs served.
func (r *room) satisfiable(required int) reserve {
	if r.proven-1-lossAfterOne(r.dcs) >= required {
		return reserveDataCentre
	}
	if len(r.racks) > 0 && r.proven-1-lossAfterOne(r.racks) >= required {
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
	r.available--
	return ""
}

// reserveBinds names the failure domain whose loss would now break a budget,
// if the reserve covers such domains.
func (r *room) reserveBinds() string {
	if r.required == 0 {
		return ""
	}
	if r.reserve == reserveDataCentre {
		if r.proven-largest(r.dcs) < r.required {
			return "reserve for the loss of a data centre, by the " + r.budgetText()
		}
	}
	if r.reserve == reserveRack {
		if r.proven-largest(r.racks) < r.required {
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
