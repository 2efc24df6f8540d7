package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// stalledAfter is how long the leader's process neither ticks nor reads a heartbeat
	// when it counts as stalled: heartbeats may have come that were not read yet.
	stalledAfter = 250 * tackclock.Millisecond
	// listenFor is how long the leader reads heartbeats after a stall before it takes
	// workers for silent: a worker whose call has failed tries again after a second.
	listenFor = 1200 * tackclock.Millisecond
	// maxListening bounds how long after the end of a lease stalls can put off the restart
	// of what ran under it.
	maxListening = 3 * tackclock.Second
	// unansweredFor is how long a worker whose lease has ended is kept after a heartbeat
	// that did not extend it. The next one says what became of its runs.
	unansweredFor = 1500 * tackclock.Millisecond
)

// Refused handles a heartbeat that the leader cannot answer at the moment: nothing starts
// and no lease is extended, but what the report says of the worker's runs counts. Otherwise
// the leader would take its own refusals for the worker's silence. Like Heartbeat it
// returns the ends that the log must hold.
func (d *Dispatcher) Refused(now tackclock.Time, r *Report) []tackjob.End {
	d.noteRunning(now)
	if d.checkReport(now, r) != nil {
		return nil
	}
	known := d.workers[r.Worker] != nil
	w := d.reporter(now, r)
	if w == nil {
		return nil
	}
	if !known {
		w.leaseUntil = d.leaseEnd(now) // of the last answer of an earlier leader
	}
	// The worker may send the same heartbeat again, and then it is answered.
	w.refusedSequence = r.Sequence
	w.refused++
	w.refusedAt = now
	d.hear(now, w, r)
	d.confirm(now, w, r)
	finished := d.processEnds(now, w, r.Ended)
	w.stops = nil // the next heartbeat lists their runs again
	d.processRunning(now, w, r)
	d.updateTotals(now, w)
	return finished
}

// cancelPlanned cancels the start of an item that was planned and not sent yet, since an end
// of the item has been listed. What follows is decided once the log holds that end.
func (d *Dispatcher) cancelPlanned(now tackclock.Time, s *openStep, item tackjob.Item) {
	if r := d.running[item]; r == nil || r.sentIn != notSent {
		return
	}
	first, last := item.Index, item.Index
	if s.Gang {
		first, last = 0, int32(s.Count-1) // its members start together
	}
	for i := first; i <= last; i++ {
		r := d.running[s.item(i)]
		if r == nil || r.sentIn != notSent {
			continue
		}
		d.withdrawDoubt(r)
		d.removeRun(now, r)
		if i != item.Index {
			d.requeue(now, r)
		}
	}
}

// noteRunning records that the leader's process runs. After a stall, heartbeats may wait to
// be read which show that a worker was not silent.
func (d *Dispatcher) noteRunning(now tackclock.Time) {
	stalled := now.Sub(d.ranAt) > stalledAfter
	if stalled && d.ranAt < d.earlierLeasesEnd {
		d.earlierLeasesEnd = max(d.earlierLeasesEnd, min(now.Add(listenFor), d.leaseEnd(d.began).Add(maxListening)))
	}
	if stalled {
		d.listeningSince = now
	}
	d.ranAt = max(d.ranAt, now)
}

// unheard reports whether a worker is silent although the leader has listened.
func (d *Dispatcher) unheard(now tackclock.Time, w *worker) bool {
	return w.silent(now) && now >= min(d.listeningSince.Add(listenFor), w.leaseUntil)
}

// leaseOverAt returns when the lease of a worker is over that is not heard from again. One
// whose heartbeats do not extend its lease may be heard from after the lease has ended.
func (w *worker) leaseOverAt() tackclock.Time {
	return max(w.leaseUntil, w.heardAt.Add(unansweredFor))
}

// leaseOver reports whether the lease of a worker is over, and all heartbeats that it may
// have sent before are read. The lease alone proves that nothing runs there any more, but
// not that nothing has ended as done.
func (d *Dispatcher) leaseOver(now tackclock.Time, w *worker) bool {
	return d.overSince(now, w.leaseOverAt())
}

// overSince reports whether a lease that ended when it was due is over, and all heartbeats
// sent before are read.
func (d *Dispatcher) overSince(now, due tackclock.Time) bool {
	return now >= due && now >= min(d.listeningSince.Add(listenFor), due.Add(maxListening))
}
