package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackwork"
)

// Guards against items of a cancelled job that run on: long-running items are listed by
// their workers when the job is cancelled, and heartbeats carry no stop for them, because
// only runs unknown to the dispatcher are stopped.
func TestCancelStopsWhatRuns(t *testing.T) {
	w := newWorld(t, 4)
	w.submit(job(1), longRunning(4, 1))
	w.submit(job(2), batch(20, 1, 20*tackclock.Second))
	w.run(3 * tackclock.Second)
	assertRuns(t, w, job(1), 4)
	assertRuns(t, w, job(2), 20)
	w.apply(tackwork.Change{Cancel: job(1)})
	w.apply(tackwork.Change{Cancel: job(2)})
	w.run(3 * tackclock.Second)
	assertRuns(t, w, job(1), 0)
	assertRuns(t, w, job(2), 0)
}

// Guards against an item of a cancelled job that runs on: the answer with its start is
// delayed for three seconds, the leader assumes that the order was lost, the job is
// cancelled, and then the worker starts the item.
func TestCancelStopsWhatStartsLate(t *testing.T) {
	assertLateStartsEnd(t, func(w *world) {
		w.run(3 * tackclock.Second)
		w.apply(tackwork.Change{Cancel: job(1)})
	})
}

// Guards against an item of a cancelled job that runs on: the leader that started it is
// removed, and the next one handles the cancel before it has a report of the worker.
func TestCancelStopsWhatAnEarlierLeaderStarted(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(8, 2, 20*tackclock.Second))
	w.run(tackclock.Second)
	assertRuns(t, w, job(1), 8)
	w.newLeader()
	w.apply(tackwork.Change{Cancel: job(1)})
	w.run(tackclock.Second)
	assertRuns(t, w, job(1), 0)
}

// Guards against an item of a cancelled job that runs on: its worker starts it late,
// after the leader that ordered it was removed and the job was cancelled under the next
// leader.
func TestCancelStopsLateStartsOfARemovedLeader(t *testing.T) {
	assertLateStartsEnd(t, func(w *world) {
		w.newLeader()
		w.apply(tackwork.Change{Cancel: job(1)})
		w.run(5 * tackclock.Second)
	})
}

// assertLateStartsEnd fails the test unless two items end whose starts are delayed while
// their job is cancelled: the worker starts them, and is told to stop them.
func assertLateStartsEnd(t *testing.T, cancel func(w *world)) {
	t.Helper()
	w := newWorld(t, 1)
	m := w.workers[0]
	w.run(100)
	w.submit(job(1), batch(2, 1, 20*tackclock.Second))
	late := w.receive(m.report(w))
	if len(late.Start) != 2 {
		t.Fatalf("%d starts, want 2", len(late.Start))
	}
	m.cut = true
	cancel(w)
	m.cut = false
	w.applyOrders(m, w.now, &late)
	assertRuns(t, w, job(1), 2)
	w.run(600)
	assertRuns(t, w, job(1), 0)
}

// Guards against starts that carry another item's checkpoint, or none although one was
// made. Items that make checkpoints are stopped, lost with their worker, and taken over
// by another leader.
func TestStartsResumeFromTheItemsOwnCheckpoint(t *testing.T) {
	long := batch(8, 2, 6*tackclock.Second)
	long.Checkpoints = true
	gang := batch(4, 2, 6*tackclock.Second)
	gang.Gang, gang.Checkpoints = true, true
	for name, step := range map[string]tackjob.Step{"items": long, "a gang": gang} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.submit(job(1), step)
			w.run(2500)
			w.workers[0].dead = true
			w.addWorker(w.workers[0].vm, 0)
			w.run(2500)
			w.newLeader()
			w.run(2500)
			w.workers[1].draining = true
			w.run(20 * tackclock.Second)
			assertPhase(t, w, job(1), tackjob.Complete)
			if w.resumed == 0 {
				t.Error("no start carried a checkpoint")
			}
		})
	}
}

// Guards against items that run on after another item of their job failed too often.
func TestFailedJobStopsWhatRuns(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(20, 1, 20*tackclock.Second))
	w.run(tackclock.Second)
	for n := range testQueue.Attempts {
		w.apply(tackwork.Change{Ends: []tackjob.End{{Item: tackjob.Item{Job: job(1)}, Failed: true, Run: uint64(n) + 1}}})
	}
	assertPhase(t, w, job(1), tackjob.Failed)
	w.run(3 * tackclock.Second)
	assertRuns(t, w, job(1), 0)
}
