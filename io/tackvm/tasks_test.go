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

// fleetOfWorkers returns a fleet of n workers, with a task running on the last one.
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

// With many workers and a task on only one of them, the busy worker must be polled in
// each round and the idle ones less often. If all are polled equally often, the leader
// uses its bandwidth on idle workers and learns late what a task uses.
func TestIdleWorkersArePolledLessOften(t *testing.T) {
	const workers, rounds = 40, 30
	f, busy := fleetOfWorkers(t, workers)
	polled := make(map[tackid.VM]int)
	tasks := tasks{polledAt: make(map[tackid.VM]tackclock.Time)}
	now := tackclock.Time(tackclock.Minute)
	for range rounds {
		due := tasks.dueWorkers(now, f)
		if !slices.Contains(due, busy) || len(due) > 1+maxPolledIdleWorkers {
			t.Fatalf("polled %v, want %s and at most %d others", due, busy, maxPolledIdleWorkers)
		}
		for _, vm := range due {
			tasks.polledAt[vm] = now
			polled[vm]++
		}
		now = now.Add(usagePollInterval)
	}
	if len(polled) != workers {
		t.Errorf("%d of %d workers were ever polled", len(polled), workers)
	}
}
