package tackcontrol_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
	"auburntack/core/tackwork"
	"auburntack/io/tackcontrol"
)

// worker ends each item that it is ordered to start at once.
type worker struct {
	id       tackdispatch.WorkerID
	control  *tackcontrol.Control
	sequence uint64
	ended    []tackdispatch.Ended
	number   uint64
	nextPeer tackid.Peer // the control VM that the last answer named
}

func (w *worker) heartbeat() {
	w.sequence++
	reply, err := w.control.Heartbeat(context.Background(), &tackdispatch.Report{
		Worker: w.id, VM: tackid.VM("m-" + string(w.id)), Service: "names-api", Sequence: w.sequence, Ended: w.ended,
		Capacity: tackroom.Resources{MilliCores: 4000, MemoryMB: 4000},
	})
	if err != nil {
		return
	}
	w.nextPeer = reply.NextPeer
	o := reply.Orders
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > o.Noted {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	for _, s := range o.Start {
		w.number++
		w.ended = append(w.ended, tackdispatch.Ended{Number: w.number, Item: s.Item, Run: s.Run, Kind: tackdispatch.EndDone})
	}
}

// relayed reports whether the VM to which the worker reports forwards the report.
func (w *worker) relayed() bool {
	w.sequence++
	_, err := w.control.Heartbeat(context.Background(), &tackdispatch.Report{
		Worker: w.id, VM: tackid.VM("m-" + string(w.id)), Service: "names-api", Sequence: w.sequence,
	})
	return !errors.As(err, new(*tackcontrol.NotLeaderError))
}

// Guards against an item that crashes its workers and is started again after each election.
// The fault was that only the leader that had counted the crashes knew of them. The counts,
// and the failure of the job, must be in the log.
func TestItemThatCrashesItsWorkersIsGivenUpAcrossLeaders(t *testing.T) {
	c := newRunningCluster(t)
	spec := &tackjob.Spec{Steps: []tackjob.Step{{Count: 1, Estimate: 100, Resources: tackroom.Resources{MilliCores: 500}}}}
	c.await("the job is accepted", func() bool {
		submit := &tackwork.Request{Operation: tackwork.Submit, Host: "a.example", Path: "/q/" + jobA, Spec: spec}
		return c.client.Do(context.Background(), submit).Verdict == tackwork.Done
	})
	starts := 0
	workers := [...]*crashingWorker{{vm: "m-a"}, {vm: "m-b"}, {vm: "m-c"}}
	replaced := false
	c.await("the job has failed", func() bool {
		for _, w := range workers {
			if w.crashesWhenStarted(c) {
				starts++
			}
		}
		if starts > 0 && !replaced {
			replaced = true
			leader := c.leader()
			c.stop(leader)
			c.start(leader, false)
		}
		return c.request(tackwork.Lookup, jobA).Progress == tackwork.Failed
	})
	// Two crashes of VMs that ran only this item suffice for the failure, and one crash may be
	// counted by neither leader.
	if starts < 2 || starts > 4 {
		t.Errorf("%d starts, want 2 to 4", starts)
	}
}

// crashingWorker is a worker on a VM that crashes whenever an item starts, and is then
// replaced by a new worker.
type crashingWorker struct {
	vm       tackid.VM
	number   int
	sequence uint64
}

// crashesWhenStarted sends a heartbeat and reports whether an item was started on the worker.
func (w *crashingWorker) crashesWhenStarted(c *cluster) bool {
	leader := c.leader()
	if leader == "" {
		return false
	}
	w.sequence++
	reply, err := c.running[leader].control.Heartbeat(context.Background(), &tackdispatch.Report{
		Worker: tackdispatch.WorkerID(fmt.Sprintf("i-%s-%d", w.vm, w.number)), VM: w.vm, Service: "names-api",
		Sequence: w.sequence, Capacity: tackroom.Resources{MilliCores: 4000, MemoryMB: 4000},
	})
	if err != nil || len(reply.Orders.Start) == 0 {
		return false
	}
	w.number++
	w.sequence = 0
	return true
}
