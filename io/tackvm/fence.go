package tackvm

import (
	"context"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

const (
	reportInterval = 250 * tackclock.Millisecond
	// remoteWorkLimit is how long after its lease expired a peer in another data centre
	// may still have work in flight for a caller that it had accepted before. A peer
	// without a lease sends no new requests out of its own data centre.
	remoteWorkLimit = 2 * tackclock.Minute
	// stoppedLeaseGrace is how much later than one lease duration after its report the
	// lease of a VM that reported a graceful stop may expire.
	stoppedLeaseGrace = tackclock.Second / 2
)

// tickReport reports to the leader which of the VMs that may get no new work have none
// in flight from this VM.
func (v *VM) tickReport(now tackclock.Time) {
	if now.Sub(v.reconciler.lastReport) < reportInterval {
		return
	}
	leader := v.status.Load().Leader
	if leader == "" || leader == v.cfg.VM.ID {
		return
	}
	r := v.report()
	if len(r.Idle) == 0 && !v.reconciler.reportedIdle && v.reconciler.reportedTo == leader {
		return
	}
	v.reconciler.lastReport = now
	v.reconciler.reportedTo = leader
	v.reconciler.reportedIdle = len(r.Idle) > 0
	v.send(leader, kindReport, r)
}

// report returns the report of this VM. It reads the applied revision before it checks
// for requests in flight, so that every request admitted by an older revision is
// included.
func (v *VM) report() report {
	v.mu.RLock()
	defer v.mu.RUnlock()
	r := report{Applied: v.applied.Index, Stopped: v.reconciler.stopped.Load()}
	v.refreshAwaitingIdle()
	for _, vm := range v.reconciler.awaitingIdle.vms {
		if v.caller.Idle(vm) {
			r.Idle = append(r.Idle, vm)
		}
	}
	return r
}

// refreshAwaitingIdle updates the list of VMs that may get no new work, but only if the
// fleet has changed. The report is built at every tick, and examining thousands of VMs
// each time used more processor time on a peer than everything else it does. The caller
// must hold the lock on the state.
func (v *VM) refreshAwaitingIdle() {
	l := &v.reconciler.awaitingIdle
	if l.valid && l.fleetRevision == v.fleetRevision {
		return
	}
	l.valid, l.fleetRevision, l.vms = true, v.fleetRevision, nil
	for vm := range v.state.Fleet.EachVM() {
		if awaitsIdle(vm) {
			l.vms = append(l.vms, vm.ID)
		}
	}
}

func awaitsIdle(vm *tackfleet.VM) bool {
	return vm.State == tackfleet.VMDraining || vm.State == tackfleet.VMMoving
}

func (v *VM) onReport(from tackid.Peer, body []byte) {
	var r report
	if !v.decode(from, body, &r) {
		return
	}
	v.loop.Post(context.Background(), func() { v.recordReport(from, r) })
}

func (v *VM) recordReport(from tackid.Peer, r report) {
	if v.reconciler.reports == nil {
		v.reconciler.reports = make(map[tackid.Peer]receivedReport)
	}
	v.reconciler.reports[from] = receivedReport{report: r, receivedAt: v.clock.Now()}
}

// fenced reports whether no peer routes by a revision older than rev to a VM in data
// centre in. A peer in that data centre may still do so without a lease, since it
// continues to serve its own data centre.
func (v *VM) fenced(now tackclock.Time, rev tackid.Revision, in tackid.DataCentre) bool {
	done, missing := v.node.InForce(now, rev)
	if !done {
		return false
	}
	for _, p := range missing {
		if m := v.member(p); m.DataCentre == in && !v.stoppedGracefully(m) {
			return false
		}
	}
	return true
}

// idle reports whether no peer has, or will have, work in flight on a VM that stopped
// being routable at revision fence.
func (v *VM) idle(now tackclock.Time, vm tackfleet.VM, fence tackid.Revision) bool {
	if v.applied.Index < fence || !v.fenced(now, fence, vm.DataCentre) {
		return false
	}
	for _, m := range v.status.Load().Members {
		if !v.idleOn(now, m, vm, fence) {
			return false
		}
	}
	return true
}

func (v *VM) idleOn(now tackclock.Time, m tackreplica.MemberStatus, vm tackfleet.VM, fence tackid.Revision) bool {
	if m.Peer == v.cfg.VM.ID {
		return v.caller.Idle(vm.ID)
	}
	if v.stoppedGracefully(m) {
		return true
	}
	r, heard := v.reconciler.reports[m.Peer]
	if heard && r.Applied >= fence && slices.Contains(r.Idle, vm.ID) {
		return true
	}
	since, unleased := v.reconciler.unleasedSince[m.Peer]
	return m.DataCentre != vm.DataCentre && unleased && now.Sub(since) > remoteWorkLimit
}

// watchLeases records since when this leader has known each member to be without a
// lease. A new leader cannot know which leases its predecessor granted, so it counts
// from its own first observation.
func (v *VM) watchLeases(now tackclock.Time) {
	if v.reconciler.unleasedSince == nil {
		v.reconciler.unleasedSince = make(map[tackid.Peer]tackclock.Time)
	}
	for _, m := range v.status.Load().Members {
		_, noted := v.reconciler.unleasedSince[m.Peer]
		switch leased := m.LeaseUntil.After(now); {
		case leased:
			delete(v.reconciler.unleasedSince, m.Peer)
		case !noted:
			v.reconciler.unleasedSince[m.Peer] = now
		}
	}
}

// stoppedGracefully reports whether the member reported that it was stopping with no
// work left and has not been started since. A restarted member holds a lease again
// before it accepts callers; if its old report still counted, work in flight from it
// would be interrupted.
func (v *VM) stoppedGracefully(m tackreplica.MemberStatus) bool {
	r, heard := v.reconciler.reports[m.Peer]
	if !heard || !r.Stopped {
		return false
	}
	return !m.LeaseUntil.After(r.receivedAt.Add(v.cfg.Replica.Lease + stoppedLeaseGrace))
}

func (v *VM) member(p tackid.Peer) tackreplica.MemberStatus {
	for _, m := range v.status.Load().Members {
		if m.Peer == p {
			return m
		}
	}
	return tackreplica.MemberStatus{}
}
