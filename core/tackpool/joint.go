package tackpool

import "auburntack/core/tackclock"

// Joint planning treats the VMs of all pools as one fleet: a VM is in the pool that needs
// it, or parked.
//
// Load pattern: bursts of different queues follow each other within seconds, and each
// takes most of the fleet. If a pool keeps a percentage of the VMs that its burst has
// brought it, or gives VMs away only once another pool is behind, the next burst begins
// with a fraction of the VMs that are idle elsewhere. A recall from the standby pool takes
// as long as a move from another pool, so an idle VM that is parked arrives as soon as one
// that waits in the wrong pool.

const (
	// surplusAfter is how long a VM beyond the reserve must be idle before it is parked.
	// It is longer than the usual gap between two items.
	surplusAfter = 2500 * tackclock.Millisecond
	// jointReserveVMs is the number of idle VMs that a pool keeps beyond what its work
	// requires: one for the first jobs of a burst, and another in case that one is lost.
	jointReserveVMs = 2
)

// isShort reports whether the pool is given VMs towards what the demand wants.
func (p *Planner) isShort(d *Demand, cores int) bool {
	if p.Joint {
		return p.wanted(d) > cores
	}
	return p.isBehind(d, cores) || d.Arriving > cores
}

// kept returns how many of n VMs of one kind stay in their pool however idle they are.
func (p *Planner) kept(n int) int {
	if p.Joint {
		return 1
	}
	return max((n*p.KeepPercent+99)/100, 1)
}

// arriving returns the millicores for work that has not been accepted yet.
func (p *Planner) arriving(d *Demand) int {
	arriving := d.Arriving
	if p.Joint {
		arriving = max(arriving, d.Expected)
	}
	return arriving * p.ArrivingPercent / 100
}

// isSurplus reports whether a pool with the given spare millicores still has its reserve
// without the VM.
func (p *Planner) isSurplus(vm *freeVM, spare int) bool {
	reserve, idle := p.Reserve, vm.Idle
	if p.Joint {
		// A fleet that has just started keeps its VMs in place for the first burst.
		reserve, idle = jointReserveVMs*vm.Resources.MilliCores, min(vm.Idle, p.SinceFirstWork)
	}
	return reserve > 0 && idle >= surplusAfter && spare-vm.Resources.MilliCores >= reserve
}
