package tackwave

import (
	"fmt"

	"auburntack/core/tackbudget"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// reserveNone keeps no VMs in reserve; only the budgets limit the waves.
	reserveNone reserve = iota
	// reserveRack keeps enough VMs in reserve for the loss of any one rack.
	reserveRack
	// reserveDataCentre keeps enough VMs in reserve for the loss of any one
	// data centre.
	reserveDataCentre
)

type (
	// reserve is the failure domain whose loss the pool must tolerate while
	// VMs are out of service.
	reserve uint8

	// rackID identifies a rack. Rack names are unique only within a data
	// centre.
	rackID struct {
		dataCentre tackid.DataCentre
		rack       tackid.Rack
	}

	// capacity counts the VMs of a pool to determine how many of them its
	// budgets allow to be taken out of service. It is updated as VMs are taken
	// during a tick.
	capacity struct {
		servingCount
		total     int
		required  int
		strictest tackid.Service
		proven    int // available, and reliable enough to stop others
		full      int // available once the waves have ended
		largestDC int // VMs of the pool in its largest data centre
		reserve   reserve
		tick      int // tick of the planner in which it was computed
	}

	// servingCount counts the VMs that are serving, by failure domain. Settling
	// VMs are included, since they serve if another domain is lost.
	servingCount struct {
		serving int
		dcs     map[tackid.DataCentre]int
		racks   map[rackID]int
	}
)

// capacity returns the capacity of the pool in this tick.
func (t *tick) capacity(pool tackid.Pool) *capacity {
	r := t.capacities[pool]
	if r == nil {
		r = &capacity{servingCount: newServingCount()}
		t.capacities[pool] = r
	}
	if r.tick != t.tickCount {
		*r = capacity{servingCount: r.cleared(), tick: t.tickCount}
		t.fill(r, pool)
	}
	return r
}

// fill computes r from the pool's VMs and budgets.
func (t *tick) fill(r *capacity, pool tackid.Pool) {
	base := t.allServing.cleared()
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
	r.reserve = base.attainableReserve(r.required)
}

// proven reports whether a VM may be relied on while others are stopped. A VM
// that has just been repaired may not, because it is often lost again soon.
func (t *tick) proven(vm *tackfleet.VM) bool {
	if !vm.Available() || vm.State == tackfleet.VMSettling && !t.done[vm.ID] {
		return false
	}
	return !t.repair.settlingAfterRepair(t.now, vm.ID, t.settling())
}

// budget sets the strictest of the pool's budgets.
func (t *tick) budget(pool tackid.Pool, r *capacity) {
	for _, s := range t.f.ServicesOn(pool) {
		n := tackbudget.Required(s.Budget, r.total)
		if n > r.required {
			r.required = n
			r.strictest = s.ID
		}
	}
}

func newServingCount() servingCount {
	return servingCount{dcs: make(map[tackid.DataCentre]int), racks: make(map[rackID]int)}
}

// cleared returns an empty count that reuses the maps of c.
func (c *servingCount) cleared() servingCount {
	clear(c.dcs)
	clear(c.racks)
	return servingCount{dcs: c.dcs, racks: c.racks}
}

func (c *servingCount) count(vm *tackfleet.VM, n int) {
	c.serving += n
	c.dcs[vm.DataCentre] += n
	if vm.Rack != "" {
		c.racks[rackOf(vm)] += n
	}
}

// attainableReserve returns the largest failure domain whose loss the pool
// could tolerate with one VM out of service and all others serving.
func (c *servingCount) attainableReserve(required int) reserve {
	if c.serving-1-largestAfterOne(c.dcs) >= required {
		return reserveDataCentre
	}
	if len(c.racks) > 0 && c.serving-1-largestAfterOne(c.racks) >= required {
		return reserveRack
	}
	return reserveNone
}

// take counts the VM as out of service if the budgets and the reserve allow
// it. Otherwise it returns a description of the constraint.
func (r *capacity) take(vm *tackfleet.VM) (binds string) {
	if r.required > 0 && r.proven-1 < r.required {
		return r.budgetText()
	}
	r.count(vm, -1)
	if binds = r.reserveConstraint(); binds != "" {
		r.count(vm, 1)
		return binds
	}
	r.proven--
	return ""
}

// reserveConstraint describes the reserve if it does not cover the loss of the
// largest failure domain any more. Otherwise it returns "".
func (r *capacity) reserveConstraint() string {
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

// budgetText describes the strictest budget, and mentions if it leaves no room
// for a reserve.
func (r *capacity) budgetText() string {
	text := fmt.Sprintf("budget of service %s (%d of %d VMs)", r.strictest, r.required, r.total)
	if r.reserve == reserveNone {
		text += ", no reserve: it leaves no room for the loss of a rack"
	}
	return text
}

func rackOf(vm *tackfleet.VM) rackID {
	return rackID{dataCentre: vm.DataCentre, rack: vm.Rack}
}

// largestAfterOne returns the largest count after one VM of the largest domain
// is taken out of service.
func largestAfterOne[K comparable](domains map[K]int) int {
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
