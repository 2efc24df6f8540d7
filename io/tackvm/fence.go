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
	reportEvery = 250 * tackclock.Millisecond
	// farWork is how long after the end of its lease a peer in another data
	// centre may still be at work for a caller it had then. Without a lease
	// it sends nothing out of its own data centre.
	farWork = 2 * tackclock.Minute
	// lastWords is how much longer than its lease a VM that said it has
	// stopped may still be granted one.
	lastWords = tackclock.Second / 2
)

// tickReport tells the leader which of the VMs that may get no new work are
// idle here.
func (v *VM) tickReport(now tackclock.Time) {
	if now.Sub(v.duties.reported) < reportEvery {
		return
	}
	leader := v.status.Load().Leader
	if leader == "" || leader == v.cfg.VM.ID {
		return
	}
	r := v.report()
	if len(r.Idle) == 0 && !v.duties.hadIdle && v.duties.reportedTo == leader {
		return
	}
	v.duties.reported = now
	v.duties.reportedTo = leader
	v.duties.hadIdle = len(r.Idle) > 0
	v.send(leader, kindReport, r)
}

// report reads the applied revision before it counts what is in flight: a
// request that was let in by an older revision is then surely counted.
func (v *VM) report() report {
	v.mu.RLock()
	defer v.mu.RUnlock()
	r := report{Applied: v.applied.Index, Stopped: v.duties.stopped.Load()}
	v.refreshLeaving()
	for _, vm := range v.duties.leaving.vms {
		if v.caller.Idle(vm) {
			r.Idle = append(r.Idle, vm)
		}
	}
	return r
}

// refreshLeaving lists the VMs that may get no new work, anew only when the
// fleet changed: the report is made at every tick, and looking at thousands of
// VMs each time took a peer more processor time than all else it does. The
// lock on the state is held.
func (v *VM) refreshLeaving() {
	l := &v.duties.leaving
	if l.made && l.fleet == v.fleetAt {
		return
	}
	l.made, l.fleet, l.vms = true, v.fleetAt, nil
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
	v.loop.Post(context.Background(), func() { v.keepReport(from, r) })
}

func (v *VM) keepReport(from tackid.Peer, r report) {
	if v.duties.reports == nil {
		v.duties.reports = make(map[tackid.Peer]heardReport)
	}
	v.duties.reports[from] = heardReport{report: r, at: v.clock.Now()}
}

// fenced reports whether no peer routes by a revision older than rev. A peer
// without a lease in the data centre of the VM in question may still do so,
// since it goes on serving its own data centre.
func (v *VM) fenced(now tackclock.Time, rev tackid.Revision, in tackid.DataCentre) bool {
	done, missing := v.node.InForce(now, rev)
	if !done {
		return false
	}
	for _, p := range missing {
		if m := v.member(p); m.DataCentre == in && !v.stoppedAsPlanned(m) {
			return false
		}
	}
	return true
}

// idle reports whether no peer has, or will have, work in flight on the VM
// that stopped being routable at fence.
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
	if v.stoppedAsPlanned(m) {
		return true
	}
	r, heard := v.duties.reports[m.Peer]
	if heard && r.Applied >= fence && slices.Contains(r.Idle, vm.ID) {
		return true
	}
	since, unleased := v.duties.unleased[m.Peer]
	return m.DataCentre != vm.DataCentre && unleased && now.Sub(since) > farWork
}

// watchLeases notes since when this leader has known each member to be without
// a lease. A new leader cannot tell what the one before it granted, so it
// counts from its own first look.
func (v *VM) watchLeases(now tackclock.Time) {
	if v.duties.unleased == nil {
		v.duties.unleased = make(map[tackid.Peer]tackclock.Time)
	}
	for _, m := range v.status.Load().Members {
		_, noted := v.duties.unleased[m.Peer]
		switch leased := m.LeaseUntil.After(now); {
		case leased:
			delete(v.duties.unleased, m.Peer)
		case !noted:
			v.duties.unleased[m.Peer] = now
		}
	}
}

// stoppedAsPlanned reports whether the member said that it was stopping with
// nothing left, and has not lived since. A later life holds leases again before
// it takes callers; going by the word of the former one would cut its work.
func (v *VM) stoppedAsPlanned(m tackreplica.MemberStatus) bool {
	r, heard := v.duties.reports[m.Peer]
	if !heard || !r.Stopped {
		return false
	}
	return !m.LeaseUntil.After(r.at.Add(v.cfg.Replica.Lease + lastWords))
}

func (v *VM) member(p tackid.Peer) tackreplica.MemberStatus {
	for _, m := range v.status.Load().Members {
		if m.Peer == p {
			return m
		}
	}
	return tackreplica.MemberStatus{}
}
