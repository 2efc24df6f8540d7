package tackcontrol

import (
	"fmt"

	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
)

// Heartbeat takes in a worker's report and returns its orders; false if this
// VM does not lead. The error is a *tackdispatch.ForeignError: the report is of no
// worker that is to be used, and changed nothing.
func (c *Control) Heartbeat(r *tackdispatch.Report) (tackdispatch.Orders, bool, error) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatched != term {
		return tackdispatch.Orders{}, false, nil
	}
	if !c.dispatch.Knows(r.Worker) && !c.poolExists(r.Service) {
		return tackdispatch.Orders{}, true, &tackdispatch.ForeignError{
			Worker: r.Worker, Problem: fmt.Sprintf("in pool %q, which no catalog names", r.Service),
		}
	}
	orders, finished, err := c.dispatch.Heartbeat(now, r)
	if err != nil {
		return tackdispatch.Orders{}, true, err
	}
	c.queueEnds(r.Worker, finished)
	c.meters.heartbeats.Inc(1)
	c.meters.starts.Inc(int64(len(orders.Start)))
	c.meters.stops.Inc(int64(len(orders.Stop)))
	// A lease that ran out while this was worked out may be another leader's
	// by now. What dispatch has noted is corrected by the next heartbeat.
	if _, leads := c.leads(c.clock.Now()); !leads {
		return tackdispatch.Orders{}, false, nil
	}
	return orders, true, nil
}

// poolExists reports whether the catalog names the service, or an earlier one did
// and jobs are owed there. Workers report before the first catalog comes. The caller
// holds mu.
func (c *Control) poolExists(service tackid.Service) bool {
	return c.state.Catalog.Version == 0 || c.state.Catalog.Service(service) != nil || c.dispatch.Owes(service)
}

// Leave takes in that a worker has ended; false if this VM does not lead.
func (c *Control) Leave(id tackdispatch.WorkerID) bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatched != term {
		return false
	}
	c.dispatch.Leave(now, id)
	c.log.WithField("worker", string(id)).Info("worker left")
	return true
}
