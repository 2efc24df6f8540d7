package main

import (
	"fmt"
	"testing"
	"time"

	"auburntack/io/tackstandin"

	. "github.com/smartystreets/goconvey/convey"
)

// startWorkers starts n workers in the pool batch.
func (s *site) startWorkers(t *testing.T, n int, tally *tackstandin.TaskTally) {
	t.Helper()
	s.do(t, "create pool batch")
	for i := range n {
		w := &tackstandin.Worker{
			Name: fmt.Sprintf("b-%d", i), DataCentre: "rennes-a", Rack: fmt.Sprint("r", i), Cores: 4, MemoryMB: 8000,
			Operators: []string{s.daemons[0].Operator, s.daemons[2].Operator},
			TaskTime:  3 * time.Second, CheckpointTime: 50 * time.Millisecond, UsageAge: time.Second, Tally: tally,
		}
		s.platform.AddWorker(w)
		must(t, w.Start())
		t.Cleanup(w.Stop)
		s.do(t, fmt.Sprintf("add vm %s to pool batch", w.Name))
	}
}

// Guards against tasks that run twice or are lost when a wave, or the loss of
// the leader, comes while they run. Forty tasks, half of them not idempotent,
// run on four workers; a wave reboots the workers, and the leader is killed
// meanwhile. A task must not be started again while its first lease is valid,
// and a VM must not be rebooted with a task on it.
func TestTasksThroughWaveAndLeader(t *testing.T) {
	var tally tackstandin.TaskTally
	s := newSite(t, 2)
	s.startWorkers(t, 4, &tally)
	const tasks = 40
	for i := range tasks {
		s.do(t, fmt.Sprintf("create task job-%02d for parish on pool batch cores 1 memory_mb 1000 minutes 1 idempotent %s",
			i, []string{"yes", "no"}[i%2]))
	}
	s.await(t, "tasks to run", func() bool { return len(s.rows(t, "show tasks where state = running")) > 8 })
	s.do(t, "create wave night over pool batch action reboot")
	s.do(t, "start wave night")
	s.await(t, "a VM in maintenance", func() bool { return len(s.rows(t, "show vms where pool = batch and state = in_service")) < 4 })
	dead, _ := s.leader(t)
	dead.Kill()
	must(t, dead.Start(waitTimeout))
	s.await(t, "every task to end", func() bool {
		return len(s.rows(t, "show tasks where state = queued"))+len(s.rows(t, "show tasks where state = running")) == 0
	})
	s.await(t, "the wave to finish", func() bool { return len(s.rows(t, "show waves where state = finished")) == 1 })
	done := len(s.rows(t, "show tasks where state = done"))
	t.Logf("%d of %d tasks done", done, tasks)
	Convey("No task has two leases or is cut, and no task that is not idempotent runs twice", t, func() {
		So(tally.OverlappingLeases(), ShouldEqual, 0)
		So(tally.Cut(), ShouldEqual, 0)
		for i := range tasks {
			name := fmt.Sprintf("job-%02d", i)
			if i%2 == 1 {
				So(tally.Starts(name), ShouldBeLessThanOrEqualTo, 1)
				continue
			}
			So(tally.Done(name), ShouldBeGreaterThanOrEqualTo, 1)
		}
	})
}
