package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
	"auburntack/core/tackwork"
)

func caps(cores int) map[tackid.Workspace]tackroom.Resources {
	return map[tackid.Workspace]tackroom.Resources{"mairies": {MilliCores: 1000 * cores}}
}

func assertRunning(t *testing.T, w *world, cores int) {
	t.Helper()
	if got := w.runningOf("mairies").MilliCores; got != 1000*cores {
		t.Errorf("%d millicores are in use, want %d cores", got, cores)
	}
}

// newCapped returns a world in which a workspace has a cap, after the end of all leases
// that earlier leaders may have given.
func newCapped(t *testing.T, workers, cores int) *world {
	w := newWorld(t, workers)
	w.putCaps(caps(cores))
	w.run(5 * tackclock.Second)
	return w
}

// Guards against a workspace with more running than its cap: it submits more than that at
// once, to workers with room for all.
func TestCapHolds(t *testing.T) {
	w := newCapped(t, 6, 20)
	w.submitFor("mairies", job(1), batch(30, 2, 3000))
	w.submit(job(2), batch(10, 2, 3000))
	w.run(tackclock.Second)
	assertRunning(t, w, 20)
	assertRuns(t, w, job(2), 10)
	t.Run("and what waits goes on by it", func(t *testing.T) {
		w.run(10 * tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
	})
}

func TestCapLowered(t *testing.T) {
	w := newCapped(t, 6, 40)
	w.submitFor("mairies", job(1), batch(30, 2, 4000))
	w.run(tackclock.Second)
	assertRunning(t, w, 40)
	w.putCaps(caps(10))
	t.Run("harms nothing that runs", func(t *testing.T) {
		w.run(tackclock.Second)
		assertRunning(t, w, 40)
	})
	t.Run("lets no more start until less runs", func(t *testing.T) {
		w.run(4 * tackclock.Second)
		assertRunning(t, w, 10)
	})
	t.Run("and raised lets more start at once", func(t *testing.T) {
		w.putCaps(caps(30))
		w.run(500)
		assertRunning(t, w, 20) // all that is left
	})
}

// Guards against a planned start that is sent although its workspace's cap was lowered
// since: a gang's member waits for its worker's next heartbeat.
func TestPlannedStartKeepsALoweredCap(t *testing.T) {
	w := newCapped(t, 3, 10)
	w.submitFor("mairies", job(1), tackjob.Step{
		Count: 2, Gang: true, MaxPerWorker: 1, Resources: tackroom.Resources{MilliCores: 4000}, Estimate: 2000,
	})
	for range 40 {
		w.now = w.now.Add(25)
		w.d.Tick(w.now)
		m := w.workers[0]
		before := len(w.d.running)
		if w.heartbeat(m, false); len(w.d.running) > before {
			break
		}
	}
	if planned, sent := len(w.d.running), w.runsOf(job(1)); planned != 2 || sent != 1 {
		t.Fatalf("%d members planned and %d sent, want 2 and 1", planned, sent)
	}
	w.putCaps(caps(4))
	w.run(500)
	if got := w.runsOf(job(1)); got == 2 {
		t.Errorf("the gang runs on %v of 4 cores", w.runningOf("mairies"))
	}
}

// Guards against a workspace that exceeds its cap under the next leader, or of which
// nothing starts for the duration of a lease. A leader is lost while the workspace uses a
// part of its cap, and a job is submitted to the next one, which has no reports yet.
func TestNextLeaderKeepsTheCap(t *testing.T) {
	w := newCapped(t, 6, 40)
	w.submitFor("mairies", job(1), batch(8, 2, 20*tackclock.Second))
	w.run(1500)
	assertRunning(t, w, 16)
	for _, m := range w.workers[:3] {
		m.cut = true
	}
	w.newLeader()
	w.submitFor("mairies", job(2), batch(20, 2, 20*tackclock.Second))
	w.run(500)
	if got := w.runningOf("mairies").MilliCores; got <= 16_000 || got > 40_000 {
		t.Errorf("%d millicores are in use, want more than 16 cores and no more than 40", got)
	}
	w.run(8 * tackclock.Second)
	for _, m := range w.workers[:3] {
		m.cut = false
	}
	w.run(3 * tackclock.Second)
	assertRunning(t, w, 40)
}

// A run that must stop counts against the cap until its worker has listed its end.
func TestWhatIsStoppedCounts(t *testing.T) {
	w := newCapped(t, 4, 10)
	w.submitFor("mairies", job(1), batch(5, 2, 20*tackclock.Second))
	w.run(tackclock.Second)
	assertRunning(t, w, 10)
	w.apply(tackwork.Change{Cancel: job(1)})
	w.submitFor("mairies", job(2), batch(5, 2, 20*tackclock.Second))
	w.run(2 * tackclock.Second) // the world checks the cap at each start
	assertRuns(t, w, job(2), 5)
}

// An item that is larger than the cap still runs, by itself.
func TestItemBeyondTheCapRunsAlone(t *testing.T) {
	w := newCapped(t, 4, 3)
	w.submitFor("mairies", job(1), batch(3, 4, 500))
	w.run(6 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}
