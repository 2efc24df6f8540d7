package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

// heartbeats runs the world for d and returns how many heartbeats its workers sent.
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

// Guards against a leader of a large fleet that is busy with answers that order nothing,
// and so late with the others. After a burst hundreds of workers have room, and each
// asked several times a second, however many others did.
//
// 200 workers without work sent 1,334 heartbeats a second when the interval did not
// depend on their number, and send 500 now.
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
	t.Run("new work in it starts as soon", func(t *testing.T) {
		w := newWorld(t, 200)
		for i, m := range w.workers { // real workers don't ask in step
			m.heartbeatAt = w.now.Add(tackclock.Duration(i) * 2)
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
