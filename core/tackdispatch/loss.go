package tackdispatch

import "auburntack/core/tackclock"

// lapse removes a worker whose lease ran out. All that ran there has ended, but the
// process may still be running behind a partition. It joins again with a heartbeat later
// than those that it sent before.
func (d *Dispatcher) lapse(now tackclock.Time, w *worker) {
	reason := "lease ran out"
	if w.left {
		reason = "left"
		d.departed[w.id] = now
	}
	f := d.newFormer(now, w)
	d.remove(now, w, reason)
	d.formers.add(f)
}

// lose removes a worker whose incarnation is over.
func (d *Dispatcher) lose(now tackclock.Time, w *worker, reason string) {
	d.remove(now, w, reason)
	d.endedIncarnations[w.id] = now
}

// remove removes a worker. What ran there may start elsewhere, so the caller must know
// that it does not run any more.
func (d *Dispatcher) remove(now tackclock.Time, w *worker, reason string) {
	lost := w.runsInOrder()
	for _, r := range lost {
		d.noteLost(now, r, reason)
		r.endProof = reason
	}
	for _, r := range lost {
		if !w.doubted || r.sentIn == notSent {
			d.withdrawDoubt(r) // the run did not end by a crash, or never began
		}
		d.removeRun(now, r)
		d.requeueLost(now, r)
	}
	w.clearOrphans()
	d.setSilent(w, false)
	if p := d.pools[w.service]; p != nil {
		p.remove(w)
	}
	delete(d.workers, w.id)
	if d.workersByName[w.id.Name()] == w {
		delete(d.workersByName, w.id.Name())
	}
	if d.workersByVM[w.vm] == w {
		delete(d.workersByVM, w.vm)
	}
	d.noteWorker(now, EventLost, w, reason)
}

// Leave handles a worker's goodbye. What runs there may go on until its lease ends, see
// depart. A goodbye without the time when the incarnation began may be a delayed one of a
// former incarnation; it is accepted for an incarnation that drains and ignored otherwise.
// A worker that is not known has no lease of this leader.
func (d *Dispatcher) Leave(now tackclock.Time, id WorkerID) {
	if w := d.workersByName[id.Name()]; w != nil && id.StartedAt() == 0 && w.id != id {
		if !w.draining {
			return
		}
		id = w.id
	}
	if w := d.workers[id]; w != nil {
		d.resolveDoubts(now, w.vm, id)
		w.doubted = false
		d.depart(now, w)
		return
	}
	if f := d.formers.byID[id]; f != nil && !f.terminated && d.workersByVM[f.vm] == nil {
		d.resolveDoubts(now, f.vm, id)
	}
	d.departed[id] = now
}

// expireIncarnations drops records that are kept only to recognise late heartbeats.
func (d *Dispatcher) expireIncarnations(now tackclock.Time) {
	if now < d.expireAt {
		return
	}
	d.expireAt = now.Add(forgetEvery)
	for _, x := range d.silences.Expire(now.Add(-endedIncarnationKept)) {
		d.expireDoubt(now, &x)
	}
	for id, at := range d.endedIncarnations {
		if now.Sub(at) > endedIncarnationKept {
			delete(d.endedIncarnations, id)
		}
	}
	for _, f := range d.formers.byID {
		if now.Sub(f.at) > endedIncarnationKept {
			d.forget(now, f)
		}
	}
	for id, at := range d.departed {
		if now.Sub(at) > endedIncarnationKept {
			delete(d.departed, id)
		}
	}
	for id, c := range d.pendingIncarnations {
		if now.Sub(c.since) > endedIncarnationKept {
			delete(d.pendingIncarnations, id)
		}
	}
}
