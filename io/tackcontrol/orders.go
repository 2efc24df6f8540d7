package tackcontrol

import (
	"context"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
)

// orders records for which VMs orders were given recently, and by which leader. A VM is named
// in the log before the platform is called for it.
//
// Two leaders that give orders for the same VM within a short time would undo each other's.
// Without this record a new leader would have to wait before it gives an order for any VM;
// with it, it waits only for the VMs that its predecessor may just have called the platform
// for.
type orders struct {
	// earliest stands for the part of the log before the first entry that was recorded. An
	// order in that part is at least as old as that entry.
	earliest lastOrder
	last     map[tackid.VM]lastOrder
	// newest contains the newest entry of each term.
	newest map[tackreplica.Term]entryTime
	// perSecond limits the calls; recent contains the times of those in the last second.
	perSecond float64
	recent    []tackclock.Time
}

type (
	// entryTime is the time of an entry by the clock of the leader that appended it, and the
	// time at which it was applied here by the clock of this VM.
	entryTime struct {
		logged, applied tackclock.Time
	}

	// lastOrder is when the last order for a VM was given, and in which term.
	lastOrder struct {
		entryTime
		term tackreplica.Term
	}
)

func (o *orders) reset(now tackclock.Time) {
	o.earliest = lastOrder{entryTime: entryTime{applied: now}}
	o.last = make(map[tackid.VM]lastOrder)
	o.newest = make(map[tackreplica.Term]entryTime)
}

// recordEntry records an entry that was applied at now and the VMs that it names.
func (o *orders) recordEntry(now tackclock.Time, e *tackreplica.Entry, vms []tackid.VM) {
	at := lastOrder{entryTime: entryTime{logged: e.Time, applied: now}, term: e.Term}
	if len(o.newest) == 0 {
		o.earliest = at
	}
	o.newest[e.Term] = at.entryTime
	for _, vm := range vms {
		o.last[vm] = at
	}
}

// free reports whether the leader of the given term may give an order for the VM. The
// handover time must have passed since an earlier leader may have given one.
func (o *orders) free(now tackclock.Time, term tackreplica.Term, vm tackid.VM, handover tackclock.Duration) bool {
	last, known := o.last[vm]
	if !known {
		last = o.earliest
	}
	return known && last.term == term || o.age(now, last) >= handover
}

// mayEndAfter reports whether the leader of another term may have given an order that ended a
// process on the VM after heard, when the process last reported. An order is carried out
// within the handover time; a process that reported later than that has survived it, or was
// started by it. Unlike free it assumes no order for VMs that the log does not name, so the
// end of a worker there counts as a crash: if the ends on all VMs were excused after each
// start, successive crashes would go unnoticed.
func (o *orders) mayEndAfter(heard tackclock.Time, term tackreplica.Term, vm tackid.VM, handover tackclock.Duration) bool {
	last, known := o.last[vm]
	return known && last.term != term && o.age(heard, last) < handover
}

// age returns the minimum age of an order: the time since the entry was applied here, or, if
// longer, the time between the entry and the newest one of its term plus the time since that
// one was applied here.
//
// A VM that starts applies all of its log at once. By the local clock alone no VM could be
// moved for the handover time: after a restart of all control VMs during the burst of a
// queue, its pool had 5 VMs for four seconds, next to 30 empty VMs. Times of different terms
// are not compared, since the clocks of the leaders may differ.
func (o *orders) age(now tackclock.Time, last lastOrder) tackclock.Duration {
	age := now.Sub(last.applied)
	newest, ok := o.newest[last.term]
	if !ok {
		return age
	}
	return max(age, newest.logged.Sub(last.logged)+now.Sub(newest.applied))
}

// allowance returns how many calls may be made now. The platform refuses calls above its rate
// limit, and each refused call has a cost.
func (o *orders) allowance(now tackclock.Time, limit int) int {
	if o.perSecond <= 0 {
		return limit
	}
	o.recent = slices.DeleteFunc(o.recent, func(at tackclock.Time) bool { return now.Sub(at) >= tackclock.Second })
	return min(limit, int(o.perSecond)-len(o.recent))
}

// recordCalls records calls that are made now.
func (o *orders) recordCalls(now tackclock.Time, calls int) {
	for range calls {
		o.recent = append(o.recent, now)
	}
}

// announce names in the log the VMs for which orders are about to be given. It returns false
// if no order may be given.
func (c *Control) announce(ctx context.Context, vms ...tackid.VM) bool {
	p := c.propose(ctx, tackwork.Change{PendingVMOrders: vms})
	if p.status == committed {
		return true
	}
	c.log.WithField("vms", vms).Warn("orders could not be committed to the replicated log; none are given")
	return false
}
