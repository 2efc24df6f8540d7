package tackpool

import (
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// busyFor returns VMs with work that ends after the given time.
func busyFor(after tackclock.Duration, names ...tackid.VM) []VM {
	vms := idle(names...)
	for i := range vms {
		vms[i].Idle, vms[i].Busy = 0, after
	}
	return vms
}

func assertEmptied(t *testing.T, pools []Pool, want ...tackid.VM) {
	t.Helper()
	plan := Planner{}.Plan(pools, 10)
	if len(plan.Moves) > 0 || !slices.Equal(plan.Emptied, want) {
		t.Errorf("moves %v, emptied %v, want only %v emptied", plan.Moves, plan.Emptied, want)
	}
}

// Load pattern: a burst of one queue follows that of another, and every VM of the former
// pool still runs an item or two.
//
// Without emptying, each VM gets its next item before the last one ends, so that the pool
// of the new burst grew by only three VMs a second while 38 VMs finished the rest of the
// former burst.
func TestBusyVMsAreEmptied(t *testing.T) {
	lacking := Pool{Service: "names-api", VMs: busy("z"), Demands: work(48, 3)}
	t.Run("as many as are missing, those done soonest first", func(t *testing.T) {
		other := Pool{Service: "communes", VMs: append(busyFor(900, "a", "b"), busyFor(300, "c", "d")...)}
		assertEmptied(t, []Pool{other, lacking}, "c", "d", "a")
	})
	t.Run("none that its own pool needs", func(t *testing.T) {
		other := Pool{Service: "communes", VMs: busyFor(300, "a", "b", "c", "d"), Demands: work(40, 3)}
		assertEmptied(t, []Pool{other, lacking}, "a")
	})
	t.Run("for urgent needs also those that its own pool needs", func(t *testing.T) {
		other := Pool{Service: "communes", VMs: busyFor(300, "a", "b"), Demands: work(40, 3)}
		urgent := Pool{Service: "names-api", VMs: busy("z"), Demands: []Demand{{Unplaced: 1000}}}
		assertEmptied(t, []Pool{other, urgent}, "a")
	})
	t.Run("none that is busy for too long", func(t *testing.T) {
		assertEmptied(t, []Pool{{Service: "communes", VMs: busyFor(defaultEmptyWithin+1, "a", "b")}, lacking})
	})
	t.Run("VMs that are being emptied stay chosen", func(t *testing.T) {
		other := Pool{Service: "communes", VMs: append(busyFor(900, "a", "b", "c"), busyFor(300, "d", "e")...)}
		for i := range 3 {
			other.VMs[i].Emptying = true
		}
		assertEmptied(t, []Pool{other, lacking}, "a", "b", "c")
	})
}
