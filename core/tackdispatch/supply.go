package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackoutlook"
	"auburntack/core/tackpool"
)

const (
	// arrivalSlack is how long after the duration of a move the VM's worker usually has
	// reported and has something to run.
	arrivalSlack = 700 * tackclock.Millisecond
	// planInterval is a round of the planner of moves, with the call to the platform.
	planInterval = 300 * tackclock.Millisecond
	// A pool is full while what waits needs more than its cores divided by fullDivisor, and
	// the workers with room are at most all of them divided by roomyDivisor. Otherwise work
	// waits for something else than cores, such as the share of its workspace.
	fullDivisor  = 4
	roomyDivisor = 8
	// arrivalsInterval is the least interval between summations of the VMs on their way, so
	// that a request does not iterate over them.
	arrivalsInterval = 100 * tackclock.Millisecond
)

type (
	// futureSupply is what a pool can count on beside its present cores.
	futureSupply struct {
		// arrivals are the millicores on their way to the pool, by the time at which they
		// can run something.
		arrivals map[tackclock.Time]int
		// surplus is the millicores of idle VMs that the pool does not want, and shortfall
		// what it lacks, as of the last call of Pools.
		surplus, shortfall int
		yield              tackoutlook.Yield
		full               bool // work was waiting for the cores at the last observation
	}

	// spareVMs is the total of the VMs that the planner can bring to a pool that lacks some.
	spareVMs struct {
		// known says that Pools was called since Reset.
		known bool
		// milliCores are those of the standby pools and of the idle VMs that their pools do
		// not want. shortfall is what all pools lack, and short the number of those pools.
		milliCores, shortfall, short int
		// arrivalsAt is when the VMs on their way are next added up.
		arrivalsAt tackclock.Time
	}
)

// updateSpare updates which VMs can be brought to a pool, from the input of the planner.
func (d *Dispatcher) updateSpare(pools []tackpool.Pool) {
	if !d.cfg.AdmitByOutlook {
		return
	}
	x := &d.spareVMs
	x.known, x.milliCores, x.shortfall, x.short = true, 0, 0, 0
	idle := make(map[tackid.Service]int, len(pools))
	for i := range pools {
		idle[pools[i].Service] = idleCores(&pools[i])
		if pools[i].Standby {
			x.milliCores += idle[pools[i].Service]
		}
	}
	for _, s := range (tackpool.Planner{}).Statuses(pools) {
		f := &d.pool(s.Service).supply
		f.surplus = max(0, min(idle[s.Service], s.Cores-s.Wanted))
		f.shortfall = max(0, s.Wanted-s.Cores-s.Coming)
		x.milliCores += f.surplus
		if f.shortfall > 0 {
			x.shortfall += f.shortfall
			x.short++
		}
	}
}

// idleCores returns the millicores of the VMs that could move at once.
func idleCores(p *tackpool.Pool) int {
	sum := 0
	for i := range p.VMs {
		if vm := &p.VMs[i]; !vm.Fixed && (p.Standby || vm.Idle > 0) {
			sum += vm.Resources.MilliCores
		}
	}
	return sum
}

// take subtracts a VM that is being moved.
func (x *spareVMs) take(milliCores int) {
	x.milliCores = max(0, x.milliCores-milliCores)
}

// bringable returns the millicores that the planner can bring to a pool: an equal share
// among the pools that are short, or what the others do not lack.
func (d *Dispatcher) bringable(now tackclock.Time, p *pool, cores int) int {
	x := &d.spareVMs
	if !x.known && d.EarlierLeasesEnded(now) {
		return 0 // nothing moves VMs
	}
	if !x.known {
		// Until the planner has run, VMs are assumed to arrive as without the outlook.
		return cores * max(0, d.cfg.AdmitPercent-100) / 100
	}
	total := max(0, x.milliCores-p.supply.surplus)
	others, short := x.shortfall-p.supply.shortfall, x.short
	if p.supply.shortfall == 0 {
		short++
	}
	return max(total/short, total-others)
}

// bringAfter returns after which time a VM that is not on its way yet can run something.
func (d *Dispatcher) bringAfter() tackclock.Duration {
	return planInterval + d.cfg.Move + arrivalSlack
}

// supply returns what a pool can run from now on, or false if that is not known.
func (d *Dispatcher) supply(now tackclock.Time, p *pool) (tackoutlook.Supply, bool) {
	var s tackoutlook.Supply
	if d.unlisted && !d.EarlierLeasesEnded(now) {
		return s, false
	}
	cores := d.poolCores(now, p.service)
	s.SetYield(p.supply.yield.Percent())
	s.Add(now, cores)
	d.updateArrivals(now)
	for at, milliCores := range p.supply.arrivals {
		s.Add(max(at, now.Add(arrivalsInterval)), milliCores)
	}
	s.Add(now.Add(d.bringAfter()), d.bringable(now, p, cores))
	return s, s.Cores(now.Add(tackoutlook.Horizon)) > 0
}

// observeYields observes what the pools have got done since the last call.
func (d *Dispatcher) observeYields(now tackclock.Time) {
	for _, p := range d.pools {
		cores := p.totals.capacity.MilliCores
		full := p.summary.resources.MilliCores > cores/fullDivisor && p.totals.roomyWorkers <= len(p.workers)/roomyDivisor
		p.supply.yield.Observe(now, cores, full && p.supply.full)
		p.supply.full = full
	}
}

// updateArrivals adds up the VMs that are on their way.
func (d *Dispatcher) updateArrivals(now tackclock.Time) {
	if now < d.spareVMs.arrivalsAt {
		return
	}
	d.spareVMs.arrivalsAt = now.Add(arrivalsInterval)
	for _, p := range d.pools {
		clear(p.supply.arrivals)
	}
	for _, m := range d.moves {
		f := &d.pool(m.to).supply
		if f.arrivals == nil {
			f.arrivals = make(map[tackclock.Time]int)
		}
		at := m.since.Add(d.cfg.Move + arrivalSlack)
		f.arrivals[at-at%tackclock.Time(arrivalsInterval)] += m.resources.MilliCores
	}
}
