package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackcrash"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
)

const (
	// doubtAfter is how long a worker must be silent for its runs to be in doubt: two
	// heartbeat intervals of a busy worker. VMs are back from a crash within a few
	// seconds, and the leader may be lost before that.
	doubtAfter = 900 * tackclock.Millisecond
	// maxDoubtHold is how long an item waits to hear from silent workers that ran it. The
	// platform tolerates six seconds of absence of a long-running item.
	maxDoubtHold = 4 * tackclock.Second
	// calmFor is how long no worker may have fallen silent by itself for the crash of one
	// at its only start to count in full: while VMs fail for their own reasons, sound
	// items are started on one that is about to.
	calmFor = 10 * tackclock.Second
	// reasonReturned is why the silence of an incarnation is no crash: the one that it had
	// replaced goes on, so its heartbeats were late.
	reasonReturned = "a former incarnation reports from its VM"
)

// Findings returns what was found out about items since the last call, to be written to
// the log.
func (d *Dispatcher) Findings() tackjob.Findings {
	f := d.findings
	d.findings = tackjob.Findings{}
	return f
}

// doubtRuns records doubts about the runs of a worker that fell silent or whose
// incarnation is over. Runs that the worker had listed for long are left out, since its
// crash says nothing about them.
func (d *Dispatcher) doubtRuns(now tackclock.Time, w *worker) {
	if w.doubted || d.excuseFor(now, w) != "" {
		return
	}
	w.doubted = true
	mayBeCause := false
	outage := d.rackSilent(now, w)
	if w.unlisted() > 0 && !outage {
		if !d.startsOnlyCanaries(w) {
			d.limitStarts(now, w)
		}
		d.noteStartCrash(now, w)
	}
	for _, r := range w.runsInOrder() {
		mayBeCause = mayBeCause || r.mayCauseCrash()
		if r.settled() || r.sentIn == notSent {
			continue
		}
		r.outage = outage
		if !r.doubted {
			d.doubtRun(r)
			d.noteRun(now, EventItemInDoubt, r, "worker is silent")
		}
		x := r.doubt()
		x.Alone = x.Alone || x.Isolated && d.silences.OnlySuspects(now.Add(-calmFor))
		d.silences.Doubt(now, x, w.heardAt)
	}
	d.silences.FellSilent(w.vm, w.heardAt, mayBeCause)
}

// rackSilent reports whether all workers of the silent worker's rack in its pool, two at
// least, fell silent with it. Then the rack has most likely lost its power or its network.
func (d *Dispatcher) rackSilent(now tackclock.Time, w *worker) bool {
	p := d.pools[w.service]
	if p == nil || w.rack() == "" {
		return false
	}
	others := 0
	for _, o := range p.workers {
		if o == w || o.rack() != w.rack() {
			continue
		}
		due := o.heardAt.Add(d.cfg.RetryBusy + o.silenceAllowance)
		if now <= due || w.heardAt > due.Add(doubtAfter) {
			return false
		}
		others++
	}
	return others > 0
}

// mayCauseCrash reports whether a crash of the worker may be the run's fault: the run was
// not listed yet, or has not passed its trial.
func (r *run) mayCauseCrash() bool {
	return !r.listed && r.sentIn != notSent || r.trial > 0 && !r.passedTrial()
}

// doubtRun records that the worker may crash under the run, or has done so.
func (d *Dispatcher) doubtRun(r *run) {
	r.doubted = true
	r.step.addCrashes(r.item.Index, 1)
	d.findings.Doubts = append(d.findings.Doubts, r.doubt())
	r.step.holdForLog(r.item.Index)
}

// addCrashes adjusts the number of workers that crashed under the item, or may have.
func (s *openStep) addCrashes(index int32, by int) {
	if s.crashCounts == nil {
		s.crashCounts = make(map[int32]int)
	}
	s.crashCounts[index] += by
}

// withdrawDoubt withdraws the doubt about a run that the worker lists, or that it will
// never run.
func (d *Dispatcher) withdrawDoubt(r *run) {
	if r.doubted {
		r.doubted = false
		r.step.addCrashes(r.item.Index, -1)
		r.step.addDismissed(uint64(r.number))
		d.findings.Dismissed = append(d.findings.Dismissed, tackjob.Dismissal{Item: r.item, Run: uint64(r.number)})
	}
}

// doubt returns what a crash of the worker would say about the run. Being the only run
// left on the worker counts against the run only until it is listed, or passes its trial.
func (r *run) doubt() tackjob.Doubt {
	w := r.worker
	// Other items may yet start on the worker together with a planned start.
	bySelf := r.isolated || r.sentIn != notSent
	c := tackcrash.Crash{
		Run: uint64(r.number), VM: w.vm, BeforeReport: !r.listed,
		Alone:     bySelf && (!r.listed || r.mayCauseCrash()) && w.alone(r),
		Isolated:  bySelf && !r.listed && !w.mayCrashOtherThan(r),
		Explained: r.listed && w.mayCrashOtherThan(r),
		Outage:    r.outage,
	}
	c.Alone = c.Alone || c.Isolated && r.isolated && !r.inconclusive
	return tackjob.Doubt{Item: r.item, Doubt: tackcrash.Doubt{WorkerID: string(w.id), Crash: c}}
}

// mayCrashOtherThan reports whether a crash of the worker may be the fault of another run.
func (w *worker) mayCrashOtherThan(r *run) bool {
	for _, other := range w.runs {
		if other != r && other.mayCauseCrash() && !(r.step.Gang && other.step == r.step) {
			return true
		}
	}
	return false
}

// alone reports whether the worker runs nothing but the run or, for a member of a gang,
// nothing but members of it.
func (w *worker) alone(r *run) bool {
	for _, other := range w.runs {
		if other != r && !(r.step.Gang && other.step == r.step) {
			return false
		}
	}
	return w.orphanUsed == (tackroom.Resources{})
}

// settled reports whether the run was listed for so long that a crash of the worker says
// nothing about it.
func (r *run) settled() bool {
	return r.listed && r.worker.heardAt.Sub(r.listedAt) >= tackcrash.SettledAfter
}

// resolveDoubts resolves the doubts about what a VM ran, now that an incarnation reports
// from there. If it is not the incarnation that was silent, and no order explains the
// change, the silent one has crashed.
func (d *Dispatcher) resolveDoubts(now tackclock.Time, vm tackid.VM, incarnation WorkerID) {
	reasons := make(map[string]string) // by the excused incarnation
	returned := d.formers.byID[incarnation] != nil
	dismissed, crashed := d.silences.Resolve(vm, string(incarnation), func(id string, heard tackclock.Time) bool {
		reason := d.orderBehind(now, vm, WorkerID(id), heard)
		if reason == "" && returned {
			reason = reasonReturned
		}
		if reason != "" {
			reasons[id] = reason
		}
		return reason != ""
	})
	for i := range dismissed {
		d.withdrawStartCrash(dismissed[i].WorkerID)
		d.noteExcused(now, &dismissed[i], reasons)
		d.dismissDoubt(&dismissed[i])
	}
	for i := range crashed {
		x := &crashed[i]
		if x.Excused {
			d.withdrawStartCrash(x.WorkerID)
		}
		d.noteExcused(now, x, reasons)
		if reasons[x.WorkerID] == reasonReturned {
			d.dismissDoubt(x)
			continue
		}
		d.recordCrash(now, tackjob.Crash{Item: x.Item, Crash: x.Crash})
	}
}

// noteExcused notes that the end of a worker does not count as a crash under the run, if
// there is a reason.
func (d *Dispatcher) noteExcused(now tackclock.Time, x *tackjob.Doubt, reasons map[string]string) {
	if reason := reasons[x.WorkerID]; reason != "" {
		d.note(Event{
			Kind: EventCrashExcused, At: now, Worker: WorkerID(x.WorkerID), VM: x.VM, Item: x.Item, Run: RunNumber(x.Run), Reason: reason,
		})
	}
}

// dismissDoubt drops a doubt.
func (d *Dispatcher) dismissDoubt(x *tackjob.Doubt) {
	if s := d.openStepOf(x.Item); s != nil {
		s.addCrashes(x.Item.Index, -1)
		s.addDismissed(x.Run)
	}
	if w := d.workers[WorkerID(x.WorkerID)]; w != nil {
		if r := w.runs[x.Item]; r != nil && uint64(r.number) == x.Run {
			r.doubted = false
		}
	}
	d.findings.Dismissed = append(d.findings.Dismissed, tackjob.Dismissal{Item: x.Item, Run: x.Run})
}

// expireDoubt resolves a doubt about a worker whose VM has not been heard from since. A
// start that the worker never listed counts, or an item that takes its VMs down for good
// could be started without limit.
func (d *Dispatcher) expireDoubt(now tackclock.Time, x *tackjob.Doubt) {
	if !x.BeforeReport {
		d.dismissDoubt(x)
		return
	}
	x.Alone = false
	d.recordCrash(now, tackjob.Crash{Item: x.Item, Crash: x.Crash})
}

// recordCrash records a crash under an item. The item is not started until the log holds
// the crash: if this leader were lost before, the next one would start counting from
// zero.
func (d *Dispatcher) recordCrash(now tackclock.Time, c tackjob.Crash) {
	o := d.jobs[c.Item.Job]
	if o == nil || o.Done(c.Item) {
		return
	}
	if s := d.openStepOf(c.Item); s != nil {
		s.holdForLog(c.Item.Index)
	}
	d.findings.Crashes = append(d.findings.Crashes, c)
	if c.Excused {
		return
	}
	reason := "crashed while the item ran beside others"
	if c.Alone {
		reason = "crashed while the item ran alone"
	}
	if c.BeforeReport {
		reason += ", before the item was listed"
	}
	d.note(Event{Kind: EventItemSuspected, At: now, VM: c.VM, Item: c.Item, Run: RunNumber(c.Run), Reason: reason})
}

// FindingsLogged handles findings that the log now holds. Items under which workers
// crashed wait for their trial, or their jobs are given up.
func (d *Dispatcher) FindingsLogged(now tackclock.Time, f *tackjob.Findings) {
	for _, c := range f.Crashes {
		d.crashLogged(now, &c)
	}
	for _, x := range f.Doubts {
		d.markStartLogged(&x)
		if s := d.openStepOf(x.Item); s != nil {
			s.findingLogged(x.Item.Index)
		}
	}
	for _, x := range f.Dismissed {
		if s := d.openStepOf(x.Item); s != nil {
			delete(s.dismissed, x.Run)
			s.reviewRestraint(now, x.Item.Index)
		}
	}
}

// crashLogged handles a crash that the log now holds.
func (d *Dispatcher) crashLogged(now tackclock.Time, c *tackjob.Crash) {
	o := d.jobs[c.Item.Job]
	if o == nil {
		return
	}
	if o.Phase == tackjob.Failed {
		d.note(Event{Kind: EventItemGivenUp, At: now, VM: c.VM, Item: c.Item, Run: RunNumber(c.Run), Reason: "crashes its workers"})
	}
	if o.Phase != tackjob.Open {
		d.Closed(now, o.ID)
		return
	}
	if s := d.openStepOf(c.Item); s != nil {
		s.findingLogged(c.Item.Index)
		s.releaseForTrial(now, c.Item.Index)
	}
}

// markStartLogged lets a planned start go out, now that the log holds it.
func (d *Dispatcher) markStartLogged(x *tackjob.Doubt) {
	w := d.workers[WorkerID(x.WorkerID)]
	if w == nil {
		return
	}
	for i := range w.planned {
		if p := &w.planned[i]; p.run.item == x.Item && uint64(p.run.number) == x.Run {
			p.unlogged = false
		}
	}
}

func (d *Dispatcher) openStepOf(i tackjob.Item) *openStep {
	return d.stepOf(stepKey{job: i.Job, occurrence: i.Occurrence, step: i.Step})
}

// restoreDoubts restores the doubts that an earlier leader recorded about a job's items.
func (d *Dispatcher) restoreDoubts(now tackclock.Time, j *tackjob.Job) {
	j.EachDoubt(func(x tackjob.Doubt) {
		if x.BeforeReport && !x.Outage {
			d.pool(j.Service).startCrashes.add(now)
		}
		if s := d.openStepOf(x.Item); s != nil {
			s.addCrashes(x.Item.Index, 1)
		}
		d.silences.Doubt(now, x, now)
	})
}

// clearItems clears the crashes recorded under items that the worker has now run for
// long enough.
func (d *Dispatcher) clearItems(now tackclock.Time, w *worker) {
	for _, r := range w.runs {
		if r.suspected && r.settled() {
			r.suspected = false
			d.findings.Cleared = append(d.findings.Cleared, r.item)
			d.noteRun(now, EventItemCleared, r, "")
		}
	}
}
