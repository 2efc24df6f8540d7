package tackfleet

import (
	"testing"

	"auburntack/core/tackid"
)

func assertPhase(t *testing.T, f *fleet, wave tackid.Wave, vm tackid.VM, want Phase) {
	t.Helper()
	w, _ := f.Wave(wave)
	if m, _ := w.Member(vm); m.Phase != want {
		t.Fatalf("wave %s has %s as %s, want %s", wave, vm, m.Phase, want)
	}
}

// Guards against a VM that stays drained after its wave was paused, stopped or
// cancelled, and against a VM that is rebooted after it was returned to
// service: w-1 is draining and w-2 is being rebooted when the wave is paused,
// and the leader's proposal to operate on w-1 is applied after that.
func TestHeldWaveGivesBack(t *testing.T) {
	tests := []struct {
		name string
		hold func(f *fleet) Result
		next Phase
	}{
		{"pause", func(f *fleet) Result { return f.do("pause wave m") }, PhaseWaiting},
		{"cancel", func(f *fleet) Result { return f.do("cancel wave m") }, PhaseSkipped},
		{"stop", func(f *fleet) Result {
			return f.apply(Change{WaveEnd: &WaveEnd{Wave: "m", Status: WaveStopped, Reason: "two lost"}})
		}, PhaseWaiting},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			f.pool("a", "w", 3)
			f.must("create wave m over pool a action reboot", "start wave m")
			assertAccepted(t, f.step("m", "w-1", "w-2"))
			assertAccepted(t, f.phase("m", "w-2", PhaseOperating))
			assertAccepted(t, test.hold(f))
			assertState(t, &f.State, "w-1", "a", VMInService)
			assertPhase(t, f, "m", "w-1", test.next)
			assertPhase(t, f, "m", "w-3", test.next)
			assertRefused(t, f.phase("m", "w-1", PhaseOperating), CodeState)
			assertRefused(t, f.step("m", "w-3"), CodeState)
			f.restart()
			assertState(t, &f.State, "w-2", "a", VMMaintenance)
			for _, phase := range []Phase{PhaseReturning, PhaseSettling, PhaseDone} {
				assertAccepted(t, f.phase("m", "w-2", phase))
			}
			assertState(t, &f.State, "w-2", "a", VMInService)
		})
	}
}

// Guards against a VM that two waves take at the same time, and against a wave
// that never finishes because it waits for a VM that has left the pool: two
// waves run over one pool and both try to take w-1, and w-2 is moved away
// before its turn.
func TestWavesShareAPool(t *testing.T) {
	f := newFleet(t)
	f.pool("a", "w", 2)
	f.must("create pool b", "create wave m over pool a action reboot", "create wave n over pool a action upgrade", "start wave m", "start wave n")
	assertAccepted(t, f.step("m", "w-1"))
	assertRefused(t, f.step("n", "w-1"), CodeInUse)
	assertRefused(t, f.do("undrain vm w-1"), CodeInUse)
	f.must("move vm w-2 to pool b")
	assertPhase(t, f, "m", "w-2", PhaseSkipped)
	f.must("create wave o over pool a action reboot", "start wave o")
	if w, _ := f.Wave("o"); len(w.VMs) != 1 {
		t.Fatalf("wave o waits for %v, want w-1 only", w.VMs)
	}
	end := Change{WaveEnd: &WaveEnd{Wave: "m", Status: WaveFinished}}
	assertRefused(t, f.apply(end), CodeState)
	assertAccepted(t, f.phase("m", "w-1", PhaseOperating))
	assertAccepted(t, f.phase("m", "w-1", PhaseFailed))
	assertState(t, &f.State, "w-1", "a", VMFailed)
	assertAccepted(t, f.apply(end))
	f.must("undrain vm w-1")
	assertAccepted(t, f.step("n", "w-1"))
}

// Guards against a task that is not idempotent and runs twice because its
// worker was lost: the task may have run to its end, so it must not be queued
// again.
func TestTaskAtMostOnce(t *testing.T) {
	f := newFleet(t)
	f.pool("a", "w", 2)
	f.must("create task once for x on pool a cores 4 memory_mb 1",
		"create task often for x on pool a cores 4 memory_mb 1 idempotent yes", "set quota x slots 0 cores 4")
	run := func(task tackid.Task, s TaskState) Result {
		return f.apply(Change{Tasks: []TaskChange{{Task: task, State: s, Worker: "w-1"}}})
	}
	assertAccepted(t, run("once", TaskRunning))
	assertRefused(t, run("often", TaskRunning), CodeQuota)
	assertRefused(t, f.do("remove vm w-1"), CodeInUse)
	f.must("create pool b", "move vm w-1 to pool b")
	assertRefused(t, f.apply(Change{Joined: []tackid.VM{"w-1"}}), CodeInUse)
	assertAccepted(t, run("once", TaskQueued))
	assertAccepted(t, f.apply(Change{Joined: []tackid.VM{"w-1"}}))
	assertRefused(t, run("often", TaskRunning), CodeState)
	f.must("move vm w-1 to pool a")
	assertAccepted(t, f.apply(Change{Joined: []tackid.VM{"w-1"}}))
	assertRefused(t, run("once", TaskRunning), CodeState)
	last := tackid.Token(0)
	for range MaxTries {
		assertAccepted(t, run("often", TaskRunning))
		if task, _ := f.Task("often"); task.Token <= last {
			t.Fatalf("token %d after %d", task.Token, last)
		}
		f.restart()
		assertAccepted(t, run("often", TaskQueued))
	}
	for id, want := range map[tackid.Task]TaskState{"once": TaskUnknown, "often": TaskSetAside} {
		if task, _ := f.Task(id); task.State != want {
			t.Fatalf("task %s is %s, want %s", id, task.State, want)
		}
	}
	f.must("cancel task often", "cancel task often")
	if n := f.CoresOf("x") + f.RunningOn("w-1"); n != 0 {
		t.Fatalf("cores and tasks still counted: %d", n)
	}
}
