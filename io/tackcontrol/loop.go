package tackcontrol

import (
	"context"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
)

// snapshotInterval is the number of entries applied between two snapshots. At about 100
// entries of 1 kB per second, the log in memory stays below 10 MB.
const snapshotInterval = 6000

// runLoop runs the replicated log until ctx ends.
func (c *Control) runLoop(ctx context.Context) error {
	return c.loop.Run(ctx, func() { c.tick(c.clock.Now()) }, c.settle)
}

func (c *Control) tick(now tackclock.Time) {
	if c.tickedAt != 0 {
		c.meters.tickInterval.Update(int64(now.Sub(c.tickedAt)))
	}
	c.tickedAt = now
	c.node.Tick(now)
	c.updateMembers(now)
	c.sendHello(now)
	events, left := c.tickDispatch(now)
	c.logEvents(now, events, left)
}

// tickDispatch handles what is due by time, and returns the events since the last call.
func (c *Control) tickDispatch(now tackclock.Time) (events []tackdispatch.Event, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, leads := c.leads(now); leads && c.dispatchTerm != 0 {
		c.dispatch.Tick(now)
		c.queueEnds("", nil)
		c.updateRelays(now)
	}
	c.updateGauges(now, c.state.Jobs.Len())
	c.meters.examined.Update(int64(c.dispatch.Examined()))
	return c.dispatch.Events()
}

func (c *Control) updateGauges(now tackclock.Time, jobs int) {
	leads := int64(0)
	if _, ok := c.leads(now); ok {
		leads = 1
	}
	c.meters.leading.Update(leads)
	c.meters.jobs.Update(int64(jobs))
}

// settle processes the pending output of the replicated log, unless the disk has failed.
func (c *Control) settle() error {
	now := c.clock.Now()
	if good, err := c.resume(now); !good {
		return err
	}
	if err := c.processAll(); err != nil {
		return c.suspend(now, err)
	}
	return nil
}

// processAll processes the output of the replicated log until there is none left.
func (c *Control) processAll() error {
	for {
		r, ok := c.node.Ready()
		if !ok {
			break
		}
		if err := c.process(r); err != nil {
			return err
		}
	}
	now := c.clock.Now()
	c.refreshStatus(now)
	c.updateLeadership(now)
	if s := c.status.Load(); s.LeaderLease || s.Role != tackreplica.Leader {
		c.renewal.notify()
	}
	return c.snapshotWhenDue()
}

func (c *Control) process(r tackreplica.Ready) error {
	if r.Snapshot != nil {
		if err := c.install(*r.Snapshot); err != nil {
			return err
		}
	}
	if err := c.persist(r); err != nil {
		return err
	}
	c.withdrawLease(c.clock.Now())
	for _, m := range r.Messages {
		to := m.To
		m.From, m.To = "", "" // implied by the link
		if err := c.links.Send(to, kindReplica, m); err != nil {
			c.log.WithField("peer", to).WithError(err).Debug("message not sent")
		}
	}
	for _, e := range r.Committed {
		if err := c.apply(e); err != nil {
			return err
		}
	}
	c.node.Advance(r)
	if n := len(r.Committed); n > 0 {
		c.node.Applied(r.Committed[n-1].Index)
	}
	return nil
}

func (c *Control) persist(r tackreplica.Ready) error {
	var err error
	if r.Snapshot != nil {
		err = c.disk.SaveSnapshot(*r.Snapshot)
	}
	if err == nil && (r.Hard != nil || len(r.Entries) > 0) {
		err = c.disk.Save(r.Hard, r.Entries)
	}
	if err == nil {
		return nil
	}
	// After a failed write or sync the data may or may not be on the disk. If this VM
	// continued, it could acknowledge something as durable that is lost with a restart.
	c.node.Fail()
	return &StoppedError{What: "write to the data folder", Err: err}
}

func (c *Control) install(snap tackreplica.Snapshot) error {
	if err := c.installState(snap.Data); err != nil {
		return &StoppedError{What: "install the leader's snapshot", Err: err}
	}
	c.snapshotAt = snap.Index
	c.node.Applied(snap.Index)
	c.deliverUpTo(snap.Index)
	c.relink()
	return nil
}

func (c *Control) installState(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders.reset(c.clock.Now())
	return c.state.Restore(data)
}

func (c *Control) apply(e tackreplica.Entry) error {
	out, err := c.applyState(&e)
	if err != nil {
		return &StoppedError{What: "apply the log", Err: err}
	}
	if e.Kind == tackreplica.EntryMembership {
		c.relink()
	}
	c.deliver(e, out)
	return nil
}

// applyState applies an entry to the state and, on the leader, to dispatch.
func (c *Control) applyState(e *tackreplica.Entry) (tackwork.Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change, out, err := c.state.Apply(*e)
	c.orders.recordEntry(c.clock.Now(), e, change.PendingVMOrders)
	if err == nil && c.dispatchTerm != 0 {
		c.updateDispatch(&change, out)
	}
	return out, err
}

func (c *Control) snapshotWhenDue() error {
	applied := c.status.Load().Applied
	if applied < c.snapshotAt+snapshotInterval {
		return nil
	}
	data, err := c.encodeState()
	if err != nil {
		return &StoppedError{What: "take a snapshot", Err: err}
	}
	snap, ok := c.node.SnapshotAt(applied, data)
	if !ok {
		return nil
	}
	if err := c.disk.SaveSnapshot(snap); err != nil {
		c.node.Fail()
		return &StoppedError{What: "write a snapshot", Err: err}
	}
	c.node.Compact(snap)
	c.snapshotAt = snap.Index
	return nil
}

func (c *Control) encodeState() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Snapshot()
}

func (c *Control) refreshStatus(now tackclock.Time) {
	s := c.node.Status(now)
	before := c.status.Swap(&s)
	if before != nil && (before.Role != s.Role || before.Leader != s.Leader) {
		c.log.WithField("role", s.Role.String()).WithField("leader", s.Leader).
			WithField("term", uint64(s.Term)).WithField("revision", uint64(s.Applied)).Info("leadership changed")
	}
	if before != nil {
		c.logResignation(before, &s)
		c.watchLease(now, before, &s)
	}
}

// withdrawLease publishes that the leader lease is given up. It must be called before any
// message can leave: the transfer of leadership and this VM's vote allow others to elect a
// leader while the published lease has not expired.
func (c *Control) withdrawLease(now tackclock.Time) {
	if c.status.Load().LeaderLease && !c.node.LeaderLease(now) {
		c.refreshStatus(now)
	}
}

// logResignation logs that this VM has ceased to lead since the status before.
func (c *Control) logResignation(before, s *tackreplica.Status) {
	r := s.Resigned
	if r == before.Resigned || r.Term == 0 {
		return
	}
	fields := logrus.Fields{"term": uint64(r.Term), "reason": r.Reason.String()}
	if r.To != "" {
		fields["to"] = r.To
	}
	if answered := tackclock.Time(c.answeredAt.Load()); answered != 0 {
		fields["answered_ms"] = int64(r.At.Sub(answered))
	}
	c.log.WithFields(fields).Info("leadership given up")
}

// watchLease logs how long the leader lease was out while this VM remained the leader. In
// that time it refuses workers' heartbeats.
func (c *Control) watchLease(now tackclock.Time, before, s *tackreplica.Status) {
	if s.Role != tackreplica.Leader || before.Term != s.Term {
		c.leaseOutSince = 0
		return
	}
	if before.LeaderLease && before.LeaderLeaseUntil <= now {
		c.leaseOutSince = before.LeaderLeaseUntil
	}
	if c.leaseOutSince == 0 || !s.LeaderLease {
		return
	}
	gap := now.Sub(c.leaseOutSince)
	c.leaseOutSince = 0
	c.meters.leaseGap.Update(int64(gap))
	c.log.WithField("term", uint64(s.Term)).WithField("gap_ms", int64(gap)).WithField("heartbeats", c.unanswered.Swap(0)).
		Info("leader lease renewed late")
}

func (c *Control) onReplica(from tackid.Peer, body []byte) {
	var m tackreplica.Message
	if err := tackcbor.Unmarshal(body, &m); err != nil {
		c.log.WithField("peer", from).WithError(err).Warn("message cannot be decoded")
		return
	}
	m.From, m.To = from, c.cfg.Self
	c.loop.Post(context.Background(), func() { c.node.Step(c.clock.Now(), m) })
}
