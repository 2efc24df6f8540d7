// Package tackpool decides which worker VMs change their pool: towards the
// pools whose accepted work would take too long, and away to the standby pool
// when nothing needs them.
//
// Load pattern: queues ask several times their mean in turns of a few seconds,
// more than their own pool holds, while the pools of the others stand idle. A
// move costs a second and a half of the VM and a fixed price, so a VM moves
// only when it has nothing to do and another pool is behind by more than what
// the move takes.
package tackpool

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// behindAfter is the backlog, as time that the pool needs for it, from
	// which on a pool is given VMs: about what a move takes.
	behindAfter = 800 * tackclock.Millisecond
	// finishWithin is the time within which a pool should be through with its
	// backlog. Callers are owed a job within some five seconds; a move and the
	// job's own run take two of them.
	finishWithin = 2500 * tackclock.Millisecond
	// parkAfter is how long a VM is idle before it goes to the standby pool.
	// A move there and back costs as much as 2.3 s in a pool.
	parkAfter = 2500 * tackclock.Millisecond
	// keepShare is the part of a pool's VMs, in percent, that stays however
	// idle they are, so that the first jobs of a turn start at once.
	keepShare = 33
)

type (
	// VM is a worker's VM in a pool.
	VM struct {
		Name tackid.VM
		// MilliCores are thousandths of a core.
		MilliCores int
		// Idle is how long nothing has run there; zero while something does.
		Idle tackclock.Duration
		// Fixed VMs stay: they run what must not be moved, or are on their way
		// down already.
		Fixed bool
	}

	// Pool is one service's VMs and what they are owed to do.
	Pool struct {
		Service tackid.Service
		// Standby marks the pool whose VMs are off and cost nothing.
		Standby bool
		VMs     []VM
		// Coming are thousandths of a core on VMs that are on their way here.
		Coming int
		// Backlog is the accepted work that is not done, and what was refused
		// just now, in milliseconds of thousandths of a core.
		Backlog int64
		// Unplaced are thousandths of a core of items that last and find no
		// worker. They are owed at any time, so VMs come for them at once.
		Unplaced int
	}

	// Move sends a VM to a pool.
	Move struct {
		VM   tackid.VM
		From tackid.Service
		To   tackid.Service
	}

	// need is how much a pool lacks, in thousandths of a core.
	need struct {
		service tackid.Service
		lacks   int
		urgent  bool
	}
)

// Plan returns the moves to make now, at most limit.
func Plan(pools []Pool, limit int) []Move {
	needs := needsOf(pools)
	free := freeVMs(pools)
	var moves []Move
	for i := range needs {
		for needs[i].lacks > 0 && len(free) > 0 && len(moves) < limit {
			vm := free[0]
			free = free[1:]
			moves = append(moves, Move{VM: vm.Name, From: vm.from, To: needs[i].service})
			needs[i].lacks -= vm.MilliCores
		}
	}
	return append(moves, park(pools, free, limit-len(moves))...)
}

// needsOf returns the pools that are behind, the one that lacks most first.
func needsOf(pools []Pool) []need {
	var needs []need
	for i := range pools {
		p := &pools[i]
		cores := p.cores() + p.Coming
		if p.Standby {
			continue
		}
		n := need{service: p.Service, urgent: p.Unplaced > p.Coming}
		if n.urgent {
			n.lacks = p.Unplaced - p.Coming
		}
		if p.Backlog > 0 && (cores == 0 || p.Backlog/int64(cores) >= int64(behindAfter)) {
			n.lacks = max(n.lacks, int(p.Backlog/int64(finishWithin))-cores)
		}
		if n.lacks > 0 {
			needs = append(needs, n)
		}
	}
	slices.SortFunc(needs, func(a, b need) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.lacks, a.lacks)
	})
	return needs
}

// cores are the thousandths of a core of the pool's VMs.
func (p *Pool) cores() int {
	sum := 0
	for _, vm := range p.VMs {
		sum += vm.MilliCores
	}
	return sum
}

type freeVM struct {
	VM
	from    tackid.Service
	standby bool
}

// freeVMs returns the VMs that can go: those of other pools that have been
// idle longest first, since they cost something where they are, then those of
// the standby pool.
func freeVMs(pools []Pool) []freeVM {
	var free []freeVM
	for i := range pools {
		p := &pools[i]
		if behind := p.Backlog > 0 && p.Backlog/int64(max(p.cores(), 1)) >= int64(behindAfter); behind {
			continue
		}
		may := p.mayGive()
		for _, vm := range p.idlest() {
			if may == 0 {
				break
			}
			may--
			free = append(free, freeVM{VM: vm, from: p.Service, standby: p.Standby})
		}
	}
	slices.SortStableFunc(free, func(a, b freeVM) int {
		if a.standby != b.standby {
			if a.standby {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.Idle, a.Idle)
	})
	return free
}

// mayGive is how many VMs the pool can do without.
func (p *Pool) mayGive() int {
	if p.Standby {
		return len(p.VMs)
	}
	keep := (len(p.VMs)*keepShare + 99) / 100
	return max(0, len(p.VMs)-max(keep, 1))
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

// park sends VMs that have been idle for long to the standby pool.
func park(pools []Pool, free []freeVM, limit int) []Move {
	at := slices.IndexFunc(pools, func(p Pool) bool { return p.Standby })
	if at < 0 {
		return nil
	}
	var moves []Move
	for _, vm := range free {
		if len(moves) < limit && !vm.standby && vm.Idle >= parkAfter {
			moves = append(moves, Move{VM: vm.Name, From: vm.from, To: pools[at].Service})
		}
	}
	return moves
}
