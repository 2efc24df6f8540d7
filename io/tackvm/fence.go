package tackvm

import (
	"context"

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
	if len(r.Idle) == 0 && !v.duties.hadIdle {
		return
	}
	v.duties.reported = now
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
	if l.made && l.fleet == v.routedBy.fleet {
		return
	}
	l.made, l.fleet, l.vms = true, v.routedBy.fleet, nil
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
	v.post(context.Background(), func() { v.keepReport(from, r) })
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
		if v.dataCentreOf(p) == in && !v.stoppedAsPlanned(p) {
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
	r, heard := v.duties.reports[m.Peer]
	if heard && r.Stopped {
		return true
	}
	if heard && r.Applied >= fence && contains(r.Idle, vm.ID) {
		return true
	}
	return m.DataCentre != vm.DataCentre && now.Sub(m.LeaseUntil) > farWork
}

func contains(vms []tackid.VM, vm tackid.VM) bool {
	for _, x := range vms {
		if x == vm {
			return true
		}
	}
	return false
}

func (v *VM) stoppedAsPlanned(p tackid.Peer) bool {
	r, heard := v.duties.reports[p]
	return heard && r.Stopped
}

func (v *VM) dataCentreOf(p tackid.Peer) tackid.DataCentre {
	for _, m := range v.status.Load().Members {
		if m.Peer == p {
			return m.DataCentre
		}
	}
	return ""
}
