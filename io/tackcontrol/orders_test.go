package tackcontrol

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

// Guards against two leaders that give orders for the same VM within a moment, so that it
// moves back and forth: a leader moves a VM and is lost, and the next leader does not know
// which orders its predecessor gave last.
func TestOrdersOfEarlierLeaderDelayNextOne(t *testing.T) {
	const handover = 4 * tackclock.Second
	began := tackclock.Time(1_000_000)
	now := began.Add(60 * tackclock.Second)
	var o orders
	o.reset(began)
	o.recordEntry(began, &tackreplica.Entry{Term: 3, Time: began}, nil)
	o.recordEntry(now, &tackreplica.Entry{Term: 3, Time: now}, []tackid.VM{"m-1"})
	for _, test := range []struct {
		name string
		at   tackclock.Time
		term tackreplica.Term
		vm   tackid.VM
		want bool
	}{
		{"the leader that gave the order continues", now, 3, "m-1", true},
		{"the next leader waits", now.Add(handover - 1), 4, "m-1", false},
		{"and gives an order after the handover time", now.Add(handover), 4, "m-1", true},
		{"a VM without an order is free", now, 4, "m-2", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := o.free(test.at, test.term, test.vm, handover); got != test.want {
				t.Errorf("free: %v, want %v", got, test.want)
			}
		})
	}
	t.Run("after a start no VM is free for the handover time", func(t *testing.T) {
		o.reset(now)
		if o.free(now.Add(handover-1), 4, "m-2", handover) || !o.free(now.Add(handover), 4, "m-2", handover) {
			t.Error("want no VM free until the handover time has passed")
		}
	})
}

// Guards against a pool that has 5 VMs for four seconds, next to 30 empty VMs, after all
// control VMs restarted during its queue's burst. The new leader applies its whole log at
// once. The fault was that all orders that the log contains, and all that an earlier part may
// have contained, counted as given at that moment.
func TestOrdersReadFromLogAtStart(t *testing.T) {
	const handover = 4 * tackclock.Second
	logged := tackclock.Time(5_000_000) // by the former leader's clock, far from this one's
	now := tackclock.Time(1_000_000)
	var o orders
	o.reset(now.Add(-tackclock.Second))
	apply := func(at tackclock.Duration, vms ...tackid.VM) {
		o.recordEntry(now, &tackreplica.Entry{Term: 3, Time: logged.Add(at)}, vms)
	}
	apply(0)
	apply(2*tackclock.Second, "old")
	apply(5*tackclock.Second, "recent")
	apply(8 * tackclock.Second)
	o.recordEntry(now, &tackreplica.Entry{Term: 4, Time: logged.Add(tackclock.Hour)}, nil)
	for _, test := range []struct {
		name string
		vm   tackid.VM
		wait tackclock.Duration
	}{
		{"a VM ordered six seconds before the log ends is free", "old", 0},
		{"a VM ordered three seconds before waits one more", "recent", tackclock.Second},
		{"a VM that the log does not name is free", "never", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.wait > 0 && o.free(now.Add(test.wait-1), 4, test.vm, handover) {
				t.Error("free too soon")
			}
			if !o.free(now.Add(test.wait), 4, test.vm, handover) {
				t.Error("not free")
			}
		})
	}
	t.Run("a short log may lack recent orders", func(t *testing.T) {
		o.reset(now)
		apply(0)
		apply(tackclock.Second)
		if o.free(now.Add(2999), 4, "never", handover) || !o.free(now.Add(3000), 4, "never", handover) {
			t.Error("want a VM that the log does not name free only after the rest of the handover time")
		}
	})
}

// Guards against crashes that are excused by an order of an earlier leader that was carried
// out before the worker that crashed had even started.
func TestOrderExplainsNoCrashAfterTheHandoverTime(t *testing.T) {
	const handover = 4 * tackclock.Second
	ordered := tackclock.Time(1_000_000)
	var o orders
	o.reset(ordered.Add(-tackclock.Minute))
	o.recordEntry(ordered, &tackreplica.Entry{Term: 3, Time: ordered}, []tackid.VM{"m-1"})
	for _, test := range []struct {
		name  string
		heard tackclock.Time
		term  tackreplica.Term
		vm    tackid.VM
		want  bool
	}{
		{"heard before the order", ordered.Add(-100), 4, "m-1", true},
		{"heard while the order may be under way", ordered.Add(handover - 1), 4, "m-1", true},
		{"heard after that", ordered.Add(handover), 4, "m-1", false},
		{"the leader itself gave the order", ordered, 3, "m-1", false},
		{"no order was given", ordered, 4, "m-2", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := o.mayEndAfter(test.heard, test.term, test.vm, handover); got != test.want {
				t.Errorf("may have ended: %v, want %v", got, test.want)
			}
		})
	}
}

func TestCallsAreBounded(t *testing.T) {
	o := orders{perSecond: 5}
	now := tackclock.Time(1_000_000)
	assertAllowance := func(t *testing.T, at tackclock.Time, want int) {
		t.Helper()
		if got := o.allowance(at, 4); got != want {
			t.Errorf("%d calls may be made, want %d", got, want)
		}
	}
	assertAllowance(t, now, 4)
	o.recordCalls(now, 4)
	assertAllowance(t, now.Add(500), 1)
	o.recordCalls(now.Add(500), 1)
	assertAllowance(t, now.Add(999), 0)
	assertAllowance(t, now.Add(tackclock.Second), 4)
	o = orders{}
	assertAllowance(t, now, 4)
}
