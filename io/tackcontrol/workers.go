package tackcontrol

import (
	"auburntack/core/tackdispatch"
)

// Heartbeat takes in a worker's report and returns its orders; false if this
// VM does not lead.
func (c *Control) Heartbeat(r *tackdispatch.Report) (tackdispatch.Orders, bool) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatched != term {
		return tackdispatch.Orders{}, false
	}
	orders, finished := c.dispatch.Heartbeat(now, r)
	c.queueEnds(r.Worker, finished)
	c.meters.heartbeats.Inc(1)
	c.meters.starts.Inc(int64(len(orders.Start)))
	c.meters.stops.Inc(int64(len(orders.Stop)))
	// A lease that ran out while this was worked out may be another leader's
	// by now. What dispatch has noted is corrected by the next heartbeat.
	if _, leads := c.leads(c.clock.Now()); !leads {
		return tackdispatch.Orders{}, false
	}
	return orders, true
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
