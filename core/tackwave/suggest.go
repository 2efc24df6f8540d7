package tackwave

import (
	"slices"
	"strings"

	"auburntack/core/tackbudget"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// Demand is the number of VMs that a pool needs in service in one data
	// centre, or in any data centre if DataCentre is empty.
	Demand struct {
		Pool       tackid.Pool
		DataCentre tackid.DataCentre
		VMs        int
	}

	// Move is one VM to move between pools. Crosses reports that the VM is in
	// another data centre than the one in which it is needed.
	Move struct {
		VM      tackid.VM
		From    tackid.Pool
		To      tackid.Pool
		Crosses bool
	}

	// poolPart is the part of a pool in one data centre, or the whole pool if
	// dataCentre is empty.
	poolPart struct {
		pool       tackid.Pool
		dataCentre tackid.DataCentre
	}

	// moveSearch is the state of a search for moves: the VMs that the pools have
	// and can spare.
	moveSearch struct {
		serving  map[poolPart]int
		crossing map[poolPart]int // VMs of other data centres that count for the demand
		demanded map[poolPart]int // the pool's own demand
		counts   map[tackid.Pool]tackbudget.Count
		f        *tackfleet.State
		vms      []tackfleet.VM
		moves    []Move
		pending  map[tackid.VM]bool
	}
)

// Suggest returns the fewest moves of VMs between pools that meet the demands,
// and the part of the demands that no move can meet. A pool gives only VMs that
// its own demands and budgets leave free. VMs of another data centre are moved
// only if there is none left in the data centre of the demand.
func Suggest(f *tackfleet.State, demands []Demand) (moves []Move, missing []Demand) {
	m := newMoveSearch(f, demands)
	// Demands for one data centre come first, since their VMs count for a
	// demand of the whole pool as well.
	demands = slices.Clone(demands)
	slices.SortStableFunc(demands, func(a, b Demand) int { return -strings.Compare(string(a.DataCentre), string(b.DataCentre)) })
	for _, crossing := range []bool{false, true} {
		for _, d := range demands {
			for m.need(d) > 0 && m.move(d, crossing) {
			}
		}
	}
	for _, d := range demands {
		if n := m.need(d); n > 0 {
			missing = append(missing, Demand{Pool: d.Pool, DataCentre: d.DataCentre, VMs: n})
		}
	}
	return m.moves, missing
}

func newMoveSearch(f *tackfleet.State, demands []Demand) *moveSearch {
	m := &moveSearch{
		serving:  make(map[poolPart]int),
		crossing: make(map[poolPart]int),
		demanded: make(map[poolPart]int),
		counts:   make(map[tackid.Pool]tackbudget.Count),
		f:        f,
		pending:  make(map[tackid.VM]bool),
	}
	for _, d := range demands {
		m.demanded[partOf(d)] = max(m.demanded[partOf(d)], d.VMs)
	}
	for _, p := range f.Pools() {
		m.counts[p.ID] = f.Count(p.ID)
	}
	for vm := range f.EachVM() {
		if vm.Available() && vm.State == tackfleet.VMInService && vm.Wave == "" {
			m.vms = append(m.vms, *vm)
			m.serving[poolPart{vm.Pool, vm.DataCentre}]++
			m.serving[poolPart{vm.Pool, ""}]++
		}
	}
	return m
}

func partOf(d Demand) poolPart {
	return poolPart{pool: d.Pool, dataCentre: d.DataCentre}
}

// need returns the number of VMs still missing for the demand.
func (m *moveSearch) need(d Demand) int {
	return d.VMs - m.serving[partOf(d)] - m.crossing[partOf(d)]
}

// move adds the best move for the demand and reports whether there is one.
func (m *moveSearch) move(d Demand, crossing bool) bool {
	best, most := -1, 0
	for i := range m.vms {
		vm := &m.vms[i]
		within := d.DataCentre == "" || vm.DataCentre == d.DataCentre
		if vm.Pool == d.Pool || within == crossing || m.pending[vm.ID] {
			continue
		}
		if spare := m.spare(vm); spare > most {
			best, most = i, spare
		}
	}
	if best < 0 {
		return false
	}
	m.add(&m.vms[best], d, crossing)
	return true
}

// spare returns how many VMs the VM's pool can give from the VM's data centre.
func (m *moveSearch) spare(vm *tackfleet.VM) int {
	whole := poolPart{vm.Pool, ""}
	part := poolPart{vm.Pool, vm.DataCentre}
	spare := min(m.serving[whole]-m.demanded[whole], m.serving[part]-m.demanded[part])
	for _, s := range m.f.ServicesOn(vm.Pool) {
		spare = min(spare, tackbudget.Free(s.Budget, m.counts[vm.Pool]))
	}
	return spare
}

func (m *moveSearch) add(vm *tackfleet.VM, d Demand, crossing bool) {
	m.pending[vm.ID] = true
	m.serving[poolPart{d.Pool, ""}]++
	m.serving[poolPart{d.Pool, vm.DataCentre}]++
	if crossing {
		m.crossing[partOf(d)]++
	}
	m.serving[poolPart{vm.Pool, ""}]--
	m.serving[poolPart{vm.Pool, vm.DataCentre}]--
	c := m.counts[vm.Pool]
	c.Available--
	c.Proven--
	m.counts[vm.Pool] = c
	m.moves = append(m.moves, Move{VM: vm.ID, From: vm.Pool, To: d.Pool, Crosses: crossing})
}
