package tackvm

import (
	"context"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackstate"
	"auburntack/io/tackpeer"
)

// runLoop runs the replicated log until ctx is done. It returns an error only if the VM
// cannot continue.
func (v *VM) runLoop(ctx context.Context) error {
	return v.loop.Run(ctx, func() { v.tick(v.clock.Now()) }, v.processEvents)
}

func (v *VM) tick(now tackclock.Time) {
	v.node.Tick(now)
	v.tickDirectory(now)
	v.tickReport(now)
	v.tickShare(now)
	v.tickReconciler(now)
}

// processEvents performs all the work that the log has ready, then updates everything
// derived from it.
func (v *VM) processEvents() error {
	if err := v.handleAllReady(); err != nil {
		return err
	}
	now := v.clock.Now()
	v.publishRoutes(now)
	v.node.Applied(v.applied.Index)
	// Report the applied index at once: the leader answers a command only after every VM
	// has reported that it applied it.
	if err := v.handleAllReady(); err != nil {
		return err
	}
	v.refreshStatus(now)
	v.answerConfirms(now)
	return v.maybeSnapshot()
}

func (v *VM) handleAllReady() error {
	for {
		r, ok := v.node.Ready()
		if !ok {
			return nil
		}
		if err := v.handleReady(r); err != nil {
			return err
		}
	}
}

func (v *VM) handleReady(r tackreplica.Ready) error {
	if r.Snapshot != nil {
		if err := v.installSnapshot(*r.Snapshot); err != nil {
			return err
		}
	}
	if err := v.persist(r); err != nil {
		return err
	}
	for _, m := range r.Messages {
		to := m.To
		m.From, m.To = "", "" // the link identifies both ends
		v.send(to, kindReplica, m)
	}
	for _, e := range r.Committed {
		if err := v.apply(e); err != nil {
			return err
		}
	}
	v.node.Advance(r)
	return nil
}

func (v *VM) persist(r tackreplica.Ready) error {
	if v.disk == nil {
		return nil
	}
	var err error
	if r.Snapshot != nil {
		err = v.disk.SaveSnapshot(*r.Snapshot)
	}
	if err == nil && (r.Hard != nil || len(r.Entries) > 0) {
		err = v.disk.Save(r.Hard, r.Entries)
	}
	if err == nil {
		return nil
	}
	return v.persistFailed(err)
}

func (v *VM) persistFailed(err error) error {
	// After a failed write or sync the data may or may not be on the disk. Continuing
	// could acknowledge as durable what is missing after a restart, so the process exits
	// and the other replicas continue without it.
	v.node.Fail()
	return &StoppedError{
		What:   "write to the data folder " + v.cfg.State.Folder,
		Advice: "replace the disk, start with an empty data folder",
		Err:    err,
	}
}

func (v *VM) installSnapshot(snap tackreplica.Snapshot) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.state.Restore(snap.Data); err != nil {
		return &StoppedError{
			What:   "install the leader's snapshot",
			Advice: "run the same version of auburntackd on every VM",
			Err:    err,
		}
	}
	v.applied = tackreplica.Entry{Index: snap.Index, Term: snap.Term, Time: snap.Time}
	v.snapshotIndex = snap.Index
	v.fleetRevision = snap.Index
	return nil
}

func (v *VM) applyState(e *tackreplica.Entry) (tackstate.Proposal, tackstate.Outcome, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applied = tackreplica.Entry{Index: e.Index, Term: e.Term, Time: e.Time}
	return v.state.Apply(*e)
}

func (v *VM) apply(e tackreplica.Entry) error {
	p, out, err := v.applyState(&e)
	if err != nil {
		return &StoppedError{
			What:   "apply the log",
			Advice: "run the same version of auburntackd on every VM",
			Err:    err,
		}
	}
	if e.Kind == tackreplica.EntryMembership {
		v.applyMembership()
	}
	if p.Fleet != nil {
		v.fleetRevision = e.Index
		v.logCommand(p, out)
	}
	if p.Origin == v.cfg.VM.ID {
		v.proposals.Deliver(p.Serial, proposalResult{outcome: out})
	}
	return nil
}

func (v *VM) logCommand(p tackstate.Proposal, out tackstate.Outcome) {
	if p.Fleet.Command == nil {
		return
	}
	entry := v.log.WithField("revision", out.Revision).WithField("command", p.Fleet.Command.Text())
	if out.Fleet.Refused != nil {
		entry.WithField("code", out.Fleet.Refused.Code).Debug("command refused")
		return
	}
	entry.Info("command applied")
}

// applyMembership connects this VM to the members listed in the log.
func (v *VM) applyMembership() {
	members := v.node.Status(v.clock.Now()).Members
	plain := make([]tackreplica.Member, 0, len(members))
	for _, m := range members {
		plain = append(plain, m.Member)
	}
	v.links.SetPeers(v.linkPeers(plain))
	v.directoryMu.Lock()
	v.directory.SetPeers(peerIDs(plain, v.cfg.VM.ID))
	v.directoryMu.Unlock()
	v.sharer.SetPeers(v.clock.Now(), peerLocations(plain))
}

func (v *VM) encodeState() ([]byte, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Snapshot()
}

func (v *VM) maybeSnapshot() error {
	if v.applied.Index < v.snapshotIndex+snapshotInterval {
		return nil
	}
	data, err := v.encodeState()
	if err != nil {
		return &StoppedError{What: "take a snapshot", Advice: "report this as a bug", Err: err}
	}
	snap, ok := v.node.SnapshotAt(v.applied.Index, data)
	if !ok {
		return nil
	}
	if v.disk != nil {
		if err := v.disk.SaveSnapshot(snap); err != nil {
			return v.persistFailed(err)
		}
	}
	v.node.Compact(snap)
	v.snapshotIndex = snap.Index
	return nil
}

func (v *VM) refreshStatus(now tackclock.Time) {
	s := v.node.Status(now)
	v.status.Store(&s)
	v.updateGauges(&s)
}

func (v *VM) send(to tackid.Peer, kind tackpeer.Kind, body any) {
	if err := v.links.Send(to, kind, body); err != nil {
		v.log.WithField("peer", to).WithError(err).Debug("message not sent")
	}
}

func (v *VM) onReplica(from tackid.Peer, body []byte) {
	var m tackreplica.Message
	if !v.decode(from, body, &m) {
		return
	}
	m.From, m.To = from, v.cfg.VM.ID
	v.loop.Post(context.Background(), func() { v.node.Step(v.clock.Now(), m) })
}

// decode decodes the body of a peer's message. A message that cannot be decoded is
// logged and dropped; the sender retransmits the messages that matter.
func (v *VM) decode(from tackid.Peer, body []byte, into any) bool {
	if err := tackcbor.Unmarshal(body, into); err != nil {
		v.log.WithField("peer", from).WithError(err).Warn("message cannot be decoded")
		return false
	}
	return true
}
