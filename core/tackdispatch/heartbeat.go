package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackreplica"
	"auburntack/core/tackroom"
)

// Heartbeat takes in a worker's report and returns its orders, with the ends
// that the log must hold before the worker may forget them. An answer without
// a hold leaves the worker as it is. The error is a *ForeignError.
func (d *Dispatcher) Heartbeat(now tackclock.Time, r *Report) (Orders, []tackjob.End, error) {
	if err := d.check(now, r); err != nil {
		return Orders{}, nil, err
	}
	w := d.take(now, r)
	if w == nil {
		return Orders{}, nil, nil
	}
	finished := d.takeEnds(now, w, r.Ended)
	d.takeRunning(now, w, r)
	d.forgive(now, w)
	d.inspect(now, w)
	w.leaseUntil = d.leaseEnd(now)
	o := Orders{Hold: d.cfg.Hold, Fence: uint64(d.term), Stop: w.stops}
	w.stops = nil
	for _, run := range w.runs {
		if run.stopping {
			o.Stop = append(o.Stop, Stop{Item: run.item, Run: run.number})
		}
	}
	d.start(now, w, r.Sequence, &o)
	d.sendPlanned(now, w, r.Sequence, &o)
	o.Pace = d.pace(now, w)
	o.Noted = w.ends.noted()
	o.Retry = d.retry(now, w)
	w.patience = max(0, o.Retry-d.cfg.RetryBusy)
	d.recount(now, w)
	return o, finished, nil
}

// take finds the worker of a report, or nil if the report is out of date: of a
// life that is over, or overtaken by a later heartbeat.
func (d *Dispatcher) take(now tackclock.Time, r *Report) *worker {
	if _, over := d.over[r.Worker]; over {
		return nil
	}
	w := d.workers[r.Worker]
	if w == nil && !d.believes(now, r) {
		return nil
	}
	if w == nil {
		w = d.join(now, r)
	}
	if r.Sequence <= w.sequence {
		return nil
	}
	w.sequence = r.Sequence
	w.reports++
	w.heardAt = now
	d.setSilent(w, false)
	if w.doubted {
		w.doubted = false
		d.resolve(now, w.vm, w.id)
	}
	d.survived(now, w)
	if r.Draining && !w.draining {
		w.draining = true
		d.noteWorker(now, EventDraining, w, "")
	}
	w.capacity, w.labels = r.Capacity, r.Labels
	return w
}

// join takes in a new life. The life before it on the same VM, or under the same
// name, is over, so what ran there may start elsewhere at once.
func (d *Dispatcher) join(now tackclock.Time, r *Report) *worker {
	if before := d.names[r.Worker.Name()]; before != nil {
		d.doubt(now, before)
		d.lose(now, before, "another life under its name")
	}
	if r.VM != "" {
		if before := d.lives[r.VM]; before != nil {
			d.doubt(now, before)
			d.lose(now, before, "another life on its VM")
		}
		d.resolve(now, r.VM, r.Worker)
	}
	delete(d.claims, r.Worker)
	w := &worker{
		id: r.Worker, vm: r.VM, fixed: r.Fixed, service: r.Service, zone: r.Zone, phase: uint64(len(d.workers)),
		runs: make(map[tackjob.Item]*run), steps: make(map[stepKey]int),
		ends: ends{pending: make(map[uint64]tackjob.End)},
	}
	w.heardAt, w.idleFrom = now, now
	delete(d.lapsed, w.id)
	d.endLapsed(now, w.vm, w.id.Name())
	d.takeStandby(w.vm)
	if m := d.moves[w.vm]; m != nil && m.life != w.id {
		delete(d.moves, w.vm)
	}
	w.leaving = d.ordered(w)
	d.noteWorker(now, EventJoined, w, string(w.service))
	d.workers[w.id], d.names[w.id.Name()] = w, w
	if w.vm != "" {
		d.lives[w.vm] = w
	}
	d.pool(w.service).add(w)
	d.checks.add(w, d.silentAt(w))
	return w
}

// ordered reports whether the platform may be about to end this life, for a move or
// an upkeep: one that joins again may have been called for while it was silent.
func (d *Dispatcher) ordered(w *worker) bool {
	if w.vm == "" {
		return false
	}
	if d.moves[w.vm] != nil {
		return true
	}
	st := d.upkeeps[w.vm]
	return st != nil && st.calledAt != 0 && st.life == w.id
}

func (d *Dispatcher) takeEnds(now tackclock.Time, w *worker, rows []Ended) []tackjob.End {
	var finished []tackjob.End
	for i := range rows {
		e := &rows[i]
		if e.Number <= w.ends.taken {
			continue
		}
		w.ends.taken = e.Number
		if end, ok := d.takeEnd(now, w, e); ok {
			w.ends.pending[e.Number] = end
			finished = append(finished, end)
		}
	}
	return finished
}

// takeEnd frees what the run took and says whether the log must hold its end.
func (d *Dispatcher) takeEnd(now tackclock.Time, w *worker, e *Ended) (tackjob.End, bool) {
	d.note(Event{Kind: EventEnded, At: now, Worker: w.id, VM: w.vm, Item: e.Item, Run: e.Run, Reason: e.How.String()})
	d.takeOutcome(now, w, e)
	r := w.runs[e.Item]
	if r != nil && r.number == e.Run {
		if e.How == EndDone {
			r.step.sampled(now, r)
		}
		d.undoubt(r)
		d.free(now, r)
		r.checkpoint = e.Checkpoint
	} else {
		r = nil
	}
	o := d.jobs[e.Item.Job]
	if o == nil || !o.Has(e.Item) || o.Done(e.Item) {
		return tackjob.End{}, false
	}
	counts := e.How == EndDone || e.How == EndFailed
	if !counts || o.Steps[e.Item.Step].LongRunning {
		if r != nil {
			d.requeue(now, r)
		}
		return tackjob.End{}, false
	}
	// A failure of a run that was given up earlier does not count once another
	// run of the item is under way, unless it may run in copies.
	if e.How == EndFailed && r == nil && d.running[e.Item] != nil && !o.Steps[e.Item.Step].Speculative {
		return tackjob.End{}, false
	}
	s := o.steps[stepKey{job: o.ID, occurrence: e.Item.Occurrence, step: e.Item.Step}]
	if s == nil {
		return tackjob.End{}, false
	}
	s.dropWaiting(e.Item.Index)
	s.ending++
	d.begin(o)
	return tackjob.End{Item: e.Item, Failed: e.How == EndFailed, Gang: s.Gang, Run: uint64(e.Run)}, true
}

// EndsNoted takes in that the log holds these ends of a worker. Two ends of one
// item may be under way, of a copy that failed and of a later run; the log may
// hold only the first.
func (d *Dispatcher) EndsNoted(id WorkerID, noted []tackjob.End) {
	w := d.workers[id]
	if w == nil {
		return
	}
	for _, e := range noted {
		for number, pending := range w.ends.pending {
			if pending == e {
				delete(w.ends.pending, number)
			}
		}
	}
}

// takeRunning compares what the worker lists with what it was told to run.
func (d *Dispatcher) takeRunning(now tackclock.Time, w *worker, r *Report) {
	w.forgetStrange()
	listed := make(map[tackjob.Item]bool, len(r.Running))
	for i := range r.Running {
		row := &r.Running[i]
		run := w.runs[row.Item]
		if run == nil || run.number != row.Run {
			run = d.adopt(now, w, row)
		}
		if run == nil {
			continue
		}
		listed[row.Item] = true
		run.update(now, row)
		d.undoubt(run)
		d.uncopy(run)
	}
	if len(r.Ended) >= endsInReport || len(listed) == len(w.runs) {
		return
	}
	// A run that was ordered in the answer to an earlier heartbeat and is not
	// listed was never started: the answer was lost or came too late.
	for _, run := range w.inOrder() {
		if !listed[run.item] && run.sentIn < r.Sequence {
			d.noteRun(now, EventNotStarted, run, "not listed")
			d.undoubt(run)
			d.free(now, run)
			d.requeue(now, run)
		}
	}
}

func (r *run) update(now tackclock.Time, row *Running) {
	if !r.listed {
		r.listedAt, r.from = now, row.Percent
	}
	if !r.listed || row.Percent != r.percent {
		r.movedAt = now
	}
	r.listed = true
	r.percent = row.Percent
	r.tail = row.Tail
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// adopt takes over a run that an earlier leader started. It returns nil for
// one that must stop: of a job that is not owed, or an item that runs
// elsewhere or is done.
func (d *Dispatcher) adopt(now tackclock.Time, w *worker, row *Running) *run {
	o := d.jobs[row.Item.Job]
	var s *openStep
	if o != nil {
		s = o.steps[stepKey{job: o.ID, occurrence: row.Item.Occurrence, step: row.Item.Step}]
	}
	if s == nil || !o.Has(row.Item) || o.Done(row.Item) || d.running[row.Item] != nil || w.runs[row.Item] != nil {
		w.stops = append(w.stops, Stop{Item: row.Item, Run: row.Run})
		d.note(Event{Kind: EventStrange, At: now, Worker: w.id, VM: w.vm, Item: row.Item, Run: row.Run})
		d.addStrange(w, row)
		return nil
	}
	s.dropWaiting(row.Item.Index)
	r := &run{
		item: row.Item, number: row.Run, worker: w, step: s, takes: s.Takes(), started: now, pace: fullPace,
		earlier: d.byEarlier(row.Run),
	}
	r.listed, r.listedAt, r.from, r.percent = true, now, row.Percent, row.Percent
	r.movedAt = now
	d.place(now, r)
	d.try(now, r)
	d.noteRun(now, EventAdopted, r, "")
	return r
}

// byEarlier reports whether another leader numbered the run.
func (d *Dispatcher) byEarlier(n RunNumber) bool {
	return tackreplica.Term(n>>runBits) != d.term
}

// addStrange counts what a worker runs and must stop.
func (d *Dispatcher) addStrange(w *worker, row *Running) {
	w.strange = w.strange.Plus(d.takesOf(w, row.Item))
	if d.table == nil {
		return
	}
	j := d.table.Get(row.Item.Job)
	if j == nil || !j.Has(row.Item) || j.Workspace == "" {
		return
	}
	x := stranger{account: d.quota.Account(j.Workspace), room: j.Steps[row.Item.Step].Room, earlier: d.byEarlier(row.Run)}
	x.account.Start(x.room, x.earlier)
	w.strangers = append(w.strangers, x)
}

// forgetStrange takes back what addStrange counted.
func (w *worker) forgetStrange() {
	for _, x := range w.strangers {
		x.account.End(x.room, x.earlier)
	}
	w.strange, w.strangers = tackroom.Room{}, nil
}

// takesOf is what a run takes that is not owed any more. Jobs that were closed
// are known for minutes. Of what is not known at all the worker is taken for full:
// with less, it would be filled beyond what it has.
func (d *Dispatcher) takesOf(w *worker, item tackjob.Item) tackroom.Room {
	if d.table != nil {
		if j := d.table.Get(item.Job); j != nil && j.Has(item) {
			return j.Steps[item.Step].Takes()
		}
	}
	return w.capacity
}

// place puts a run on its worker.
func (d *Dispatcher) place(now tackclock.Time, r *run) {
	w := r.worker
	r.step.job.account.Start(r.step.Room, r.earlier)
	w.runs[r.item] = r
	w.used = w.used.Plus(r.takes)
	if r.step.LongRunning {
		w.lasting = w.lasting.Plus(r.takes)
	}
	w.steps[r.step.key()]++
	d.running[r.item] = r
	r.step.running++
	d.begin(r.step.job)
	d.recount(now, w)
}
