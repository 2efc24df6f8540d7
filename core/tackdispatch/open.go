package tackdispatch

import (
	"slices"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackqueue"
	"auburntack/core/tackquota"
)

type (
	// openJob is a job that is owed.
	openJob struct {
		*tackjob.Job
		account *tackquota.Account
		steps   map[stepKey]*openStep
		// opened are the occurrences that are due.
		opened  int
		started bool
		closed  bool
		// owedTo and owedWork are what owedWork.add has taken in of it.
		owedTo   owner
		owedWork int64
		fresh    bool // nobody before this dispatcher can have started any of it
		// deadline is when the job should be through to be of full worth.
		deadline tackclock.Time
	}

	stepKey struct {
		job        tackjob.ID
		occurrence int32
		step       int32
	}

	// openStep is a step whose turn has come.
	openStep struct {
		*tackjob.Step
		job     *openJob
		occ     int32
		number  int32
		waiting []waitingItem
		running int
		ending  int    // ends that are not in the log yet
		copies  []*run // runs whose items wait, or run, elsewhere as well
		pooled  bool
		advice  advice
		tryAt   tackclock.Time // when room is looked for again, for a gang
		// heldAgain is when it is next noted that the workspace's cap holds items back.
		heldAgain tackclock.Time
		rank      tackqueue.Rank
		// shelf is where it stands in its pool's queue.
		shelf int
		// restraints are those of the waiting items that may not start like the others.
		restraints map[int32]restraint
		// blamed counts the workers that crashed under each item, or may have, as far as
		// this leader found out.
		blamed map[int32]int
		// quickest is the item that was done in the shortest time.
		quickest sample
	}

	waitingItem struct {
		index      int32
		checkpoint string
		since      tackclock.Time
	}
)

// QueueKey implements tackqueue.Entry.
func (s *openStep) QueueKey() tackqueue.Key {
	return tackqueue.Key{Rank: s.rank, MilliCores: s.Takes().MilliCores, Shelf: s.shelf}
}

func (s *openStep) key() stepKey {
	return stepKey{job: s.job.ID, occurrence: s.occ, step: s.number}
}

func (s *openStep) item(index int32) tackjob.Item {
	return tackjob.Item{Job: s.job.ID, Occurrence: s.occ, Step: s.number, Index: index}
}

// wait puts an item back. It is taken first, since it has waited longest.
func (s *openStep) wait(now tackclock.Time, index int32, checkpoint string) {
	s.waiting = append(s.waiting, waitingItem{index: index, checkpoint: checkpoint, since: now})
	s.restrain(index, s.restraintOf(now, index))
}

// dropWaiting reports whether the item waited; it does not any more.
func (s *openStep) dropWaiting(index int32) bool {
	before := len(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, func(w waitingItem) bool { return w.index == index })
	delete(s.restraints, index)
	return len(s.waiting) < before
}

// Accepted takes in a job that the log has accepted, or holds since an earlier
// leader.
func (d *Dispatcher) Accepted(now tackclock.Time, j *tackjob.Job) {
	d.accept(now, j, true)
}

// accept takes in a job; fresh says that nobody can have started any of it.
func (d *Dispatcher) accept(now tackclock.Time, j *tackjob.Job, fresh bool) {
	d.Decided(j.ID)
	if j.Phase != tackjob.Open || d.jobs[j.ID] != nil {
		return
	}
	o := &openJob{Job: j, account: d.quota.Account(j.Workspace), fresh: fresh, steps: make(map[stepKey]*openStep)}
	chain := j.Chain()
	o.deadline = j.Accepted.Add(tackclock.Duration(j.Stretch*float64(chain)) + j.Objective)
	o.started = len(j.Progress) > 0
	if !o.started {
		d.unbegun[o.Queue]++
	}
	d.jobs[j.ID] = o
	d.owed.add(o)
	d.openDue(now, o)
}

// openDue opens the occurrences whose time has come.
func (d *Dispatcher) openDue(now tackclock.Time, o *openJob) {
	for o.opened < o.Occurrences() && o.Due(int32(o.opened)) <= now {
		o.opened++
		d.openReady(now, o, int32(o.opened-1))
	}
	if o.opened < o.Occurrences() {
		d.timed[o.ID] = o
		return
	}
	delete(d.timed, o.ID)
}

// openReady opens the steps of an occurrence that wait for nothing any more.
func (d *Dispatcher) openReady(now tackclock.Time, o *openJob, occurrence int32) {
	for number := range o.Steps {
		key := stepKey{job: o.ID, occurrence: occurrence, step: int32(number)}
		if o.steps[key] != nil || o.StepDone(occurrence, int32(number)) || !o.Ready(occurrence, int32(number)) {
			continue
		}
		s := &openStep{Step: &o.Steps[number], job: o, occ: occurrence, number: int32(number)}
		s.rank = s.makeRank()
		for i := s.Count - 1; i >= 0; i-- {
			if !o.Done(s.item(int32(i))) {
				s.wait(now, int32(i), "")
			}
		}
		o.steps[key] = s
		o.account.Expect(now, s.Room.Times(len(s.waiting)))
		d.open(now, d.pool(o.Service), s)
	}
}

func (s *openStep) makeRank() tackqueue.Rank {
	r := tackqueue.Rank{Class: tackqueue.Batch, Priority: s.job.Priority, Deadline: s.job.deadline, Job: s.job.ID}
	switch {
	case s.Fills:
		r.Class = tackqueue.Fills
	case s.LongRunning:
		r.Class = tackqueue.Serves
	}
	return r
}

// begin takes in that something of a job has begun.
func (d *Dispatcher) begin(o *openJob) {
	if !o.started {
		o.started = true
		d.unbegun[o.Queue]--
	}
}

// Closed takes in that a job is not owed any more. What runs of it is stopped
// with the next heartbeats of its workers.
func (d *Dispatcher) Closed(now tackclock.Time, id tackjob.ID) {
	o := d.jobs[id]
	if o == nil {
		return
	}
	o.closed = true
	d.owed.take(o)
	d.begin(o) // it waits no more
	delete(d.jobs, id)
	delete(d.timed, id)
	for _, s := range o.steps {
		s.waiting = nil
		d.pool(o.Service).closeStep(s)
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

// Taken takes in that the log holds an end. Steps that waited for it open, and
// an item that failed waits for its next attempt.
func (d *Dispatcher) Taken(now tackclock.Time, e tackjob.End) {
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
	d.owed.take(o)
	d.owed.add(o)
	if e.Failed {
		if d.running[e.Item] == nil && !o.Done(e.Item) {
			s.dropWaiting(e.Item.Index)
			s.wait(now, e.Item.Index, "")
			d.open(now, d.pool(o.Service), s)
		}
		return
	}
	s.dropWaiting(e.Item.Index)
	d.stopOthers(now, s, e.Item, RunNumber(e.Run))
	if e.Gang { // one end stands for all members
		s.waiting = nil
		for i := range s.Count {
			d.stopOthers(now, s, s.item(int32(i)), RunNumber(e.Run))
		}
	}
	if o.StepDone(e.Item.Occurrence, e.Item.Step) {
		d.openReady(now, o, e.Item.Occurrence)
	}
}

// Started reports whether any item of the job has begun.
func (d *Dispatcher) Started(id tackjob.ID) bool {
	o := d.jobs[id]
	return o != nil && o.started
}

// Pending counts the jobs of a queue of which nothing has begun.
func (d *Dispatcher) Pending(queue tackcatalog.QueueKey) int {
	return d.unbegun[queue]
}
