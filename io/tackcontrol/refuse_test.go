package tackcontrol

import (
	"testing"

	"github.com/rcrowley/go-metrics"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackreplica"
	"auburntack/core/tackroom"
	"auburntack/io/tackloop"
)

// Guards against workers of a pool that no catalog names: one whose first heartbeat is refused
// since the leader lease is out is known from then on, and the check is passed over.
func TestRefusedHeartbeatOfAnUnknownPoolRegistersNoWorker(t *testing.T) {
	c := &Control{
		clock: new(tackclock.Clock), meters: newMeters(metrics.NewRegistry()), loop: tackloop.New(eventQueue),
		dispatch: tackdispatch.New(tackdispatch.Config{}),
	}
	leader := tackreplica.Status{Role: tackreplica.Leader, Term: 3}
	c.status.Store(&leader)
	c.dispatchTerm = 3
	c.state.Catalog.Version = 7
	c.dispatch.Reset(c.clock.Now(), 3, tackdispatch.Inherited{Jobs: &c.state.Jobs})
	r := &tackdispatch.Report{
		Worker: "i-1", VM: "m-1", Service: "nobody", Sequence: 1, Capacity: tackroom.Resources{MilliCores: 1000, MemoryMB: 1000},
	}
	if _, err := c.decide(r, ""); err == nil {
		t.Fatal("answered without a lease")
	}
	if c.dispatch.Knows(r.Worker) {
		t.Error("the worker is known")
	}
}
