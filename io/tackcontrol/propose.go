package tackcontrol

import (
	"context"
	"time"

	"auburntack/core/tackadmit"
	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackrelay"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
)

// commitTimeout is how long a proposal may wait for a majority before its status is reported
// as undecided. Callers give a request three seconds.
const commitTimeout = 1500 * time.Millisecond

type (
	// waiter is notified of the result of an entry. notify is called by the loop, at
	// most once.
	waiter struct {
		term   tackreplica.Term
		notify func(proposalStatus, tackwork.Outcome)
	}

	proposalStatus uint8

	// proposalResult is the result of a proposal.
	proposalResult struct {
		status  proposalStatus
		outcome tackwork.Outcome
	}

	// workerEnd is the end of a run that has yet to be written to the log.
	workerEnd struct {
		worker tackdispatch.WorkerID
		end    tackjob.End
	}
)

const (
	// committed: the entry is durable.
	committed proposalStatus = iota
	// rejected: the entry was never in the log, or was replaced by another.
	rejected
	// undecided: the entry may still be committed.
	undecided
)

// propose appends a change and returns the result.
func (c *Control) propose(ctx context.Context, change tackwork.Change) proposalResult {
	return c.proposeNotify(ctx, change, func() {})
}

// proposeNotify is like propose, but also calls decided once the result of the change is
// known. This may be after it has returned.
func (c *Control) proposeNotify(ctx context.Context, change tackwork.Change, decided func()) proposalResult {
	began := c.clock.Now()
	result := make(chan proposalResult, 1)
	data := change.Encode()
	posted := c.loop.Post(ctx, func() {
		c.append(data, func(f proposalStatus, out tackwork.Outcome) {
			decided()
			result <- proposalResult{status: f, outcome: out}
		})
	})
	if !posted {
		decided()
		return proposalResult{status: rejected}
	}
	timer := time.NewTimer(commitTimeout)
	defer timer.Stop()
	select {
	case p := <-result:
		c.meters.committed.Update(int64(c.clock.Now().Sub(began)))
		return p
	case <-timer.C:
	case <-ctx.Done():
	case <-c.loop.Ended():
	}
	return proposalResult{status: undecided}
}

// append appends an entry to the log. It is called by the loop.
func (c *Control) append(data []byte, notify func(proposalStatus, tackwork.Outcome)) {
	index, term, err := c.node.Propose(c.clock.Now(), data)
	if err != nil {
		notify(rejected, tackwork.Outcome{})
		return
	}
	if old, ok := c.waiters[index]; ok {
		old.notify(rejected, tackwork.Outcome{})
	}
	c.waiters[index] = waiter{term: term, notify: notify}
}

// deliver notifies the waiter for an entry that the entry was applied, or that another
// leader's entry has replaced it.
func (c *Control) deliver(e tackreplica.Entry, out tackwork.Outcome) {
	w, ok := c.waiters[e.Index]
	if !ok {
		return
	}
	delete(c.waiters, e.Index)
	if w.term != e.Term {
		w.notify(rejected, tackwork.Outcome{})
		return
	}
	w.notify(committed, out)
}

// deliverUpTo notifies the waiters for entries that a snapshot has replaced. Whether the
// snapshot includes them is not known.
func (c *Control) deliverUpTo(last tackid.Revision) {
	for index, w := range c.waiters {
		if index <= last {
			delete(c.waiters, index)
			w.notify(undecided, tackwork.Outcome{})
		}
	}
}

// updateLeadership resets dispatch when this VM has become the leader, and clears it when
// this VM is no longer the leader.
func (c *Control) updateLeadership(now tackclock.Time) {
	term, leads := c.leads(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leads {
		if c.dispatchTerm != 0 && c.status.Load().Role != tackreplica.Leader {
			c.dispatchTerm = 0
			c.dispatch.Reset(now, 0, tackdispatch.Inherited{})
			c.dropQueued()
		}
		return
	}
	if c.dispatchTerm == term {
		return
	}
	c.dispatchTerm = term
	c.dropQueued()
	c.dispatch.Reset(now, term, tackdispatch.Inherited{
		Jobs: &c.state.Jobs, Workspaces: c.state.Catalog.Workspaces, Grants: c.state.Grants,
		Promises: c.state.Promises.All(),
	})
	c.dispatch.SetOrderedBefore(func(heard tackclock.Time, vm tackid.VM) bool {
		return c.orders.mayEndAfter(heard, term, vm, c.cfg.Handover)
	})
	c.upkeep.reset(now)
	c.roster = tackrelay.Roster{}
	c.log.WithField("term", uint64(term)).WithField("jobs", c.state.Jobs.Len()).
		WithField("promises", c.state.Promises.Len()).
		WithField("earlier_leases_until", c.dispatch.EarlierLeasesEnd().String()).Info("dispatch began")
}

// updateDispatch updates dispatch after a change was applied. The caller holds mu.
func (c *Control) updateDispatch(change *tackwork.Change, out tackwork.Outcome) {
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

// dropQueued drops what is queued for the log. The caller holds mu.
func (c *Control) dropQueued() {
	c.ends, c.findings, c.grants, c.promises = nil, tackjob.Findings{}, nil, nil
}

// queueEnds writes ends, and the findings, quota grants and promises of dispatch since the
// last call, to the log with the next sync. The caller holds mu.
func (c *Control) queueEnds(worker tackdispatch.WorkerID, ends []tackjob.End) {
	now := c.clock.Now()
	found, grants, promises := c.dispatch.Findings(), c.dispatch.Grants(now), c.dispatch.Promises(now)
	if len(ends) == 0 && found.Empty() && len(grants) == 0 && len(promises) == 0 {
		return
	}
	first := len(c.ends) == 0 && c.findings.Empty() && len(c.grants) == 0 && len(c.promises) == 0
	for _, e := range ends {
		c.ends = append(c.ends, workerEnd{worker: worker, end: e})
	}
	c.findings.Add(found)
	c.grants = append(c.grants, grants...)
	c.promises = append(c.promises, promises...)
	if first {
		go c.loop.Post(context.Background(), c.flushEnds)
	}
}

// takeQueued returns what is queued for the log, with the ends apart from the rest, and the
// term in which it was queued.
func (c *Control) takeQueued() (tackwork.Change, []workerEnd, tackreplica.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change, ends := tackwork.Change{Grants: c.grants, Promises: c.promises}, c.ends
	if found := c.findings; !found.Empty() {
		change.Findings = &found
	}
	c.dropQueued()
	return change, ends, c.dispatchTerm
}

// flushEnds proposes what queueEnds has collected. It is called by the loop.
func (c *Control) flushEnds() {
	change, waiting, term := c.takeQueued()
	if len(waiting) == 0 && change.Findings == nil && len(change.Grants) == 0 {
		c.appendPromises(change.Promises)
		return
	}
	change.Ends = make([]tackjob.End, 0, len(waiting))
	byWorker := make(map[tackdispatch.WorkerID][]tackjob.End)
	for _, e := range waiting {
		change.Ends = append(change.Ends, e.end)
		byWorker[e.worker] = append(byWorker[e.worker], e.end)
	}
	c.append(change.Encode(), func(f proposalStatus, _ tackwork.Outcome) { c.endsDecided(f, term, byWorker) })
}

// appendPromises proposes promises alone. If they are not committed they are only lost with
// this leader, so nothing need be rebuilt.
func (c *Control) appendPromises(list []tackadmit.Promise) {
	if len(list) == 0 {
		return
	}
	change := tackwork.Change{Promises: list}
	c.append(change.Encode(), func(proposalStatus, tackwork.Outcome) {})
}

func (c *Control) endsDecided(f proposalStatus, term tackreplica.Term, byWorker map[tackdispatch.WorkerID][]tackjob.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dispatchTerm != term || term == 0 {
		return
	}
	if f != committed {
		// The workers report the ends again. The state of dispatch is now wrong, so it is
		// rebuilt from the workers' reports.
		c.log.WithField("term", uint64(term)).Warn("ends of runs were not committed; dispatch is rebuilt from the workers' reports")
		c.dispatchTerm = 0
		return
	}
	for id, ends := range byWorker {
		c.meters.ends.Inc(int64(len(ends)))
		c.dispatch.EndsLogged(id, ends)
	}
}

// linkAddress returns the address on which a peer's links listen.
func (c *Control) linkAddress(p tackid.Peer) string {
	return addressOf(p, c.cfg.LinkPort)
}
