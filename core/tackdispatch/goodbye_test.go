package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
)

// Guards against items that run twice: a goodbye gets no ack, and its worker works on.
func TestGoodbyeWithoutAckStartsNothingTwice(t *testing.T) {
	for name, cut := range map[string]bool{"cut off": true, "still heard": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.submit(job(1), longRunning(2, 1))
			w.submit(job(2), batch(4, 2, 20*tackclock.Second))
			w.run(tackclock.Second)
			m := w.workers[0]
			if len(m.runs) == 0 {
				t.Fatal("nothing runs on the worker that leaves")
			}
			m.draining = true
			w.run(2 * tackclock.Second)
			w.d.Leave(w.now, m.id)
			m.cut = cut
			w.run(6 * tackclock.Second) // the world fails the test where an item runs twice
			m.dead = true
			w.run(tackclock.Second)
			assertRuns(t, w, job(1), 2)
			assertRuns(t, w, job(2), 4)
		})
	}
}
