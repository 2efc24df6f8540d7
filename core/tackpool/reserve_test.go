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

// fleet is pools of idle VMs whose work is set by the test, and a standby pool.
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
			vm.Resources.MilliCores = vmCores
			p.VMs = append(p.VMs, vm)
		}
		f.pools = append(f.pools, p)
	}
	f.pools = append(f.pools, Pool{Service: "standby", Standby: true})
	return f
}

// run simulates planner rounds over the time d, in which pool 0 wants the given
// number of millicores. Moves take effect at once.
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
		plan := Planner{Reserve: f.reserve.MilliCores(f.now), SinceFirstWork: f.reserve.SinceFirstWork(f.now)}.Plan(f.pools, 200)
		for _, m := range plan.Moves {
			f.apply(m)
		}
	}
}

func (f *fleet) apply(m Move) {
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

func (f *fleet) parked() int {
	return len(f.pools[len(f.pools)-1].VMs)
}

func constant(milliCores int) func(tackclock.Duration) int {
	return func(tackclock.Duration) int { return milliCores }
}

// rising returns the work of a burst, which rises for two seconds.
func rising(milliCores int) func(tackclock.Duration) int {
	return func(d tackclock.Duration) int {
		return milliCores * int(min(d, 2*tackclock.Second)) / int(2*tackclock.Second)
	}
}

func assertParked(t *testing.T, f *fleet, low, high int) {
	t.Helper()
	if got := f.parked(); got < low || got > high {
		t.Errorf("%d VMs are parked, want %d to %d", got, low, high)
	}
}

// VMs that no burst has ever required must be parked before the break-even time: here, a
// fleet of a thousand VMs whose bursts take fifty.
func TestVMsBeyondReserveAreParked(t *testing.T) {
	f := newFleet(500, 500)
	f.run(12*tackclock.Second, rising(50*vmCores))
	// Pool 0 keeps the VMs for its work and for the reserve, pool 1 those for the
	// reserve.
	assertParked(t, f, 1000-150-2, 1000-150+2)
}

// When a burst takes all of a pool, no VM is beyond the reserve, and the next burst must
// find all of them.
func TestNothingIsParkedWhenBurstsTakeWholePool(t *testing.T) {
	f := newFleet(50, 50)
	f.run(12*tackclock.Second, rising(50*vmCores))
	assertParked(t, f, 0, 0)
}

// VMs must not be parked before work has been observed for a while, or if none has been
// observed at all.
func TestNothingIsParkedBeforeReserveIsKnown(t *testing.T) {
	t.Run("no work observed", func(t *testing.T) {
		f := newFleet(500)
		f.run(20*tackclock.Second, constant(0))
		assertParked(t, f, 0, 0)
	})
	t.Run("work observed briefly", func(t *testing.T) {
		f := newFleet(500)
		f.run(reserveKnownAfter-roundEvery, constant(vmCores))
		assertParked(t, f, 0, 0)
	})
}

// Idle time before the first work must not count, or VMs are parked just when the first
// bursts come. In a fleet without any work it must count, or its VMs are never parked.
func TestIdleTimeCountsFromFirstWork(t *testing.T) {
	t.Run("with work", func(t *testing.T) {
		f := newFleet(50, 50)
		f.run(defaultParkAfter-3*tackclock.Second, constant(0))
		f.run(defaultParkAfter/2, constant(50*vmCores))
		assertParked(t, f, 0, 0)
		f.run(defaultParkAfter, constant(50*vmCores))
		assertParked(t, f, 20, 50)
	})
	t.Run("without", func(t *testing.T) {
		f := newFleet(50, 50)
		f.run(2*defaultParkAfter, constant(0))
		assertParked(t, f, 60, 100)
	})
}

// Work that a new leader finds must not count as work that never rises.
func TestInitialWorkCountsAsRise(t *testing.T) {
	f := newFleet(500)
	f.run(5*tackclock.Second, constant(100*vmCores))
	if got := f.reserve.MilliCores(f.now); got != 100*vmCores {
		t.Errorf("reserve of %d, want %d", got, 100*vmCores)
	}
}

// The reserve must not stay at the level of the highest burst ever observed.
func TestRisesAreForgotten(t *testing.T) {
	f := newFleet(20)
	f.run(5*tackclock.Second, rising(10*vmCores))
	f.run(3*riseWindow, constant(10*vmCores))
	if got := f.reserve.MilliCores(f.now); got != 0 {
		t.Errorf("reserve of %d, want 0 after the riseWindow", got)
	}
}

// Parking must not use up the moves that the platform allows while a queue needs VMs.
func TestParkingLeavesMovesForNeeds(t *testing.T) {
	f := newFleet(1000)
	f.run(reserveKnownAfter, constant(vmCores))
	f.moves = nil
	f.run(roundEvery, constant(vmCores))
	if got := len(f.moves); got == 0 || got > 100 {
		t.Errorf("%d VMs parked in a round with a limit of 200 moves, want 1 to 100", got)
	}
}
