package tackwave

import (
	"slices"
	"strings"

	"auburntack/core/tackbudget"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// Demand is how many VMs a pool needs in service, in one data centre, or
	// anywhere if DataCentre is empty.
	Demand struct {
		Pool       tackid.Pool
		DataCentre tackid.DataCentre
		VMs        int
	}

	// Move is one VM to move between pools. Crosses says that it stands in
	// another data centre than the one in which the VM is needed.
	Move struct {
		VM      tackid.VM
		From    tackid.Pool
		To      tackid.Pool
		Crosses bool
	}

	// place is a part of a pool.
	place struct {
		pool       tackid.Pool
		dataCentre tackid.DataCentre
	}

	// market is what the pools have and can spare.
	market struct {
		have    map[place]int // with an empty data centre: the whole pool
		crossed map[place]int // VMs of other data centres that serve there
		keep    map[place]int
		counts  map[tackid.Pool]tackbudget.Count
		f       *tackfleet.State
		vms     []tackfleet.VM
		moves   []Move
		pending map[tackid.VM]bool
	}
)

// Suggest returns the fewest moves of VMs between pools that meet the
// demands, and what of the demands no move can meet. A pool gives only what
// its own demands and budgets leave over. Moves from within the data centre
// go first; a VM of another one is taken only where none within serves.
func Suggest(f *tackfleet.State, demands []Demand) (moves []Move, missing []Demand) {
	m := newMarket(f, demands)
	// A VM for one data centre serves a demand of its whole pool as well.
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

func newMarket(f *tackfleet.State, demands []Demand) *market {
	m := &market{
		have:    make(map[place]int),
		crossed: make(map[place]int),
		keep:    make(map[place]int),
		counts:  make(map[tackid.Pool]tackbudget.Count),
		f:       f,
		pending: make(map[tackid.VM]bool),
	}
	for _, d := range demands {
		m.keep[placeOf(d)] = max(m.keep[placeOf(d)], d.VMs)
	}
	for _, p := range f.Pools() {
		m.counts[p.ID] = f.Count(p.ID)
	}
	for vm := range f.EachVM() {
		if vm.Available() && vm.State == tackfleet.VMInService && vm.Wave == "" {
			m.vms = append(m.vms, *vm)
			m.have[place{vm.Pool, vm.DataCentre}]++
			m.have[place{vm.Pool, ""}]++
		}
	}
	return m
}

func placeOf(d Demand) place {
	return place{pool: d.Pool, dataCentre: d.DataCentre}
}

// need returns how many VMs the demand still lacks.
func (m *market) need(d Demand) int {
	return d.VMs - m.have[placeOf(d)] - m.crossed[placeOf(d)]
}

// move adds the best move toward the demand and reports whether there is one.
func (m *market) move(d Demand, crossing bool) bool {
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
	m.give(&m.vms[best], d, crossing)
	return true
}

// spare returns how many VMs the VM's pool can give from there.
func (m *market) spare(vm *tackfleet.VM) int {
	whole := place{vm.Pool, ""}
	part := place{vm.Pool, vm.DataCentre}
	spare := min(m.have[whole]-m.keep[whole], m.have[part]-m.keep[part])
	for _, s := range m.f.ServicesOn(vm.Pool) {
		spare = min(spare, tackbudget.Free(s.Budget, m.counts[vm.Pool]))
	}
	return spare
}

func (m *market) give(vm *tackfleet.VM, d Demand, crossing bool) {
	m.pending[vm.ID] = true
	m.have[place{d.Pool, ""}]++
	m.have[place{d.Pool, vm.DataCentre}]++
	if crossing {
		m.crossed[placeOf(d)]++
	}
	m.have[place{vm.Pool, ""}]--
	m.have[place{vm.Pool, vm.DataCentre}]--
	c := m.counts[vm.Pool]
	c.Available--
	c.Proven--
	m.counts[vm.Pool] = c
	m.moves = append(m.moves, Move{VM: vm.ID, From: vm.Pool, To: d.Pool, Crosses: crossing})
}
