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

// worker runs what it is ordered and ends it at once.
type worker struct {
	id       tackdispatch.WorkerID
	control  *tackcontrol.Control
	sequence uint64
	ended    []tackdispatch.Ended
	number   uint64
	ask      tackid.Peer // whom the last answer names
}

func (w *worker) beat() {
	w.sequence++
	reply, err := w.control.Heartbeat(context.Background(), &tackdispatch.Report{
		Worker: w.id, VM: tackid.VM("m-" + string(w.id)), Service: "names-api", Sequence: w.sequence, Ended: w.ended,
		Capacity: tackroom.Resources{MilliCores: 4000, MemoryMB: 4000},
	})
	if err != nil {
		return
	}
	w.ask = reply.Ask
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

// relayed reports whether the VM that the worker asks passes its report on.
func (w *worker) relayed() bool {
	w.sequence++
	_, err := w.control.Heartbeat(context.Background(), &tackdispatch.Report{
		Worker: w.id, VM: tackid.VM("m-" + string(w.id)), Service: "names-api", Sequence: w.sequence,
	})
	return !errors.As(err, new(*tackcontrol.ElsewhereError))
}

// A leader counted crashes, and the next one did not know of them: an item that crashes
// its workers went through the pool again after each election. The counts go through
// the log, and so must the job's failure.
func TestItemThatCrashesItsWorkersIsGivenUpAcrossLeaders(t *testing.T) {
	c := newRunning(t)
	spec := &tackjob.Spec{Steps: []tackjob.Step{{Count: 1, Estimate: 100, Resources: tackroom.Resources{MilliCores: 500}}}}
	c.await("the job is accepted", func() bool {
		submit := &tackwork.Request{Operation: tackwork.Submit, Host: "a.example", Path: "/q/" + jobA, Spec: spec}
		return c.client.Do(context.Background(), submit).Verdict == tackwork.Done
	})
	starts := 0
	lives := [...]*life{{vm: "m-a"}, {vm: "m-b"}, {vm: "m-c"}}
	replaced := false
	c.await("the job has failed", func() bool {
		for _, l := range lives {
			if l.crashesWhenStarted(c) {
				starts++
			}
		}
		if starts > 0 && !replaced {
			replaced = true
			leader := c.leader()
			c.stop(leader)
			c.start(leader, false)
		}
		return c.ask(tackwork.Lookup, jobA).Progress == tackwork.Failed
	})
	// Two VMs that crashed under it by itself do, and one crash may be seen by neither
	// leader.
	if starts < 2 || starts > 4 {
		t.Errorf("%d starts, want 2 to 4", starts)
	}
}

// life is the life of a worker on a VM that crashes as soon as it starts anything, and
// is followed by another one.
type life struct {
	vm       tackid.VM
	number   int
	sequence uint64
}

// crashesWhenStarted sends a heartbeat and reports whether an item was started on it.
func (l *life) crashesWhenStarted(c *cluster) bool {
	leader := c.leader()
	if leader == "" {
		return false
	}
	l.sequence++
	reply, err := c.running[leader].control.Heartbeat(context.Background(), &tackdispatch.Report{
		Worker: tackdispatch.WorkerID(fmt.Sprintf("i-%s-%d", l.vm, l.number)), VM: l.vm, Service: "names-api",
		Sequence: l.sequence, Capacity: tackroom.Resources{MilliCores: 4000, MemoryMB: 4000},
	})
	if err != nil || len(reply.Orders.Start) == 0 {
		return false
	}
	l.number++
	l.sequence = 0
	return true
}
