package tackdispatch

import (
	"errors"
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

// newStartTimeWorld returns a world whose workers report when their incarnations began,
// after their first heartbeats.
func newStartTimeWorld(t *testing.T, workers int) *world {
	w := newWorld(t, 0)
	w.sendsStartTimes = true
	for n := range workers {
		w.addWorker(tackid.VM(fmt.Sprintf("m-%d", n)), 0)
	}
	w.run(tackclock.Second)
	return w
}

func assertKnown(t *testing.T, w *world, m *modelWorker, want bool) {
	t.Helper()
	if got := w.d.Knows(m.id); got != want {
		t.Errorf("incarnation %s is known: %v, want %v", m.id, got, want)
	}
}

func TestWorkerID(t *testing.T) {
	for _, test := range []struct {
		name      string
		startedAt tackclock.Time
		want      WorkerID
	}{
		{"i-7f3a91c2", 1733203200123, "i-7f3a91c2@1733203200123"},
		{"i-7f3a91c2", 0, "i-7f3a91c2"},
		{"", 5, "@5"},
	} {
		id, ok := NewWorkerID(test.name, test.startedAt)
		if !ok || id != test.want || id.Name() != test.name || id.StartedAt() != test.startedAt {
			t.Errorf("%q started at %d has id %q, of %q started at %d", test.name, test.startedAt, id, id.Name(), id.StartedAt())
		}
	}
	if id, ok := NewWorkerID("i-1@7", 0); ok {
		t.Errorf("a name that contains the separator gives id %q", id)
	}
}

// Guards against a worker that restarts under its id and gets no work, or whose items run
// twice: it numbers its heartbeats and ends from one again, and those numbers were
// processed before. Without the start time, the id does not distinguish incarnations.
func TestWorkerStartsAgainUnderItsName(t *testing.T) {
	w := newStartTimeWorld(t, 2)
	m := w.workers[0]
	w.submit(job(1), batch(12, 2, 20*tackclock.Second))
	w.run(2 * tackclock.Second)
	assertRuns(t, w, job(1), 12)
	lost := len(m.runs)
	next := w.restart(m, 0)
	w.run(500)
	t.Run("what ran before is lost and starts again", func(t *testing.T) {
		assertKnown(t, w, m, false)
		assertKnown(t, w, next, true)
		assertRuns(t, w, job(1), 12)
		if lost == 0 || len(next.runs) == 0 {
			t.Errorf("%d items were lost, %d run in the next incarnation", lost, len(next.runs))
		}
	})
	t.Run("its ends count from one again", func(t *testing.T) {
		w.submit(job(2), batch(2, 2, 300))
		w.run(3 * tackclock.Second)
		assertPhase(t, w, job(2), tackjob.Complete)
	})
}

// Guards against an item that runs twice. Two of a worker's first heartbeats are delayed,
// it restarts under its id, and another leader knows only of the later incarnation. When
// the heartbeats of the former incarnation arrive, with their low numbers, they must not
// end the incarnation that runs.
func TestLateHeartbeatsOfAnEarlierIncarnation(t *testing.T) {
	for name, silent := range map[string]tackclock.Duration{
		"while the later incarnation reports": 0, "while it is silent": 2500, "after its lease ran out": 6000,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.sendsStartTimes = true
			m := w.addWorker("m-7", 1)
			w.delayHeartbeat(m)
			w.delayHeartbeat(m)
			w.run(200)
			next := w.restart(m, 0)
			w.newLeader()
			w.submit(job(1), batch(14, 2, 20*tackclock.Second))
			w.run(tackclock.Second)
			if len(next.runs) == 0 {
				t.Fatal("nothing runs in the later incarnation")
			}
			next.cut = silent > 0
			w.run(silent)
			w.deliverDelayed()
			assertKnown(t, w, m, false)
			next.cut = false
			w.run(3 * tackclock.Second) // the world fails the test where an item runs twice
			assertKnown(t, w, m, false)
			assertKnown(t, w, next, true)
		})
	}
}

// A worker's clock may be set back while it is down, so that a later incarnation seems to
// have begun earlier. It keeps reporting, which late heartbeats do not.
func TestLaterIncarnationWithAnEarlierStart(t *testing.T) {
	w := newStartTimeWorld(t, 1)
	m := w.workers[0]
	w.submit(job(1), batch(4, 2, 20*tackclock.Second))
	w.run(tackclock.Second)
	next := w.restart(m, tackclock.Minute)
	w.run(300)
	assertKnown(t, w, next, false)
	w.run(5 * tackclock.Second)
	assertKnown(t, w, next, true)
	assertRuns(t, w, job(1), 4)
}

// A heartbeat without a start time cannot come from a worker that sends one in others. A
// worker that sends it replaces an incarnation that was known without.
func TestHeartbeatWithoutAStart(t *testing.T) {
	w := newStartTimeWorld(t, 1)
	m := w.workers[0]
	r := m.report(w)
	r.Worker = WorkerID(m.name)
	if o, _, err := w.d.Heartbeat(w.now, r); !errors.As(err, new(*ForeignError)) || o.Hold != 0 {
		t.Errorf("answered with %+v, %v", o, err)
	}
	w.run(tackclock.Second)
	assertKnown(t, w, m, true)
	t.Run("before any with one", func(t *testing.T) {
		w.newLeader()
		phantom := m.report(w)
		phantom.Worker = WorkerID(m.name)
		w.receive(phantom)
		w.run(tackclock.Second)
		assertKnown(t, w, m, true)
		if w.d.Knows(WorkerID(m.name)) {
			t.Error("the incarnation without a start time is still known")
		}
	})
}

// Guards against an item that runs twice: a worker's goodbye is delayed, it restarts
// under its id and runs items, and then the goodbye arrives.
func TestLateGoodbye(t *testing.T) {
	w := newStartTimeWorld(t, 2)
	m := w.workers[0]
	next := w.restart(m, 0)
	w.run(500)
	w.submit(job(1), batch(14, 2, 20*tackclock.Second))
	w.run(tackclock.Second)
	t.Run("of the former incarnation", func(t *testing.T) {
		w.d.Leave(w.now, m.id)
		assertKnown(t, w, next, true)
	})
	t.Run("that does not say of which", func(t *testing.T) {
		w.d.Leave(w.now, WorkerID(m.name))
		assertKnown(t, w, next, true)
	})
	w.run(2 * tackclock.Second)
	t.Run("of a worker that drains", func(t *testing.T) {
		next.draining = true
		w.run(tackclock.Second)
		w.d.Leave(w.now, WorkerID(m.name))
		if o := w.receive(next.report(w)); o.Hold != 0 {
			t.Errorf("its lease is extended by %d ms after its goodbye", o.Hold)
		}
		next.dead = true
		w.run(leaseMost)
		assertKnown(t, w, next, false)
	})
}
