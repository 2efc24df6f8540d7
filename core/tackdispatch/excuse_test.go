package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

// Guards against an excused start that leaves no trace in the log, so that an item could be
// started without limit while VMs are ordered around, or that is noted as a crash.
func TestExcusedStartIsCountedAndNoted(t *testing.T) {
	ordered := func(tackclock.Time, tackid.VM) bool { return true }
	for name, test := range map[string]struct {
		orderedAfter tackclock.Duration // since the worker's last report
	}{
		"the order is known before the worker falls silent": {0},
		"the order is known after its runs are in doubt":    {1500},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			item := tackjob.Item{Job: job(1)}
			w.submit(job(1), batch(1, 2, 800))
			for w.started[item] == 0 {
				w.step()
			}
			w.workers[0].dead = true
			w.run(test.orderedAfter)
			w.d.SetOrderedBefore(ordered)
			w.run(2 * tackclock.Second)
			w.addWorker("m-0", 0)
			w.step()
			assertExcused(t, w, item)
		})
	}
}

func assertExcused(t *testing.T, w *world, item tackjob.Item) {
	t.Helper()
	excused, suspected := 0, 0
	events, _ := w.d.Events()
	for _, e := range events {
		switch e.Kind {
		case EventCrashExcused:
			excused++
		case EventItemSuspected:
			suspected++
		}
	}
	if excused != 1 || suspected != 0 {
		t.Errorf("%d crashes are noted as excused and %d items as suspected, want 1 and 0", excused, suspected)
	}
	crashes := w.state.Jobs.Get(item.Job).CrashesUnder(item).Crashes
	if len(crashes) != 1 || !crashes[0].Excused || crashes[0].Alone {
		t.Errorf("the log holds %+v, want one crash that is excused", crashes)
	}
}
