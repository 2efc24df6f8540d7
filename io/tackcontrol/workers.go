package tackcontrol

import (
	"cmp"
	"context"
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

type (
	// Reply is the answer to a worker's report.
	Reply struct {
		Orders tackdispatch.Orders
		// NextPeer is the control VM to which the worker must send its next report.
		NextPeer tackid.Peer
	}

	// NotLeaderError reports that this VM is not the leader and does not forward reports to
	// it.
	NotLeaderError struct{}
)

// Error implements error.
func (*NotLeaderError) Error() string {
	return "this VM does not lead"
}

// Heartbeat handles a worker's report and returns its orders. The error is a *NotLeaderError,
// a *BusyError, or a *tackdispatch.ForeignError if the report is not from a worker that may
// be used; such a report changes nothing.
func (c *Control) Heartbeat(ctx context.Context, r *tackdispatch.Report) (Reply, error) {
	now := c.clock.Now()
	if _, leads := c.leads(now); !leads {
		if c.isRelay(now) {
			return c.forwardReport(ctx, r)
		}
		c.awaitLease(ctx)
	}
	return c.decide(r, "")
}

// decide answers a report that the relay by has forwarded, or that came directly if by is
// empty. The error is a *NotLeaderError or a *tackdispatch.ForeignError.
func (c *Control) decide(r *tackdispatch.Report, by tackid.Peer) (Reply, error) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatchTerm != term {
		c.refuse(now, r)
		return Reply{}, &NotLeaderError{}
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
	// If the lease expired in the meantime, another leader may already have taken over. What
	// dispatch has recorded is corrected by the next heartbeat.
	answered := c.clock.Now()
	if _, leads := c.leads(answered); !leads {
		return Reply{}, &NotLeaderError{}
	}
	c.answeredAt.Store(int64(answered))
	next := c.roster.Choose(now, r.Worker.Name(), r.Zone, by)
	return Reply{Orders: orders, NextPeer: cmp.Or(next, c.cfg.Self)}, nil
}

// refuse handles a heartbeat that comes while this VM is the leader and its lease is out. The
// caller holds mu.
func (c *Control) refuse(now tackclock.Time, r *tackdispatch.Report) {
	if s := c.status.Load(); s.Role != tackreplica.Leader || c.dispatchTerm != s.Term {
		return
	}
	c.unanswered.Add(1)
	c.meters.unanswered.Inc(1)
	if c.dispatch.Knows(r.Worker) || c.poolExists(r.Service) {
		c.queueEnds(r.Worker, c.dispatch.Refused(now, r))
	}
}

// poolExists reports whether the catalog names the service, or an earlier catalog did and
// jobs are still open there. Without a catalog it returns true, since workers report before
// the first catalog is put. The caller holds mu.
func (c *Control) poolExists(service tackid.Service) bool {
	return c.state.Catalog.Version == 0 || c.state.Catalog.Service(service) != nil || c.dispatch.HasOpenJobs(service)
}

// Leave records that a worker has stopped. It returns false if this VM is not the leader.
func (c *Control) Leave(id tackdispatch.WorkerID) bool {
	c.awaitLease(context.Background())
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatchTerm != term {
		return false
	}
	c.dispatch.Leave(now, id)
	c.log.WithField("worker", string(id)).Info("worker left")
	return true
}
