package tackpool

import (
	"cmp"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// freeVMs returns the VMs that can move. Idle VMs of other pools come first, idle longest
// first, since they cost something where they are, then the VMs of the standby pool, if
// any are needed.
func (p *Planner) freeVMs(pools []Pool, spare map[tackid.Service]int, needed bool) []freeVM {
	var free []freeVM
	for i := range pools {
		pool := &pools[i]
		if pool.Standby && !needed {
			continue
		}
		left := spare[pool.Service]
		for _, vm := range p.idle(pool) {
			left -= vm.Resources.MilliCores
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

// spare returns the millicores that the pool has beyond what its work requires.
//
// Load pattern: a burst is over, and what is left of it waits for earlier steps or for a
// few slow items while many VMs are idle. If those were held until nothing is left, the
// burst of the next queue would be refused although idle VMs exist.
func (p *Planner) spare(pool *Pool) int {
	if pool.Standby || len(pool.Demands) == 0 {
		return math.MaxInt
	}
	d := &pool.Demands[0]
	return d.cores(pool.VMs) + d.cores(pool.Incoming) - p.wanted(d)
}

func (p *Planner) spareByPool(pools []Pool) map[tackid.Service]int {
	spare := make(map[tackid.Service]int, len(pools))
	for i := range pools {
		spare[pools[i].Service] = p.spare(&pools[i])
	}
	return spare
}

// idle returns the idle VMs of the pool, idle longest first, and marks those that the
// pool keeps: a part of each kind, since work that only one kind can run would find no
// worker otherwise.
func (p *Planner) idle(pool *Pool) []freeVM {
	kinds := make(map[string]int)
	for i := range pool.VMs {
		kinds[pool.VMs[i].kind()]++
	}
	for kind, n := range kinds {
		kinds[kind] = p.releasable(pool, n)
	}
	var list []freeVM
	for _, vm := range pool.longestIdle() {
		kinds[vm.kind()]--
		list = append(list, freeVM{VM: vm, from: pool.Service, standby: pool.Standby, kept: kinds[vm.kind()] < 0})
	}
	return list
}

// kind returns the label for the kind of the VM, which comes before that of the rack.
func (vm *VM) kind() string {
	if len(vm.Labels) < 2 {
		return ""
	}
	return vm.Labels[0]
}

// releasable returns how many of n VMs the pool can give away.
func (p *Planner) releasable(pool *Pool, n int) int {
	if pool.Standby {
		return n
	}
	return max(0, n-p.kept(n))
}

// longestIdle returns the VMs that could move, idle longest first.
func (p *Pool) longestIdle() []VM {
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

// park moves VMs to the standby pool: those that have been idle for long, and those
// beyond the reserve. The latter use at most half of the moves, to leave the others to
// needs that arise meanwhile.
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
		spare[vm.from] -= vm.Resources.MilliCores
		moves = append(moves, Move{VM: vm.Name, From: vm.from, To: pools[at].Service})
	}
	return moves
}

// idleFor returns how long the VM has been idle since work was first wanted, or how long
// it has been idle at all if there has been no work yet.
func (p *Planner) idleFor(vm *freeVM) tackclock.Duration {
	if p.SinceFirstWork == 0 {
		return vm.Idle
	}
	return min(vm.Idle, p.SinceFirstWork)
}
