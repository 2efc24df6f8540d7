// Package tackpool decides which worker VMs change their pool: towards the
// pools whose accepted work would take too long, and away to the standby pool
// when nothing needs them.
//
// Load pattern: queues ask several times their mean in turns of a few seconds,
// more than their own pool holds, while the pools of the others stand idle. Each
// pool wants cores for what it has accepted, by its deadlines, for what arrives, and
// a few for what is late. What it has beyond that is for others: idle VMs move at
// once, busy ones are emptied first. A move costs a second and a half of the VM and
// a fixed price.
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
	// defaultBehindAfter is about what a move takes.
	defaultBehindAfter = 800 * tackclock.Millisecond
	// defaultFinishWithin leaves time for a move and a job's own run: callers are
	// owed a job within some five seconds.
	defaultFinishWithin = 2500 * tackclock.Millisecond
	// defaultLateWithin is four times that: a late answer is worth a fraction of
	// one in time, and the next queue's turn begins seconds later.
	defaultLateWithin = 10 * tackclock.Second
	// defaultEmptyWithin is about what an item and a move take. A VM that is busy
	// for longer comes when the jobs that need it are half way to their deadlines.
	defaultEmptyWithin = 2 * tackclock.Second
	// defaultParkAfter is the break-even time: a rest and a return are two moves of
	// a second and a half, and for the second one callers wait, to whom a VM's work is
	// taken to be worth some twenty times its keep. With 2.5 s in its place the net gain under
	// faults, with a turn of each queue every 20 s, is 0.618 for 0.638 (49 VMs, 30
	// paired runs, standard error of the difference 0.005).
	defaultParkAfter = 30 * tackclock.Second
	// defaultArrivingPercent and defaultKeepPercent: with 150 and 20 in their
	// place the net gain under faults was the same within its error.
	defaultArrivingPercent = 100
	defaultKeepPercent     = 33
)

type (
	// Planner decides on moves. Zero fields take their defaults.
	Planner struct {
		// BehindAfter is the backlog, as time that the pool needs for it, from
		// which on a pool is given VMs.
		BehindAfter tackclock.Duration
		// FinishWithin is the time within which a pool should do what goes by no
		// deadline: what was refused just now, and what requires a label.
		FinishWithin tackclock.Duration
		// LateWithin is that time for jobs that cannot be in time any more.
		LateWithin tackclock.Duration
		// ArrivingPercent is the part of the work that arrives for which VMs are
		// sent beside those that the backlog needs.
		ArrivingPercent int
		// EmptyWithin is after which time a busy VM that gets nothing new must be
		// through for it to be emptied for another pool.
		EmptyWithin tackclock.Duration
		// ParkAfter is how long a VM is idle before it goes to the standby pool. See
		// Rest for how it follows the load.
		ParkAfter tackclock.Duration
		// KeepPercent is the part of a pool's VMs that stays however idle they
		// are, so that the first jobs of a turn start at once.
		KeepPercent int
		// Reserve is how many thousandths of a core each pool has at hand beside what it
		// is to do. VMs beyond it rest at once. Zero says that it is not known. See the
		// type Reserve.
		Reserve int
		// WantedFor is for how long there has been work; zero if there was none yet. That
		// a VM was idle before says nothing about how soon it is needed.
		WantedFor tackclock.Duration
	}

	// VM is a worker's VM in a pool, or on its way to one.
	VM struct {
		Name tackid.VM
		Room tackroom.Room
		// Labels are its kind and its rack. They stay with the VM when it moves.
		Labels []string
		// Idle is how long nothing has run there; zero while something does.
		Idle tackclock.Duration
		// Busy is after which time what runs there should have ended, if all of it
		// ends; zero if nothing runs, or some of it lasts.
		Busy tackclock.Duration
		// Emptying VMs get nothing new.
		Emptying bool
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
		// Coming are VMs that are on their way here.
		Coming []VM
		// Demands are what the pool is to do: all of it, then what only some VMs
		// can do.
		Demands []Demand
	}

	// Demand is work for VMs of one kind.
	Demand struct {
		// Label is what a VM must carry to do it; any VM does if it is empty.
		Label string
		// Item is the room of its largest item.
		Item tackroom.Room
		// Backlog is the accepted work that is not done, and what was refused
		// just now, in milliseconds of thousandths of a core.
		Backlog int64
		// Pressing is the thousandths of a core that do in good time what of the
		// backlog goes by deadlines. The rest is Soon, to be done within one time.
		Pressing int
		Soon     int64
		// Late is such work of jobs that cannot be in time any more.
		Late int64
		// Arriving is the work handed in lately, as the thousandths of a core
		// that it keeps busy.
		Arriving int
		// Unplaced are thousandths of a core of items that find no worker on
		// which they could ever start, or must always run. VMs come for them at
		// once.
		Unplaced int
	}

	// Move sends a VM to a pool.
	Move struct {
		VM   tackid.VM
		From tackid.Service
		To   tackid.Service
	}

	// need is how much of a demand a pool lacks, in thousandths of a core.
	need struct {
		*Demand
		service tackid.Service
		lacks   int
		urgent  bool
	}

	// Plan is what to do now. Emptied are busy VMs that are to get nothing new, so
	// that they can go soon.
	Plan struct {
		Moves   []Move
		Emptied []tackid.VM
	}

	freeVM struct {
		VM
		from    tackid.Service
		standby bool
		// needed says that its own pool needs it; it goes for urgent needs alone.
		needed bool
		// kept VMs are those that a pool keeps of each kind. They go for urgent needs
		// of a label alone.
		kept bool
	}
)

// WithDefaults returns p with each zero field at its default.
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

// Plan returns what to do now, with at most limit moves.
func (p Planner) Plan(pools []Pool, limit int) Plan {
	p = p.WithDefaults()
	needs := p.needsOf(pools)
	spare := p.spares(pools)
	free := p.freeVMs(pools, spare, len(needs) > 0)
	var moves []Move
	for i := range needs {
		for needs[i].lacks > 0 && len(moves) < limit {
			at := slices.IndexFunc(free, func(vm freeVM) bool {
				return needs[i].takes(&vm)
			})
			if at < 0 {
				break
			}
			vm := free[at]
			free = slices.Delete(free, at, at+1)
			moves = append(moves, Move{VM: vm.Name, From: vm.from, To: needs[i].service})
			spare[vm.from] -= vm.Room.MilliCores
			supply(needs[i:], needs[i].service, &vm.VM)
		}
	}
	return Plan{
		Emptied: p.empty(pools, needs, maps.Clone(spare)),
		Moves:   append(moves, p.park(pools, free, spare, limit-len(moves))...),
	}
}

// takes reports whether the VM may be sent for what is lacked.
func (n *need) takes(vm *freeVM) bool {
	switch {
	case vm.from == n.service || !n.servedBy(&vm.VM):
		return false
	case vm.kept:
		return n.urgent && n.Label != ""
	default:
		return n.urgent || !vm.needed
	}
}

// supply takes a VM that is sent to a service off all that it lacks.
func supply(needs []need, service tackid.Service, vm *VM) {
	for i := range needs {
		if needs[i].service == service && needs[i].servedBy(vm) {
			needs[i].lacks -= vm.Room.MilliCores
		}
	}
}

// servedBy reports whether the VM can do what is wanted.
func (d *Demand) servedBy(vm *VM) bool {
	return vm.Room.Fits(d.Item) && (d.Label == "" || slices.Contains(vm.Labels, d.Label))
}

// cores are the thousandths of a core of those VMs that can do what is wanted.
func (d *Demand) cores(vms []VM) int {
	sum := 0
	for i := range vms {
		if d.servedBy(&vms[i]) {
			sum += vms[i].Room.MilliCores
		}
	}
	return sum
}

// behind reports whether so many thousandths of a core need too long.
func (p *Planner) behind(d *Demand, cores int) bool {
	work := d.Backlog + d.Late*int64(p.FinishWithin)/int64(p.LateWithin)
	return work > 0 && work/int64(max(cores, 1)) >= int64(p.BehindAfter)
}

// needsOf returns what pools lack: first what must run at once, then what only
// some VMs can do, and of like ones the largest.
func (p *Planner) needsOf(pools []Pool) []need {
	var needs []need
	for i := range pools {
		pool := &pools[i]
		if pool.Standby {
			continue
		}
		for k := range pool.Demands {
			if n := p.need(pool, &pool.Demands[k]); n.lacks > 0 {
				needs = append(needs, n)
			}
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(-compareBool(a.urgent, b.urgent), -compareBool(a.Label != "", b.Label != ""), cmp.Compare(b.lacks, a.lacks))
	})
	return needs
}

func (p *Planner) need(pool *Pool, d *Demand) need {
	coming := d.cores(pool.Coming)
	n := need{Demand: d, service: pool.Service, urgent: d.Unplaced > coming}
	if n.urgent {
		n.lacks = d.Unplaced - coming
	}
	cores := d.cores(pool.VMs) + coming
	if p.behind(d, cores) || d.Arriving > cores {
		n.lacks = max(n.lacks, p.wanted(d)-cores)
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

// wanted is how many thousandths of a core do the backlog in time, beside what
// arrives.
func (p *Planner) wanted(d *Demand) int {
	return d.Pressing + int(d.Soon/int64(p.FinishWithin)+d.Late/int64(p.LateWithin)) + d.Arriving*p.ArrivingPercent/100
}
