// Package tackpool decides which worker VMs change pools: towards pools whose accepted
// work would take too long, and to the standby pool when no pool needs them.
//
// Load pattern: queues have bursts of a few seconds, one after the other, of several
// times their mean load. A burst is more than its own pool can take while the pools of
// other queues are idle. Each pool wants cores for the work it has accepted, by its
// deadlines, for arriving work, and a few for late work. What it has beyond that is
// available to others: idle VMs move at once, busy ones are emptied first. A move costs a
// second and a half of VM time and a fixed price.
package tackpool

import (
	"cmp"
	"maps"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroom"
)

const (
	// defaultBehindAfter is about the duration of a move.
	defaultBehindAfter = 800 * tackclock.Millisecond
	// defaultFinishWithin leaves time for a move and for the run of the job itself: jobs
	// are due within some five seconds.
	defaultFinishWithin = 2500 * tackclock.Millisecond
	// defaultLateWithin is four times defaultFinishWithin: a late answer is worth a
	// fraction of one in time, and the burst of the next queue begins seconds later.
	defaultLateWithin = 10 * tackclock.Second
	// defaultEmptyWithin is about the duration of an item and a move. A VM that is busy
	// for longer would arrive when the jobs that need it are half way to their deadlines.
	defaultEmptyWithin = 2 * tackclock.Second
	// defaultParkAfter is the break-even time: parking a VM and recalling it takes two
	// moves of a second and a half each, and callers wait for the second one. To them the
	// work of a VM is assumed to be worth some twenty times its cost. With 2.5 s instead,
	// the net gain under faults, with a burst of each queue every 20 s, is 0.618 instead
	// of 0.638 (49 VMs, 30 paired runs, standard error of the difference 0.005).
	defaultParkAfter = 30 * tackclock.Second
	// defaultArrivingPercent and defaultKeepPercent: with 150 and 20 instead, the net
	// gain under faults was the same within its error.
	defaultArrivingPercent = 100
	defaultKeepPercent     = 33
)

type (
	// Planner decides on moves. Zero fields take their default values.
	Planner struct {
		// BehindAfter is the backlog, as the time that the pool needs for it, from which
		// on the pool is given VMs.
		BehindAfter tackclock.Duration
		// FinishWithin is the time within which a pool should do work without deadlines:
		// what was refused just now, and what requires a label.
		FinishWithin tackclock.Duration
		// LateWithin is the time within which a pool should do the work of jobs that can
		// no longer meet their deadlines.
		LateWithin tackclock.Duration
		// ArrivingPercent is the percentage of the arriving work for which VMs are sent,
		// in addition to those that the backlog needs.
		ArrivingPercent int
		// EmptyWithin is the time within which a busy VM that gets no new work must be
		// done for it to be emptied for another pool.
		EmptyWithin tackclock.Duration
		// ParkAfter is how long a VM must be idle before it moves to the standby pool.
		// See ParkDelay for how it is adapted to the load.
		ParkAfter tackclock.Duration
		// KeepPercent is the percentage of the VMs of a pool that stay no matter how long
		// they are idle, so that the first jobs of a burst start at once.
		KeepPercent int
		// Joint plans the VMs of all pools together.
		Joint bool
		// Reserve is the capacity in millicores that each pool keeps ready beyond what
		// its work requires. VMs beyond it are parked without waiting for ParkAfter. Zero
		// means that it is not known. See the type Reserve.
		Reserve int
		// SinceFirstWork is the time since work was first wanted; zero if there was none
		// yet. Idle time before that does not indicate how soon a VM is needed.
		SinceFirstWork tackclock.Duration
	}

	// VM is the VM of a worker, in a pool or on its way to one.
	VM struct {
		Name      tackid.VM
		Resources tackroom.Resources
		// Labels are the kind and the rack of the VM. They stay with the VM when it
		// moves.
		Labels []string
		// Idle is how long nothing has run on the VM; zero while something runs.
		Idle tackclock.Duration
		// Busy is the time after which everything that runs on the VM should have ended;
		// zero if nothing runs, or if something runs that does not end.
		Busy tackclock.Duration
		// Emptying says that the VM gets no new work.
		Emptying bool
		// Fixed VMs cannot move: they run something that must not be moved, or are
		// already being taken down.
		Fixed bool
	}

	// Pool is the VMs of a service and the work that they have to do.
	Pool struct {
		Service tackid.Service
		// Standby marks the pool whose VMs are switched off and cost nothing.
		Standby bool
		VMs     []VM
		// Incoming are the VMs on their way to the pool.
		Incoming []VM
		// Demands are the work of the pool: first all of it, then the parts that only
		// some VMs can do.
		Demands []Demand
	}

	// Demand is work for VMs of one kind.
	Demand struct {
		// Label is the label that a VM must have to do the work; any VM can if it is
		// empty.
		Label string
		// Item is the resources that the largest item requires.
		Item tackroom.Resources
		// Backlog is the accepted work that is not done, and the work that was refused
		// just now, in millicore-milliseconds.
		Backlog int64
		// Pressing is the capacity in millicores that finishes the part of the backlog
		// with deadlines in good time. Soon is the rest of the backlog, in
		// millicore-milliseconds, which is to be done within FinishWithin.
		Pressing int
		Soon     int64
		// Late is the work of jobs that can no longer meet their deadlines.
		Late int64
		// Arriving is the work submitted recently, as the millicores that it keeps busy.
		Arriving int
		// Expected is the most that arriving work is expected to keep busy within the time
		// in which a VM can arrive, in millicores; zero if there is no forecast.
		Expected int
		// Unplaced is the millicores of items that must always run, or that no present
		// worker could ever start. VMs are sent for them at once.
		Unplaced int
	}

	// Move sends a VM to a pool.
	Move struct {
		VM   tackid.VM
		From tackid.Service
		To   tackid.Service
	}

	// need is the shortfall of a pool for one demand, in millicores.
	need struct {
		*Demand
		service   tackid.Service
		shortfall int
		urgent    bool
	}

	// Plan is the result of a planning round. Emptied are the busy VMs that should get no
	// new work, so that they can move soon.
	Plan struct {
		Moves   []Move
		Emptied []tackid.VM
	}

	freeVM struct {
		VM
		from    tackid.Service
		standby bool
		// needed says that its own pool needs the VM; it moves for urgent needs only.
		needed bool
		// kept says that the VM is one of those that a pool keeps of each kind. It moves
		// for urgent needs that require a label only.
		kept bool
	}
)

// WithDefaults returns p with each zero field set to its default.
func (p Planner) WithDefaults() Planner {
	p.BehindAfter = cmp.Or(p.BehindAfter, defaultBehindAfter)
	p.FinishWithin = cmp.Or(p.FinishWithin, defaultFinishWithin)
	p.LateWithin = cmp.Or(p.LateWithin, defaultLateWithin)
	p.ArrivingPercent = cmp.Or(p.ArrivingPercent, defaultArrivingPercent)
	p.EmptyWithin = cmp.Or(p.EmptyWithin, defaultEmptyWithin)
	p.ParkAfter = cmp.Or(p.ParkAfter, defaultParkAfter)
	p.KeepPercent = cmp.Or(p.KeepPercent, defaultKeepPercent)
	return p
}

// Plan returns the plan for this round, with at most limit moves.
func (p Planner) Plan(pools []Pool, limit int) Plan {
	p = p.WithDefaults()
	needs := p.needsOf(pools)
	spare := p.spareByPool(pools)
	free := p.freeVMs(pools, spare, len(needs) > 0)
	var moves []Move
	for i := range needs {
		for needs[i].shortfall > 0 && len(moves) < limit {
			at := slices.IndexFunc(free, func(vm freeVM) bool {
				return needs[i].accepts(&vm)
			})
			if at < 0 {
				break
			}
			vm := free[at]
			free = slices.Delete(free, at, at+1)
			moves = append(moves, Move{VM: vm.Name, From: vm.from, To: needs[i].service})
			spare[vm.from] -= vm.Resources.MilliCores
			deductVM(needs[i:], needs[i].service, &vm.VM)
		}
	}
	return Plan{
		Emptied: p.vmsToEmpty(pools, needs, maps.Clone(spare)),
		Moves:   append(moves, p.park(pools, free, spare, limit-len(moves))...),
	}
}

// accepts reports whether the VM may be sent for this need.
func (n *need) accepts(vm *freeVM) bool {
	switch {
	case vm.from == n.service || !n.servedBy(&vm.VM):
		return false
	case vm.kept:
		return n.urgent && n.Label != ""
	default:
		return n.urgent || !vm.needed
	}
}

// deductVM subtracts a VM that is sent to a service from all needs of the service that it
// serves.
func deductVM(needs []need, service tackid.Service, vm *VM) {
	for i := range needs {
		if needs[i].service == service && needs[i].servedBy(vm) {
			needs[i].shortfall -= vm.Resources.MilliCores
		}
	}
}

// servedBy reports whether the VM can do the work.
func (d *Demand) servedBy(vm *VM) bool {
	return vm.Resources.Fits(d.Item) && (d.Label == "" || slices.Contains(vm.Labels, d.Label))
}

// cores returns the millicores of the VMs that can do the work.
func (d *Demand) cores(vms []VM) int {
	sum := 0
	for i := range vms {
		if d.servedBy(&vms[i]) {
			sum += vms[i].Resources.MilliCores
		}
	}
	return sum
}

// isBehind reports whether the given millicores need too long for the work.
func (p *Planner) isBehind(d *Demand, cores int) bool {
	work := d.Backlog + d.Late*int64(p.FinishWithin)/int64(p.LateWithin)
	return work > 0 && work/int64(max(cores, 1)) >= int64(p.BehindAfter)
}

// needsOf returns the needs of the pools: urgent ones first, then those that require a
// label, and the largest shortfall first among equals.
func (p *Planner) needsOf(pools []Pool) []need {
	var needs []need
	for i := range pools {
		pool := &pools[i]
		if pool.Standby {
			continue
		}
		for k := range pool.Demands {
			if n := p.need(pool, &pool.Demands[k]); n.shortfall > 0 {
				needs = append(needs, n)
			}
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(-compareBool(a.urgent, b.urgent), -compareBool(a.Label != "", b.Label != ""), cmp.Compare(b.shortfall, a.shortfall))
	})
	return needs
}

func (p *Planner) need(pool *Pool, d *Demand) need {
	coming := d.cores(pool.Incoming)
	n := need{Demand: d, service: pool.Service, urgent: d.Unplaced > coming}
	if n.urgent {
		n.shortfall = d.Unplaced - coming
	}
	cores := d.cores(pool.VMs) + coming
	if p.isShort(d, cores) {
		n.shortfall = max(n.shortfall, p.wanted(d)-cores)
	}
	return n
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// wanted returns the millicores that finish the backlog in time, in addition to arriving
// work.
func (p *Planner) wanted(d *Demand) int {
	return d.Pressing + int(d.Soon/int64(p.FinishWithin)+d.Late/int64(p.LateWithin)) + p.arriving(d)
}
