package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackroom"
)

// copyReasonLeft is the reason for copying a run whose worker has said goodbye.
const copyReasonLeft = "worker said goodbye"

// depart handles the goodbye of a known worker.
//
// A worker whose goodbye gets no ack works on for some seconds, and this leader cannot
// tell whether its ack arrived: a worker that got it and one that is cut off are both
// silent. So what runs there may start elsewhere only once its end is certain: the worker
// reports it, or the lease ends, or another incarnation reports from the VM, or the
// platform takes the VM down. Until then the worker drains, and no answer extends its
// lease.
func (d *Dispatcher) depart(now tackclock.Time, w *worker) {
	if w.left {
		return
	}
	w.left, w.draining = true, true
	d.noteWorker(now, EventDraining, w, "said goodbye")
	w.planned = nil
	for _, r := range w.runsInOrder() {
		switch {
		case r.sentIn == notSent:
			d.withdrawDoubt(r)
			d.removeRun(now, r)
			d.requeue(now, r)
		case r.copyReason != "":
			r.copyReason = copyReasonLeft // its copy is wanted even if the worker is heard again
		default:
			d.copy(now, r, copyReasonLeft)
		}
	}
	d.updateTotals(now, w)
	d.endDeparture(now, w)
}

// rejoinDeparted marks a worker as one that has said goodbye, to a leader that did not know
// it or before its lease ended. Its further heartbeats tell how its runs end.
func (d *Dispatcher) rejoinDeparted(w *worker) {
	delete(d.departed, w.id)
	w.left, w.draining = true, true
	w.leaseUntil = max(w.leaseUntil, d.earlierLeasesEnd)
}

// endDeparture removes a worker that has said goodbye once nothing runs there and all its
// ends are in the log.
func (d *Dispatcher) endDeparture(now tackclock.Time, w *worker) {
	if len(w.runs) == 0 && w.orphanUsed == (tackroom.Resources{}) && len(w.ends.pending) == 0 {
		d.lose(now, w, "left")
	}
}

// answerDeparted returns the answer to a heartbeat of a worker that has said goodbye. It
// acknowledges ends and stops what must stop, but extends no lease.
func (d *Dispatcher) answerDeparted(now tackclock.Time, w *worker) Orders {
	o := Orders{Fence: uint64(d.term), Stop: w.takeStops(), Noted: w.ends.loggedUpTo(), Retry: d.retry(now, w)}
	d.updateTotals(now, w)
	d.endDeparture(now, w)
	return o
}

// takeStops returns the runs that the worker must stop.
func (w *worker) takeStops() []Stop {
	stops := w.stops
	w.stops = nil
	for _, r := range w.runs {
		if r.stopping {
			stops = append(stops, Stop{Item: r.item, Run: r.number})
		}
	}
	return stops
}
