package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

// Guards against a step that waits for a second run of an item whose first run ended
// behind a partition.
func TestEndBehindAPartitionCounts(t *testing.T) {
	long := 20 * tackclock.Second
	gang := batch(3, 2, long)
	gang.Gang = true
	for _, test := range []struct {
		name  string
		first tackjob.Step
	}{
		{"an item", batch(1, 2, long)},
		{"a gang", gang},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.submit(job(1), test.first, batch(2, 2, long, 0))
			w.run(tackclock.Second)
			for _, m := range w.workers {
				m.cut = true
				for item := range m.runs {
					w.end(m, item, EndDone)
				}
			}
			w.addWorker("m-8", 8)
			w.addWorker("m-9", 9)
			w.run(10 * tackclock.Second)
			assertRuns(t, w, job(1), test.first.Count)
			for _, m := range w.workers {
				m.cut = false
			}
			w.run(3 * tackclock.Second)
			assertStepRuns(t, w, job(1), 0, 0)
			assertStepRuns(t, w, job(1), 1, 2)
		})
	}
}

// assertStepRuns fails the test unless the given number of items of a step run.
func assertStepRuns(t *testing.T, w *world, id tackjob.ID, step int32, want int) {
	t.Helper()
	n := 0
	for _, m := range w.workers {
		for item := range m.runs {
			if item.Job == id && item.Step == step {
				n++
			}
		}
	}
	if n != want {
		t.Errorf("%d items of step %d run, want %d", n, step, want)
	}
}
