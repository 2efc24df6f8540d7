package tackpool

import (
	"cmp"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// freeVMs returns the VMs that can go: those of other pools that have been
// idle longest first, since they cost something where they are, then those of
// the standby pool, if any are needed.
func (p *Planner) freeVMs(pools []Pool, spare map[tackid.Service]int, needed bool) []freeVM {
	var free []freeVM
	for i := range pools {
		pool := &pools[i]
		if pool.Standby && !needed {
			continue
		}
		left := spare[pool.Service]
		for _, vm := range p.idle(pool) {
			left -= vm.Room.MilliCores
			vm.needed = left < 0
			free = append(free, vm)
		}
	}
	slices.SortStableFunc(free, func(a, b freeVM) int {
		return cmp.Or(
			compareBool(a.kept, b.kept), compareBool(a.needed, b.needed), compareBool(a.standby, b.standby),
			cmp.Compare(b.Idle, a.Idle),
		)
	})
	return free
}

// spare is how many thousandths of a core the pool has beyond what it is to do.
//
// Load pattern: a turn is over and what is left of it waits for earlier steps or
// for a few slow items, beside many empty VMs. Were those held until nothing is
// left, the next queue's turn would be refused beside them.
func (p *Planner) spare(pool *Pool) int {
	if pool.Standby || len(pool.Demands) == 0 {
		return math.MaxInt
	}
	d := &pool.Demands[0]
	return d.cores(pool.VMs) + d.cores(pool.Coming) - p.wanted(d)
}

func (p *Planner) spares(pools []Pool) map[tackid.Service]int {
	spare := make(map[tackid.Service]int, len(pools))
	for i := range pools {
		spare[pools[i].Service] = p.spare(&pools[i])
	}
	return spare
}

// idle returns the pool's idle VMs, idle longest first, and which of them it keeps:
// a part of each kind, since what only one kind can run would find no worker.
func (p *Planner) idle(pool *Pool) []freeVM {
	kinds := make(map[string]int)
	for i := range pool.VMs {
		kinds[pool.VMs[i].kind()]++
	}
	for kind, n := range kinds {
		kinds[kind] = p.mayGive(pool, n)
	}
	var list []freeVM
	for _, vm := range pool.idlest() {
		kinds[vm.kind()]--
		list = append(list, freeVM{VM: vm, from: pool.Service, standby: pool.Standby, kept: kinds[vm.kind()] < 0})
	}
	return list
}

// kind is the label that comes before the rack's.
func (vm *VM) kind() string {
	if len(vm.Labels) < 2 {
		return ""
	}
	return vm.Labels[0]
}

// mayGive is how many of n VMs the pool can do without.
func (p *Planner) mayGive(pool *Pool, n int) int {
	if pool.Standby {
		return n
	}
	keep := (n*p.KeepPercent + 99) / 100
	return max(0, n-max(keep, 1))
}

// idlest returns the VMs that could go, idle longest first.
func (p *Pool) idlest() []VM {
	var list []VM
	for _, vm := range p.VMs {
		if !vm.Fixed && (vm.Idle > 0 || p.Standby) {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// park sends VMs to the standby pool: those that have been idle for long, and those
// beyond the reserve. The latter leave half of the moves to what is needed meanwhile.
func (p *Planner) park(pools []Pool, free []freeVM, spare map[tackid.Service]int, limit int) []Move {
	at := slices.IndexFunc(pools, func(p Pool) bool { return p.Standby })
	if at < 0 {
		return nil
	}
	var moves []Move
	surplus := 0
	for _, vm := range free {
		if len(moves) >= limit {
			break
		}
		if vm.standby || vm.needed || vm.kept {
			continue
		}
		if p.idleFor(&vm) < p.ParkAfter {
			if surplus >= limit/2 || !p.isSurplus(&vm, spare[vm.from]) {
				continue
			}
			surplus++
		}
		spare[vm.from] -= vm.Room.MilliCores
		moves = append(moves, Move{VM: vm.Name, From: vm.from, To: pools[at].Service})
	}
	return moves
}

// idleFor is for how long the VM has been idle while there was work for others, or at all
// if there never was any.
func (p *Planner) idleFor(vm *freeVM) tackclock.Duration {
	if p.WantedFor == 0 {
		return vm.Idle
	}
	return min(vm.Idle, p.WantedFor)
}

// isSurplus reports whether a pool that has so many thousandths of a core to spare has
// its reserve without the VM.
func (p *Planner) isSurplus(vm *freeVM, spare int) bool {
	return p.Reserve > 0 && vm.Idle >= surplusAfter && spare-vm.Room.MilliCores >= p.Reserve
}
