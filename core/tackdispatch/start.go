package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
)

const (
	// maxStartsInAnswer is the number of starts in one answer, so that it stays far below
	// the size that a worker accepts.
	maxStartsInAnswer = 64
	// dataRackWait is how long an item waits for a worker on the rack of its data before
	// it starts on another.
	dataRackWait = 400 * tackclock.Millisecond
	// spreadPatience is how long a long-running item waits for a worker with few items of
	// its step. The platform allows three seconds while there is free room.
	spreadPatience = 1500 * tackclock.Millisecond
	// packFactor is how many times over the free capacity of the busy workers must hold
	// all waiting items for idle workers to get nothing: an item that waits costs its
	// caller time.
	packFactor = 3
	// packPatience is how long items wait before idle workers get them after all. The
	// free capacity of the busy workers may suffice in total, but not on any one of them.
	packPatience = 300 * tackclock.Millisecond
)

// start fills the worker's room with items that wait: first those of jobs that can still
// finish in time, by their deadlines, then those of late jobs. In each group the items
// that require a label come first. Otherwise the others, which can run on any worker,
// would fill the few that have the label.
func (d *Dispatcher) start(now tackclock.Time, w *worker, sequence uint64, o *Orders) {
	if !w.acceptsItems(now) {
		return
	}
	p := d.pools[w.service]
	d.review(now, p)
	d.reserveForTrials(now, p)
	if d.startExposed(now, p, w, sequence, o) || d.startStrandedCanary(now, p, w, sequence, o) {
		return
	}
	d.startHeld(now, p, w, sequence, o)
	held := d.startsHeld(now, p, w)
	if d.startTrials(now, p, w, held) {
		return
	}
	d.placeGangs(now, p)
	if len(w.runs) == 0 && d.othersSuffice(now, p) && !p.startCrashes.any(now) {
		return
	}
	for _, group := range [...]int{partitionLabelled, 0, partitionLabelled | partitionLate, partitionLate} {
		d.startPartition(now, p, w, group, held, sequence, o)
	}
}

// startsNow returns a function that reports whether the steps of a partition may start.
// Until all leases of earlier leaders have ended, what those may have started does not
// start again, except in copies.
func (d *Dispatcher) startsNow(now tackclock.Time) func(partition int) bool {
	copies := now.Sub(d.began) > d.cfg.CopyAfter
	return func(partition int) bool {
		return partition&(partitionGang|partitionUnproven|partitionDistrusted) == 0 && (partition&partitionInherited == 0 || partition&partitionCopied != 0 && copies)
	}
}

// startPartition starts items of the steps that are labelled, or late, as the partition
// says: first those of workspaces within their shares, then the others in the order of
// their excess. held says that those in partitionHeld may start.
func (d *Dispatcher) startPartition(now tackclock.Time, p *pool, w *worker, group int, held bool, sequence uint64, o *Orders) {
	starts := d.startsNow(now)
	has := func(partition int) bool {
		return partition&(partitionLabelled|partitionLate) == group && (held || partition&partitionHeld == 0) && starts(partition)
	}
	var over [][]*openStep // by the excess of their workspaces over their shares
	for s := range p.steps.Fitting(w.room().MilliCores, has) {
		if len(o.Start) >= maxStartsInAnswer {
			return
		}
		if n := s.job.account.SharesOver(); n > 0 && p.summary.maxOver > 0 {
			for len(over) <= n {
				over = append(over, nil)
			}
			over[n] = append(over[n], s)
			continue
		}
		if d.startStep(now, p, w, s, sequence, o); !p.steps.Fits(w.room().MilliCores, has) {
			break
		}
	}
	for _, steps := range over {
		for _, s := range steps {
			d.startStep(now, p, w, s, sequence, o)
		}
	}
}

// startStep starts items of one step if the worker may run them.
func (d *Dispatcher) startStep(now tackclock.Time, p *pool, w *worker, s *openStep, sequence uint64, o *Orders) {
	if len(s.waiting) == 0 || !w.room().Fits(s.Reserved()) || !d.mayStart(now, w, s) || d.needsCanary(s) {
		return
	}
	if d.cordon[w.vm] && !d.stranded(now, p, s) || p.reserved.holds(now, w) && !s.LongRunning {
		return
	}
	d.startItems(now, w, s, sequence, o)
}

// acceptsItems reports whether the worker may get new items. A worker that is emptied for
// a move may not. For one that is emptied for its upkeep the caller has to decide.
func (w *worker) acceptsItems(now tackclock.Time) bool {
	return !w.draining && !w.leaving && now >= w.suspicion.until && now >= w.emptiedUntil && !w.hasTrial()
}

// othersSuffice reports whether the pool's busy workers have room for all that waits. A
// worker that stays idle can be moved to another pool, or to the standby pool. Workers
// that get nothing new do not count, whatever room they have: items left for them would
// wait forever.
func (d *Dispatcher) othersSuffice(now tackclock.Time, p *pool) bool {
	if !p.summary.simple || now.Sub(p.summary.since) > packPatience {
		return false
	}
	return p.totals.busyRoom.MilliCores > 0 && p.totals.busyRoom.Fits(p.summary.resources.Times(packFactor))
}

// stranded reports whether the step's items must start on any worker, even on one that is
// being emptied, since they have waited and nothing else will run them. If every worker
// of a small pool, or the only one with a label, is being emptied, there would be a
// deadlock: the items wait for a worker, the worker for the end of its upkeep, and the
// upkeep for the items to be running elsewhere.
func (d *Dispatcher) stranded(now tackclock.Time, p *pool, s *openStep) bool {
	waited := slices.ContainsFunc(s.waiting, func(item waitingItem) bool { return now.Sub(item.since) > spreadPatience })
	return waited && (s.LongRunning || !d.runnable(now, p, s))
}

// late reports whether the step's job cannot finish in time any more.
func (s *openStep) late(now tackclock.Time) bool {
	return !s.LongRunning && now.Add(s.Estimate) > s.job.deadline
}

func (d *Dispatcher) mayStart(now tackclock.Time, w *worker, s *openStep) bool {
	if !w.hasLabel(s.Requires) || !s.hasTicket(now, w) {
		return false
	}
	return s.Affinity == "" || w.hasLabel(s.Affinity) || now.Sub(s.job.Accepted) > dataRackWait
}

func (d *Dispatcher) startItems(now tackclock.Time, w *worker, s *openStep, sequence uint64, o *Orders) {
	need := s.Reserved()
	for len(s.waiting) > 0 && len(o.Start) < maxStartsInAnswer && w.room().Fits(need) {
		if w.steps[s.key()] >= d.maxOnWorker(now, w, s) || !d.withinCap(now, s, 1) {
			return
		}
		if w.unlisted() >= d.pools[w.service].maxUnlisted(now) {
			return
		}
		next, ok := s.popStartable(now, w)
		if !ok {
			return
		}
		d.startItem(now, w, s, next, sequence, o)
	}
}

// withinCap reports whether the given number of the step's items may start in addition to
// what the workspace has running.
func (d *Dispatcher) withinCap(now tackclock.Time, s *openStep, items int) bool {
	if s.job.account.Allows(now, s.Resources.Times(items)) {
		return true
	}
	d.noteHeld(now, s)
	return false
}

func (d *Dispatcher) startItem(now tackclock.Time, w *worker, s *openStep, next waitingItem, sequence uint64, o *Orders) {
	r := d.newRun(now, w, s, next)
	if s.mustLogStart(next.index) && w.vm != "" {
		d.planLoggedStart(now, r)
		return
	}
	d.sendStart(now, r, sequence, "", o)
}

// sendStart adds the start of a run to its worker's answer.
func (d *Dispatcher) sendStart(now tackclock.Time, r *run, sequence uint64, reason string, o *Orders) {
	r.sentIn = sequence
	d.addRun(now, r)
	d.noteStarted(now, r, reason)
	o.Start = append(o.Start, Start{
		Item: r.item, Run: r.number, Text: r.step.job.Text, Checkpoint: r.checkpoint, Ticket: r.step.ticket(r.worker),
	})
}

func (d *Dispatcher) newRun(now tackclock.Time, w *worker, s *openStep, item waitingItem) *run {
	return &run{
		item: s.item(item.index), number: d.nextRun(), worker: w, step: s, reserved: s.Reserved(),
		started: now, progressAt: now, checkpoint: item.checkpoint, pace: fullPace, former: item.former,
		suspected: len(s.crashRecord(item.index).Crashes) > 0,
	}
}

// popStartable removes and returns the item that has waited longest among those that may
// start beside others and have no copy on the worker.
func (s *openStep) popStartable(now tackclock.Time, w *worker) (waitingItem, bool) {
	for i := len(s.waiting) - 1; i >= 0; i-- {
		next := s.waiting[i]
		if !s.restraints[next.index].isolated && s.startableOn(now, w, next.index) && w.runs[s.item(next.index)] == nil {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			return next, true
		}
	}
	return waitingItem{}, false
}

// maxOnWorker returns how many items of the step the worker may run. Long-running items
// are spread evenly, so that a worker that is lost, or taken down for its upkeep, takes
// few of a step with it. An item that has waited for a while starts anywhere.
func (d *Dispatcher) maxOnWorker(now tackclock.Time, w *worker, s *openStep) int {
	limit := s.Count
	if s.MaxPerWorker > 0 {
		limit = s.MaxPerWorker
	}
	next := s.waiting[len(s.waiting)-1]
	if !s.LongRunning || now.Sub(next.since) > spreadPatience {
		return limit
	}
	workers := max(len(d.pools[w.service].workers), 1)
	return min(limit, (s.Count+workers-1)/workers)
}

// stop orders a run to be stopped, with its worker's next heartbeat.
func (d *Dispatcher) stop(now tackclock.Time, r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping = true
	d.noteRun(now, EventStopped, r, reason)
}
