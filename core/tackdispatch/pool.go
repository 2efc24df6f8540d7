package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackqueue"
	"auburntack/core/tackroom"
	"auburntack/core/tackworkspace"
)

const (
	// reviewEvery spaces out the walks over all that waits in a pool, and reviewSteps
	// bounds the steps that they pass a millisecond. Between two of them a step may still
	// be queued though nothing of it waits.
	reviewEvery = 10 * tackclock.Millisecond
	reviewSteps = 100
)

const (
	// shelfLabelled holds steps that require a label, shelfLate those whose job cannot be
	// in time, shelfInherited those that an earlier leader may have started, and
	// shelfCopied those of them that may run in copies. shelfGang holds gangs, which do
	// not start with a worker's heartbeat.
	shelfLabelled = 1 << iota
	shelfLate
	shelfInherited
	shelfCopied
	shelfGang
)

type (
	// pool is a service's workers and the steps that wait for them.
	pool struct {
		service tackid.Service
		workers []*worker
		// free has the workers by the cores that they have free.
		free freeIndex
		// sums are what the workers have together.
		sums sums
		// steps are those with something that waits, and some that had lately.
		steps    tackqueue.Queue[*openStep]
		reviewAt tackclock.Time
		waiting  waiting
		// clear keeps workers free for items that are to start by themselves.
		clear clearing
		// arrivals are the jobs that were handed in lately.
		arrivals []arrival
		// comeBack is when refused callers were told to come back.
		comeBack comeBackTimes
		// coming is the thousandths of a core of the VMs on their way here, by the last
		// look of the planner of moves.
		coming   int
		reserved reservation
		// gangsAt is when room is looked for again for gangs.
		gangsAt tackclock.Time
	}

	// waiting is what the last review of a pool's steps has found.
	waiting struct {
		// trials says that some items are to start by themselves.
		trials bool
		// mostOver is how far workspaces are over their shares at most.
		mostOver int
		// simple says that any worker could start any of the steps; room is what
		// they take together, and since is from when on the first of them has waited.
		simple bool
		room   tackroom.Room
		since  tackclock.Time
	}

	// sums are what workers have together.
	sums struct {
		// capacity is what those have that take new work.
		capacity tackroom.Room
		// roomy is how many have room for more than a small item.
		roomy int
		// besides is the room that those have which run something anyway.
		besides tackroom.Room
	}
)

func (s *sums) add(o *sums) {
	s.capacity, s.besides, s.roomy = s.capacity.Plus(o.capacity), s.besides.Plus(o.besides), s.roomy+o.roomy
}

func (s *sums) take(o *sums) {
	s.capacity, s.besides, s.roomy = s.capacity.Minus(o.capacity), s.besides.Minus(o.besides), s.roomy-o.roomy
}

func (p *pool) add(w *worker) {
	w.at = len(p.workers)
	p.workers = append(p.workers, w)
}

// remove takes a worker out. The last one takes its place.
func (p *pool) remove(w *worker) {
	last := p.workers[len(p.workers)-1]
	p.workers[w.at], last.at = last, w.at
	p.workers = p.workers[:len(p.workers)-1]
	p.sums.take(&w.counted)
	w.counted = sums{}
	p.free.remove(w)
}

// recount takes in what has changed about a worker. What changes with time alone is taken
// in with its next heartbeat, or once it falls silent.
func (d *Dispatcher) recount(now tackclock.Time, w *worker) {
	p := d.pools[w.service]
	if d.workers[w.id] != w || p == nil {
		return
	}
	p.sums.take(&w.counted)
	w.counted = d.countOf(now, w)
	p.sums.add(&w.counted)
	p.free.put(w)
}

// countOf is what a worker adds to the sums of its pool.
func (d *Dispatcher) countOf(now tackclock.Time, w *worker) sums {
	var s sums
	if !w.draining {
		s.capacity = w.capacity
	}
	if !w.takesNew(now) {
		return s
	}
	if w.roomy() {
		s.roomy = 1
	}
	if len(w.runs) > 0 && !w.silent(now) && !d.cordon[w.vm] {
		s.besides = w.room()
	}
	return s
}

// setCordon keeps a VM free of new work, or does not any more.
func (d *Dispatcher) setCordon(now tackclock.Time, vm tackid.VM, on bool) {
	if on {
		d.cordon[vm] = true
	} else {
		delete(d.cordon, vm)
	}
	if w := d.lives[vm]; w != nil {
		d.recount(now, w)
	}
}

// open puts a step in its place.
func (d *Dispatcher) open(now tackclock.Time, p *pool, s *openStep) {
	if s.pooled {
		return
	}
	s.pooled, s.shelf = true, d.shelfOf(now, s)
	p.steps.Insert(s)
	p.waiting.take(now, s)
}

func (p *pool) closeStep(s *openStep) {
	if s.pooled {
		s.pooled = false
		p.steps.Remove(s)
	}
}

// shelfOf is where a step stands now.
func (d *Dispatcher) shelfOf(now tackclock.Time, s *openStep) int {
	shelf := 0
	if s.Gang {
		shelf |= shelfGang
	}
	if s.Requires != "" {
		shelf |= shelfLabelled
	}
	if s.late(now) {
		shelf |= shelfLate
	}
	if !s.job.fresh && !d.Sure(now) {
		shelf |= shelfInherited
		if s.Speculative {
			shelf |= shelfCopied
		}
	}
	return shelf
}

// review drops the steps with nothing waiting, puts those that are late now, or may start
// now, where they belong, and takes in what the others are like.
func (d *Dispatcher) review(now tackclock.Time, p *pool) {
	if now < p.reviewAt {
		return
	}
	p.reviewAt = now.Add(max(reviewEvery, tackclock.Duration(p.steps.Len()/reviewSteps)))
	p.waiting = waiting{simple: true, since: now}
	var moved []*openStep
	p.steps.RemoveFunc(func(s *openStep) bool {
		if len(s.waiting) == 0 {
			s.pooled = false
			return true
		}
		p.waiting.take(now, s)
		if shelf := d.shelfOf(now, s); shelf != s.shelf {
			moved = append(moved, s)
			return true
		}
		return false
	})
	slices.SortFunc(moved, func(a, b *openStep) int { return b.rank.Compare(a.rank) })
	for _, s := range moved {
		s.shelf = d.shelfOf(now, s)
		p.steps.Insert(s)
	}
}

// take takes in a step.
func (x *waiting) take(now tackclock.Time, s *openStep) {
	x.trials = x.trials || len(s.restraints) > 0
	x.mostOver = max(x.mostOver, s.job.account.Over())
	if s.LongRunning || s.MaxPerWorker > 0 || s.Requires != "" || s.Gang || s.job.Advised || s.Affinity != "" {
		x.simple = false
		return
	}
	x.room = x.room.Plus(s.Room.Times(len(s.waiting)))
	x.since = min(x.since, s.waiting[0].since)
}

// some reports whether anything waits.
func (p *pool) some() bool {
	for s := range p.steps.All() {
		if len(s.waiting) > 0 {
			return true
		}
	}
	return false
}

// Rebind takes in a catalog: steps move whose jobs' queue goes to another service now,
// and the workspaces' caps are those that it gives.
func (d *Dispatcher) Rebind(now tackclock.Time, workspaces []tackworkspace.Workspace) {
	d.quota.SetCaps(workspaces)
	for _, p := range d.pools {
		var moved []*openStep
		for s := range p.steps.All() {
			if s.job.Service != p.service {
				moved = append(moved, s)
			}
		}
		for _, s := range moved {
			p.closeStep(s)
			d.open(now, d.pool(s.job.Service), s)
		}
	}
	for _, o := range d.jobs {
		d.owed.take(o)
		d.owed.add(o)
	}
}
