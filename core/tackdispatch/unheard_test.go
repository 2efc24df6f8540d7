package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackwork"
	"auburntack/core/tackworkspace"
)

func assertStarts(t *testing.T, w *world, item tackjob.Item, want int) {
	t.Helper()
	if got := w.started[item]; got != want {
		t.Errorf("%v was started %d times, want %d", item, got, want)
	}
}

// runningOn returns the worker that runs the item.
func (w *world) runningOn(item tackjob.Item) *modelWorker {
	w.t.Helper()
	for _, m := range w.workers {
		if m.runs[item] != nil {
			return m
		}
	}
	w.t.Fatalf("%v does not run", item)
	return nil
}

// Guards against an item that is started again after it has ended: the leader refuses
// heartbeats while its lease is out and takes that for the worker's silence.
func TestEndInARefusedHeartbeatCounts(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 2*tackclock.Second))
	w.run(tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	w.runningOn(item).refused = true
	w.run(8 * tackclock.Second)
	assertStarts(t, w, item, 1)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Guards against an item that never starts again although its run was killed when the lease
// of a worker ended whose heartbeats are refused.
func TestRunThatLapsesUnderRefusalsStartsAgain(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 20*tackclock.Second))
	w.run(tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	w.runningOn(item).refused = true
	w.run(8 * tackclock.Second)
	assertStarts(t, w, item, 2)
	assertRuns(t, w, job(1), 1)
}

// Guards against an item that is started again after it has ended: the leader's process
// stalls, and its next tick comes before it reads the heartbeats of that time.
func TestStalledLeaderListensBeforeLeasesEnd(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 2*tackclock.Second))
	w.run(tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	ran := w.runningOn(item)
	w.stall(4 * tackclock.Second)
	for range 8 { // the other worker's heartbeats are read first
		w.now = w.now.Add(worldStep)
		w.d.Tick(w.now)
		for _, m := range w.workers {
			if m != ran {
				w.heartbeat(m, false)
			}
		}
	}
	w.deliverDelayed()
	w.run(4 * tackclock.Second)
	assertStarts(t, w, item, 1)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Guards against an item that is started again after it has ended, and against a run that is
// stopped without cause: the clock of a new leader is behind that of the one before, so that
// an occurrence which has begun is not due yet.
func TestOccurrenceThatAnEarlierLeaderBegan(t *testing.T) {
	w := newWorld(t, 1)
	spec := &tackjob.Spec{
		ID: job(1), Queue: testQueue.QueueKey, Text: textOf(job(1)), Steps: []tackjob.Step{batch(2, 2, tackclock.Second)},
		Repeats: 1, First: w.now.Add(tackclock.Second), Interval: tackclock.Second,
	}
	w.apply(tackwork.Change{Submit: spec, Key: tackworkspace.FingerprintOf("")})
	w.run(1500)
	m := w.workers[0]
	ended, running := tackjob.Item{Job: job(1)}, tackjob.Item{Job: job(1), Index: 1}
	w.end(m, ended, EndDone)
	behind := spec.First - 500
	d := New(w.cfg)
	d.Reset(behind, w.term+1, w.inherited())
	o, finished, err := d.Heartbeat(behind, m.report(w))
	if err != nil {
		t.Fatal(err)
	}
	if len(finished) != 1 || o.Noted != 0 {
		t.Errorf("%d ends are for the log and the worker may forget up to %d, want 1 and 0", len(finished), o.Noted)
	}
	if len(o.Stop) != 0 {
		t.Errorf("stops %v, want none", o.Stop)
	}
	if r := d.running[running]; r == nil {
		t.Errorf("the run of %v was not taken over", running)
	}
}

// Guards against an item that runs twice at one time: a new leader takes over a run from a
// heartbeat that was held up, stops the later run that has replaced it, and starts the item
// once more while that one is being stopped.
func TestLaterRunReplacesOneFromALateHeartbeat(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 30*tackclock.Second))
	w.run(2 * tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	first := w.runningOn(item)
	late := w.delayHeartbeat(first)
	first.cut = true
	w.run(6 * tackclock.Second)
	second := w.runningOn(item)
	w.newLeader()
	w.receive(late)
	w.heartbeat(second, false)
	first.cut = false
	w.run(6 * tackclock.Second)
	assertStarts(t, w, item, 2)
	if on := w.runningOn(item); on != second {
		t.Errorf("the item runs on %s, want %s", on.id, second.id)
	}
}

// Guards against an item that is started again after it has ended: its next start is planned
// and waits for its worker's heartbeat when the end of the run before is listed, and the log
// does not hold that end yet.
func TestEndCancelsAPlannedStart(t *testing.T) {
	for _, kind := range []EndKind{EndDone, EndFailed} {
		t.Run(kind.String(), func(t *testing.T) {
			w := newWorld(t, 2)
			w.submit(job(1), batch(1, 2, 2*tackclock.Second))
			w.run(tackclock.Second)
			item := tackjob.Item{Job: job(1)}
			first := w.runningOn(item)
			if kind == EndFailed {
				w.end(first, item, EndFailed)
			}
			first.cut = true
			planned := func() *run { return w.d.running[item] }
			for range 400 {
				if w.step(); planned() != nil && planned().sentIn == notSent {
					break
				}
			}
			if planned() == nil || planned().sentIn != notSent {
				t.Fatal("no start is planned")
			}
			second := planned().worker
			w.held = true
			first.cut = false
			w.heartbeat(first, false)
			for _, m := range w.workers {
				if m.id == second.id {
					w.heartbeat(m, false)
				}
			}
			assertStarts(t, w, item, 1)
			w.release()
			w.run(6 * tackclock.Second)
			assertPhase(t, w, job(1), tackjob.Complete)
		})
	}
}

// Guards against an item that is started more often than its attempts allow: its worker is
// given up, and the failure that it reports later was not counted beside the next run.
func TestFailureOfARunThatWasGivenUpCounts(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 30*tackclock.Second))
	w.run(tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	first := w.runningOn(item)
	first.cut = true
	w.end(first, item, EndFailed)
	w.run(8 * tackclock.Second)
	assertRuns(t, w, job(1), 1)
	first.cut = false
	w.run(2 * tackclock.Second)
	if got := w.state.Jobs.Get(job(1)).Failures(item); got != 1 {
		t.Errorf("%d failures are recorded, want 1", got)
	}
	assertRuns(t, w, job(1), 1)
}

// Guards against a run that is stopped without cause: a new leader takes over a run from a
// heartbeat that was held up, and the same worker lists the later run that has replaced it.
func TestLaterRunOnTheSameWorkerReplacesOneFromALateHeartbeat(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(job(1), batch(1, 2, 30*tackclock.Second))
	w.run(2 * tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	m := w.workers[0]
	late := w.delayHeartbeat(m)
	w.end(m, item, EndFailed)
	w.run(2 * tackclock.Second)
	if w.runningOn(item); w.started[item] != 2 {
		t.Fatalf("%d starts, want 2", w.started[item])
	}
	w.newLeader()
	w.receive(late)
	w.heartbeat(m, false)
	w.run(6 * tackclock.Second)
	assertStarts(t, w, item, 2)
}

// Guards against items that start long before their time: one item of an occurrence that an
// earlier leader began, by a clock that was ahead, opens it for all others.
func TestItemsOfAnOccurrenceBegunEarlyWaitForItsTime(t *testing.T) {
	w := newWorld(t, 1)
	w.workers[0].capacity.MilliCores = 4000
	spec := &tackjob.Spec{
		ID: job(1), Queue: testQueue.QueueKey, Text: textOf(job(1)), Steps: []tackjob.Step{batch(4, 2, 20*tackclock.Second)},
		Repeats: 1, First: w.now.Add(tackclock.Second), Interval: tackclock.Second,
	}
	w.apply(tackwork.Change{Submit: spec, Key: tackworkspace.FingerprintOf("")})
	w.run(1500)
	m := w.workers[0]
	if len(m.runs) != 2 {
		t.Fatalf("%d items run, want 2", len(m.runs))
	}
	behind := spec.First.Add(-9 * tackclock.Second)
	d := New(w.cfg)
	d.Reset(behind, w.term+1, w.inherited())
	if _, _, err := d.Heartbeat(behind, m.report(w)); err != nil {
		t.Fatal(err)
	}
	m.capacity.MilliCores = 16000
	now := behind
	for now < spec.First.Add(-2*tackclock.Second) {
		now = now.Add(200)
		d.Tick(now)
		o, _, err := d.Heartbeat(now, m.report(w))
		if err != nil {
			t.Fatal(err)
		}
		if len(o.Start) > 0 {
			t.Fatalf("%d items start %d ms before their time", len(o.Start), spec.First.Sub(now))
		}
	}
}

// Guards against an item that is started again after it has ended: a new leader stalls over
// the end of earlier leases, and a heartbeat that is read before its next tick gets the item.
func TestStalledNewLeaderListensBeforeItsFirstTick(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 2*tackclock.Second))
	w.run(tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	ran := w.runningOn(item)
	w.newLeader()
	w.stall(4 * tackclock.Second)
	for range 8 {
		for _, m := range w.workers {
			if m != ran {
				w.heartbeat(m, false) // read first
			}
		}
		w.now = w.now.Add(worldStep)
		w.d.Tick(w.now)
	}
	w.deliverDelayed()
	w.run(4 * tackclock.Second)
	assertStarts(t, w, item, 1)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Guards against items that run twice: after a stall of the leader a heartbeat that was held
// up replaces the incarnation that runs, since that one seems silent.
func TestStallDoesNotMakeALateIncarnationReplaceTheRunningOne(t *testing.T) {
	w := newWorld(t, 1)
	w.run(2 * tackclock.Second)
	former := w.workers[0]
	for former.sequence <= maxFirstSequence {
		former.report(w)
	}
	late := former.report(w)
	former.dead = true
	w.newLeader()
	next := w.addWorker(former.vm, 0)
	w.run(4 * tackclock.Second) // earlier leases have ended
	w.submit(job(1), batch(2, 2, 20*tackclock.Second))
	w.run(2 * tackclock.Second)
	if len(next.runs) != 2 {
		t.Fatalf("%d items run, want 2", len(next.runs))
	}
	other := w.addWorker("m-other", 1)
	w.heartbeat(other, false)
	w.stall(1500 * tackclock.Millisecond)
	w.receive(late) // read first
	w.deliverDelayed()
	w.run(2 * tackclock.Second) // the world fails the test where an item runs twice
	assertStarts(t, w, tackjob.Item{Job: job(1)}, 1)
	assertKnown(t, w, next, true)
}

// Guards against items that last and stay away for longer than six seconds after a crash: a
// leader whose ticks are always a little late reads all heartbeats, and counts each tick as the
// end of a stall.
func TestLateTicksDoNotPutOffRestarts(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), longRunning(2, 1))
	w.run(3 * tackclock.Second)
	m := w.runningOn(tackjob.Item{Job: job(1)})
	m.dead = true
	crashed := w.now
	for w.d.Knows(m.id) {
		for range 12 { // 300 ms
			w.now = w.now.Add(worldStep)
			for _, o := range w.workers {
				w.work(o)
				if !o.dead && w.now >= o.heartbeatAt {
					w.heartbeat(o, false)
				}
			}
		}
		w.d.Tick(w.now)
		w.collect()
		w.release()
	}
	if away := w.now.Sub(crashed); away > 6*tackclock.Second {
		t.Errorf("the worker counts as lost %d ms after its crash, want 6000 at most", away)
	}
}

// Guards against a report that was overtaken by a refused one and is taken for a later one
// after the lease of its worker has ended.
func TestReportOvertakenByARefusedOneIsOutdatedAfterTheLease(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 2, 30*tackclock.Second))
	w.run(tackclock.Second)
	item := tackjob.Item{Job: job(1)}
	m := w.runningOn(item)
	late := m.report(w)
	w.d.Refused(w.now, m.report(w))
	m.dead = true
	for w.d.Knows(m.id) {
		w.run(worldStep)
	}
	w.receive(late)
	assertKnown(t, w, m, false)
}
