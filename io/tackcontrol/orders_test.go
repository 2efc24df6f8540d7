package tackcontrol

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

// Symptom: two leaders ordered one VM about within a moment, and the VM went
// there and back. Sequence: a leader orders a VM and is lost; the next one plans
// by what it sees. Cause: it does not know what the former one ordered last.
func TestOrdersOfAnEarlierLeaderAreWaitedFor(t *testing.T) {
	const handover = 4 * tackclock.Second
	began := tackclock.Time(1_000_000)
	now := began.Add(60 * tackclock.Second)
	var o orders
	o.reset(began)
	o.follow(began, &tackreplica.Entry{Term: 3, Time: began}, nil)
	o.follow(now, &tackreplica.Entry{Term: 3, Time: now}, []tackid.VM{"m-1"})
	for _, test := range []struct {
		name string
		at   tackclock.Time
		term tackreplica.Term
		vm   tackid.VM
		want bool
	}{
		{"its own leader goes on", now, 3, "m-1", true},
		{"the next one waits", now.Add(handover - 1), 4, "m-1", false},
		{"and orders it when the time is over", now.Add(handover), 4, "m-1", true},
		{"a VM that nobody ordered is free", now, 4, "m-2", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := o.free(test.at, test.term, test.vm, handover); got != test.want {
				t.Errorf("free: %v, want %v", got, test.want)
			}
		})
	}
	t.Run("after a start nothing is known for a while", func(t *testing.T) {
		o.reset(now)
		if o.free(now.Add(handover-1), 4, "m-2", handover) || !o.free(now.Add(handover), 4, "m-2", handover) {
			t.Error("want all VMs left alone until what the log held before is old")
		}
	})
}

// Symptom: after a restart of all control VMs in a queue's turn its pool had 5 VMs
// for four seconds beside 30 empty ones. Sequence: all restart, one begins to lead
// and has its whole log applied at once. Cause: it took all that the log names, and
// all that it may have named before, for ordered just then.
func TestOrdersThatAStartReadsFromTheLog(t *testing.T) {
	const handover = 4 * tackclock.Second
	logged := tackclock.Time(5_000_000) // by the former leader's clock, far from this one's
	now := tackclock.Time(1_000_000)
	var o orders
	o.reset(now.Add(-tackclock.Second))
	apply := func(at tackclock.Duration, vms ...tackid.VM) {
		o.follow(now, &tackreplica.Entry{Term: 3, Time: logged.Add(at)}, vms)
	}
	apply(0)
	apply(2*tackclock.Second, "old")
	apply(5*tackclock.Second, "recent")
	apply(8 * tackclock.Second)
	o.follow(now, &tackreplica.Entry{Term: 4, Time: logged.Add(tackclock.Hour)}, nil)
	for _, test := range []struct {
		name string
		vm   tackid.VM
		wait tackclock.Duration
	}{
		{"a VM ordered six seconds before the log ends is free", "old", 0},
		{"one ordered three seconds before waits one more", "recent", tackclock.Second},
		{"one that the log does not name is free", "never", 0},
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
	t.Run("a log that is short tells little", func(t *testing.T) {
		o.reset(now)
		apply(0)
		apply(tackclock.Second)
		if o.free(now.Add(2999), 4, "never", handover) || !o.free(now.Add(3000), 4, "never", handover) {
			t.Error("want a VM that the log does not name left alone for the rest of the time")
		}
	})
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
	o.spend(now, 4)
	assertAllowance(t, now.Add(500), 1)
	o.spend(now.Add(500), 1)
	assertAllowance(t, now.Add(999), 0)
	assertAllowance(t, now.Add(tackclock.Second), 4)
	o = orders{}
	assertAllowance(t, now, 4)
}
