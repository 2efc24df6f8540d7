package tackpool

import (
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// through gives VMs work that ends after the given time.
func through(after tackclock.Duration, names ...tackid.VM) []VM {
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

// Load pattern: one queue's turn follows another's, and every VM of the former
// pool still runs an item or two.
//
// Symptom: the new turn's pool grew by three VMs a second while 38 VMs did the rest
// of the former turn. Cause: each VM got its next item before the last one ended.
func TestBusyVMsAreEmptied(t *testing.T) {
	lacking := Pool{Service: "names-api", VMs: busy("z"), Demands: work(48, 3)}
	t.Run("as many as are lacked, soonest through first", func(t *testing.T) {
		other := Pool{Service: "communes", VMs: append(through(900, "a", "b"), through(300, "c", "d")...)}
		assertEmptied(t, []Pool{other, lacking}, "c", "d", "a")
	})
	t.Run("none that its pool needs", func(t *testing.T) {
		other := Pool{Service: "communes", VMs: through(300, "a", "b", "c", "d"), Demands: work(40, 3)}
		assertEmptied(t, []Pool{other, lacking}, "a")
	})
	t.Run("for what is urgent also those that it needs", func(t *testing.T) {
		other := Pool{Service: "communes", VMs: through(300, "a", "b"), Demands: work(40, 3)}
		urgent := Pool{Service: "names-api", VMs: busy("z"), Demands: []Demand{{Unplaced: 1000}}}
		assertEmptied(t, []Pool{other, urgent}, "a")
	})
	t.Run("none that is busy for long", func(t *testing.T) {
		assertEmptied(t, []Pool{{Service: "communes", VMs: through(defaultEmptyWithin+1, "a", "b")}, lacking})
	})
	t.Run("those that are being emptied go on", func(t *testing.T) {
		other := Pool{Service: "communes", VMs: append(through(900, "a", "b", "c"), through(300, "d", "e")...)}
		for i := range 3 {
			other.VMs[i].Emptying = true
		}
		assertEmptied(t, []Pool{other, lacking}, "a", "b", "c")
	})
}
