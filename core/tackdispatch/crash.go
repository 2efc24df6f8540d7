package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackcrash"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
)

const (
	// doubtAfter is after which silence of a worker its runs are in doubt: two of the
	// heartbeats that even a busy one sends. VMs are back from a crash within a few
	// seconds, and a leader may be lost before.
	doubtAfter = 900 * tackclock.Millisecond
	// heldBack is for how long an item waits to hear of workers that are silent under
	// it. The platform bears an item that lasts to be away for six seconds.
	heldBack = 4 * tackclock.Second
)

// Findings returns what was found out about items since the last call, for the log.
func (d *Dispatcher) Findings() tackjob.Findings {
	f := d.findings
	d.findings = tackjob.Findings{}
	return f
}

// ExcuseBy sets what tells, until the next Reset, whether an earlier leader may just
// have ordered a VM about. That another life begins there is no crash of the one before.
func (d *Dispatcher) ExcuseBy(ordered func(tackclock.Time, tackid.VM) bool) {
	d.orderedBefore = ordered
}

// excused reports whether a life on the VM may have ended by an order: one that was
// given for it, or while no life was heard there.
func (d *Dispatcher) excused(now tackclock.Time, vm tackid.VM, life WorkerID) bool {
	if m := d.moves[vm]; m != nil && (m.life == life || m.life == "") {
		return true
	}
	st := d.upkeeps[vm]
	called := st != nil && st.calledAt != 0 && now.Sub(st.calledAt) <= downLimit
	if called && (st.life == life || st.life == "") {
		return true
	}
	return d.orderedBefore != nil && d.orderedBefore(now, vm)
}

// doubt has the log note the runs of a worker that fell silent, or whose life is over.
// What it had run for long says nothing.
func (d *Dispatcher) doubt(now tackclock.Time, w *worker) {
	if w.doubted || w.vm == "" || w.draining || w.leaving || d.excused(now, w.vm, w.id) {
		return
	}
	w.doubted = true
	reason := false
	for _, r := range w.inOrder() {
		reason = reason || r.tried()
		if r.settled() || r.sentIn == notSent {
			continue
		}
		if !r.doubted {
			d.doubtRun(now, r, "worker is silent")
		}
		d.silences.Doubt(now, r.doubt(), w.heardAt)
	}
	d.silences.Fell(w.vm, w.heardAt, reason)
}

// tried reports whether a crash of the run's worker may be the run's fault: it has not
// outlived its start, or its trial.
func (r *run) tried() bool {
	return !r.listed && r.sentIn != notSent || r.trial > 0 && !r.outlived()
}

// doubtRun has the log note that a worker may crash under the run, or has done so.
func (d *Dispatcher) doubtRun(now tackclock.Time, r *run, reason string) {
	r.doubted = true
	r.step.blame(r.item.Index, 1)
	d.findings.Doubts = append(d.findings.Doubts, r.doubt())
	d.noteRun(now, EventItemDoubted, r, reason)
}

// blame counts one worker more, or less, that crashed under the item or may have.
func (s *openStep) blame(index int32, by int) {
	if s.blamed == nil {
		s.blamed = make(map[int32]int)
	}
	s.blamed[index] += by
}

// undoubt has the log forget that, since the worker lists the run, or will never.
func (d *Dispatcher) undoubt(r *run) {
	if r.doubted {
		r.doubted = false
		r.step.blame(r.item.Index, -1)
		d.findings.Dismissed = append(d.findings.Dismissed, tackjob.Dismissal{Item: r.item, Run: uint64(r.number)})
	}
}

// doubt is what a crash of the run's worker would say about it. That it happens to be
// the only one left there says nothing once it has outlived its start, or its trial.
func (r *run) doubt() tackjob.Doubt {
	w := r.worker
	return tackjob.Doubt{Item: r.item, Doubt: tackcrash.Doubt{Life: string(w.id), Crash: tackcrash.Crash{
		Run: uint64(r.number), VM: w.vm, Early: !r.listed, Alone: (!r.listed || r.tried()) && w.alone(r),
	}}}
}

// alone reports whether the worker runs nothing but the run; beside a member of a gang,
// nothing but other members.
func (w *worker) alone(r *run) bool {
	for _, other := range w.runs {
		if other != r && !(r.step.Gang && other.step == r.step) {
			return false
		}
	}
	return w.strange == (tackroom.Room{})
}

// settled reports whether the run was listed for so long that its worker's crash says
// nothing about it.
func (r *run) settled() bool {
	return r.listed && r.worker.heardAt.Sub(r.listedAt) >= tackcrash.SettledAfter
}

// resolve settles the doubts about what a VM ran, now that a life is heard there. If it
// is another one than that which was silent, and nobody ordered that, it has crashed.
func (d *Dispatcher) resolve(now tackclock.Time, vm tackid.VM, life WorkerID) {
	excused := func(life string) bool { return d.excused(now, vm, WorkerID(life)) }
	dismissed, crashed := d.silences.Heard(vm, string(life), excused)
	for i := range dismissed {
		d.dismiss(&dismissed[i])
	}
	for _, c := range crashed {
		d.blame(now, c)
	}
}

// dismiss drops a doubt.
func (d *Dispatcher) dismiss(x *tackjob.Doubt) {
	if s := d.openStepOf(x.Item); s != nil {
		s.blame(x.Item.Index, -1)
	}
	if w := d.workers[WorkerID(x.Life)]; w != nil {
		if r := w.runs[x.Item]; r != nil && uint64(r.number) == x.Run {
			r.doubted = false
		}
	}
	d.findings.Dismissed = append(d.findings.Dismissed, tackjob.Dismissal{Item: x.Item, Run: x.Run})
}

// blame notes a crash under an item. The item starts nowhere until the log holds the
// crash: a leader that is lost in between would leave the next one to count anew.
func (d *Dispatcher) blame(now tackclock.Time, c tackjob.Crash) {
	o := d.jobs[c.Item.Job]
	if o == nil || o.Done(c.Item) {
		return
	}
	if s := d.openStepOf(c.Item); s != nil {
		s.hold(c.Item.Index)
	}
	d.findings.Crashes = append(d.findings.Crashes, c)
	reason := "crash beside others"
	if c.Alone {
		reason = "crash by itself"
	}
	if c.Early {
		reason += ", not listed yet"
	}
	d.note(Event{Kind: EventItemSuspected, At: now, VM: c.VM, Item: c.Item, Run: RunNumber(c.Run), Reason: reason})
}

// Found takes in that the log holds findings. Items under which workers crashed wait
// for their trial, or their jobs are given up.
func (d *Dispatcher) Found(now tackclock.Time, f *tackjob.Findings) {
	for _, c := range f.Crashes {
		o := d.jobs[c.Item.Job]
		if o == nil {
			continue
		}
		if o.Phase == tackjob.Failed {
			d.note(Event{Kind: EventItemGivenUp, At: now, VM: c.VM, Item: c.Item, Run: RunNumber(c.Run), Reason: "crashes its workers"})
		}
		if o.Phase != tackjob.Open {
			d.Closed(now, o.ID)
			continue
		}
		if s := d.openStepOf(c.Item); s != nil {
			s.release(now, c.Item.Index)
		}
	}
	for _, x := range f.Doubts {
		d.sendTrial(&x)
	}
	for _, x := range f.Dismissed {
		if s := d.openStepOf(x.Item); s != nil {
			s.review(now, x.Item.Index)
		}
	}
}

// sendTrial lets a trial begin that the log holds now.
func (d *Dispatcher) sendTrial(x *tackjob.Doubt) {
	w := d.workers[WorkerID(x.Life)]
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

// recall takes up the doubts that an earlier leader left.
func (d *Dispatcher) recall(now tackclock.Time, j *tackjob.Job) {
	j.EachDoubt(func(x tackjob.Doubt) {
		if s := d.openStepOf(x.Item); s != nil {
			s.blame(x.Item.Index, 1)
		}
		d.silences.Doubt(now, x, now)
	})
}

// forgive forgets the crashes under items that the worker has run for long enough.
func (d *Dispatcher) forgive(now tackclock.Time, w *worker) {
	for _, r := range w.runs {
		if r.suspected && r.settled() {
			r.suspected = false
			d.findings.Forgiven = append(d.findings.Forgiven, r.item)
			d.noteRun(now, EventItemForgiven, r, "")
		}
	}
}
