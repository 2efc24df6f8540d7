package tackplace

import (
	"fmt"
	"strings"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"

	. "github.com/smartystreets/goconvey/convey"
)

func assertState(t *testing.T, w *world, id string, want tackfleet.TaskState) {
	t.Helper()
	if got := w.task(id); got.State != want {
		t.Fatalf("%s is %s because %q, want %s", id, got.State, got.Reason, want)
	}
}

func (w *world) drainVM(vm tackid.VM) {
	w.do(tackcommand.Command{DrainVM: &tackcommand.DrainVM{VM: vm}})
}

func (w *world) runningRuns() int {
	n := 0
	for _, f := range w.workers {
		for _, r := range f.runs {
			if r.state == StateRunning {
				n++
			}
		}
	}
	return n
}

// Guards against a task that runs on two workers at the same time: a worker is
// disconnected and reported lost while its task goes on under the lease, and
// the task is assigned to another worker before the lease has run out.
func TestLostWorkerKeepsItsLease(t *testing.T) {
	w := newWorld(1, 2, 4, 4000)
	w.create("again", "a", 1, 500, tackid.ClassNormal, true)
	w.create("once", "a", 1, 500, tackid.ClassNormal, false)
	w.run(5 * tackclock.Second)
	for _, id := range []string{"again", "once"} {
		w.workers[w.task(id).Worker].disconnected = true
		w.observe(w.task(id).Worker, tackfleet.HealthLost)
	}
	first := w.task("again").Worker
	for id, f := range w.workers { // reconnect the other worker
		if id != first {
			f.disconnected = false
			w.observe(id, tackfleet.HealthServing)
		}
	}
	w.run(2 * tackclock.Minute)
	assertSound(t, w)
	assertState(t, w, "again", tackfleet.TaskRunning)
	if w.task("again").Worker == first || len(w.began["again"]) != 2 {
		t.Fatalf("the idempotent task is on %s, started %d times", w.task("again").Worker, len(w.began["again"]))
	}
}

// Guards against relying on the answer to a stop while a start may still
// arrive: the start of a task is not answered, the task is cancelled, and the
// stop is answered before the start arrives. The task would then run while its
// resources are assigned again, or run on two workers. The leader is the same,
// or a new one that does not know of the start.
func TestStopWaitsForALateStart(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader replaced %t", replaced), func(t *testing.T) {
			w := newWorld(2, 1, 4, 4000)
			w.create("x", "a", 1, 500, tackid.ClassNormal, true)
			for len(w.sent) == 0 {
				w.step()
			}
			start := w.sent[0]
			w.sent = nil
			w.answers = append(w.answers, Answer{Order: start.order})
			if replaced {
				w.replaceLeader()
			}
			w.cancel("x")
			w.run(3 * tackclock.Second)
			start.at, start.answered = w.now.Add(5*tackclock.Second), true
			w.sent = append(w.sent, start)
			for range 100 {
				w.step()
				if w.runningRuns() > 0 && w.placer.Live("w-0000") == 0 {
					t.Fatal("the task runs, but has no live lease")
				}
			}
			if n := w.runningRuns(); n != 0 || len(w.began["x"]) != 1 {
				t.Fatalf("%d tasks run, started %v", n, w.began)
			}
		})
	}
}

// Guards against a start that is sent after the end of its try was proposed, so
// that the task runs twice: the worker is lost before the start is sent, and is
// back before the proposal is applied.
func TestNoStartAfterTheEndWasProposed(t *testing.T) {
	w := newWorld(9, 2, 4, 4000)
	w.create("x", "a", 1, 500, tackid.ClassNormal, false)
	for w.task("x").State != tackfleet.TaskRunning {
		w.step()
	}
	first := w.task("x").Worker
	w.late = 1
	w.observe(first, tackfleet.HealthLost)
	w.step()
	w.observe(first, tackfleet.HealthServing)
	w.step()
	w.late = 0
	w.run(10 * tackclock.Second)
	assertSound(t, w)
	assertState(t, w, "x", tackfleet.TaskRunning)
}

// Guards against a worker that gets more tasks than fit into its memory:
// proposed assignments take long to be applied, more urgent tasks are created
// meanwhile, and the resources of the proposals count as free.
func TestProposedAssignmentsCount(t *testing.T) {
	w := newWorld(10, 1, 8, 4000)
	w.late = 1
	for _, class := range []tackid.Class{tackid.ClassBatch, tackid.ClassNormal, tackid.ClassUrgent} {
		w.create(class.String(), "a", 1, 3000, class, true)
		w.step()
	}
	w.late = 0
	w.run(5 * tackclock.Second)
	assertSound(t, w)
}

// Guards against a worker that runs out of memory, a VM that is rebooted while
// a task runs, and a leader that sends too many stops, after a thousand tasks
// are cancelled at once and workers answer late. The fleet's counts do not
// include a cancelled task, although its worker still runs it.
func TestCancellationsHoldTheirRoom(t *testing.T) {
	w := newWorld(3, 130, 8, 8000)
	for i := range 1000 {
		w.create(fmt.Sprintf("a-%04d", i), "a", 1, 900, tackid.ClassNormal, true)
	}
	w.run(10 * tackclock.Second)
	ran := w.runningRuns()
	w.cfg.MaxStarts = 2000
	for i := range 1000 {
		w.cancel(fmt.Sprintf("a-%04d", i))
		w.create(fmt.Sprintf("b-%04d", i), "b", 1, 900, tackid.ClassNormal, true)
	}
	w.loss = 0.5
	w.step()
	if w.placer.Live("w-0000") == 0 {
		t.Fatal("a worker with cancelled tasks that still run counts as free")
	}
	w.loss = 0
	w.run(30 * tackclock.Second)
	assertSound(t, w)
	if stops := w.orders[VerbStop]; ran < 1000 || stops > 2*ran {
		t.Fatalf("%d stops for %d running tasks", stops, ran)
	}
}

// Guards against one of ten workers causing every task of the pool to be set
// aside within a minute: everything that it starts fails at once, so it always
// has the most room.
func TestFailingWorkerIsAvoided(t *testing.T) {
	w := newWorld(4, 10, 8, 8000)
	bad := w.workers["w-0003"]
	bad.fails = true
	w.actual = func(o *Order) (float64, float64, tackclock.Duration) { return 1, 500, tackclock.Minute }
	for i := range 400 {
		w.create(fmt.Sprintf("x-%03d", i), "a", 1, 900, tackid.ClassNormal, true)
	}
	w.run(10 * tackclock.Minute)
	Convey("It gets only a few tasks and probes, and all tasks end on other workers", t, func() {
		for i := range 400 {
			So(w.task(fmt.Sprintf("x-%03d", i)).State, ShouldEqual, tackfleet.TaskDone)
		}
		So(bad.starts, ShouldBeLessThan, 15)
	})
	Convey("After a successful probe it is not avoided any more", t, func() {
		bad.fails = false
		w.actual = func(o *Order) (float64, float64, tackclock.Duration) { return 1, 500, 10 * tackclock.Minute }
		w.create("again", "a", 1, 900, tackid.ClassNormal, true)
		for i := range 300 {
			w.create(fmt.Sprintf("y-%03d", i), "a", 1, 900, tackid.ClassNormal, true)
		}
		before := bad.starts
		w.run(40 * tackclock.Minute)
		So(bad.starts, ShouldBeGreaterThan, before)
		So(w.placer.failures["w-0003"], ShouldBeNil)
	})
}

// Guards against a worker that stays idle for half an hour after a restart,
// because each of the eight tasks that it lost counts as a failure of its own.
func TestRestartedWorkerGetsWork(t *testing.T) {
	w := newWorld(13, 2, 8, 8000)
	for i := range 200 {
		w.create(fmt.Sprintf("x-%03d", i), "a", 1, 900, tackid.ClassNormal, true)
	}
	w.run(30 * tackclock.Second)
	f := w.workers["w-0001"]
	before := f.starts
	clear(f.runs)
	w.run(15 * tackclock.Second)
	if f.starts < before+6 {
		t.Fatalf("%d starts before the restart, %d after", before, f.starts-before)
	}
}

// Guards against a task that waits forever because it needs more memory than
// the largest worker has, and a task that is retried forever because it fails
// on every worker.
func TestWhatCanNeverRunIsSetAside(t *testing.T) {
	w := newWorld(5, 6, 8, 8000)
	w.create("large", "a", 1, 9000, tackid.ClassNormal, true)
	w.create("broken", "a", 1, 100, tackid.ClassNormal, true)
	for _, f := range w.workers {
		f.fails = true
	}
	w.run(2 * tackclock.Minute)
	assertState(t, w, "large", tackfleet.TaskSetAside)
	assertState(t, w, "broken", tackfleet.TaskSetAside)
	if reason := w.task("large").Reason; !strings.Contains(reason, "9000 MB") {
		t.Fatalf("reason %q", reason)
	}
}

// Guards against a drain that treats all tasks alike, and so waits an hour for
// batch work, interrupts it, or runs a task twice that is not idempotent. The
// worker has a task that ends soon, a long one, and one that is not idempotent.
func TestDrainLetsMovesOrWaits(t *testing.T) {
	w := newWorld(6, 1, 8, 8000)
	w.create("soon", "a", 1, 500, tackid.ClassNormal, true)
	w.run(9 * tackclock.Minute)
	w.create("long", "a", 1, 500, tackid.ClassNormal, true)
	w.create("once", "a", 1, 500, tackid.ClassNormal, false)
	w.run(10 * tackclock.Second)
	w.drainVM("w-0000")
	w.run(10 * tackclock.Second)
	assertState(t, w, "soon", tackfleet.TaskRunning)
	assertState(t, w, "once", tackfleet.TaskRunning)
	assertState(t, w, "long", tackfleet.TaskQueued)
	if x := w.task("long"); !x.Checkpointed || x.Tries != 0 {
		t.Fatalf("checkpointed %t after %d tries", x.Checkpointed, x.Tries)
	}
	w.run(12 * tackclock.Minute)
	assertState(t, w, "soon", tackfleet.TaskDone)
	assertState(t, w, "once", tackfleet.TaskDone)
	if n := w.placer.Live("w-0000"); n != 0 {
		t.Fatalf("%d leases left on the drained worker", n)
	}
}

// Guards against an urgent task that waits for hours because batch tasks fill
// the memory or the cores of every worker.
func TestBatchGivesWay(t *testing.T) {
	for _, c := range []struct {
		name          string
		cores, memory int
		verb          Verb
	}{
		{"cores", 4, 100, VerbThrottle},
		{"memory", 1, 3800, VerbStop},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(11, 4, 4, 4000)
			for i := range 8 {
				w.create(fmt.Sprint("batch-", i), "a", c.cores, c.memory, tackid.ClassBatch, true)
			}
			w.run(5 * tackclock.Second)
			w.create("urgent", "b", 2, 2000, tackid.ClassUrgent, false)
			w.run(2300)
			if len(w.began["urgent"]) != 1 || w.orders[c.verb] != 1 {
				t.Fatalf("started %v, orders %v", w.began["urgent"], w.orders)
			}
			w.run(30 * tackclock.Minute)
			for i := range 8 {
				assertState(t, w, fmt.Sprint("batch-", i), tackfleet.TaskDone)
			}
		})
	}
}

// Guards against workers that run out of memory and kill their tasks because
// only the declared memory is set aside: a team declares half of what its
// tasks use, and usage reports lag by 5 s.
func TestDeclaredTooLittle(t *testing.T) {
	w := newWorld(7, 4, 16, 16000)
	w.actual = func(o *Order) (float64, float64, tackclock.Duration) { return 1, 2000, 3 * tackclock.Minute }
	for i := range 200 {
		w.create(fmt.Sprintf("x-%03d", i), "a", 1, 1000, tackid.ClassBatch, true)
	}
	over := tackclock.Duration(0)
	for range 9000 {
		w.step()
		if w.now.Sub(tackclock.Time(tackclock.Day)) < 30*tackclock.Second {
			continue
		}
		for _, f := range w.workers {
			used := 0.0
			for _, r := range f.runs {
				if r.state == StateRunning {
					used += r.memory
				}
			}
			if used > 16000 {
				over += testTick
			}
		}
	}
	if over > 0 {
		t.Fatalf("memory was overcommitted for %v after the first half minute", over)
	}
}

// Guards against a change about one try that ends the next one: the end of the
// first try is proposed twice, and the second proposal is applied after the
// task was assigned to another worker. The task would then run a third time
// while the second try still runs. The token in the change prevents this.
func TestChangeOfAnEarlierTry(t *testing.T) {
	w := newWorld(8, 2, 4, 4000)
	w.create("x", "a", 1, 500, tackid.ClassNormal, true)
	w.run(2 * tackclock.Second)
	end := tackfleet.TaskChange{Task: "x", State: tackfleet.TaskQueued, Token: w.task("x").Token}
	w.apply(tackfleet.Change{Tasks: []tackfleet.TaskChange{end}})
	w.run(2 * tackclock.Second)
	if again := w.apply(tackfleet.Change{Tasks: []tackfleet.TaskChange{end}}); again.Refused == nil {
		t.Fatal("the end of the first try was applied to the second")
	}
	assertState(t, w, "x", tackfleet.TaskRunning)
}

// Guards against one team's backlog delaying the other teams, and against the
// loss of a rack stopping all of a team's work, as with
// first-come-first-served placement on the first worker with room. One team
// queues 400 tasks, then two others queue 100 each, one of them with a quota.
func TestTeamsShareAndSpread(t *testing.T) {
	w := newWorld(12, 16, 8, 64_000)
	w.do(tackcommand.Command{SetQuota: &tackcommand.SetQuota{Team: "b", Cores: 20}})
	for i := range 600 {
		w.create(fmt.Sprintf("x-%03d", i), []string{"a", "a", "a", "a", "b", "c"}[i/100], 1, 500, tackid.ClassNormal, true)
	}
	w.run(5 * tackclock.Second)
	racks := make(map[tackid.Rack]int)
	for id, f := range w.workers {
		vm, _ := w.fleet.VM(id)
		for task := range f.runs {
			if w.task(string(task)).Team == "c" {
				racks[vm.Rack]++
			}
		}
	}
	a, b, c := w.fleet.CoresOf("a"), w.fleet.CoresOf("b"), w.fleet.CoresOf("c")
	if a+b+c != 128 || b != 20 || a-c > 1 || c-a > 1 {
		t.Fatalf("cores %d, %d and %d", a, b, c)
	}
	for rack, n := range racks {
		if n < c/4-2 || n > c/4+2 {
			t.Fatalf("%d of %d tasks on rack %s", n, c, rack)
		}
	}
}

// Guards against a task that crashes every worker of a pool, one after the
// other, as items of jobs once did. A try is in the log before the worker is
// asked to start the task, so crashes need no special handling: the task is
// set aside after its last try, or becomes unknown after its first one if it
// is not idempotent. Other tasks go on.
func TestTaskThatCrashesItsWorkersIsSetAside(t *testing.T) {
	w := newWorld(7, 6, 8, 8000)
	w.create("crasher", "a", 1, 100, tackid.ClassNormal, true)
	w.create("once", "a", 1, 100, tackid.ClassNormal, false)
	w.create("sound", "a", 1, 100, tackid.ClassNormal, true)
	crashers := []tackid.Task{"crasher", "once"}
	crashed := make(map[tackid.VM]tackclock.Time)
	for range 6000 {
		w.step()
		for vm, f := range w.workers {
			for _, id := range crashers {
				if r := f.runs[id]; r != nil && r.state == StateRunning {
					clear(f.runs)
					w.observe(vm, tackfleet.HealthLost)
					crashed[vm] = w.now
				}
			}
			if at, ok := crashed[vm]; ok && w.now.Sub(at) > 3*tackclock.Second {
				delete(crashed, vm)
				w.observe(vm, tackfleet.HealthServing)
			}
		}
	}
	assertSound(t, w)
	assertState(t, w, "crasher", tackfleet.TaskSetAside)
	assertState(t, w, "once", tackfleet.TaskUnknown)
	if n := len(w.began["crasher"]); n > 5 {
		t.Errorf("%d starts, want five at most", n)
	}
	if got := w.task("sound"); got.State == tackfleet.TaskSetAside {
		t.Errorf("sound is %s because %q", got.State, got.Reason)
	}
}
