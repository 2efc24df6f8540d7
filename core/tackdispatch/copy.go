package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// defaultCopyAfter is two of the heartbeats that even a busy worker sends.
	//
	// Load pattern: a rack goes dark under load. What ran there waits for the end
	// of its workers' leases, 3.7 s, of the five that a job has.
	defaultCopyAfter = 900 * tackclock.Millisecond
	// silentReason is why a run is copied whose worker may yet come back.
	silentReason = "worker is silent"
)

// copySilent has what may run in copies start elsewhere if the worker is silent.
func (d *Dispatcher) copySilent(now tackclock.Time, w *worker) {
	if now.Sub(w.heardAt) < d.cfg.CopyAfter {
		return
	}
	for _, r := range w.inOrder() {
		d.copy(now, r, silentReason)
	}
}

// othersBlamed reports whether a worker crashed under another run of the item, or may
// have. A copy of what crashes workers crashes the next one while the first is away, and
// the item would go through the pool before its first VM is back.
func (r *run) othersBlamed() bool {
	own := 0
	if r.doubted {
		own = 1
	}
	return r.step.blamed[r.item.Index] > own || len(r.step.job.CrashesUnder(r.item).Crashes) > 0
}

// copy makes a run's item wait for a second run; false if it may not. The first
// end counts, and the other run is stopped then.
func (d *Dispatcher) copy(now tackclock.Time, r *run, reason string) bool {
	s := r.step
	if !s.Speculative || s.Gang || s.LongRunning || s.job.closed || s.job.Done(r.item) || r.othersBlamed() {
		return false
	}
	if r.copied != "" || r.stopping || d.running[r.item] != r {
		return true
	}
	d.noteRun(now, EventCopied, r, reason)
	delete(d.running, r.item)
	s.running--
	d.requeue(now, r)
	r.copied = reason
	s.copies = append(s.copies, r)
	return true
}

// uncopy takes a run back whose worker was silent and whose copy has not begun.
func (d *Dispatcher) uncopy(r *run) {
	if r.copied != silentReason || d.running[r.item] != nil || !r.step.dropWaiting(r.item.Index) {
		return
	}
	r.copied = ""
	r.step.copies = slices.DeleteFunc(r.step.copies, func(o *run) bool { return o == r })
	d.running[r.item] = r
	r.step.running++
}

// stopOthers stops what else runs of an item that a run has done: copies of it, and runs
// that began when that one was given up behind a partition.
func (d *Dispatcher) stopOthers(now tackclock.Time, s *openStep, item tackjob.Item, done RunNumber) {
	if r := d.running[item]; r != nil && r.number != done {
		d.stop(now, r, "another run is done")
	}
	for _, r := range s.copies {
		if r.item == item && r.number != done {
			d.stop(now, r, "another run is done")
		}
	}
}
