package tackdispatch

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

// offer submits up to limit jobs of one step until one is refused, and returns how many
// were accepted and the refusal.
func (w *world) offer(name tackid.Workspace, first, limit int, step tackjob.Step) (int, Admission) {
	for n := range limit {
		spec := &tackjob.Spec{ID: job(first + n), Queue: testQueue.QueueKey, Steps: []tackjob.Step{step}}
		if a := w.d.Admit(w.now, &testQueue, spec, name); !a.Accepted {
			return n, a
		}
		w.submitFor(name, job(first+n), step)
	}
	return limit, Admission{}
}

// assertRefusal fails the test unless the caller is told a realistic time to retry: when
// the accepted work is done to such a degree that the cores can finish one more job in
// time.
func assertRefusal(t *testing.T, a Admission, reason string, least, most tackclock.Duration) {
	t.Helper()
	if a.Accepted || a.Reason != reason || a.RetryAfter < least || a.RetryAfter > most {
		t.Errorf("%+v, want refused as %q, to retry after %d to %d ms", a, reason, least, most)
	}
}

// Load pattern: within a second a queue submits several times what its pool can run.
func TestBurstBeyondThePoolIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, 4) // 64 cores
	w.run(200)
	const estimate = 1000 // of which 1.6 times and 3.6 s are allowed, 8.32 s at most
	n, refusal := w.offer("", 1, 100, batch(8, 2, estimate))
	if n < 25 || n > 35 { // 16 core-seconds each: 33 take 8.25 s
		t.Errorf("%d jobs accepted, want about as many as are done in time", n)
	}
	assertRefusal(t, refusal, "would end too late", 2000, 8000)
	w.run(20 * tackclock.Second)
	t.Run("and what was accepted is done", func(t *testing.T) {
		for k := range n {
			assertPhase(t, w, job(k+1), tackjob.Complete)
		}
	})
}

// Load pattern: one workspace submits ten times what its cap allows, to a pool with room.
func TestBurstBeyondACapIsRefusedAtOnce(t *testing.T) {
	w := newCapped(t, 8, 8) // 8 of 128 cores
	n, refusal := w.offer("mairies", 1, 100, batch(8, 2, 1000))
	if n < 2 || n > 4 { // 16 core-seconds take two seconds of the cap, and 5.2 s are allowed
		t.Errorf("%d jobs accepted, want as many as the cap lets through in time", n)
	}
	assertRefusal(t, refusal, "would end too late by the cap of its workspace", 500, 4000)
	t.Run("others are accepted beside it", func(t *testing.T) {
		if n, _ := w.offer("", 200, 20, batch(8, 2, 1000)); n != 20 {
			t.Errorf("%d of 20 jobs accepted", n)
		}
	})
	w.run(12 * tackclock.Second)
	t.Run("and what was accepted is done", func(t *testing.T) {
		for k := range n {
			assertPhase(t, w, job(k+1), tackjob.Complete)
		}
	})
}

// Guards against accepting a job that can never start, because its gang needs more at
// once than its workspace may have running.
func TestGangBeyondACapIsRefused(t *testing.T) {
	w := newCapped(t, 8, 20)
	gang := batch(11, 2, 1000)
	gang.Gang = true
	_, refusal := w.offer("mairies", 1, 1, gang)
	assertRefusal(t, refusal, "a gang wider than the cap of its workspace", tackclock.Minute, tackclock.Minute)
	gang.Count = 10
	if n, a := w.offer("mairies", 2, 1, gang); n != 1 {
		t.Errorf("a gang within the cap: %+v", a)
	}
	if n, _ := w.offer("mairies", 3, 1, batch(40, 1, 100)); n != 1 {
		t.Error("a step wider than the cap, whose items need not run together, is refused")
	}
	w.run(8 * tackclock.Second)
	assertPhase(t, w, job(2), tackjob.Complete)
	assertPhase(t, w, job(3), tackjob.Complete)
}

// Guards against refusals under a new leader that has a report of only one of its sixteen
// workers, while the platform lists the others.
func TestNewLeaderCountsWorkersThatHaveNotReported(t *testing.T) {
	w := newWorld(t, 16)
	w.run(200)
	w.newLeader()
	w.heartbeat(w.workers[0], false)
	if n, _ := w.offer("", 1, 40, batch(8, 2, 1000)); n > 10 {
		t.Fatalf("%d jobs accepted by the cores of one worker", n)
	}
	w.newLeader()
	w.heartbeat(w.workers[0], false)
	var list []Machine
	for _, m := range w.workers {
		list = append(list, Machine{VM: m.vm, Service: m.service, Capacity: m.capacity, Up: true})
	}
	w.d.Inventory(list)
	if n, refusal := w.offer("", 100, 40, batch(8, 2, 1000)); n < 40 {
		t.Errorf("%d jobs accepted by the cores of all, then: %+v", n, refusal)
	}
	t.Run("before it has read the list nobody is refused for it", func(t *testing.T) {
		d := New(Config{Listed: true})
		d.Reset(w.now, w.term+1, w.inherited())
		spec := &tackjob.Spec{ID: job(9999), Queue: testQueue.QueueKey, Steps: []tackjob.Step{batch(8, 2, 1000)}}
		m := w.workers[0]
		if _, _, err := d.Heartbeat(w.now, m.report(w)); err != nil {
			t.Fatal(err)
		}
		if a := d.Admit(w.now, &testQueue, spec, ""); !a.Accepted {
			t.Errorf("refused: %+v", a)
		}
		d.Inventory(list[:1])
		if a := d.Admit(w.now, &testQueue, spec, ""); a.Accepted {
			t.Error("accepted behind the work of sixteen workers, of which the list has one")
		}
	})
	w.run(8 * tackclock.Second)
	if got := w.d.poolCores(w.now, "names-api"); got != 16*16_000 {
		t.Errorf("the pool has %d millicores in the end, want those of its workers", got)
	}
}

// Guards against callers that are told to retry at the same time, and against later
// callers that wait for earlier ones which retry early, or never.
func TestRetryTimes(t *testing.T) {
	var x retryTimes
	const cores = 16_000
	spec := func(n int) *tackjob.Spec { // one second of all cores
		return &tackjob.Spec{ID: job(n), Steps: []tackjob.Step{batch(8, 2, tackclock.Second)}}
	}
	now := tackclock.Time(1_000_000)
	told := func(n int) tackclock.Duration {
		return x.assign(now, spec(n), now.Add(2*tackclock.Second), cores).Sub(now)
	}
	for _, test := range []struct {
		name string
		do   func()
		job  int
		want tackclock.Duration
	}{
		{"the first one", func() {}, 1, 2000},
		{"one after it", func() {}, 2, 3000},
		{"the same again, before its time", func() { now = now.Add(500) }, 2, 2500},
		{"one after both", func() {}, 3, 4000},
		{"after the first was accepted", func() { x.drop(job(1)) }, 4, 4000},
		{"a long queue", func() {
			for n := range 100 {
				told(10 + n)
			}
		}, 5, maxRetryAfter},
		{"after all of them stayed away", func() { now = now.Add(maxRetryAfter + 2*retryTimeKept) }, 6, 2000},
		{"and that one again, after its time", func() { now = now.Add(2001) }, 6, 2000},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.do()
			if got := told(test.job); got != test.want {
				t.Errorf("told to retry after %d ms, want %d", got, test.want)
			}
		})
	}
	x.drop(job(6))
	if x.work != 0 || len(x.byJob) != 0 {
		t.Errorf("%d of work of %d jobs remains", x.work, len(x.byJob))
	}
}

// Guards against a burst of jobs that is accepted as a whole because none of it is
// committed yet, and against proposed work that counts twice, or still counts afterwards.
func TestProposedJobsCountForAdmission(t *testing.T) {
	w := newWorld(t, 4) // 64 cores
	w.run(200)
	step := batch(8, 2, 1000) // 16 core-seconds, of which some 33 are done in time
	spec := func(n int) *tackjob.Spec {
		return &tackjob.Spec{ID: job(n), Queue: testQueue.QueueKey, Text: textOf(job(n)), Steps: []tackjob.Step{step}}
	}
	admits := func(n int) bool { return w.d.Admit(w.now, &testQueue, spec(n), "").Accepted }
	n := 1
	for ; n < 100 && admits(n); n++ {
		w.d.Proposed(&testQueue, spec(n), "")
		w.d.Proposed(&testQueue, spec(n), "") // sent again
	}
	if n < 25 || n > 35 {
		t.Errorf("%d jobs are accepted before any is committed, want about as many as are done in time", n-1)
	}
	for k := 1; k < n; k += 2 {
		w.submit(job(k), step)
	}
	if admits(200) {
		t.Error("accepted after half of them were committed")
	}
	for k := 2; k < n; k += 2 {
		w.d.Decided(job(k))
	}
	if !admits(200) {
		t.Error("refused although the other half will never be committed")
	}
	if w.d.proposed.ahead(owner{service: "names-api"}) != (workAhead{}) || len(w.d.proposals) != 0 {
		t.Errorf("%v is left of what was proposed", w.d.proposed)
	}
}
