package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackreplica"
	"auburntack/core/tackroom"
)

// Heartbeat handles a worker's report. It returns the worker's orders, and the ends that
// the log must hold before the worker may forget them. Orders without a Hold leave the
// worker as it is. The error is a *ForeignError.
func (d *Dispatcher) Heartbeat(now tackclock.Time, r *Report) (Orders, []tackjob.End, error) {
	d.noteRunning(now)
	if err := d.checkReport(now, r); err != nil {
		return Orders{}, nil, err
	}
	w := d.reporter(now, r)
	if w == nil {
		return Orders{}, nil, nil
	}
	w.sequence = r.Sequence
	w.reports++
	w.refused = 0
	d.hear(now, w, r)
	d.confirm(now, w, r)
	finished := d.processEnds(now, w, r.Ended)
	d.processRunning(now, w, r)
	d.clearItems(now, w)
	d.checkSurvivors(now, w)
	d.inspect(now, w)
	if w.left {
		return d.answerDeparted(now, w), finished, nil
	}
	w.leaseUntil = d.leaseEnd(now)
	o := Orders{Hold: d.cfg.Hold, Fence: uint64(d.term), Stop: w.takeStops()}
	d.start(now, w, r.Sequence, &o)
	d.sendPlanned(now, w, r.Sequence, &o)
	o.Pace = d.pace(now, w)
	o.Noted = w.ends.loggedUpTo()
	o.Retry = d.retry(now, w)
	w.silenceAllowance = max(0, o.Retry-d.cfg.RetryBusy)
	d.updateTotals(now, w)
	return o, finished, nil
}

// reporter returns the worker of a report, or nil if the report is outdated: its
// incarnation is over, or a later heartbeat has been handled.
func (d *Dispatcher) reporter(now tackclock.Time, r *Report) *worker {
	if _, over := d.endedIncarnations[r.Worker]; over {
		return nil
	}
	w := d.workers[r.Worker]
	if w == nil && !d.acceptsIncarnation(now, r) {
		return nil
	}
	if w == nil {
		f := d.formers.byID[r.Worker]
		_, left := d.departed[r.Worker]
		if left && f == nil && d.conflictingWorker(r) != nil {
			return nil // a later incarnation reports
		}
		w = d.join(now, r)
		if left || f != nil && f.left {
			d.rejoinDeparted(w)
		}
		if f != nil {
			w.leaseUntil = max(w.leaseUntil, f.leaseUntil)
		}
	}
	if r.Sequence <= w.sequence || r.Sequence < w.refusedSequence {
		return nil
	}
	return w
}

// hear updates a worker by its report.
func (d *Dispatcher) hear(now tackclock.Time, w *worker, r *Report) {
	w.heardAt = now
	d.setSilent(w, false)
	if w.doubted {
		w.doubted = false
		d.resolveDoubts(now, w.vm, w.id)
	}
	d.checkSurvival(now, w)
	if r.Draining && !w.draining {
		w.draining = true
		d.noteWorker(now, EventDraining, w, "")
	}
	if w.capacity != r.Capacity || !slices.Equal(w.labels, r.Labels) {
		d.pool(w.service).turns.changes++
	}
	w.capacity, w.labels = r.Capacity, r.Labels
}

// join registers an incarnation of a worker, in the place of one on the same VM or under
// the same name. Which of them is the later one shows when one lists a run that was ordered
// after the other was heard.
func (d *Dispatcher) join(now tackclock.Time, r *Report) *worker {
	if before := d.workersByName[r.Worker.Name()]; before != nil {
		d.replaceWorker(now, before, r.Worker, "another process reported under its name")
	}
	if r.VM != "" {
		if before := d.workersByVM[r.VM]; before != nil {
			d.replaceWorker(now, before, r.Worker, "another process reported from its VM")
		}
	}
	returned := d.formers.byID[r.Worker]
	if r.VM != "" && (returned != nil || !d.mayReport(now, r.VM)) {
		d.resolveDoubts(now, r.VM, r.Worker)
	}
	if returned != nil {
		d.forget(now, returned) // what it still runs is in its report
	}
	delete(d.pendingIncarnations, r.Worker)
	w := &worker{
		id: r.Worker, vm: r.VM, fixed: r.Fixed, service: r.Service, zone: r.Zone, jitterPhase: uint64(len(d.workers)),
		runs: make(map[tackjob.Item]*run), steps: make(map[stepKey]int),
		ends: ends{pending: make(map[uint64]tackjob.End)},
	}
	w.joinedAt, w.heardAt, w.idleSince = now, now, now
	if returned != nil {
		w.joinedAt = returned.joinedAt
	}
	w.unconfirmed = len(d.formers.of(w.vm, w.id.Name())) > 0
	d.removeStandby(w.vm)
	if m := d.moves[w.vm]; m != nil && m.incarnation != w.id {
		delete(d.moves, w.vm)
	}
	w.leaving = d.endOrdered(w)
	d.noteJoined(now, w, r.Sequence, returned)
	d.workers[w.id], d.workersByName[w.id.Name()] = w, w
	if w.vm != "" {
		d.workersByVM[w.vm] = w
	}
	d.pool(w.service).add(w)
	d.silenceChecks.add(w, d.silentAt(w))
	return w
}

// endOrdered reports whether the platform may be about to end this incarnation, for a
// move or an upkeep: the order may have been given while the worker was silent, before it
// joined again.
func (d *Dispatcher) endOrdered(w *worker) bool {
	if w.vm == "" {
		return false
	}
	if d.moves[w.vm] != nil {
		return true
	}
	st := d.upkeeps[w.vm]
	return st != nil && st.calledAt != 0 && st.incarnation == w.id
}

func (d *Dispatcher) processEnds(now tackclock.Time, w *worker, rows []Ended) []tackjob.End {
	var finished []tackjob.End
	for i := range rows {
		e := &rows[i]
		if e.Number <= w.ends.highest {
			continue
		}
		w.ends.highest = e.Number
		if end, ok := d.processEnd(now, w, e); ok {
			w.ends.pending[e.Number] = end
			finished = append(finished, end)
		}
	}
	return finished
}

// processEnd removes the run and returns its end with true if the log must hold it.
func (d *Dispatcher) processEnd(now tackclock.Time, w *worker, e *Ended) (tackjob.End, bool) {
	other := d.running[e.Item]
	end, outcome := d.recordEnd(now, w, e)
	d.note(Event{
		Kind: EventEnded, At: now, Worker: w.id, VM: w.vm, Item: e.Item, Run: e.Run, Reason: e.Kind.String(), Outcome: outcome.String(),
	})
	if outcome == endToLog && e.Kind == EndDone && other != nil && other.number > e.Run {
		d.note(Event{
			Kind: EventEndedLate, At: now, Worker: w.id, VM: w.vm, Item: e.Item, Run: e.Run,
			Other: FormerRun{Run: other.number, Proof: other.former.Proof, At: other.former.At},
		})
	}
	return end, outcome == endToLog
}

// recordEnd removes the run that has ended and returns what becomes of its end.
func (d *Dispatcher) recordEnd(now tackclock.Time, w *worker, e *Ended) (tackjob.End, endOutcome) {
	d.recordOutcome(now, w, e)
	r := w.runs[e.Item]
	if r != nil && r.number == e.Run {
		if e.Kind == EndDone {
			r.step.recordSample(now, r)
		}
		if d.cfg.Confine && !r.survived && (e.Kind == EndDone || e.Kind == EndFailed) {
			d.recordSurvival(now, r)
		}
		d.withdrawDoubt(r)
		d.removeRun(now, r)
		r.checkpoint, r.endProof = e.Checkpoint, e.Kind.String()
	} else {
		r = nil
	}
	o := d.jobs[e.Item.Job]
	switch {
	case o == nil:
		return tackjob.End{}, endOfClosedJob
	case !o.Has(e.Item):
		return tackjob.End{}, endOfNoItem
	case o.Done(e.Item):
		return tackjob.End{}, endOfDoneItem
	}
	counts := e.Kind == EndDone || e.Kind == EndFailed
	if !counts || o.Steps[e.Item.Step].LongRunning {
		if r != nil {
			d.requeue(now, r)
		}
		return tackjob.End{}, endNotCounted
	}
	s := d.listedStep(now, o, e.Item)
	if s == nil {
		return tackjob.End{}, endOfClosedStep
	}
	d.cancelPlanned(now, s, e.Item)
	s.dropWaiting(e.Item.Index)
	s.ending++
	d.markStarted(o)
	return tackjob.End{Item: e.Item, Failed: e.Kind == EndFailed, Gang: s.Gang, Run: uint64(e.Run)}, endToLog
}

// EndsLogged records that the log holds these ends of a worker. Two ends of one item may
// be pending, of a copy that failed and of a later run; the log may hold only the first.
func (d *Dispatcher) EndsLogged(id WorkerID, noted []tackjob.End) {
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

// processRunning compares the runs that the worker lists with those it was told to start.
func (d *Dispatcher) processRunning(now tackclock.Time, w *worker, r *Report) {
	w.clearOrphans()
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
		d.withdrawDoubt(run)
		d.cancelCopy(run)
	}
	if len(r.Ended) >= maxEndsInReport || len(listed) == len(w.runs) {
		return
	}
	// A run that was ordered in the answer to an earlier heartbeat and is not listed
	// never started: the answer was lost or came too late.
	for _, run := range w.runsInOrder() {
		if !listed[run.item] && run.sentIn < r.Sequence {
			d.noteRun(now, EventNotStarted, run, "worker does not list it")
			run.endProof = "worker does not list it"
			d.withdrawDoubt(run)
			d.removeRun(now, run)
			d.requeue(now, run)
		}
	}
}

func (r *run) update(now tackclock.Time, row *Running) {
	if !r.listed {
		r.listedAt, r.startPercent = now, row.Percent
	}
	if !r.listed || row.Percent != r.percent {
		r.progressAt = now
	}
	r.listed = true
	r.percent = row.Percent
	r.tailLatency = row.Tail
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// adopt takes over a run that an earlier leader started. It returns nil for one that must
// stop, because its item is not needed, is done, or runs elsewhere.
func (d *Dispatcher) adopt(now tackclock.Time, w *worker, row *Running) *run {
	o := d.jobs[row.Item.Job]
	var s *openStep
	if o != nil {
		s = d.listedStep(now, o, row.Item)
	}
	if other := d.running[row.Item]; other != nil && other.number < row.Run && !other.step.Speculative {
		d.supersede(now, w, other)
	}
	if s == nil || !o.Has(row.Item) || o.Done(row.Item) || d.running[row.Item] != nil || w.runs[row.Item] != nil {
		w.stops = append(w.stops, Stop{Item: row.Item, Run: row.Run})
		d.noteOrphan(now, w, row, o)
		d.addOrphan(w, row)
		return nil
	}
	s.dropWaiting(row.Item.Index)
	r := &run{
		item: row.Item, number: row.Run, worker: w, step: s, reserved: s.Reserved(), started: now, pace: fullPace,
		byEarlierLeader: d.fromEarlierLeader(row.Run),
	}
	r.listed, r.listedAt, r.startPercent, r.percent = true, now, row.Percent, row.Percent
	r.progressAt = now
	d.addRun(now, r)
	d.putOnTrial(now, r)
	d.noteRun(now, EventAdopted, r, "")
	return r
}

// noteOrphan records that a run must stop, and why.
func (d *Dispatcher) noteOrphan(now tackclock.Time, w *worker, row *Running, o *openJob) {
	e := Event{Kind: EventOrphaned, At: now, Worker: w.id, VM: w.vm, Item: row.Item, Run: row.Run}
	other := d.running[row.Item]
	switch {
	case o == nil:
		e.Reason = "its job is closed or unknown"
	case !o.Has(row.Item) || o.Done(row.Item):
		e.Reason = "its item is done"
	case other != nil:
		e.Reason = "another run of its item is under way"
		e.Other = FormerRun{Run: other.number, Proof: other.former.Proof, At: other.former.At}
	default:
		e.Reason = "its step is not open"
	}
	d.note(e)
}

// fromEarlierLeader reports whether another leader assigned the run number.
func (d *Dispatcher) fromEarlierLeader(n RunNumber) bool {
	return tackreplica.Term(n>>runBits) != d.term
}

// addOrphan counts the resources of a run that the worker must stop.
func (d *Dispatcher) addOrphan(w *worker, row *Running) {
	w.orphanUsed = w.orphanUsed.Plus(d.resourcesOf(w, row.Item))
	if d.table == nil {
		return
	}
	j := d.table.Get(row.Item.Job)
	if j == nil || !j.Has(row.Item) || j.Workspace == "" {
		return
	}
	x := orphanRun{account: d.quota.Account(j.Workspace), resources: j.Steps[row.Item.Step].Resources, byEarlierLeader: d.fromEarlierLeader(row.Run)}
	x.account.Start(x.resources, x.byEarlierLeader)
	w.orphans = append(w.orphans, x)
}

// clearOrphans undoes what addOrphan counted.
func (w *worker) clearOrphans() {
	for _, x := range w.orphans {
		x.account.End(x.resources, x.byEarlierLeader)
	}
	w.orphanUsed, w.orphans = tackroom.Resources{}, nil
}

// resourcesOf returns the resources of a run whose item is no longer needed. Closed
// jobs are known for some minutes. For an unknown one the worker counts as full: with
// less, it would be overcommitted.
func (d *Dispatcher) resourcesOf(w *worker, item tackjob.Item) tackroom.Resources {
	if d.table != nil {
		if j := d.table.Get(item.Job); j != nil && j.Has(item) {
			return j.Steps[item.Step].Reserved()
		}
	}
	return w.capacity
}

// addRun adds a run to its worker.
func (d *Dispatcher) addRun(now tackclock.Time, r *run) {
	w := r.worker
	r.step.job.account.Start(r.step.Resources, r.byEarlierLeader)
	w.runs[r.item] = r
	w.used = w.used.Plus(r.reserved)
	if r.step.LongRunning {
		w.longRunningUsed = w.longRunningUsed.Plus(r.reserved)
	}
	w.steps[r.step.key()]++
	d.running[r.item] = r
	r.step.running++
	d.markStarted(r.step.job)
	d.updateTotals(now, w)
}
