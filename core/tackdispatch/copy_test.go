package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackwork"
)

func speculative(count int, estimate tackclock.Duration) tackjob.Step {
	s := batch(count, 2, estimate)
	s.Speculative = true
	return s
}

// Load pattern: a rack becomes unreachable while its workers run speculative items.
//
// Guards against late jobs: without copies, the items of the silent workers wait until
// the leases end.
func TestItemsOfSilentWorkersRunInCopies(t *testing.T) {
	w := newWorld(t, 4)
	w.submit(job(1), speculative(16, 800))
	w.run(300)
	w.workers[0].dead, w.workers[1].dead = true, true
	w.run(2500)
	assertPhase(t, w, job(1), tackjob.Complete)
}

func TestCopies(t *testing.T) {
	// cut runs the job's item on a worker that is cut off, and as a copy.
	cut := func(t *testing.T) (*world, *modelWorker) {
		t.Helper()
		w := newWorld(t, 2)
		w.submit(job(1), speculative(1, 20*tackclock.Second))
		w.run(300)
		var host *modelWorker
		for _, m := range w.workers {
			if len(m.runs) > 0 {
				host = m
			}
		}
		host.cut = true
		w.run(1500)
		assertRuns(t, w, job(1), 2)
		return w, host
	}
	t.Run("the first end counts and the other run stops", func(t *testing.T) {
		w, host := cut(t)
		host.cut = false
		for item := range host.runs {
			w.end(host, item, EndDone)
		}
		w.run(tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
		assertRuns(t, w, job(1), 0)
	})
	// Guards against an item of a cancelled job that runs on, because it ran on two
	// workers and only the later run was known by its item.
	t.Run("a cancel stops both", func(t *testing.T) {
		w, host := cut(t)
		host.cut = false
		w.run(200)
		w.apply(tackwork.Change{Cancel: job(1)})
		w.run(tackclock.Second)
		assertRuns(t, w, job(1), 0)
	})
	t.Run("a worker that reports again before the copy starts keeps its run", func(t *testing.T) {
		w := newWorld(t, 1)
		w.submit(job(1), speculative(1, 20*tackclock.Second))
		w.run(300)
		w.workers[0].cut = true
		w.run(defaultCopyAfter + 200)
		w.workers[0].cut = false
		w.run(2 * tackclock.Second)
		assertRuns(t, w, job(1), 1)
		if n := w.started[tackjob.Item{Job: job(1)}]; n != 1 {
			t.Errorf("the item started %d times, want once", n)
		}
	})
	// Guards against an item that starts after its end was logged: one run is done, the
	// copy fails, the log receives both at once, and the failure queues the item again
	// although it is done.
	t.Run("a copy that fails after the other is done starts nothing", func(t *testing.T) {
		w, host := cut(t)
		w.held = true
		host.cut = false
		for _, m := range w.workers {
			for item := range m.runs {
				kind := EndFailed
				if m == host {
					kind = EndDone
				}
				w.end(m, item, kind)
			}
		}
		w.run(300)
		w.release()
		w.run(tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
		assertRuns(t, w, job(1), 0)
	})
	// Guards against an item that starts after its end was acknowledged: two runs of an
	// item end on one worker, and the log holds the first. When ends were told apart by
	// their items only, the second was forgotten too.
	t.Run("each end of an item is logged separately", func(t *testing.T) {
		w := newWorld(t, 1)
		w.submit(job(1), speculative(1, 20*tackclock.Second))
		w.run(300)
		m := w.workers[0]
		first := tackjob.End{Item: tackjob.Item{Job: job(1)}, Run: 1, Failed: true}
		second := tackjob.End{Item: first.Item, Run: 2}
		known := w.d.workers[m.id]
		known.ends.highest = 2
		known.ends.pending = map[uint64]tackjob.End{1: first, 2: second}
		w.d.EndsLogged(m.id, []tackjob.End{first})
		if n := known.ends.loggedUpTo(); n != 1 {
			t.Errorf("ends up to %d are logged, want 1", n)
		}
	})
	// Guards against an item that starts after its last permitted failure: the copy
	// fails, then the earlier run, whose lower number was mistaken for an end that had
	// been counted before.
	t.Run("failures count in any order", func(t *testing.T) {
		w, host := cut(t)
		other := w.workers[0]
		if other == host {
			other = w.workers[1]
		}
		for item := range other.runs {
			w.end(other, item, EndFailed)
		}
		w.run(200)
		host.cut = false
		for item := range host.runs {
			w.end(host, item, EndFailed)
		}
		w.run(200)
		if n := w.state.Jobs.Get(job(1)).Failures(tackjob.Item{Job: job(1)}); n != 2 {
			t.Errorf("%d failures count, want 2", n)
		}
	})
}
