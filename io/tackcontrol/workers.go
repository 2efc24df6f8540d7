package tackcontrol

import (
	"cmp"
	"context"
	"fmt"

	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
)

type (
	// Reply is the answer to a worker's report.
	Reply struct {
		Orders tackdispatch.Orders
		// Ask is the control VM that the worker is to ask next.
		Ask tackid.Peer
	}

	// ElsewhereError reports that this VM cannot decide, and does not ask the one that
	// can.
	ElsewhereError struct{}
)

// Error implements error.
func (*ElsewhereError) Error() string {
	return "this VM does not lead"
}

// Heartbeat takes in a worker's report and returns its orders. The error is an
// *ElsewhereError, a *BusyError, or a *tackdispatch.ForeignError: the report is of no
// worker that is to be used, and changed nothing.
func (c *Control) Heartbeat(ctx context.Context, r *tackdispatch.Report) (Reply, error) {
	now := c.clock.Now()
	if _, leads := c.leads(now); !leads && c.relays(now) {
		return c.passOn(ctx, r)
	}
	return c.decide(r, "")
}

// decide answers a report that came by a relay, or here if by is empty. The error is an
// *ElsewhereError or a *tackdispatch.ForeignError.
func (c *Control) decide(r *tackdispatch.Report, by tackid.Peer) (Reply, error) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatched != term {
		return Reply{}, &ElsewhereError{}
	}
	if !c.dispatch.Knows(r.Worker) && !c.poolExists(r.Service) {
		return Reply{}, &tackdispatch.ForeignError{
			Worker: r.Worker, Problem: fmt.Sprintf("in pool %q, which no catalog names", r.Service),
		}
	}
	orders, finished, err := c.dispatch.Heartbeat(now, r)
	if err != nil {
		return Reply{}, err
	}
	c.queueEnds(r.Worker, finished)
	c.meters.heartbeats.Inc(1)
	c.meters.starts.Inc(int64(len(orders.Start)))
	c.meters.stops.Inc(int64(len(orders.Stop)))
	// A lease that ran out while this was worked out may be another leader's
	// by now. What dispatch has noted is corrected by the next heartbeat.
	if _, leads := c.leads(c.clock.Now()); !leads {
		return Reply{}, &ElsewhereError{}
	}
	ask := c.roster.Choose(now, r.Worker.Name(), r.Zone, by)
	return Reply{Orders: orders, Ask: cmp.Or(ask, c.cfg.Self)}, nil
}

// poolExists reports whether the catalog names the service, or an earlier one did
// and jobs are owed there. Workers report before the first catalog comes. The caller
// holds mu.
func (c *Control) poolExists(service tackid.Service) bool {
	return c.state.Catalog.Version == 0 || c.state.Catalog.Service(service) != nil || c.dispatch.HasOpenJobs(service)
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
