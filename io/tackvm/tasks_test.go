package tackvm

import (
	"fmt"
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// fleetOfWorkers returns a fleet of n workers, with a task on the last.
func fleetOfWorkers(t *testing.T, n int) (*tackfleet.State, tackid.VM) {
	t.Helper()
	f := new(tackfleet.State)
	revision := tackid.Revision(0)
	apply := func(c tackfleet.Change) {
		revision++
		if r := f.Apply(revision, 1, c); r.Refused != nil {
			t.Fatal(r.Refused)
		}
	}
	do := func(text string) {
		c, err := tackcommand.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		apply(tackfleet.Change{ID: tackid.CommandID(text), Command: &c})
	}
	do("create pool p")
	var seen []tackfleet.Observation
	for i := range n {
		vm := tackid.VM(fmt.Sprintf("w-%02d", i))
		do(fmt.Sprintf("add vm %s to pool p", vm))
		seen = append(seen, tackfleet.Observation{VM: vm, Health: tackfleet.HealthServing, Cores: 4, MemoryMB: 4096})
	}
	apply(tackfleet.Change{Observe: seen})
	do("create task t for post on pool p cores 1 memory_mb 1")
	last := seen[n-1].VM
	apply(tackfleet.Change{Tasks: []tackfleet.TaskChange{{Task: "t", State: tackfleet.TaskRunning, Worker: last}}})
	return f, last
}

// Symptom: the leader spends its bytes on workers that run nothing, while
// what a task really uses is learnt late.
// Sequence: many workers, a task on one of them; the leader asks round by
// round.
// Cause: all workers are asked as often.
func TestIdleWorkersAreAskedLessOften(t *testing.T) {
	const workers, rounds = 40, 30
	f, busy := fleetOfWorkers(t, workers)
	asked := make(map[tackid.VM]int)
	tasks := tasks{asked: make(map[tackid.VM]tackclock.Time)}
	now := tackclock.Time(tackclock.Minute)
	for range rounds {
		due := tasks.due(now, f)
		if !slices.Contains(due, busy) || len(due) > 1+idleStarts {
			t.Fatalf("asked %v, want %s and at most %d others", due, busy, idleStarts)
		}
		for _, vm := range due {
			tasks.asked[vm] = now
			asked[vm]++
		}
		now = now.Add(usageEvery)
	}
	if len(asked) != workers {
		t.Errorf("%d of %d workers were ever asked", len(asked), workers)
	}
}
