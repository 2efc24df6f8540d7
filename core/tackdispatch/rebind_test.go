package tackdispatch

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

// newTwoPools returns a world with workers of both services, to the first of which the queue
// is sent.
func newTwoPools(t failer, first, second int) *world {
	w := newWorld(t, first)
	for n := range second {
		w.addWorker(tackid.VM(fmt.Sprintf("o-%d", n)), 10+n/4).service = otherService
	}
	w.run(tackclock.Second)
	return w
}

// Guards against a leader that ends when a catalog sends a queue to another service while a
// step of it is queued of which no item waits any more.
func TestQueueMovesWhileAllItemsRun(t *testing.T) {
	w := newTwoPools(t, 2, 2)
	for n := 1; n <= 200; n++ {
		w.submit(job(n), batch(2, 1, 200))
		w.step()
		if n%3 == 0 {
			w.moveQueue([]tackid.Service{otherService, "names-api"}[n%2])
		}
	}
	w.run(10 * tackclock.Second)
	for n := 1; n <= 200; n++ {
		assertPhase(t, w, job(n), tackjob.Complete)
	}
}

// Guards against starts on workers of the service to which a queue was sent before. The world
// checks each start.
func TestNothingStartsWhereTheQueueWasSentBefore(t *testing.T) {
	gang := func(members int, cores float64) tackjob.Step {
		s := batch(members, cores, 500)
		s.Gang = true
		return s
	}
	t.Run("a planned start", func(t *testing.T) {
		w := newTwoPools(t, 2, 2)
		w.submit(job(1), gang(2, 9))
		w.workers[0].heartbeatAt, w.workers[1].heartbeatAt = w.now, w.now.Add(300)
		w.run(100)
		assertRuns(t, w, job(1), 1) // the other member starts with its worker's next heartbeat
		w.moveQueue(otherService)
		w.run(5 * tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
	})
	t.Run("a gang for which workers are reserved", func(t *testing.T) {
		w := newTwoPools(t, 2, 1)
		w.submit(job(1), batch(32, 1, 2000))
		w.run(100)
		w.submit(job(2), gang(4, 8))
		w.run(tackclock.Second)
		if w.d.pools["names-api"].reserved.gang == nil {
			t.Fatal("no workers are reserved")
		}
		w.moveQueue(otherService)
		if w.d.pools["names-api"].reserved.gang != nil {
			t.Error("workers of the other service are reserved")
		}
		w.run(5 * tackclock.Second)
		assertRuns(t, w, job(2), 0) // one worker has no room for it
		w.addWorker("o-9", 11).service = otherService
		w.run(5 * tackclock.Second)
		assertPhase(t, w, job(2), tackjob.Complete)
	})
}

// Guards against items of a confined queue that start all over the pool to which it moves.
func TestConfinedQueueMoves(t *testing.T) {
	w := newConfinedWorld(t, 8)
	for n := range 8 {
		w.addWorker(tackid.VM(fmt.Sprintf("o-%d", n)), 10).service = otherService
	}
	w.confineQueue(10)
	w.submit(job(1), batch(4, 2, 500))
	w.moveQueue(otherService)
	w.run(200)
	if got := len(w.d.pool(otherService).exposure.workers); got != 1 {
		t.Errorf("%d workers of 8 are exposed, want 1", got)
	}
	w.run(20 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}
