package tackdispatch

import (
	"slices"

	"auburntack/core/tackadmit"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackqueue"
	"auburntack/core/tackroom"
	"auburntack/core/tackworkspace"
)

const (
	// reviewEvery is the least interval between reviews of all that waits in a pool, and
	// reviewSteps the number of steps that they examine per millisecond on average.
	// Between two reviews a step may be queued although none of its items wait.
	reviewEvery = 10 * tackclock.Millisecond
	reviewSteps = 100
)

const (
	// These bits make up the partition of a step in its pool's queue. partitionLabelled
	// is set for steps that require a label, partitionLate for those whose job cannot
	// finish in time, partitionInherited for those that an earlier leader may have
	// started, or that former incarnations of workers hold, and partitionCopied for those
	// of them that may run in copies.
	// partitionGang is set for gangs, which placeGangs starts, and partitionUnproven for
	// steps that wait for the canary of their job. partitionDistrusted is set as well
	// for those of them whose job is most likely at fault, and by itself for those whose
	// canary is under way. partitionHeld is set for other steps, except gangs, whose
	// workspace's cap kept their items from starting when they were put there.
	// partitionTooLarge is set for gangs that the pool could not hold if it were idle.
	partitionLabelled = 1 << iota
	partitionLate
	partitionInherited
	partitionCopied
	partitionGang
	partitionUnproven
	partitionDistrusted
	partitionHeld
	partitionTooLarge
)

type (
	// pool holds a service's workers and the steps that wait for them.
	pool struct {
		service tackid.Service
		workers []*worker
		// free indexes the workers by their free cores.
		free freeIndex
		// totals are the totals over the pool's workers.
		totals totals
		// steps are those with items that wait, and some that recently had such items.
		steps tackqueue.Queue[*openStep]
		// insertions counts the insertions into steps.
		insertions int64
		// restrained are those of the steps that have restraints. Without it, each heartbeat
		// would look for the few that wait for an isolated start among thousands of steps.
		restrained tackqueue.Queue[*openStep]
		// held are the accounts with steps in partitionHeld, and passedOver says that these
		// were passed over since the last review.
		held       heldAccounts
		passedOver bool
		reviewAt   tackclock.Time
		summary    waitingSummary
		// clear holds workers reserved for items that must start on an idle worker.
		clear trialReservation
		// arrivals are the recently submitted jobs.
		arrivals []arrival
		// forecast is nil without Config.Forecast.
		forecast *forecast
		// retryTimes are the times at which refused callers were told to retry.
		retryTimes retryTimes
		// outlook is the pool's committed work and its promises, with AdmitByOutlook.
		outlook tackadmit.Pool
		// disregard says that most refused callers return before their times.
		disregard bool
		// supply is what the pool can count on beside its present cores.
		supply futureSupply
		// coming is the number of millicores of the VMs on their way here, as of the last
		// call of Pools.
		coming   int
		reserved reservation
		// startCrashes limits how many items a worker starts at a time.
		startCrashes startCrashes
		// exposure holds the workers that start canaries.
		exposure exposure
		// gangsAt is when placement of gangs is next attempted, and turns holds the gangs.
		gangsAt tackclock.Time
		turns   gangTurns
	}

	// waitingSummary is what the last review found out about a pool's steps, updated with
	// those queued since.
	waitingSummary struct {
		// trials says that some items have restraints.
		trials bool
		// maxOver is the largest excess of a workspace over its share.
		maxOver int
		// simple says that any worker could start any of the steps; resources is what
		// they reserve together, and since is when the first of them began to wait.
		simple    bool
		resources tackroom.Resources
		since     tackclock.Time
	}

	// totals are totals over workers.
	totals struct {
		// capacity is that of the workers that do not drain.
		capacity tackroom.Resources
		// roomyWorkers is the number of workers with room for more than a small item.
		roomyWorkers int
		// busyRoom is the room on workers that are already running something.
		busyRoom tackroom.Resources
	}
)

func (s *totals) add(o *totals) {
	s.capacity, s.busyRoom, s.roomyWorkers = s.capacity.Plus(o.capacity), s.busyRoom.Plus(o.busyRoom), s.roomyWorkers+o.roomyWorkers
}

func (s *totals) subtract(o *totals) {
	s.capacity, s.busyRoom, s.roomyWorkers = s.capacity.Minus(o.capacity), s.busyRoom.Minus(o.busyRoom), s.roomyWorkers-o.roomyWorkers
}

func (p *pool) add(w *worker) {
	w.index = len(p.workers)
	p.workers = append(p.workers, w)
}

// remove removes a worker and moves the last one to its index.
func (p *pool) remove(w *worker) {
	last := p.workers[len(p.workers)-1]
	p.workers[w.index], last.index = last, w.index
	p.workers = p.workers[:len(p.workers)-1]
	p.totals.subtract(&w.countedTotals)
	w.countedTotals = totals{}
	p.free.remove(w)
	p.turns.changes++
}

// updateTotals updates the pool's totals and its index after a change of a worker. What
// changes with time alone is updated with the worker's next heartbeat, or once it falls
// silent.
func (d *Dispatcher) updateTotals(now tackclock.Time, w *worker) {
	p := d.pools[w.service]
	if d.workers[w.id] != w || p == nil {
		return
	}
	p.totals.subtract(&w.countedTotals)
	w.countedTotals = d.totalsOf(now, w)
	p.totals.add(&w.countedTotals)
	p.free.update(w)
}

// totalsOf returns what a worker contributes to the totals of its pool.
func (d *Dispatcher) totalsOf(now tackclock.Time, w *worker) totals {
	var s totals
	if !w.draining {
		s.capacity = w.capacity
	}
	if !w.acceptsItems(now) {
		return s
	}
	if w.roomy() {
		s.roomyWorkers = 1
	}
	if len(w.runs) > 0 && !w.silent(now) && !d.cordon[w.vm] && !w.exposed {
		s.busyRoom = w.room()
	}
	return s
}

// setCordon sets whether a VM is kept free of new work.
func (d *Dispatcher) setCordon(now tackclock.Time, vm tackid.VM, on bool) {
	if on {
		d.cordon[vm] = true
	} else {
		delete(d.cordon, vm)
	}
	if w := d.workersByVM[vm]; w != nil {
		d.updateTotals(now, w)
	}
}

// enqueue puts a step in its pool's queue, if any of its items wait and it is not there.
func (d *Dispatcher) enqueue(now tackclock.Time, p *pool, s *openStep) {
	if s.queued || len(s.waiting) == 0 {
		return
	}
	if s.pool != p {
		s.tooLarge, s.sizeChecked, s.turn = false, 0, nil
	}
	if s.Gang && s.sizeChecked == 0 && d.EarlierLeasesEnded(now) { // before, workers are missing
		s.sizeChecked, s.tooLarge = p.turns.changes+1, !d.couldHold(p, s)
	}
	s.queued, s.partition = true, d.partitionOf(now, s)
	p.insert(s)
	if s.Gang {
		p.turns.add(s)
	}
	p.summary.add(now, s)
}

// insert puts a step in the queue, before others of its rank.
func (p *pool) insert(s *openStep) {
	p.insertions++
	s.pool, s.inserted = p, p.insertions
	p.insertAgain(s)
}

// insertAgain puts a step that was in the queue back at its place.
func (p *pool) insertAgain(s *openStep) {
	p.steps.Insert(s)
	if len(s.restraints) > 0 {
		p.restrained.Insert(s)
	}
	p.held.add(s)
}

func (p *pool) dequeue(s *openStep) {
	if s.queued {
		s.queued = false
		p.steps.Remove(s)
		p.restrained.Remove(s)
	}
}

// partitionOf returns the partition to which a step belongs now.
func (d *Dispatcher) partitionOf(now tackclock.Time, s *openStep) int {
	partition := 0
	if s.Gang {
		partition |= partitionGang
	}
	if s.tooLarge {
		partition |= partitionTooLarge
	}
	if s.Requires != "" {
		partition |= partitionLabelled
	}
	if s.late(now) {
		partition |= partitionLate
	}
	if needsCanary := d.needsCanary(s); needsCanary && d.canaryUnderWay(s.job) {
		partition |= partitionDistrusted
	} else if needsCanary {
		partition |= partitionUnproven
		if s.job.trust.suspect {
			partition |= partitionDistrusted
		}
		if now.Add(canaryTime+s.job.RemainingCriticalPath(s.occurrence)) > s.job.deadline {
			partition |= partitionLate
		}
	}
	if now < s.notBefore {
		partition |= partitionInherited
	} else if !s.job.fresh && !d.EarlierLeasesEnded(now) {
		partition |= partitionInherited
		if s.Speculative {
			partition |= partitionCopied
		}
	} else if s.allHeld() {
		partition |= partitionInherited
	}
	if partition&(partitionGang|confinedPartitions) == 0 && s.job.account.CapReached(now, s.Resources) {
		partition |= partitionHeld
	}
	return partition
}

// review removes the steps without waiting items, moves the steps whose partition has
// changed, and summarises those that wait.
func (d *Dispatcher) review(now tackclock.Time, p *pool) {
	if now < p.reviewAt {
		return
	}
	p.reviewAt = now.Add(max(reviewEvery, tackclock.Duration(p.steps.Len()/reviewSteps)))
	p.summary = waitingSummary{simple: true, since: now}
	clear(p.held)
	starts := d.startsNow(now)
	var moved []*openStep
	p.steps.RemoveFunc(func(s *openStep) bool {
		if len(s.waiting) == 0 {
			s.queued = false
			p.restrained.Remove(s)
			return true
		}
		p.summary.add(now, s)
		if partition := d.partitionOf(now, s); partition != s.partition {
			moved = append(moved, s)
			p.restrained.Remove(s)
			return true
		}
		if p.held.add(s); p.passedOver && s.partition&partitionHeld != 0 && starts(s.partition) {
			d.noteHeld(now, s)
		}
		return false
	})
	p.passedOver = false
	slices.SortFunc(moved, func(a, b *openStep) int { return b.rank.Compare(a.rank) })
	for _, s := range moved {
		before := s.partition
		s.partition = d.partitionOf(now, s)
		if s.partition^before == partitionHeld {
			p.insertAgain(s)
			continue
		}
		p.insert(s)
	}
}

// add includes a step.
func (x *waitingSummary) add(now tackclock.Time, s *openStep) {
	x.trials = x.trials || len(s.restraints) > 0
	x.maxOver = max(x.maxOver, s.job.account.SharesOver())
	if s.LongRunning || s.MaxPerWorker > 0 || s.Requires != "" || s.Gang || s.job.Advised || s.Affinity != "" {
		x.simple = false
		return
	}
	x.resources = x.resources.Plus(s.Resources.Times(len(s.waiting)))
	x.since = min(x.since, s.waiting[0].since)
}

// hasWaiting reports whether any item waits.
func (p *pool) hasWaiting() bool {
	for s := range p.steps.All() {
		if len(s.waiting) > 0 {
			return true
		}
	}
	return false
}

// serves reports whether the step's queue belongs to the pool's service.
func (p *pool) serves(s *openStep) bool {
	return s.job.Service == p.service
}

// Rebind applies a changed catalog: steps move whose jobs' queue now belongs to another
// service, and the workspaces' caps are updated.
func (d *Dispatcher) Rebind(now tackclock.Time, workspaces []tackworkspace.Workspace) {
	d.quota.SetCaps(workspaces)
	var moved []*openStep
	for _, p := range d.pools {
		moved = append(moved, p.release()...)
	}
	for _, s := range moved {
		d.enqueue(now, d.pool(s.job.Service), s)
	}
	for _, o := range d.jobs {
		d.removeWork(o)
		d.addWork(o)
	}
	d.rebindUnits(now)
}

// release removes from the pool all steps whose queue belongs to another service, and
// returns those that were queued.
func (p *pool) release() []*openStep {
	var moved []*openStep
	for s := range p.steps.All() {
		if !p.serves(s) {
			moved = append(moved, s)
		}
	}
	for _, s := range moved {
		p.dequeue(s)
	}
	if s := p.reserved.gang; s != nil && !p.serves(s) {
		p.reserved = reservation{}
	}
	elsewhere := func(s *openStep) bool { return !p.serves(s) }
	x := &p.exposure
	x.stranded, x.onlyExposed = slices.DeleteFunc(x.stranded, elsewhere), slices.DeleteFunc(x.onlyExposed, elsewhere)
	return moved
}
