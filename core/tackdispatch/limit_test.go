package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
	"auburntack/core/tackwork"
)

// Guards against a planned start of a gang's member that no longer fits. The starts are
// planned when there is room for all, and each is sent in the answer to its worker's next
// heartbeat. If the worker's room shrinks in between and is not checked again, a worker
// that refuses nothing runs more than it has room for.
func TestRoomThatShrinksBeforeAPlannedStart(t *testing.T) {
	gang := batch(2, 10, 500)
	gang.Gang = true
	w := newWorld(t, 2)
	w.run(200)
	w.submit(job(1), gang)
	w.heartbeat(w.workers[0], false) // plans both members, and sends none
	for _, m := range w.workers {
		m.resize(tackroom.Resources{MilliCores: 8000, MemoryMB: 32768})
	}
	w.run(2 * tackclock.Second) // the world fails the test where a start does not fit
	assertRuns(t, w, job(1), 0)
	for _, m := range w.workers {
		m.resize(tackroom.Resources{MilliCores: 16000, MemoryMB: 32768})
	}
	w.run(3 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}

func TestRoomThatShrinks(t *testing.T) {
	small := tackroom.Resources{MilliCores: 4000, MemoryMB: 32768}
	t.Run("nothing starts beyond it, and what runs goes on", func(t *testing.T) {
		w := newWorld(t, 1)
		w.submit(job(1), batch(8, 2, 2*tackclock.Second))
		w.run(500)
		w.workers[0].resize(small)
		w.submit(job(2), batch(4, 2, 500))
		w.run(tackclock.Second)
		assertRuns(t, w, job(1), 8)
		assertRuns(t, w, job(2), 0)
		w.run(4 * tackclock.Second)
		assertPhase(t, w, job(2), tackjob.Complete)
	})
	t.Run("what is being stopped still counts", func(t *testing.T) {
		w := newWorld(t, 1)
		w.submit(job(1), batch(8, 2, 20*tackclock.Second))
		w.run(500)
		w.apply(tackwork.Change{Cancel: job(1)})
		w.submit(job(2), batch(8, 2, 500))
		w.run(3 * tackclock.Second)
		assertPhase(t, w, job(2), tackjob.Complete)
	})
	t.Run("to nothing, and back", func(t *testing.T) {
		w := newWorld(t, 1)
		w.run(100)
		w.workers[0].resize(tackroom.Resources{})
		w.submit(job(1), batch(4, 2, 500))
		w.run(2 * tackclock.Second)
		assertRuns(t, w, job(1), 0)
		w.workers[0].resize(tackroom.Resources{MilliCores: 16000, MemoryMB: 32768})
		w.run(2 * tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
	})
}
