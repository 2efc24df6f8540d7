package tackcontrol

import (
	"context"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackrelay"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
)

// commitLimit is how long a proposal may wait for its majority before its fate
// is told as unknown. Callers give a call three seconds.
const commitLimit = 1500 * time.Millisecond

// orderTakes is what a VM takes to come back from an order at most that an earlier
// leader gave just before the hand-over: an upkeep of two seconds, and a first report.
const orderTakes = 4 * tackclock.Second

type (
	// waiter is told what became of an entry. It is called by the loop, and
	// only once.
	waiter struct {
		term tackreplica.Term
		tell func(fate, tackwork.Outcome)
	}

	fate uint8

	// proposed is what became of a proposal.
	proposed struct {
		fate    fate
		outcome tackwork.Outcome
	}

	// workerEnd is an end that waits to be written to the log.
	workerEnd struct {
		worker tackdispatch.WorkerID
		end    tackjob.End
	}
)

const (
	// committed entries stand for good.
	committed fate = iota
	// rejected ones were never in the log, or were replaced in it.
	rejected
	// undecided ones may still be committed.
	undecided
)

// propose appends a change and returns what became of it.
func (c *Control) propose(ctx context.Context, change tackwork.Change) proposed {
	return c.proposeTold(ctx, change, func() {})
}

// proposeTold is propose, and calls decided once the fate of the change is known, which may
// be after it has returned.
func (c *Control) proposeTold(ctx context.Context, change tackwork.Change, decided func()) proposed {
	began := c.clock.Now()
	result := make(chan proposed, 1)
	data := change.Encode()
	posted := c.loop.Post(ctx, func() {
		c.append(data, func(f fate, out tackwork.Outcome) {
			decided()
			result <- proposed{fate: f, outcome: out}
		})
	})
	if !posted {
		decided()
		return proposed{fate: rejected}
	}
	timer := time.NewTimer(commitLimit)
	defer timer.Stop()
	select {
	case p := <-result:
		c.meters.committed.Update(int64(c.clock.Now().Sub(began)))
		return p
	case <-timer.C:
	case <-ctx.Done():
	case <-c.loop.Ended():
	}
	return proposed{fate: undecided}
}

// append is called by the loop.
func (c *Control) append(data []byte, tell func(fate, tackwork.Outcome)) {
	index, term, err := c.node.Propose(c.clock.Now(), data)
	if err != nil {
		tell(rejected, tackwork.Outcome{})
		return
	}
	if old, ok := c.waiters[index]; ok {
		old.tell(rejected, tackwork.Outcome{})
	}
	c.waiters[index] = waiter{term: term, tell: tell}
}

// deliver tells whoever waits for an entry that it is applied, or that another
// leader's entry took its place.
func (c *Control) deliver(e tackreplica.Entry, out tackwork.Outcome) {
	w, ok := c.waiters[e.Index]
	if !ok {
		return
	}
	delete(c.waiters, e.Index)
	if w.term != e.Term {
		w.tell(rejected, tackwork.Outcome{})
		return
	}
	w.tell(committed, out)
}

// deliverUpTo tells whoever waits for an entry that a snapshot took the place of. Whether
// the snapshot has it is not known.
func (c *Control) deliverUpTo(last tackid.Revision) {
	for index, w := range c.waiters {
		if index <= last {
			delete(c.waiters, index)
			w.tell(undecided, tackwork.Outcome{})
		}
	}
}

// takeLead resets dispatch when this VM has begun to lead, and drops it when
// it leads no more.
func (c *Control) takeLead(now tackclock.Time) {
	term, leads := c.leads(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leads {
		if c.dispatched != 0 && c.status.Load().Role != tackreplica.Leader {
			c.dispatched = 0
			c.dispatch.Reset(now, 0, tackdispatch.Inherited{})
			c.ends, c.found, c.grants = nil, tackjob.Findings{}, nil
		}
		return
	}
	if c.dispatched == term {
		return
	}
	c.dispatched = term
	c.ends, c.found, c.grants = nil, tackjob.Findings{}, nil
	c.dispatch.Reset(now, term, tackdispatch.Inherited{
		Jobs: &c.state.Jobs, Workspaces: c.state.Catalog.Workspaces, Grants: c.state.Grants,
	})
	c.dispatch.SetOrderedBefore(func(now tackclock.Time, vm tackid.VM) bool {
		return c.orders.byEarlier(now, term, vm, c.cfg.Handover+orderTakes)
	})
	c.upkeep.reset(now)
	c.roster = tackrelay.Roster{}
	c.log.WithField("term", uint64(term)).WithField("jobs", c.state.Jobs.Len()).Info("dispatch began")
}

// follow brings dispatch up to date with a change that the log holds. The
// caller holds mu.
func (c *Control) follow(change *tackwork.Change, out tackwork.Outcome) {
	now := c.clock.Now()
	switch {
	case change.Submit != nil && out.Job != nil:
		c.dispatch.Accepted(now, out.Job)
	case change.Cancel != "":
		c.dispatch.Closed(now, change.Cancel)
	case change.Catalog != nil:
		c.dispatch.Rebind(now, c.state.Catalog.Workspaces)
	}
	for _, e := range change.Ends {
		c.dispatch.EndLogged(now, e)
	}
	if change.Findings != nil {
		c.dispatch.FindingsLogged(now, change.Findings)
	}
	c.dispatch.GrantsLogged(change.Grants)
}

// queueEnds has ends, and what dispatch found out and wants granted since the last call,
// written to the log with the next sync. The caller holds mu.
func (c *Control) queueEnds(worker tackdispatch.WorkerID, ends []tackjob.End) {
	found, grants := c.dispatch.Findings(), c.dispatch.Grants(c.clock.Now())
	if len(ends) == 0 && found.Empty() && len(grants) == 0 {
		return
	}
	first := len(c.ends) == 0 && c.found.Empty() && len(c.grants) == 0
	for _, e := range ends {
		c.ends = append(c.ends, workerEnd{worker: worker, end: e})
	}
	c.found.Add(found)
	c.grants = append(c.grants, grants...)
	if first {
		go c.loop.Post(context.Background(), c.flushEnds)
	}
}

// flushEnds is called by the loop.
func (c *Control) flushEnds() {
	c.mu.Lock()
	waiting, found, grants := c.ends, c.found, c.grants
	c.ends, c.found, c.grants = nil, tackjob.Findings{}, nil
	term := c.dispatched
	c.mu.Unlock()
	if len(waiting) == 0 && found.Empty() && len(grants) == 0 {
		return
	}
	change := tackwork.Change{Ends: make([]tackjob.End, 0, len(waiting)), Grants: grants}
	if !found.Empty() {
		change.Findings = &found
	}
	byWorker := make(map[tackdispatch.WorkerID][]tackjob.End)
	for _, e := range waiting {
		change.Ends = append(change.Ends, e.end)
		byWorker[e.worker] = append(byWorker[e.worker], e.end)
	}
	c.append(change.Encode(), func(f fate, _ tackwork.Outcome) { c.endsTold(f, term, byWorker) })
}

func (c *Control) endsTold(f fate, term tackreplica.Term, byWorker map[tackdispatch.WorkerID][]tackjob.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dispatched != term || term == 0 {
		return
	}
	if f != committed {
		// The workers list the ends again; what dispatch knows of them is
		// wrong now, so it begins anew from the workers' lists.
		c.log.WithField("term", uint64(term)).Warn("ends were not taken into the log")
		c.dispatched = 0
		return
	}
	for id, ends := range byWorker {
		c.meters.ends.Inc(int64(len(ends)))
		c.dispatch.EndsLogged(id, ends)
	}
}

// linkAddress is where a peer's links listen.
func (c *Control) linkAddress(p tackid.Peer) string {
	return addressOf(p, c.cfg.Links)
}
