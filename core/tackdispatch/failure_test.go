package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

// Guards against a failed run that is not counted, so that its item starts once more than
// its queue allows: a new leader adopts an earlier run of the item from a delayed
// heartbeat, and then hears that a later one has failed.
func TestFailureOfALaterRunCountsBesideAnAdoptedOne(t *testing.T) {
	w := newWorld(t, 2)
	item := tackjob.Item{Job: job(1)}
	w.run(tackclock.Second)
	w.submit(job(1), batch(1, 2, 20*tackclock.Second))
	for w.started[item] == 0 {
		w.step()
	}
	first, second := w.workers[0], w.workers[1]
	if len(first.runs) == 0 {
		first, second = second, first
	}
	w.delayHeartbeat(first)
	first.failing = true
	for len(w.failed[item]) == 0 {
		w.step()
	}
	first.cut = true
	for w.started[item] == 1 {
		w.step()
	}
	second.cut, second.failing = true, true // its run fails while no leader hears of it
	w.run(300)
	w.newLeader()
	w.deliverDelayed()
	first.cut, second.cut = false, false
	w.run(20 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Failed)
	if n := w.started[item]; n != testQueue.Attempts {
		t.Errorf("%d starts, of which each failed, want %d", n, testQueue.Attempts)
	}
}

// Guards against an item that is taken for a suspect because of its own start: after an
// election every start is logged as a doubt. The run ends, and its item starts again before
// the log holds that the doubt is dismissed.
func TestEndedRunLeavesNoDoubt(t *testing.T) {
	w := newWorld(t, 0)
	w.submit(job(1), longRunning(1, 1))
	w.newLeader()
	m := w.addWorker("m-0", 0)
	for len(m.runs) == 0 {
		w.step()
	}
	w.d.Events()
	w.end(m, tackjob.Item{Job: job(1)}, EndFailed)
	w.run(tackclock.Second)
	assertRuns(t, w, job(1), 1)
	events, _ := w.d.Events()
	for _, e := range events {
		if e.Kind == EventItemInDoubt {
			t.Errorf("%v is in doubt: %s", e.Item, e.Reason)
		}
	}
}
