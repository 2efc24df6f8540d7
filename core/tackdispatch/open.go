package tackdispatch

import (
	"slices"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackqueue"
	"auburntack/core/tackquota"
)

// maxClockLead is how far the clock of an earlier leader may have been ahead.
const maxClockLead = 10 * tackclock.Second

type (
	// openJob is a job that is accepted and neither done nor cancelled.
	openJob struct {
		*tackjob.Job
		account *tackquota.Account
		steps   map[stepKey]*openStep
		// opened is the number of occurrences that have become due.
		opened  int
		started bool
		closed  bool
		// countedOwner and countedWork are what outstandingWork.add has counted of the
		// job.
		countedOwner owner
		countedWork  int64
		// commitment is what the outlook of a pool has counted of the job.
		commitment commitment
		fresh      bool // no earlier leader can have started any of it
		// deadline is when the job must be done to have its full value.
		deadline tackclock.Time
		trust    trust
	}

	stepKey struct {
		job        tackjob.ID
		occurrence int32
		step       int32
	}

	// openStep is a step that waits for no other step any more.
	openStep struct {
		*tackjob.Step
		job        *openJob
		occurrence int32
		// notBefore is when the occurrence is due.
		notBefore tackclock.Time
		number    int32
		waiting   []waitingItem
		running   int
		ending    int    // number of ends that are not in the log yet
		copies    []*run // runs whose items wait, or run, elsewhere as well
		queued    bool
		// pool is the one whose queue holds the step, or held it last, and inserted the
		// number of its insertion there.
		pool     *pool
		inserted int64
		advice   advice
		retryAt  tackclock.Time // when placement is next attempted, for a gang
		// tooLarge says that the pool could not hold the gang if it were idle, as of the
		// change of the pool that sizeChecked stands for. turn is its place among the gangs
		// of the pool.
		tooLarge    bool
		sizeChecked uint64
		turn        *gangTurn
		// heldNoteAt is when the next event may say that the workspace's cap holds items
		// back.
		heldNoteAt tackclock.Time
		rank       tackqueue.Rank
		// partition is the partition of its pool's queue that holds the step.
		partition int
		// restraints holds the restraints of waiting items that may not start like the
		// others.
		restraints map[int32]restraint
		// crashCounts counts the workers that crashed under each item, or may have, as
		// far as this leader knows.
		crashCounts map[int32]int
		// unlogged counts the findings about each item that the log does not hold yet, and
		// dismissed holds the runs about which the log still holds a doubt that was
		// dismissed.
		unlogged  map[int32]int
		dismissed map[uint64]bool
		// held are the former incarnations that may still run each item.
		held map[int32][]*former
		// inherited says that an earlier leader may have started the items, and lost
		// holds those of which this leader has lost a run with its worker, or may have.
		inherited bool
		lost      map[int32]bool
		// quickest is the sample of the item that took the shortest time.
		quickest sample
	}

	waitingItem struct {
		index      int32
		checkpoint string
		since      tackclock.Time
		former     FormerRun
	}
)

// QueueKey implements tackqueue.Entry.
func (s *openStep) QueueKey() tackqueue.Key {
	return tackqueue.Key{Rank: s.rank, Order: -s.inserted, MilliCores: s.Reserved().MilliCores, Partition: s.partition}
}

func (s *openStep) key() stepKey {
	return stepKey{job: s.job.ID, occurrence: s.occurrence, step: s.number}
}

func (s *openStep) item(index int32) tackjob.Item {
	return tackjob.Item{Job: s.job.ID, Occurrence: s.occurrence, Step: s.number, Index: index}
}

// addWaiting queues an item at the end of waiting, which is taken first.
func (s *openStep) addWaiting(now tackclock.Time, index int32, checkpoint string) {
	s.waiting = append(s.waiting, waitingItem{index: index, checkpoint: checkpoint, since: now})
	s.setRestraint(index, s.restraintOf(now, index))
}

// dropWaiting removes an item from those that wait, and reports whether it was one of
// them.
func (s *openStep) dropWaiting(index int32) bool {
	before := len(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, func(w waitingItem) bool { return w.index == index })
	s.setRestraint(index, restraint{})
	return len(s.waiting) < before
}

// Accepted adds a job that the log has accepted.
func (d *Dispatcher) Accepted(now tackclock.Time, j *tackjob.Job) {
	d.accept(now, j, true)
}

// accept adds a job; fresh says that no earlier leader can have started any of it.
func (d *Dispatcher) accept(now tackclock.Time, j *tackjob.Job, fresh bool) {
	d.Decided(j.ID)
	if j.Phase != tackjob.Open || d.jobs[j.ID] != nil {
		return
	}
	o := &openJob{Job: j, account: d.quota.Account(j.Workspace), fresh: fresh, steps: make(map[stepKey]*openStep)}
	chain := j.CriticalPath()
	o.deadline = j.Accepted.Add(tackclock.Duration(j.Stretch*float64(chain)) + j.Objective)
	o.started = len(j.Progress) > 0
	if !o.started {
		d.unstarted[o.Queue]++
	}
	d.jobs[j.ID] = o
	d.addWork(o)
	d.openDue(now, o)
}

// openDue opens the occurrences that have become due.
func (d *Dispatcher) openDue(now tackclock.Time, o *openJob) {
	for o.opened < o.Occurrences() && o.Due(int32(o.opened)) <= now {
		o.opened++
		d.openReady(now, o, int32(o.opened-1))
	}
	if o.opened < o.Occurrences() {
		d.scheduled[o.ID] = o
		return
	}
	delete(d.scheduled, o.ID)
}

// listedStep returns the open step of an item that a worker lists, or nil. What has run was due by
// the clock of the leader that started it, so its occurrence is opened if this leader's clock
// is behind.
func (d *Dispatcher) listedStep(now tackclock.Time, o *openJob, item tackjob.Item) *openStep {
	key := stepKey{job: o.ID, occurrence: item.Occurrence, step: item.Step}
	if o.steps[key] == nil && o.Has(item) && int(item.Occurrence) >= o.opened && o.Due(item.Occurrence) <= now.Add(maxClockLead) {
		for int(item.Occurrence) >= o.opened {
			o.opened++
			d.openReady(now, o, int32(o.opened-1))
		}
		d.openDue(now, o)
	}
	return o.steps[key]
}

// openReady opens the steps of an occurrence that wait for no other step any more.
func (d *Dispatcher) openReady(now tackclock.Time, o *openJob, occurrence int32) {
	for number := range o.Steps {
		key := stepKey{job: o.ID, occurrence: occurrence, step: int32(number)}
		if o.steps[key] != nil || o.StepDone(occurrence, int32(number)) || !o.Ready(occurrence, int32(number)) {
			continue
		}
		s := &openStep{Step: &o.Steps[number], job: o, occurrence: occurrence, number: int32(number)}
		s.rank, s.notBefore = s.newRank(), o.Due(occurrence)
		for i := s.Count - 1; i >= 0; i-- {
			if !o.Done(s.item(int32(i))) {
				s.addWaiting(now, int32(i), "")
			}
		}
		o.steps[key] = s
		o.account.RequestAhead(now, s.Resources.Times(len(s.waiting)))
		d.enqueue(now, d.pool(o.Service), s)
	}
}

func (s *openStep) newRank() tackqueue.Rank {
	r := tackqueue.Rank{Class: tackqueue.Batch, Priority: s.job.Priority, Deadline: s.job.deadline, Job: s.job.ID}
	switch {
	case s.BestEffort:
		r.Class = tackqueue.BestEffort
	case s.LongRunning:
		r.Class = tackqueue.LongRunning
	}
	return r
}

// markStarted records that an item of the job has started.
func (d *Dispatcher) markStarted(o *openJob) {
	if !o.started {
		o.started = true
		d.unstarted[o.Queue]--
	}
}

// Closed removes a job that is no longer to be run. Its runs are stopped with the next
// heartbeats of their workers.
func (d *Dispatcher) Closed(now tackclock.Time, id tackjob.ID) {
	o := d.jobs[id]
	if o == nil {
		return
	}
	o.closed = true
	d.removeWork(o)
	d.markStarted(o) // no longer counted as unstarted
	delete(d.jobs, id)
	delete(d.scheduled, id)
	for _, s := range o.steps {
		s.waiting = nil
		d.pool(o.Service).dequeue(s)
		for i := range s.Count {
			if r := d.running[s.item(int32(i))]; r != nil {
				d.stop(now, r, "job closed")
			}
		}
		for _, r := range s.copies {
			d.stop(now, r, "job closed")
		}
	}
}

// EndLogged handles an end that the log now holds. Steps that waited for it are opened, and
// an item that failed waits for its next attempt.
func (d *Dispatcher) EndLogged(now tackclock.Time, e tackjob.End) {
	o := d.jobs[e.Item.Job]
	if o == nil {
		return
	}
	if o.Phase != tackjob.Open {
		d.Closed(now, o.ID)
		return
	}
	s := o.steps[stepKey{job: e.Item.Job, occurrence: e.Item.Occurrence, step: e.Item.Step}]
	if s == nil {
		return
	}
	if s.ending > 0 {
		s.ending--
	}
	before := o.countedWork
	d.removeWork(o)
	d.addWork(o)
	d.pool(o.Service).supply.yield.Done(max(0, before-o.countedWork))
	if e.Failed {
		if d.running[e.Item] == nil && !o.Done(e.Item) {
			s.dropWaiting(e.Item.Index)
			s.addWaiting(now, e.Item.Index, "")
			s.waiting[len(s.waiting)-1].former = FormerRun{Run: RunNumber(e.Run), Proof: EndFailed.String(), At: now}
			d.enqueue(now, d.pool(o.Service), s)
		}
		return
	}
	s.dropWaiting(e.Item.Index)
	d.stopOtherRuns(now, s, e.Item, RunNumber(e.Run))
	if e.Gang { // one end stands for all members
		s.waiting = nil
		for i := range s.Count {
			d.stopOtherRuns(now, s, s.item(int32(i)), RunNumber(e.Run))
		}
	}
	if o.StepDone(e.Item.Occurrence, e.Item.Step) {
		d.openReady(now, o, e.Item.Occurrence)
	}
}

// Started reports whether any item of the job has started.
func (d *Dispatcher) Started(id tackjob.ID) bool {
	o := d.jobs[id]
	return o != nil && o.started
}

// UnstartedJobs returns the number of open jobs of a queue of which nothing has started.
func (d *Dispatcher) UnstartedJobs(queue tackcatalog.QueueKey) int {
	return d.unstarted[queue]
}
