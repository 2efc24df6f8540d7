package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

// SetOrderedBefore sets the function that tells, until the next Reset, whether an order of
// an earlier leader may have ended a worker on the VM that was last heard from at the
// given time. If so, a new incarnation on the VM does not mean that the worker crashed.
func (d *Dispatcher) SetOrderedBefore(ordered func(heard tackclock.Time, vm tackid.VM) bool) {
	d.orderedBefore = ordered
}

// orderBehind returns which order may have ended an incarnation on the VM that was last
// heard from at the given time, or an empty string if none did: an order of this leader
// that was given for that incarnation, or while no incarnation was known there, or an
// order of an earlier leader.
func (d *Dispatcher) orderBehind(now tackclock.Time, vm tackid.VM, incarnation WorkerID, heard tackclock.Time) string {
	if m := d.moves[vm]; m != nil && (m.incarnation == incarnation || m.incarnation == "") {
		return "its VM was moved"
	}
	st := d.upkeeps[vm]
	called := st != nil && st.calledAt != 0 && now.Sub(st.calledAt) <= downLimit
	if called && (st.incarnation == incarnation || st.incarnation == "") {
		return "its VM was taken down"
	}
	if d.orderedBefore != nil && d.orderedBefore(heard, vm) {
		return "an earlier leader gave an order for its VM"
	}
	return ""
}

// excuseFor returns why the end of the worker does not count as a crash, or an empty
// string if it does.
func (d *Dispatcher) excuseFor(now tackclock.Time, w *worker) string {
	switch {
	case w.vm == "":
		return "its VM is unknown"
	case w.draining:
		return "it drained"
	case w.leaving:
		return "its end was ordered"
	}
	return d.orderBehind(now, w.vm, w.id, w.heardAt)
}

// excuseRuns handles the runs of a worker whose end does not count as a crash, and that
// another incarnation has replaced. That an order ended the worker is likely but not
// certain, so starts that the worker never listed are recorded: if they left no trace, an
// item that crashes its workers could be started without limit while VMs are ordered
// around.
func (d *Dispatcher) excuseRuns(now tackclock.Time, w *worker) {
	reason := d.excuseFor(now, w)
	if w.doubted || w.left || reason == "" {
		return
	}
	for _, r := range w.runsInOrder() {
		if r.settled() || r.sentIn == notSent {
			continue
		}
		d.noteRun(now, EventCrashExcused, r, reason)
		if x := r.doubt(); x.BeforeReport && x.VM != "" {
			x.Alone, x.Excused = false, true
			d.recordCrash(now, tackjob.Crash{Item: x.Item, Crash: x.Crash})
		}
	}
}
