package tackdispatch

import (
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackconfine"
)

const (
	// reasonCanary is the reason of the start of a canary.
	reasonCanary = "canary"
	// canaryTime is how long the other items of a job wait for its canary once that starts:
	// until it is listed, has survived, and their workers have asked.
	canaryTime = 600 * tackclock.Millisecond
	// suspectEvery is the number of canaries of other jobs after which one of a job that is
	// most likely at fault goes first. Each of these costs a worker.
	suspectEvery = 24
	// canaryTries limits the steps that one heartbeat examines for a canary, and
	// strandedTries those that one search for stranded steps examines.
	canaryTries   = 8
	strandedTries = 64
	// canaryRetry is how long a pool's exposed workers look for no canary after one of them
	// found none, less than a heartbeat interval.
	canaryRetry = 20 * tackclock.Millisecond
	// confinedPartitions are the bits of the partitions of steps of confined units.
	confinedPartitions = partitionUnproven | partitionDistrusted
)

// startExposed starts what an exposed worker may start, and reports whether the worker is
// exposed.
func (d *Dispatcher) startExposed(now tackclock.Time, p *pool, w *worker, sequence uint64, o *Orders) bool {
	d.reviewExposure(now, p)
	if !w.exposed {
		return false
	}
	if w.unlisted() > 0 {
		return true
	}
	if now >= p.exposure.retryAt && (w.runsOnlyConfined() || now.Sub(w.exposedAt) > trialPatience) {
		if d.startCanary(now, p, w, sequence, o) {
			return true
		}
		p.exposure.retryAt = now.Add(canaryRetry)
	}
	d.startOnlyExposed(now, p, w, sequence, o)
	return true
}

// runsOnlyConfined reports whether all runs on the worker started as canaries or suspects.
func (w *worker) runsOnlyConfined() bool {
	for _, r := range w.runs {
		if !r.isolated {
			return false
		}
	}
	return true
}

// startCanary starts one item on an exposed worker. Jobs that can still be in time go
// first, and those under which a worker crashed last: most likely they are at fault, and
// the jobs of other callers would wait for them. Now and then one of them goes first, so
// that they do not wait forever.
func (d *Dispatcher) startCanary(now tackclock.Time, p *pool, w *worker, sequence uint64, o *Orders) bool {
	x := &p.exposure
	if x.sinceSuspect >= suspectEvery && d.startSuspect(now, p, w, sequence, o) {
		return true
	}
	starts := d.startsNow(now)
	for _, late := range [...]int{0, partitionLate} {
		tries := 0
		for s := range p.steps.Fitting(w.room().MilliCores, func(partition int) bool {
			return partition&confinedPartitions == partitionUnproven && partition&partitionLate == late &&
				starts(partition&^confinedPartitions)
		}) {
			if tries++; tries > canaryTries {
				break
			}
			if d.tryCanary(now, w, s, sequence, o) {
				x.sinceSuspect++
				return true
			}
		}
	}
	return d.startSuspect(now, p, w, sequence, o)
}

// startSuspect starts a canary of a job that is most likely at fault.
func (d *Dispatcher) startSuspect(now tackclock.Time, p *pool, w *worker, sequence uint64, o *Orders) bool {
	starts := d.startsNow(now)
	tries := 0
	for s := range p.steps.Fitting(w.room().MilliCores, func(partition int) bool {
		return partition&confinedPartitions == confinedPartitions && starts(partition&^confinedPartitions)
	}) {
		if tries++; tries > canaryTries {
			return false
		}
		if d.tryCanary(now, w, s, sequence, o) {
			p.exposure.sinceSuspect = 0
			return true
		}
	}
	return false
}

// tryCanary starts an item of the step on the worker if it may start there: a suspect if
// there is one, otherwise any item of a job that needs a canary.
func (d *Dispatcher) tryCanary(now tackclock.Time, w *worker, s *openStep, sequence uint64, o *Orders) bool {
	if s.Gang || len(s.waiting) == 0 || !d.needsCanary(s) || d.canaryUnderWay(s.job) || !w.room().Fits(s.Reserved()) || !d.mayStart(now, w, s) {
		return false
	}
	at := d.nextTry(now, w, s)
	if at < 0 || !d.withinCap(now, s, 1) {
		return false
	}
	item := s.waiting[at]
	if s.restraints[item.index].isolated {
		s.dropWaiting(item.index)
		d.beginCanary(now, d.planTrial(now, w, s, item))
	} else {
		s.dropWaiting(item.index)
		d.startUntried(now, d.newRun(now, w, s, item), sequence, o)
	}
	d.repartition(now, s.job)
	return true
}

// startUntried starts a canary whose item is no suspect.
func (d *Dispatcher) startUntried(now tackclock.Time, r *run, sequence uint64, o *Orders) {
	d.beginCanary(now, r)
	if r.step.mustLogStart(r.item.Index) && r.worker.vm != "" {
		d.planLoggedStart(now, r)
		return
	}
	d.sendStart(now, r, sequence, reasonCanary, o)
}

// nextTry returns the position of the waiting item to try: the one with the most crashes,
// since another one of the job would need as many to be given up. It returns -1 if none
// may start.
func (d *Dispatcher) nextTry(now tackclock.Time, w *worker, s *openStep) int {
	best, most := -1, -1
	for at := len(s.waiting) - 1; at >= 0; at-- {
		i := &s.waiting[at]
		if most >= 0 && len(s.restraints) == 0 {
			break
		}
		if crashes := s.crashCount(i.index); crashes > most && d.mayTry(now, w, s, i) {
			best, most = at, crashes
		}
	}
	return best
}

// crashCount returns the number of crashes under an item in the log.
func (s *openStep) crashCount(index int32) int {
	if len(s.restraints) == 0 {
		return 0
	}
	return len(s.crashRecord(index).Crashes)
}

// mayTry reports whether the waiting item may start as a canary, or as a suspect, on an
// exposed worker. If the step has suspects, the others wait for them.
func (d *Dispatcher) mayTry(now tackclock.Time, w *worker, s *openStep, i *waitingItem) bool {
	if len(s.restraints) > 0 && s.restraints[i.index] == (restraint{}) {
		return false
	}
	if !s.startableOn(now, w, i.index) || w.runs[s.item(i.index)] != nil || s.MaxPerWorker > 0 && w.steps[s.key()] >= s.MaxPerWorker {
		return false
	}
	waited := now.Sub(max(i.since, d.earlierLeasesEnd))
	return waited > trialPatience || !s.crashRecord(i.index).CrashedOn(w.vm)
}

// beginCanary marks a run as a canary. Nothing else starts on its worker before it is
// listed or, while a canary is likely to crash its worker, before it has survived:
// otherwise most canaries are lost with the next one that does.
func (d *Dispatcher) beginCanary(now tackclock.Time, r *run) {
	u := d.unit(r.step.unitKey(), r.step.job.Service)
	if !r.isolated {
		r.isolated, r.inconclusive = true, !u.Decisive()
		if !u.MostlySound() {
			r.trial = tackconfine.SurvivedAfter
		}
		r.worker.onTrial = append(r.worker.onTrial, r)
	}
	r.canary, r.step.job.trust.canary = true, r
	u.Begin(now, uint64(r.number))
}

// startOnlyExposed starts items on an exposed worker that nothing else in the pool can run.
func (d *Dispatcher) startOnlyExposed(now tackclock.Time, p *pool, w *worker, sequence uint64, o *Orders) {
	starts := d.startsNow(now)
	for _, s := range p.exposure.onlyExposed {
		if s.queued && starts(s.partition) && len(s.waiting) > 0 && !d.confined(s) && w.room().Fits(s.Reserved()) && d.mayStart(now, w, s) {
			d.startItems(now, w, s, sequence, o)
		}
	}
}

// findOnlyExposed finds the steps whose items have waited and that only exposed workers
// can run.
func (d *Dispatcher) findOnlyExposed(now tackclock.Time, p *pool) {
	x := &p.exposure
	x.onlyExposed = x.onlyExposed[:0]
	tries := 0
	for s := range p.steps.Fitting(math.MaxInt, d.startsNow(now)) {
		if tries++; tries > strandedTries {
			return
		}
		if len(s.waiting) > 0 && !d.confined(s) && now.Sub(s.waiting[0].since) > spreadPatience && !d.runnable(now, p, s) {
			x.onlyExposed = append(x.onlyExposed, s)
		}
	}
}

// startStrandedCanary starts a canary on a worker that is not exposed, if its job has
// waited and no exposed worker can run it: for want of a label, a ticket, or room. It
// reports whether one was started.
func (d *Dispatcher) startStrandedCanary(now tackclock.Time, p *pool, w *worker, sequence uint64, o *Orders) bool {
	if len(p.exposure.stranded) == 0 || w.unlisted() > 0 {
		return false
	}
	starts := d.startsNow(now)
	for _, s := range p.exposure.stranded {
		if s.queued && starts(s.partition&^confinedPartitions) && d.canaryStranded(now, p, s) && d.tryCanary(now, w, s, sequence, o) {
			return true
		}
	}
	return false
}

// findStranded finds the steps that wait for a canary that no exposed worker can run,
// first among those that require a label.
func (d *Dispatcher) findStranded(now tackclock.Time, p *pool) {
	x := &p.exposure
	x.stranded = x.stranded[:0]
	for _, labelled := range [...]int{partitionLabelled, 0} {
		tries := 0
		for s := range p.steps.Fitting(math.MaxInt, func(partition int) bool {
			return partition&(partitionUnproven|partitionLabelled|partitionGang) == partitionUnproven|labelled
		}) {
			if tries++; tries > strandedTries {
				break
			}
			if d.canaryStranded(now, p, s) {
				x.stranded = append(x.stranded, s)
			}
		}
	}
}

// canaryStranded reports whether a step has waited for a canary and no exposed worker
// will run it.
func (d *Dispatcher) canaryStranded(now tackclock.Time, p *pool, s *openStep) bool {
	if len(s.waiting) == 0 || !d.needsCanary(s) || now.Sub(max(s.waiting[0].since, d.earlierLeasesEnd)) <= spreadPatience {
		return false
	}
	return !slices.ContainsFunc(p.exposure.workers, func(w *worker) bool {
		return d.mayStart(now, w, s) && w.batchRoom().Fits(s.Reserved())
	}) && len(p.exposure.workers) > 0
}

// mayHostConfined reports whether members of a gang may start on the worker as far as
// confinement goes. A gang of a job that is not proven is its own canary: it starts on
// exposed workers, or if they do not suffice, on workers that run nothing.
func (d *Dispatcher) mayHostConfined(now tackclock.Time, w *worker, s *openStep) bool {
	p := d.pools[w.service]
	if p == nil || !p.exposure.on || len(s.waiting) == 0 {
		return true
	}
	exposed := w.exposed
	waited := now.Sub(max(s.waiting[0].since, d.earlierLeasesEnd))
	switch {
	case !d.needsCanary(s):
		return !exposed || waited > 2*trialPatience
	case waited > 2*trialPatience:
		return w.unlisted() == 0
	}
	return exposed || waited > trialPatience && w.idle()
}
