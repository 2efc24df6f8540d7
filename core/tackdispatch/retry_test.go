package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

// heartbeats is how many heartbeats the world's workers send while it runs.
func heartbeats(w *world, d tackclock.Duration) uint64 {
	var sum uint64
	for _, m := range w.workers {
		sum -= m.sequence
	}
	w.run(d)
	for _, m := range w.workers {
		sum += m.sequence
	}
	return sum
}

// Symptom: the leader of a large fleet is busy with answers that order nothing, and
// late with the others. Sequence: a turn is over, hundreds of workers have room, and
// each asks several times a second. Cause: how often a worker asks did not depend on
// how many others do.
//
// Of 200 workers without work 1,334 heartbeats a second came before, 500 come now.
func TestWorkersOfALargePoolAskLessOften(t *testing.T) {
	const second = tackclock.Second
	t.Run("a small pool", func(t *testing.T) {
		w := newWorld(t, 4)
		w.run(second)
		if got := heartbeats(w, 3*second); got < 4*3*6 {
			t.Errorf("%d heartbeats of 4 workers in 3 s, want 6 a second each", got)
		}
	})
	t.Run("a large pool", func(t *testing.T) {
		w := newWorld(t, 200)
		w.run(second)
		if got := heartbeats(w, 3*second); got > 200*3*3 {
			t.Errorf("%d heartbeats of 200 workers in 3 s, want under 3 a second each", got)
		}
	})
	t.Run("work that comes to it starts as soon", func(t *testing.T) {
		w := newWorld(t, 200)
		for i, m := range w.workers { // real workers don't ask in step
			m.beatAt = w.now.Add(tackclock.Duration(i) * 2)
		}
		w.run(2 * second)
		w.submit(job(1), batch(8, 2, 2*second))
		w.run(100)
		for i := range int32(8) {
			if w.started[tackjob.Item{Job: job(1), Index: i}] == 0 {
				t.Errorf("item %d has not started after 100 ms", i)
			}
		}
	})
}
