package tackpool

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	roundEvery = 150 * tackclock.Millisecond
	vmCores    = 16_000
)

// fleet is pools of idle VMs whose work the test sets, and a standby pool.
type fleet struct {
	now     tackclock.Time
	pools   []Pool
	reserve Reserve
	moves   []Move
}

func newFleet(vms ...int) *fleet {
	f := &fleet{now: 1_000_000}
	for i, n := range vms {
		p := Pool{Service: tackid.Service(fmt.Sprintf("pool-%d", i)), Demands: []Demand{{}}}
		for k := range n {
			vm := VM{Name: tackid.VM(fmt.Sprintf("m-%d-%d", i, k)), Idle: tackclock.Second}
			vm.Room.MilliCores = vmCores
			p.VMs = append(p.VMs, vm)
		}
		f.pools = append(f.pools, p)
	}
	f.pools = append(f.pools, Pool{Service: "standby", Standby: true})
	return f
}

// run has time pass in rounds in which pool 0 wants so many thousandths of a core, and
// VMs go where the planner sends them at once.
func (f *fleet) run(d tackclock.Duration, wanted func(tackclock.Duration) int) {
	began := f.now
	for f.now.Sub(began) < d {
		f.now = f.now.Add(roundEvery)
		f.pools[0].Demands[0].Arriving = wanted(f.now.Sub(began))
		for i := range f.pools {
			for k := range f.pools[i].VMs {
				f.pools[i].VMs[k].Idle += roundEvery
			}
		}
		f.reserve.Observe(f.now, Planner{}, f.pools)
		plan := Planner{Reserve: f.reserve.MilliCores(f.now), WantedFor: f.reserve.WantedFor(f.now)}.Plan(f.pools, 200)
		for _, m := range plan.Moves {
			f.carryOut(m)
		}
	}
}

func (f *fleet) carryOut(m Move) {
	f.moves = append(f.moves, m)
	for i := range f.pools {
		for k, vm := range f.pools[i].VMs {
			if vm.Name == m.VM {
				f.pools[i].VMs = append(f.pools[i].VMs[:k:k], f.pools[i].VMs[k+1:]...)
				to := &f.pools[len(f.pools)-1]
				to.VMs = append(to.VMs, vm)
				return
			}
		}
	}
}

func (f *fleet) atRest() int {
	return len(f.pools[len(f.pools)-1].VMs)
}

func constant(milliCores int) func(tackclock.Duration) int {
	return func(tackclock.Duration) int { return milliCores }
}

// rising is a turn's work, which rises for two seconds.
func rising(milliCores int) func(tackclock.Duration) int {
	return func(d tackclock.Duration) int {
		return milliCores * int(min(d, 2*tackclock.Second)) / int(2*tackclock.Second)
	}
}

func assertAtRest(t *testing.T, f *fleet, low, high int) {
	t.Helper()
	if got := f.atRest(); got < low || got > high {
		t.Errorf("%d VMs rest, want %d to %d", got, low, high)
	}
}

// Guards against VMs that are kept for the break-even time though no turn ever asked for
// them: a fleet of a thousand VMs whose turns take fifty.
func TestVMsBeyondTheReserveRest(t *testing.T) {
	f := newFleet(500, 500)
	f.run(12*tackclock.Second, rising(50*vmCores))
	// Pool 0 keeps its work and the reserve, pool 1 the reserve alone.
	assertAtRest(t, f, 1000-150-2, 1000-150+2)
}

// Guards against turns that begin without the VMs they need: work that takes all of a
// pool leaves nothing beyond the reserve.
func TestTurnsOfAWholePoolLeaveNothingToRest(t *testing.T) {
	f := newFleet(50, 50)
	f.run(12*tackclock.Second, rising(50*vmCores))
	assertAtRest(t, f, 0, 0)
}

// Guards against VMs that rest on the word of a moment: before work was seen for a while,
// and where none was seen at all.
func TestNothingRestsBeforeTheReserveIsKnown(t *testing.T) {
	t.Run("no work was seen", func(t *testing.T) {
		f := newFleet(500)
		f.run(20*tackclock.Second, constant(0))
		assertAtRest(t, f, 0, 0)
	})
	t.Run("work was seen for a moment", func(t *testing.T) {
		f := newFleet(500)
		f.run(reserveKnownAfter-roundEvery, constant(vmCores))
		assertAtRest(t, f, 0, 0)
	})
}

// Guards against VMs that go to rest just when the first turns come, since they were idle
// before there was any work; and against a fleet without work that never rests.
func TestIdleTimeCountsFromTheFirstWork(t *testing.T) {
	t.Run("with work", func(t *testing.T) {
		f := newFleet(50, 50)
		f.run(defaultParkAfter-3*tackclock.Second, constant(0))
		f.run(defaultParkAfter/2, constant(50*vmCores))
		assertAtRest(t, f, 0, 0)
		f.run(defaultParkAfter, constant(50*vmCores))
		assertAtRest(t, f, 20, 50)
	})
	t.Run("without", func(t *testing.T) {
		f := newFleet(50, 50)
		f.run(2*defaultParkAfter, constant(0))
		assertAtRest(t, f, 60, 100)
	})
}

// Guards against a leader that takes the work that it finds for work that never rises.
func TestWorkThatALeaderFindsCountsAsRisen(t *testing.T) {
	f := newFleet(500)
	f.run(5*tackclock.Second, constant(100*vmCores))
	if got := f.reserve.MilliCores(f.now); got != 100*vmCores {
		t.Errorf("reserve of %d, want %d", got, 100*vmCores)
	}
}

// Guards against a reserve that stays as high as the highest turn ever seen.
func TestRisesAreForgotten(t *testing.T) {
	f := newFleet(20)
	f.run(5*tackclock.Second, rising(10*vmCores))
	f.run(3*risesKept, constant(10*vmCores))
	if got := f.reserve.MilliCores(f.now); got != 0 {
		t.Errorf("reserve of %d, want none after so long", got)
	}
}

// Guards against rest that takes all the moves that the platform allows while a queue
// needs VMs.
func TestRestLeavesMovesToWhatIsNeeded(t *testing.T) {
	f := newFleet(1000)
	f.run(reserveKnownAfter, constant(vmCores))
	f.moves = nil
	f.run(roundEvery, constant(vmCores))
	if got := len(f.moves); got == 0 || got > 100 {
		t.Errorf("%d moves to rest in a round that may make 200", got)
	}
}
