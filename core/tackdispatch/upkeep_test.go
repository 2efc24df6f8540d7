package tackdispatch

import (
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackupkeep"
)

func newWave(w *world, atOnce int, vms ...tackid.VM) *tackupkeep.Wave {
	return &tackupkeep.Wave{
		Number: 1, VMs: vms, AtOnce: atOnce, Within: 30 * tackclock.Second, Accepted: w.now, Term: w.term,
	}
}

// takeDown carries out what the dispatcher chooses, and returns the VMs.
func (w *world) takeDown(wave *tackupkeep.Wave) []tackid.VM {
	chosen := w.d.NextUpkeep(w.now, wave)
	for _, vm := range chosen {
		for _, m := range w.workers {
			if m.vm == vm {
				m.dead = true
			}
		}
		w.d.UpkeepCalled(w.now, vm, true, false)
		wave.Begin(vm)
	}
	return chosen
}

func assertDown(t *testing.T, got []tackid.VM, want ...tackid.VM) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("taken down %v, want %v", got, want)
	}
}

func TestUpkeepKeepsToWhatMayBeDown(t *testing.T) {
	w := newWorld(t, 4)
	w.run(200)
	wave := newWave(w, 2, "m-0", "m-1", "m-2")
	assertDown(t, w.takeDown(wave), "m-0", "m-1")
	w.run(tackclock.Second)
	assertDown(t, w.takeDown(wave))
	w.addWorker("m-0", 0)
	w.run(200)
	assertDown(t, w.takeDown(wave), "m-2")
}

// Symptom: a wave was late. Sequence: most of its VMs were in the standby pool,
// and their upkeep was ordered first. Cause: they counted as down until a worker
// on them sent a heartbeat, which one in the standby pool never does.
func TestUpkeepOfStandbyIsOverByTime(t *testing.T) {
	w := newWorld(t, 1)
	w.d.Inventory([]Machine{{VM: "s-1", Service: "spare", Up: true}, {VM: "s-2", Service: "spare", Up: true}})
	w.run(5 * tackclock.Second)
	wave := newWave(w, 1, "s-1", "s-2")
	assertDown(t, w.takeDown(wave), "s-1")
	w.run(2 * tackclock.Second)
	assertDown(t, w.takeDown(wave))
	w.run(1500)
	assertDown(t, w.takeDown(wave), "s-2")
}

// Symptom: more VMs were down for their upkeep than may be at once. Sequence: the
// platform is out of reach, a call for a VM of the standby pool has no clear
// answer; it is made again, and the platform consents when the time of the first
// call is nearly over. Cause: the VM counted as down from the first call.
func TestUpkeepCountsFromTheLastCall(t *testing.T) {
	w := newWorld(t, 1)
	w.d.Inventory([]Machine{{VM: "s-1", Service: "spare", Up: true}, {VM: "s-2", Service: "spare", Up: true}})
	w.run(5 * tackclock.Second)
	wave := newWave(w, 1, "s-1", "s-2")
	assertDown(t, w.d.NextUpkeep(w.now, wave), "s-1")
	w.d.UpkeepCalled(w.now, "s-1", false, false)
	w.run(2500)
	assertDown(t, w.takeDown(wave), "s-1")
	w.run(2 * tackclock.Second)
	assertDown(t, w.takeDown(wave))
	w.run(1500)
	assertDown(t, w.takeDown(wave), "s-2")
}

// Symptom: items ran twice. Sequence: a leader's call took a VM down, and the
// leader was lost before the log said so; the VM came back and ran items; the
// next leader called again, and the platform said yes, since it was done. Cause:
// that consent was taken for the end of the VM's life.
func TestConsentToAnEarlierCallEndsNoLife(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(4, 6, 20*tackclock.Second))
	w.run(tackclock.Second)
	wave := newWave(w, 1, "m-0")
	w.newLeader()
	w.run(6 * tackclock.Second)
	for range 40 {
		if len(w.d.NextUpkeep(w.now, wave)) > 0 {
			w.d.UpkeepCalled(w.now, "m-0", true, false)
			wave.Begin("m-0")
		}
		w.run(200)
	}
	assertRuns(t, w, job(1), 4)
	if w.workers[0].dead || w.d.cordon["m-0"] {
		t.Error("the VM takes no work any more")
	}
}

func TestUpkeepSparesItemsThatLast(t *testing.T) {
	t.Run("one VM at a time where one may be away", func(t *testing.T) {
		w := newWorld(t, 4)
		w.run(100)
		w.submit(job(1), lasting(4, 1))
		w.run(2 * tackclock.Second)
		if got := w.takeDown(newWave(w, 4, "m-0", "m-1")); len(got) != 1 {
			t.Errorf("taken down %v, want one", got)
		}
	})
	t.Run("moves items first where a VM has too many", func(t *testing.T) {
		w := newWorld(t, 1)
		w.run(100)
		w.submit(job(1), lasting(3, 1))
		w.run(2 * tackclock.Second)
		w.addWorker("m-9", 1)
		w.run(200)
		wave := newWave(w, 1, "m-0")
		assertDown(t, w.takeDown(wave))
		for range 40 {
			w.run(200)
			if len(w.takeDown(wave)) > 0 {
				return
			}
		}
		t.Error("the VM is never free")
	})
	// Symptom: an item that lasts was never started again. Sequence: it was
	// stopped to empty its VM; the pool's only other VM was being emptied too.
	// Cause: both VMs took nothing new until the item was at work.
	t.Run("starts items again where all VMs are emptied", func(t *testing.T) {
		w := newWorld(t, 2)
		w.run(100)
		w.submit(job(1), lasting(6, 1))
		w.run(2 * tackclock.Second)
		wave := newWave(w, 2, "m-0", "m-1")
		for range 30 {
			w.d.NextUpkeep(w.now, wave)
			w.run(150)
		}
		w.d.NextUpkeep(w.now, newWave(w, 2))
		w.run(2 * tackclock.Second)
		assertRuns(t, w, job(1), 6)
	})
	// Symptom: an item was stopped while another of its step was not at work yet.
	// Sequence: the other had just been ordered on the very VM that is emptied.
	// Cause: only items on other VMs were counted as away.
	t.Run("waits for an item that begins on the same VM", func(t *testing.T) {
		w := newWorld(t, 1)
		w.run(100)
		w.submit(job(1), lasting(2, 1))
		w.run(tackclock.Second)
		m := w.workers[0]
		failed := tackjob.Item{Job: job(1), Index: 1}
		w.end(m, failed, EndFailed)
		w.run(75)
		if len(m.runs) != 2 || m.percent(w, failed) == servingPercent {
			t.Fatalf("%d items run, want 2 of which one has just begun", len(m.runs))
		}
		w.takeDown(newWave(w, 1, "m-0"))
		w.beat(m, false)
		if m.runs[tackjob.Item{Job: job(1)}].stopAt != 0 {
			t.Error("an item is stopped while the other is not at work")
		}
	})
	// Symptom: more items of a step were away than may be. Sequence: a worker
	// crashed and fell silent; before its lease was over, another VM with an
	// item of the same step was taken down. Cause: what a silent worker listed
	// last was taken for true.
	t.Run("counts a silent worker's items as away", func(t *testing.T) {
		w := newWorld(t, 4)
		w.run(100)
		w.submit(job(1), lasting(4, 1))
		w.run(2 * tackclock.Second)
		w.workers[3].dead = true
		w.run(3 * tackclock.Second)
		assertDown(t, w.takeDown(newWave(w, 1, "m-0")))
	})
}

// Symptom: items ran twice. Sequence: an upkeep was done, and writing that to
// the log failed; the VM came back and ran items; the same leader called again,
// and the platform said yes, since it was done. Cause: only calls without an
// answer made a later consent doubtful.
func TestConsentToOwnEarlierCallEndsNoLife(t *testing.T) {
	w := newWorld(t, 1)
	w.run(200)
	wave := newWave(w, 1, "m-0")
	if len(w.takeDown(wave)) != 1 {
		t.Fatal("not taken down")
	}
	wave.Begun = nil // the log does not have it
	w.addWorker("m-0", 0)
	w.addWorker("m-1", 1)
	w.submit(job(1), batch(8, 3, 40*tackclock.Second))
	for range 40 {
		if len(w.d.NextUpkeep(w.now, wave)) > 0 {
			w.d.UpkeepCalled(w.now, "m-0", true, false)
		}
		w.run(200)
	}
	assertRuns(t, w, job(1), 8)
}

// Symptom: jobs did not run for 18 s beside free workers, without faults. Sequence:
// the only worker with the label that they require is being emptied for its
// upkeep; items that last on it have nowhere else to go, so it is never taken
// down. Cause: a worker that is being emptied ran nothing new, whatever waited.
func TestItemsRunOnAWorkerThatIsBeingEmptiedRatherThanNever(t *testing.T) {
	for _, gang := range []bool{false, true} {
		w := newWorld(t, 5)
		label := w.workers[4].rack // the only one on its rack
		last := lasting(2, 1)
		last.Requires = label
		w.submit(job(1), last)
		w.run(2 * tackclock.Second)
		wave := newWave(w, 1, "m-4")
		assertDown(t, w.d.NextUpkeep(w.now, wave))
		step := batch(2, 2, 500)
		step.Requires, step.Gang = label, gang
		w.submit(job(2), step)
		w.run(4 * tackclock.Second)
		assertPhase(t, w, job(2), tackjob.Complete)
	}
}
