package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
)

const replacedVM tackid.VM = "m-7"

// formerWorld returns a world with a worker on replacedVM whose heartbeats never arrive, and
// the given number of its heartbeats on their way.
func formerWorld(t *testing.T, late int) (*world, *modelWorker) {
	w := newWorld(t, 2)
	m := w.addWorker(replacedVM, 1)
	m.cut = true
	w.run(200)
	for range late {
		w.delayHeartbeat(m)
	}
	return w, m
}

// succeed ends an incarnation, and begins the next one on its VM after a while.
func (w *world) succeed(m *modelWorker) *modelWorker {
	m.dead = true
	w.run(500)
	next := w.addWorker(m.vm, 1)
	w.run(500)
	return next
}

// fillReplaced submits a job of eight items, which run on replacedVM while the other workers
// have room.
func (w *world) fillReplaced(t *testing.T) {
	step := batch(8, 2, 20*tackclock.Second)
	step.Affinity = "r-1"
	w.submit(job(1), step)
	w.run(tackclock.Second)
	assertRuns(t, w, job(1), 8)
}

// deliverOneByOne delivers the delayed reports with pauses in between.
func (w *world) deliverOneByOne(pause tackclock.Duration) {
	for len(w.delayed) > 0 {
		w.deliverFirst(1)
		w.run(pause)
	}
}

// Guards against items that run twice: a heartbeat that was delayed, of an incarnation that is
// over, ends the incarnation that runs on its VM.
func TestLateHeartbeatOfAFormerIncarnationEndsNoLaterOne(t *testing.T) {
	for _, test := range []struct {
		name string
		late int
		play func(w *world, next *modelWorker)
		// endsRuns says that what runs there ends by the play, and starts again.
		endsRuns bool
	}{
		{"its first one", 1, func(w *world, next *modelWorker) { w.deliverDelayed() }, false},
		{"several, one after the other", 6, func(w *world, next *modelWorker) { w.deliverOneByOne(300) }, false},
		{"while the later one is cut off", 2, func(w *world, next *modelWorker) {
			next.cut = true
			w.run(2 * tackclock.Second)
			w.deliverFirst(1)
			w.run(1200)
			w.deliverDelayed()
			next.cut = false
		}, false},
		{"after the lease of the later one has ended", 1, func(w *world, next *modelWorker) {
			next.cut = true
			w.run(5 * tackclock.Second)
			w.deliverDelayed()
			w.run(tackclock.Second)
			next.cut = false
		}, true},
		{"refused by a leader whose lease is out", 1, func(w *world, next *modelWorker) { w.d.Refused(w.now, w.delayed[0]) }, false},
		{"at a new leader that knows the later one", 1, func(w *world, next *modelWorker) {
			w.newLeader()
			w.run(tackclock.Second)
			w.deliverDelayed()
		}, false},
		{"at a new leader before it hears the later one", 1, func(w *world, next *modelWorker) {
			w.newLeader()
			w.deliverDelayed()
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, m := formerWorld(t, test.late)
			next := w.succeed(m)
			w.fillReplaced(t)
			test.play(w, next)
			w.run(8 * tackclock.Second) // the world fails the test where an item runs twice
			assertKnown(t, w, next, true)
			if !test.endsRuns {
				assertStartedOnce(t, w, job(1), 8)
			}
		})
	}
	t.Run("of several incarnations", func(t *testing.T) {
		w, m := formerWorld(t, 2)
		second := w.addWorker(replacedVM, 1)
		second.cut, m.dead = true, true
		w.delayHeartbeat(second)
		w.delayHeartbeat(second)
		next := w.succeed(second)
		w.fillReplaced(t)
		w.deliverOneByOne(100)
		w.run(8 * tackclock.Second)
		assertStartedOnce(t, w, job(1), 8)
		assertKnown(t, w, next, true)
	})
	t.Run("before the later one has work", func(t *testing.T) {
		w, m := formerWorld(t, 1)
		next := w.succeed(m)
		w.deliverDelayed()
		w.fillReplaced(t)
		w.run(8 * tackclock.Second)
		assertStartedOnce(t, w, job(1), 8)
		assertKnown(t, w, next, true)
	})
	t.Run("after the later one said goodbye without an ack", func(t *testing.T) {
		w, m := formerWorld(t, 1)
		next := w.succeed(m)
		w.fillReplaced(t)
		next.draining = true
		w.run(tackclock.Second)
		w.d.Leave(w.now, next.id)
		w.deliverDelayed()
		w.run(8 * tackclock.Second)
	})
}

// Guards against a sound job that is given up: each late heartbeat has items ordered again that
// nobody starts, and each of these orders counts as a start that crashed its worker.
func TestLateHeartbeatsOfAFormerIncarnationAreNoCrashes(t *testing.T) {
	for name, silent := range map[string]tackclock.Duration{"between two heartbeats of the later one": 50, "while it is cut off": 1500} {
		t.Run(name, func(t *testing.T) {
			w, m := formerWorld(t, 10)
			next := w.succeed(m)
			w.fillReplaced(t)
			w.run(6 * tackclock.Second) // a crash says nothing about what has run for long
			for len(w.delayed) > 0 {
				next.cut = true
				w.deliverFirst(1)
				w.run(50)
				w.deliverFirst(1) // its answer carries the starts that the log holds by now
				w.run(silent)
				next.cut = false
				w.run(2 * tackclock.Second)
			}
			assertStartedOnce(t, w, job(1), 8)
			for i := range 8 {
				if r := w.state.Jobs.Get(job(1)).CrashesUnder(tackjob.Item{Job: job(1), Index: int32(i)}); !r.Empty() {
					t.Errorf("item %d has the record %+v", i, r)
				}
			}
		})
	}
}

// assertStartedOnce fails the test unless every item of the job was started once.
func assertStartedOnce(t *testing.T, w *world, id tackjob.ID, count int) {
	t.Helper()
	for i := range count {
		assertStarts(t, w, tackjob.Item{Job: id, Index: int32(i)}, 1)
	}
}

// Guards against a workspace that runs more than its cap: what the later incarnation runs does
// not count while a delayed heartbeat of the former one has replaced it.
func TestCapCountsWhatAReplacedIncarnationRuns(t *testing.T) {
	w, m := formerWorld(t, 1)
	w.putCaps(map[tackid.Workspace]tackroom.Resources{"mairies": {MilliCores: 16_000}})
	w.workers[0].draining, w.workers[1].draining = true, true
	w.run(2 * tackclock.Second)
	next := w.succeed(m)
	w.submitFor("mairies", job(1), batch(16, 2, 20*tackclock.Second))
	w.run(3 * tackclock.Second)
	assertRuns(t, w, job(1), 8)
	w.addWorker("m-8", 1)
	next.cut = true
	w.deliverDelayed()
	w.run(2 * tackclock.Second) // the world fails the test where the cap is exceeded
	assertRuns(t, w, job(1), 8)
}

// Guards against items that wait for the end of a lease although their worker has restarted and
// runs them again: the next incarnation is the later one once it lists a run.
func TestNextIncarnationIsBelievedOnceItListsARun(t *testing.T) {
	gang := batch(6, 2, 20*tackclock.Second)
	gang.Gang = true
	for name, step := range map[string]tackjob.Step{
		"items": batch(24, 2, 20*tackclock.Second), "items that last": longRunning(24, 2), "a gang": gang,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.submit(job(1), step)
			w.run(4 * tackclock.Second)
			m := w.runningOn(tackjob.Item{Job: job(1)})
			m.dead = true
			w.run(tackclock.Second)
			next := w.addWorker(m.vm, 0)
			w.run(800)
			assertKnown(t, w, next, true)
			assertRuns(t, w, job(1), step.Count)
		})
	}
}
