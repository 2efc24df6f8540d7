package tackdispatch

import (
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
)

func (w *world) noteFailure(item tackjob.Item, run RunNumber) {
	if w.failed[item] == nil {
		w.failed[item] = make(map[RunNumber]bool)
	}
	w.failed[item][run] = true
}

// checkRoom fails the test if a start takes more than the worker has, with what is being
// stopped there.
func (w *world) checkRoom(m *modelWorker, item tackjob.Item, step *tackjob.Step) {
	w.t.Helper()
	used := step.Takes()
	for _, r := range m.runs {
		used = used.Plus(r.step.Takes())
	}
	if !m.capacity.Fits(used) {
		w.t.Fatalf("with %v %s takes %+v of %+v", item, m.id, used, m.capacity)
	}
}

// checkOrder fails the test if an item starts before the steps that it waits for. A job
// that the log closed by an end in the same heartbeat holds no progress any more; its
// items are stopped by the next one.
func (w *world) checkOrder(j *tackjob.Job, item tackjob.Item) {
	w.t.Helper()
	if j.Phase != tackjob.Open && j.Closed == w.now {
		return
	}
	for _, a := range j.Steps[item.Step].After {
		if !j.StepDone(item.Occurrence, int32(a)) {
			w.t.Fatalf("%v starts before step %d is done", item, a)
		}
	}
}

// countCrashing fails the test if an item goes on being started that has crashed
// worker after worker.
func (w *world) countCrashing(item tackjob.Item) {
	w.t.Helper()
	if w.crashed[item] < crashesBorne {
		return
	}
	w.after[item]++
	if w.after[item] > startsBorne+w.unseen[item] {
		w.t.Fatalf("%v started %d times more after %d workers crashed under it", item, w.after[item], w.crashed[item])
	}
}

// check is what must hold at any moment.
func (w *world) check() {
	w.t.Helper()
	w.checkBlame()
	on := make(map[tackjob.Item]WorkerID)
	for _, m := range w.workers {
		if m.dead {
			continue
		}
		var used tackroom.Room
		for item, r := range m.runs {
			if other, twice := on[item]; twice && !r.step.Speculative {
				w.t.Fatalf("%v runs on %s and %s", item, other, m.id)
			}
			on[item] = m.id
			used = used.Plus(r.step.Takes())
		}
		if !m.shrunk && !m.capacity.Fits(used) {
			w.t.Fatalf("%s takes %+v of %+v", m.id, used, m.capacity)
		}
	}
}

// checkBlame fails the test if an item is blamed less often than never.
func (w *world) checkBlame() {
	w.t.Helper()
	for _, o := range w.d.jobs {
		for _, s := range o.steps {
			for index, n := range s.blamed {
				if n < 0 {
					w.t.Fatalf("%v is blamed %d times", s.item(index), n)
				}
			}
		}
	}
}
