package tackcontrol

import (
	"context"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
)

// orders is which VMs were ordered about lately, and by whom. The log names a VM
// before the platform is called for it.
//
// Two leaders that order the same VM within a short time would undo each other.
// A new leader that knows no more than that waits with all of them; by the log it
// waits with those alone that the former one may just have called for.
type orders struct {
	// earliest stands for what the log held before the first entry that was
	// followed; such an order is no younger than that entry.
	earliest lastOrder
	last     map[tackid.VM]lastOrder
	// newest is the newest entry of each term.
	newest map[tackreplica.Term]entryTime
	// perSecond bounds the calls; recent are when those of the last second were
	// given.
	perSecond float64
	recent    []tackclock.Time
}

type (
	// entryTime is an entry's time by the clock of the leader that appended it, and
	// by this VM's when it was applied here.
	entryTime struct {
		logged, applied tackclock.Time
	}

	// lastOrder is when a VM was ordered about, and in which term.
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

// follow takes in an entry that was applied at now, and the VMs that it names.
func (o *orders) follow(now tackclock.Time, e *tackreplica.Entry, vms []tackid.VM) {
	at := lastOrder{entryTime: entryTime{logged: e.Time, applied: now}, term: e.Term}
	if len(o.newest) == 0 {
		o.earliest = at
	}
	o.newest[e.Term] = at.entryTime
	for _, vm := range vms {
		o.last[vm] = at
	}
}

// free reports whether the leader of a term may order the VM about, handover
// after what an earlier one may have ordered.
func (o *orders) free(now tackclock.Time, term tackreplica.Term, vm tackid.VM, handover tackclock.Duration) bool {
	last, known := o.last[vm]
	if !known {
		last = o.earliest
	}
	return known && last.term == term || o.age(now, last) >= handover
}

// byEarlier reports whether the log names the VM as ordered about by the leader of
// another term within the given time. Unlike free it takes VMs that the log does not
// name for such that nobody ordered: that a life ended there counts as a crash, and to
// excuse all of them after each start would hide those that come one after the other.
func (o *orders) byEarlier(now tackclock.Time, term tackreplica.Term, vm tackid.VM, within tackclock.Duration) bool {
	last, known := o.last[vm]
	return known && last.term != term && o.age(now, last) < within
}

// age is how long ago an order was given, at least: as long as it is known here, or
// as the log went on after it in its term, and that is known here.
//
// A VM that starts reads all of its log within a moment. By its own clock alone
// nothing could be moved for as long as the hand-over takes: after a restart of all
// control VMs in a queue's turn its pool had 5 VMs for four seconds beside 30 empty
// ones. Times of different terms are not compared: leaders' clocks may differ.
func (o *orders) age(now tackclock.Time, last lastOrder) tackclock.Duration {
	age := now.Sub(last.applied)
	newest, ok := o.newest[last.term]
	if !ok {
		return age
	}
	return max(age, newest.logged.Sub(last.logged)+now.Sub(newest.applied))
}

// allowance is how many calls may be made now. Calls beyond what the platform
// takes are refused, and each refused one has its price.
func (o *orders) allowance(now tackclock.Time, most int) int {
	if o.perSecond <= 0 {
		return most
	}
	o.recent = slices.DeleteFunc(o.recent, func(at tackclock.Time) bool { return now.Sub(at) >= tackclock.Second })
	return min(most, int(o.perSecond)-len(o.recent))
}

// spend notes calls that are made now.
func (o *orders) spend(now tackclock.Time, calls int) {
	for range calls {
		o.recent = append(o.recent, now)
	}
}

// announce has the log name VMs that are about to be ordered about; false if no
// order may be given.
func (c *Control) announce(ctx context.Context, vms ...tackid.VM) bool {
	p := c.propose(ctx, tackwork.Change{PendingVMOrders: vms})
	if p.fate == committed {
		return true
	}
	c.log.WithField("vms", vms).Warn("orders not in the log, none given")
	return false
}
