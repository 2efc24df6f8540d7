package tackcontrol_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
	"auburntack/core/tackwork"
	"auburntack/io/tackcontrol"
)

// shortTimeout is how long a caller waits for a commit: less than the leader keeps its lease
// without its followers.
const shortTimeout = 100 * time.Millisecond

// submitTo submits a job of eight core-seconds and gives up after within.
func submitTo(control *tackcontrol.Control, request, id string, within time.Duration) tackwork.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	step := tackjob.Step{Count: 8, Estimate: 1000, Resources: tackroom.Resources{MilliCores: 1000, MemoryMB: 10}}
	return control.Do(ctx, &tackwork.Request{
		Operation: tackwork.Submit, ID: tackid.RequestID(request), Host: "a.example", Path: "/q/" + id,
		Spec: &tackjob.Spec{Steps: []tackjob.Step{step}},
	})
}

// Guards against a job that runs although its caller was told that it never would: its commit
// takes long, the entry VM retries, and by then the pool has too much to do to accept the
// job.
func TestUndecidedJobIsNotRefused(t *testing.T) {
	c := newRunningCluster(t)
	leader := c.leader()
	control := c.running[leader].control
	first, second := &worker{id: "i-1", control: control}, &worker{id: "i-2", control: control}
	first.heartbeat()
	second.heartbeat()
	accepted := 0
	for submitTo(control, "", numberedID(accepted), eventually).Verdict == tackwork.Done {
		accepted++
	}
	for n := range accepted / 3 {
		c.assertVerdict(tackwork.Cancel, numberedID(n), tackwork.Done)
	}
	c.stall(leader, true)
	if a := submitTo(control, "r-1", jobA, shortTimeout); a.Verdict != tackwork.Unknown {
		t.Fatalf("%v (%s), want unknown while no majority answers", a.Verdict, a.Reason)
	}
	control.Leave(second.id)
	if a := submitTo(control, "r-2", jobB, shortTimeout); a.Verdict != tackwork.Refused {
		t.Errorf("%v (%s) for another job, want it refused with half of the cores", a.Verdict, a.Reason)
	}
	for _, request := range []string{"r-1", "r-3"} {
		if a := submitTo(control, request, jobA, shortTimeout); a.Verdict == tackwork.Refused {
			t.Errorf("%s is refused (%s), but the job may still be committed", request, a.Reason)
		}
	}
	c.stall(leader, false)
	c.assertVerdict(tackwork.Lookup, jobB, tackwork.NoJob)
}

// Guards against the same fault when a retry overtakes the first request.
func TestRefusedRequestIsNotAcceptedLater(t *testing.T) {
	c := newRunningCluster(t)
	control := c.running[c.leader()].control
	w := &worker{id: "i-1", control: control}
	w.heartbeat()
	n := 0
	for submitTo(control, "", numberedID(n), eventually).Verdict == tackwork.Done {
		n++
	}
	if a := submitTo(control, "r-1", jobA, eventually); a.Verdict != tackwork.Refused {
		t.Fatalf("%v (%s), want refused", a.Verdict, a.Reason)
	}
	for k := range n {
		c.assertVerdict(tackwork.Cancel, numberedID(k), tackwork.Done)
	}
	if a := submitTo(control, "r-1", jobA, eventually); a.Verdict != tackwork.Refused {
		t.Errorf("%v (%s) for another attempt of the request, want it refused as well", a.Verdict, a.Reason)
	}
	if a := submitTo(control, "r-2", jobA, eventually); a.Verdict != tackwork.Done {
		t.Errorf("%v (%s) for the caller's next request, want it accepted", a.Verdict, a.Reason)
	}
}

func numberedID(n int) string { return fmt.Sprintf("%016x", 0x1000+n) }

// stall stops or resumes the disks of all VMs except one.
func (c *cluster) stall(but tackid.Peer, on bool) {
	for p, disk := range c.disks {
		if p != but {
			disk.stalled.Store(on)
		}
	}
}

// Load pattern: a burst of jobs, whose commits take longer the more of them are pending. It
// guards against accepting all of them because none is committed yet.
func TestUndecidedJobsCountForAdmission(t *testing.T) {
	const burst = 64 // 512 core-seconds for four cores
	c := newRunningCluster(t)
	leader := c.leader()
	control := c.running[leader].control
	w := &worker{id: "i-1", control: control}
	w.heartbeat()
	c.stall(leader, true)
	defer c.stall(leader, false)
	var refused atomic.Int32
	var group sync.WaitGroup
	for n := range burst {
		group.Go(func() {
			if submitTo(control, "", numberedID(n), shortTimeout).Verdict == tackwork.Refused {
				refused.Add(1)
			}
		})
	}
	group.Wait()
	if refused.Load() < burst/2 {
		t.Errorf("%d of %d jobs are refused, which would take two minutes", refused.Load(), burst)
	}
}
