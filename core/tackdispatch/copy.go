package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// defaultCopyAfter is two heartbeat intervals of a busy worker.
	//
	// Load pattern: a rack becomes unreachable under load. Without copies, what ran there
	// waits 3.7 s for the end of its workers' leases, of the five seconds that a job has.
	defaultCopyAfter = 900 * tackclock.Millisecond
	// copyReasonSilent is the reason for copying a run whose worker may still report
	// again.
	copyReasonSilent = "worker is silent"
	// supersededReason is the reason for stopping a run of which a later one is listed.
	supersededReason = "a later run of the item is listed"
)

// copyIfSilent starts copies of the worker's speculative items elsewhere if the worker is
// silent.
func (d *Dispatcher) copyIfSilent(now tackclock.Time, w *worker) {
	if now.Sub(w.heardAt) < d.cfg.CopyAfter {
		return
	}
	for _, r := range w.runsInOrder() {
		d.copy(now, r, copyReasonSilent)
	}
}

// crashedElsewhere reports whether a worker crashed under another run of the item, or may
// have. If the item crashes its workers, a copy would crash another one while the first
// is still down, and the item would crash the whole pool before its first VM is back.
func (r *run) crashedElsewhere() bool {
	own := 0
	if r.doubted {
		own = 1
	}
	return r.step.crashCounts[r.item.Index] > own || len(r.step.job.CrashesUnder(r.item).Crashes) > 0
}

// copy queues the run's item for a second run and reports whether that is allowed. The
// first run to end counts, and the other is stopped.
func (d *Dispatcher) copy(now tackclock.Time, r *run, reason string) bool {
	s := r.step
	if !s.Speculative || s.Gang || s.LongRunning || s.job.closed || s.job.Done(r.item) || r.crashedElsewhere() {
		return false
	}
	if r.copyReason != "" || r.stopping || d.running[r.item] != r {
		return true
	}
	if reason == copyReasonSilent && !r.listed && !r.doubted {
		return false // the worker may have crashed at the start, and the log would not know
	}
	d.noteRun(now, EventCopied, r, reason)
	r.endProof = reason
	delete(d.running, r.item)
	s.running--
	d.requeueLost(now, r)
	r.copyReason = reason
	s.copies = append(s.copies, r)
	return true
}

// supersede ends a run of which a worker lists a later one. It was taken over from a report
// that was held up.
func (d *Dispatcher) supersede(now tackclock.Time, w *worker, r *run) {
	if r.worker == w { // it runs one of an item at a time
		d.withdrawDoubt(r)
		d.removeRun(now, r)
		return
	}
	d.stop(now, r, supersededReason)
	delete(d.running, r.item)
	r.step.running--
	r.copyReason = supersededReason
	r.step.copies = append(r.step.copies, r)
}

// cancelCopy undoes the copy of a run whose worker was silent, if the copy has not
// started.
func (d *Dispatcher) cancelCopy(r *run) {
	if r.copyReason != copyReasonSilent || d.running[r.item] != nil || !r.step.dropWaiting(r.item.Index) {
		return
	}
	r.copyReason = ""
	r.step.copies = slices.DeleteFunc(r.step.copies, func(o *run) bool { return o == r })
	d.running[r.item] = r
	r.step.running++
}

// stopOtherRuns stops every other run of an item that a run has completed: copies of it,
// and runs that started when that one was given up behind a partition.
func (d *Dispatcher) stopOtherRuns(now tackclock.Time, s *openStep, item tackjob.Item, done RunNumber) {
	if r := d.running[item]; r != nil && r.number != done {
		d.stop(now, r, "another run of the item is done")
	}
	for _, r := range s.copies {
		if r.item == item && r.number != done {
			d.stop(now, r, "another run of the item is done")
		}
	}
}
