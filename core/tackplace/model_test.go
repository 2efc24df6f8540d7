package tackplace

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"

	"pgregory.net/rapid"
)

// TestMachine runs the placer with lost and late orders, late proposals, lost
// workers and new leaders, and checks what the workers run.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 4, 4, 4000)
		w.loss, w.late = 0.2, 0.3
		w.do(tackcommand.Command{SetQuota: &tackcommand.SetQuota{Team: "t-0", Cores: 5}})
		w.actual = func(*Order) (float64, float64, tackclock.Duration) {
			return w.rng.Float64() * 3, w.rng.Float64() * 900, tackclock.Duration(w.rng.IntN(120_000))
		}
		made := 0
		vm := func() tackid.VM { return tackid.VM(fmt.Sprintf("w-%04d", rapid.IntRange(0, 3).Draw(t, "vm"))) }
		actions := map[string]func(*rapid.T){
			"create": func(t *rapid.T) {
				class := tackid.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				w.create(fmt.Sprint("task-", made), fmt.Sprint("t-", made%3), rapid.IntRange(1, 3).Draw(t, "cores"),
					1000, class, rapid.Bool().Draw(t, "idempotent"))
				made++
			},
			"cancel": func(t *rapid.T) { w.cancel(fmt.Sprint("task-", rapid.IntRange(0, made).Draw(t, "task"))) },
			"wait": func(t *rapid.T) {
				w.run(tackclock.Duration(rapid.SampledFrom([]int{200, 1000, 5000, 30_000}).Draw(t, "ms")))
			},
			"cut": func(t *rapid.T) {
				id := vm()
				w.workers[id].disconnected = !w.workers[id].disconnected
				health := tackfleet.HealthServing
				if w.workers[id].disconnected && rapid.Bool().Draw(t, "noticed") {
					health = tackfleet.HealthLost
				}
				w.observe(id, health)
			},
			"drain":   func(*rapid.T) { w.do(tackcommand.Command{DrainVM: &tackcommand.DrainVM{VM: vm()}}) },
			"undrain": func(*rapid.T) { w.do(tackcommand.Command{UndrainVM: &tackcommand.UndrainVM{VM: vm()}}) },
			"leader":  func(*rapid.T) { w.replaceLeader() },
			"":        func(t *rapid.T) { assertSound(t, w) },
		}
		// Some faults need a longer history than one call of Repeat makes.
		for range 4 {
			t.Repeat(actions)
		}
	})
}
