package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

func assertPhase(t *testing.T, w *world, id tackjob.ID, want tackjob.Phase) {
	t.Helper()
	if got := w.phase(id); got != want {
		t.Errorf("job %s is %v, want %v", id, got, want)
	}
}

func assertRuns(t *testing.T, w *world, id tackjob.ID, want int) {
	t.Helper()
	if got := w.runsOf(id); got != want {
		t.Errorf("%d items of job %s run, want %d", got, id, want)
	}
}

func TestJobRunsToItsEnd(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(30, 2, 500), batch(4, 1, 300, 0))
	w.run(4 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Guards against an item that runs twice: a leader starts items, their worker is cut off,
// and the next leader has no report of them. It must wait until the lease that the old
// one gave has ended.
func TestNewLeaderWaitsForLeases(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(6, 4, 30*tackclock.Second))
	w.run(tackclock.Second)
	assertRuns(t, w, job(1), 6)
	w.workers[0].cut = true
	w.newLeader()
	w.submit(job(2), batch(1, 1, 500))
	w.run(2 * tackclock.Second)
	// A job that this leader accepted itself need not wait.
	assertPhase(t, w, job(2), tackjob.Complete)
	if w.started[tackjob.Item{Job: job(1)}] != 1 {
		t.Error("an item was started again within the lease")
	}
	w.addWorker("m-9", 9)
	w.run(6 * tackclock.Second)
	assertRuns(t, w, job(1), 6)
}

// Guards against items that run twice: a leader's proposal of ends is rejected during a
// handover, so it is reset within its term and starts the same items elsewhere, with run
// numbers that were used before, because jobs of its own term count as never started.
func TestResetWithinTermWaitsForLeases(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(6, 4, 30*tackclock.Second))
	w.run(tackclock.Second)
	w.workers[0].cut = true
	w.d.Reset(w.now, w.term, w.inherited())
	w.addWorker("m-9", 9)
	w.run(6 * tackclock.Second)
	assertRuns(t, w, job(1), 6)
}

// Guards against work of a crashed worker that waits for the end of the lease although
// the next incarnation on its VM proves that the former one is over.
func TestNextIncarnationFreesTheFormerAtOnce(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(job(1), batch(4, 2, 10*tackclock.Second))
	w.run(tackclock.Second)
	w.workers[0].dead = true
	w.addWorker("m-0", 0)
	w.run(500)
	assertRuns(t, w, job(1), 4)
}

// Guards against items that run twice after a change of leader: a heartbeat is delayed by
// a partition, the worker crashes, and the next incarnation on its VM runs items. The new
// leader receives a heartbeat of that incarnation, then the late one, and assumes
// that the sender of the last heartbeat on a VM is its newest incarnation.
func TestLateHeartbeatOfAnEarlierIncarnationEndsNothing(t *testing.T) {
	w := newWorld(t, 1)
	w.run(2 * tackclock.Second)
	late := w.workers[0].report(w)
	w.workers[0].dead = true
	w.addWorker(w.workers[0].vm, 0)
	w.submit(job(1), batch(4, 2, 20*tackclock.Second))
	w.run(tackclock.Second)
	w.newLeader()
	w.addWorker("m-other", 1)
	w.run(5 * tackclock.Second)
	w.receive(late)
	if known, want := w.d.workersByVM["m-0"].id, w.workers[1].id; known != want {
		t.Errorf("the incarnation known on the VM is %s, want %s", known, want)
	}
	w.run(3 * tackclock.Second)
	assertRuns(t, w, job(1), 4)
}

// Guards against an item that is lost: an answer with starts is lost, and the worker's
// next heartbeat does not list them.
func TestLostAnswerIsMadeGood(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(job(1), batch(4, 2, 500))
	w.heartbeat(w.workers[0], true)
	w.run(3 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Guards against ends that are forgotten by their worker and lost with the leader: items
// end while the log commits nothing, and another VM becomes leader.
func TestEndsAreKeptUntilTheLogHasThem(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(job(1), batch(4, 2, 500))
	w.run(300)
	w.held = true
	w.run(tackclock.Second)
	if len(w.workers[0].ended) != 4 {
		t.Fatalf("%d ends are kept, want 4", len(w.workers[0].ended))
	}
	w.newLeader()
	w.held = false
	w.run(tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}

func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	w := newWorld(t, 2)
	w.run(200)
	w.workers[0].draining = true
	w.heartbeat(w.workers[0], false)
	w.submit(job(1), batch(12, 2, 500))
	w.run(400)
	if n := len(w.workers[0].runs); n != 0 {
		t.Errorf("%d items started on a worker that drains", n)
	}
}

func TestLongRunningItemsAreSpread(t *testing.T) {
	w := newWorld(t, 5)
	w.run(100)
	w.submit(job(1), longRunning(5, 1))
	w.run(tackclock.Second)
	for _, m := range w.workers {
		if len(m.runs) != 1 {
			t.Errorf("%s runs %d of 5 items over 5 workers", m.id, len(m.runs))
		}
	}
}

// Guards against jobs that fail although they could complete: a worker that fails
// everything at once always has room and so gets the next items, while its heartbeats
// look healthy.
func TestWorkerThatFailsAllGetsNothing(t *testing.T) {
	w := newWorld(t, 4)
	w.workers[0].failing = true
	for n := range 12 {
		w.submit(job(n), batch(4, 3, 800))
	}
	w.run(8 * tackclock.Second)
	for n := range 12 {
		assertPhase(t, w, job(n), tackjob.Complete)
	}
}

// Guards against a job that is late by the time for which a worker hangs: the worker's
// items make no progress, but it goes on sending heartbeats.
func TestStalledItemStartsElsewhere(t *testing.T) {
	w := newWorld(t, 3)
	w.workers[0].stalled = true
	w.submit(job(1), batch(12, 3, 600))
	w.run(4 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Guards against a job that waits for a worker that became slow, while others are idle.
func TestSlowItemStartsElsewhere(t *testing.T) {
	w := newWorld(t, 3)
	w.workers[0].slow = 8
	w.submit(job(1), batch(12, 3, 1200))
	w.run(6 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Load pattern: a burst of a queue, with estimates that are several times too low for
// some steps.
//
// Guards against jobs that wait beside workers with room, even without faults: a worker
// runs only items of one such step, and each of them counted against it, although they
// share one estimate.
func TestLowEstimateCountsAgainstNoWorker(t *testing.T) {
	w := newWorld(t, 2)
	w.actual = func(tackjob.Item, *tackjob.Step) tackclock.Duration { return 3 * tackclock.Second }
	w.submit(job(1), batch(4, 2, 400))
	w.run(2500)
	events, _ := w.d.Events()
	for _, e := range events {
		if e.Kind == EventSuspected {
			t.Errorf("worker %s suspected: %s", e.Worker, e.Reason)
		}
	}
}

// Guards against a job that waits although workers are free: idle workers leave it to a
// VM with room that is being emptied for its upkeep and still runs an item, but gets
// nothing new.
func TestEmptyWorkersDoNotLeaveWorkToOneThatIsEmptied(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(job(1), batch(1, 1, 20*tackclock.Second))
	w.run(tackclock.Second)
	w.d.NextUpkeep(w.now, newWave(w, 1, "m-0"))
	w.addWorker("m-1", 1)
	w.submit(job(2), batch(1, 1, 300))
	w.run(1500)
	assertPhase(t, w, job(2), tackjob.Complete)
}

// A gang works only once all its members run, so they are started together, under one
// number, where there is room for all.
func TestGangStartsWhole(t *testing.T) {
	gang := batch(6, 8, 500)
	gang.Gang = true
	t.Run("over several workers", func(t *testing.T) {
		w := newWorld(t, 4)
		w.run(200)
		w.submit(job(1), gang)
		w.run(400)
		assertRuns(t, w, job(1), 6)
		numbers := make(map[RunNumber]bool)
		for _, m := range w.workers {
			for _, r := range m.runs {
				numbers[r.number] = true
			}
		}
		if len(numbers) != 1 {
			t.Errorf("%d run numbers, want one", len(numbers))
		}
		w.run(2 * tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
	})
	t.Run("not in part", func(t *testing.T) {
		w := newWorld(t, 2)
		w.run(200)
		w.submit(job(1), gang)
		w.run(tackclock.Second)
		assertRuns(t, w, job(1), 0)
	})
	t.Run("again after a member is lost", func(t *testing.T) {
		w := newWorld(t, 4)
		w.run(200)
		w.submit(job(1), gang)
		w.run(300)
		for _, m := range w.workers {
			for item := range m.runs {
				w.end(m, item, EndGangBroken)
			}
		}
		w.run(4 * tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
	})
}

// A start on an advised queue needs a ticket of the advisor.
func TestAdvisedStepNeedsTicket(t *testing.T) {
	w := newWorld(t, 2)
	w.run(200)
	w.submit(job(1), batch(2, 1, 300))
	w.state.Jobs.Get(job(1)).Advised = true
	w.run(500)
	assertRuns(t, w, job(1), 0)
	request, wanted := w.d.NextAdviceRequest(w.now)
	if !wanted || len(request.Workers) != 2 {
		t.Fatalf("advice wanted %v of %v", wanted, request.Workers)
	}
	w.d.AdviceReceived(w.now, request, []Ticket{{Worker: "i-2", Text: "leave"}}, 3000, true)
	w.run(250)
	if n := len(w.workers[0].runs); n != 0 {
		t.Errorf("%d items run where they may not", n)
	}
	w.run(tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Items whose data is on a rack start there if it has room soon.
func TestItemsStartNearTheirData(t *testing.T) {
	w := newWorld(t, 8)
	w.run(200)
	near := batch(8, 2, 500)
	near.Affinity = "r-1"
	w.submit(job(1), near)
	w.run(350)
	for i, m := range w.workers {
		if n := len(m.runs); i < 4 && n > 0 {
			t.Errorf("%d items run on %s of another rack", n, m.id)
		}
	}
	w.run(2 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
}

// Guards against a job that never starts although workers are idle: they leave it to busy
// workers that have cores to spare, but not the memory or the room on a single worker
// that it needs.
func TestEmptyWorkersTakeWhatOthersCannot(t *testing.T) {
	assertDone := func(t *testing.T, step tackjob.Step) {
		t.Helper()
		w := newWorld(t, 1)
		hog := batch(1, 1, 20*tackclock.Second)
		hog.MemoryMB = 30_000
		w.submit(job(1), hog)
		w.run(300)
		w.addWorker("m-1", 1)
		w.submit(job(2), step)
		w.run(2 * tackclock.Second)
		assertPhase(t, w, job(2), tackjob.Complete)
	}
	t.Run("memory", func(t *testing.T) {
		s := batch(1, 1, 300)
		s.MemoryMB = 8000
		assertDone(t, s)
	})
	t.Run("a whole worker", func(t *testing.T) { assertDone(t, batch(1, 16, 300)) })
	t.Run("no processor at all", func(t *testing.T) {
		w := newWorld(t, 2)
		w.submit(job(1), batch(1, 0, 300))
		w.run(tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
	})
}

// Where queues share a service, the one with the lower priority value goes first.
func TestPriorityGoesFirst(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(job(1), batch(8, 4, 400))
	w.run(50)
	w.submit(job(2), batch(4, 4, 400))
	w.submit(job(3), batch(4, 4, 400))
	for _, s := range w.d.jobs[job(2)].steps {
		w.d.pool("names-api").dequeue(s)
		s.rank.Priority = 1
		w.d.enqueue(w.now, w.d.pool("names-api"), s)
	}
	w.run(1300)
	assertPhase(t, w, job(3), tackjob.Complete)
	assertPhase(t, w, job(2), tackjob.Open)
}

// Guards against workers that stay idle for a minute after a partition of a few seconds,
// beside a queue of work: a worker whose lease ran out behind the partition was treated
// as one whose incarnation is over.
func TestWorkerBackAfterItsLeaseGetsWork(t *testing.T) {
	w := newWorld(t, 1)
	m := w.workers[0]
	w.submit(job(1), batch(4, 2, 2*tackclock.Second))
	w.run(tackclock.Second)
	m.cut = true
	w.run(6 * tackclock.Second)
	late := m.report(w)
	m.cut = false
	w.run(4 * tackclock.Second)
	assertPhase(t, w, job(1), tackjob.Complete)
	t.Run("a heartbeat from before is still late", func(t *testing.T) {
		if o := w.receive(late); o.Hold != 0 {
			t.Errorf("orders %+v, want none", o)
		}
	})
}

func TestAdviceForOthersIsPassedOver(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(job(1), batch(1, 1, 500))
	r := AdviceRequest{Job: job(1), Workers: []WorkerID{"i-1"}}
	w.d.AdviceReceived(w.now, r, []Ticket{{Worker: "i-1", Text: "t"}, {Worker: "i-2", Text: "u"}}, tackclock.Second, true)
	s := w.d.stepOf(stepKey{job: job(1)})
	if len(s.advice.tickets) != 1 || s.advice.tickets["i-1"].text != "t" {
		t.Errorf("tickets %v, want that of the worker that was asked about", s.advice.tickets)
	}
}

// Guards against items that run twice at once. A worker is cut off after its first
// heartbeats, and one of them is delayed; its lease runs out, and the next incarnation on
// its VM runs items. When the partition heals, the early heartbeat arrives. A worker
// whose lease had run out could join again, and one of an incarnation's first heartbeats
// ends the incarnation before it.
func TestLateHeartbeatAfterItsLeaseEndsNothing(t *testing.T) {
	w := newWorld(t, 1)
	m := w.workers[0]
	w.heartbeat(m, false)
	late := m.report(w) // the second of its incarnation
	m.cut = true
	w.run(5 * tackclock.Second)
	m.dead = true
	next := w.addWorker(m.vm, 0)
	w.submit(job(1), batch(4, 2, 20*tackclock.Second))
	w.run(tackclock.Second)
	if o := w.receive(late); o.Hold != 0 {
		t.Errorf("orders %+v for an incarnation that is over", o)
	}
	if known := w.d.workersByVM[m.vm].id; known != next.id {
		t.Errorf("the incarnation known on the VM is %s, want %s", known, next.id)
	}
	w.addWorker("m-other", 1)
	w.run(3 * tackclock.Second)
	assertRuns(t, w, job(1), 4)
}
