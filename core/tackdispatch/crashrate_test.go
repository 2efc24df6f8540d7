package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

// maxCrashingStarts is how often an item may start that crashes each of its workers.
const maxCrashingStarts = crashesTolerated + startsTolerated

// assertCrashingStarts fails the test if an item that crashes its workers was started too
// often, whichever leaders ordered the starts.
func assertCrashingStarts(t *testing.T, w *world) {
	t.Helper()
	for item := range w.crashes {
		if n := w.started[item]; n > maxCrashingStarts {
			t.Errorf("%v was started %d times, want %d at most", item, n, maxCrashingStarts)
		}
	}
}

// Guards against starts that no log holds: a leader that cannot commit any more orders a
// copy of an item whose worker has crashed, and the next leader knows of neither run.
func TestLeaderThatCannotCommitCopiesNoCrashingItem(t *testing.T) {
	w := newWorld(t, 12)
	w.crashes[tackjob.Item{Job: job(1)}] = 10
	w.submit(job(1), speculative(2, 800))
	w.held = true
	w.run(2 * tackclock.Second)
	w.newLeader()
	w.held = false
	w.run(60 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Failed)
	assertCrashingStarts(t, w)
}

// Guards against elections that follow each other within a second of a start, each of
// which loses the record of one start.
func TestElectionsLoseNoStartsOfACrashingItem(t *testing.T) {
	for name, step := range map[string]tackjob.Step{"in copies": speculative(2, 800), "one at a time": batch(2, 2, 800)} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 12)
			item := tackjob.Item{Job: job(1)}
			w.crashes[item] = 10
			w.submit(job(1), step)
			for range 6 {
				for before := w.started[item]; w.started[item] == before && w.phase(job(1)) == tackjob.Open; {
					w.step()
				}
				w.run(100)
				w.newLeader()
			}
			w.run(60 * tackclock.Second)
			assertPhase(t, w, job(1), tackjob.Failed)
			assertCrashingStarts(t, w)
		})
	}
}

// Guards against starts without limit of an item that takes each of its VMs down for good.
func TestItemWhoseVMsNeverReturnIsGivenUp(t *testing.T) {
	w := newWorld(t, 12)
	w.away = 10 * tackclock.Minute
	w.crashes[tackjob.Item{Job: job(1)}] = 10
	w.submit(job(1), batch(1, 2, 800))
	w.run(8 * tackclock.Minute)
	assertPhase(t, w, job(1), tackjob.Failed)
	assertCrashingStarts(t, w)
}

// Load pattern: a rack loses power while its workers are starting items.
//
// Guards against sound items that start one at a time, as suspects, although nothing points
// to them: the pool would be short of a rack and slow to start what it held.
func TestOutageOfARackMakesNoSuspects(t *testing.T) {
	w := newWorld(t, 8)
	w.run(tackclock.Second)
	for n := range 8 {
		w.submit(job(n), speculative(6, 640))
	}
	for len(w.workers[0].runs) == 0 {
		w.step()
	}
	for _, m := range w.workers[:4] {
		w.crash(m)
	}
	w.run(10 * tackclock.Second)
	events, _ := w.d.Events()
	copied := false
	for _, e := range events {
		copied = copied || e.Kind == EventCopied
		if e.Kind == EventStartsLimited || e.Kind == EventStarted && e.Reason == reasonIsolated {
			t.Errorf("%v of %v at %d: %s", e.Kind, e.Item, e.At, e.Reason)
		}
	}
	if !copied {
		t.Error("no run was copied, so nothing was tested")
	}
	for n := range 8 {
		assertPhase(t, w, job(n), tackjob.Complete)
	}
}

// Load pattern: a pool is busy, and every eighth job has an item that crashes its workers.
//
// Guards against sound jobs that wait although most of the room is free: each crash makes
// suspects of all that was started beside the item at fault, and they wait for workers of
// their own faster than those become free.
func TestSoundJobsAreDoneBesideCrashingOnes(t *testing.T) {
	const (
		jobs        = 160
		faultyEvery = 8
		settles     = 14 * tackclock.Second // until the sound jobs are done, after the last submission
	)
	w := newWorld(t, 10)
	for n := range jobs {
		id := job(n)
		if n%faultyEvery == 0 {
			w.crashes[tackjob.Item{Job: id, Index: int32(n % 6)}] = 10
		}
		w.submit(id, speculative(6, 640))
		w.run(125)
	}
	w.run(settles)
	for n := range jobs {
		if n%faultyEvery != 0 {
			assertPhase(t, w, job(n), tackjob.Complete)
		}
	}
	w.run(settles)
	for n := 0; n < jobs; n += faultyEvery {
		assertPhase(t, w, job(n), tackjob.Failed)
	}
	assertCrashingStarts(t, w)
}
