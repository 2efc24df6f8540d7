package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

func assertStarts(t *testing.T, w *world, item tackjob.Item, want int) {
	t.Helper()
	if got := w.started[item]; got != want {
		t.Errorf("%v was started %d times, want %d", item, got, want)
	}
}

// runningOn returns the worker that runs the item.
func (w *world) runningOn(item tackjob.Item) *modelWorker {
	w.t.Helper()
	for _, m := range w.workers {
		if m.runs[item] != nil {
			return m
		}
	}
	w.t.Fatalf("%v does not run", item)
	return nil
}

// Guards against an item that is started again after it has ended: the leader refuses
// heartbeats while its lease is out and takes that for the worker's silence.
func TestEndInARefusedHeartbeatCounts(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 2*tackclock.Second))
	w.run(tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	w.runningOn(item).refused = true
	w.run(8 * tackclock.Second)
	assertStarts(t, w, item, 1)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Guards against an item that never starts again although its run was killed when the lease
// of a worker ended whose heartbeats are refused.
func TestRunThatLapsesUnderRefusalsStartsAgain(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 20*tackclock.Second))
	w.run(tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	w.runningOn(item).refused = true
	w.run(8 * tackclock.Second)
	assertStarts(t, w, item, 2)
	assertRuns(t, w, job(1), 1)
}

// Guards against an item that is started again after it has ended: the leader's process
// stalls, and its next tick comes before it reads the heartbeats of that time.
func TestStalledLeaderListensBeforeLeasesEnd(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 2*tackclock.Second))
	w.run(tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	ran := w.runningOn(item)
	w.stall(4 * tackclock.Second)
	for range 8 { // the other worker's heartbeats are read first
		w.now = w.now.Add(worldStep)
		w.d.Tick(w.now)
		for _, m := range w.workers {
			if m != ran {
				w.heartbeat(m, false)
			}
		}
	}
	w.deliverDelayed()
	w.run(4 * tackclock.Second)
	assertStarts(t, w, item, 1)
	assertPhase(t, w, job(1), tackjob.Complete)
}
