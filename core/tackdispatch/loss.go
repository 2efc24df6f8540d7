package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// lapse takes out a worker whose lease ran out. All that ran there has ended, but
// its life may go on behind a partition. It joins again with a later heartbeat than
// those it sent before.
func (d *Dispatcher) lapse(now tackclock.Time, w *worker) {
	d.remove(now, w, "lease ran out")
	d.lapsed[w.id] = lapse{at: now, vm: w.vm, sequence: w.sequence}
}

// endLapsed notes that lives whose lease ran out on a VM, or under a name, are over,
// since another has followed them or the VM was taken down. A heartbeat of theirs that a
// partition held up would else be taken for the next life, and end the one that runs.
func (d *Dispatcher) endLapsed(now tackclock.Time, vm tackid.VM, name string) {
	for id, l := range d.lapsed {
		if vm != "" && l.vm == vm || name != "" && id.Name() == name {
			delete(d.lapsed, id)
			d.over[id] = now
		}
	}
}

// lose takes out a worker whose life is over.
func (d *Dispatcher) lose(now tackclock.Time, w *worker, reason string) {
	d.remove(now, w, reason)
	d.over[w.id] = now
}

// remove takes a worker out. What ran there may start elsewhere: the caller must
// know that it does not run any more.
func (d *Dispatcher) remove(now tackclock.Time, w *worker, reason string) {
	lost := w.inOrder()
	for _, r := range lost {
		d.noteLost(now, r, reason)
	}
	for _, r := range lost {
		if !w.doubted || r.sentIn == notSent {
			d.undoubt(r) // what it ran did not end by a crash, or never began
		}
		d.free(now, r)
		d.requeue(now, r)
	}
	w.forgetStrange()
	d.setSilent(w, false)
	if p := d.pools[w.service]; p != nil {
		p.remove(w)
	}
	delete(d.workers, w.id)
	if d.names[w.id.Name()] == w {
		delete(d.names, w.id.Name())
	}
	if d.lives[w.vm] == w {
		delete(d.lives, w.vm)
	}
	d.noteWorker(now, EventLost, w, reason)
}

// Leave takes in that a worker has said goodbye. It runs nothing any more. A goodbye that
// does not say when its life began may be a former life's, held up; it is believed of a
// life that drains, and changes nothing else.
func (d *Dispatcher) Leave(now tackclock.Time, id WorkerID) {
	if w := d.names[id.Name()]; w != nil && id.Born() == 0 && w.id != id {
		if !w.draining {
			return
		}
		id = w.id
	}
	if w := d.workers[id]; w != nil {
		d.resolve(now, w.vm, id)
		d.lose(now, w, "left")
	}
	if l, ok := d.lapsed[id]; ok {
		d.resolve(now, l.vm, id)
	}
	delete(d.lapsed, id)
	d.over[id] = now
}

// forget drops what is kept of lives only to tell late heartbeats.
func (d *Dispatcher) forget(now tackclock.Time) {
	if now < d.forgetAt {
		return
	}
	d.forgetAt = now.Add(forgetEvery)
	for _, x := range d.silences.Expire(now.Add(-lateFor)) {
		d.dismiss(&x)
	}
	for id, at := range d.over {
		if now.Sub(at) > lateFor {
			delete(d.over, id)
		}
	}
	for id, l := range d.lapsed {
		if now.Sub(l.at) > lateFor {
			delete(d.lapsed, id)
		}
	}
	for id, c := range d.claims {
		if now.Sub(c.since) > lateFor {
			delete(d.claims, id)
		}
	}
}
