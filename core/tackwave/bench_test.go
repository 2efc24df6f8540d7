package tackwave

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// scenario is a fleet and a number of nights with waves over its pools.
	scenario struct {
		name   string
		dcs    int
		prefer Prefer
		pools  []poolSize
		nights int // number of nights over which the pools are spread
		only   int // number of nights to run, 0 for all
		faults faults
		losses bool // a rack and a data centre are lost during waves
		step   tackclock.Duration
	}

	poolSize struct {
		name   string
		vms    int
		budget int // percent
	}

	// policy is the planner, or a baseline that replaces its steps.
	policy struct {
		name  string
		group func(w *world, wave *tackfleet.Wave, waiting []tackid.VM) []tackid.VM
	}

	// outcome holds the measurements of a scenario under a policy.
	outcome struct {
		peak, drains, breaches, stopped int
		length, bound, reserved, short  tackclock.Duration
	}
)

var (
	brittany = scenario{name: "Brittany", dcs: 4, nights: 1, step: tackclock.Second, pools: []poolSize{
		{"names-api", 8, 75}, {"communes", 9, 75}, {"addresses", 11, 75}, {"heritage", 12, 75}, {"backoffice", 8, 75},
		{"workers", 50, 80}}}
	mindanao = scenario{name: "Mindanao", dcs: 3, nights: 1, step: tackclock.Second, prefer: PreferTime, pools: []poolSize{
		{"dawn-svc", 9, 75}, {"ramadan-svc", 9, 75}, {"jumuah-svc", 11, 75}, {"eid-svc", 12, 75}, {"member-svc", 8, 75},
		{"workers", 50, 80}}}
	largeFleet = scenario{name: "large fleet", dcs: 10, nights: 18, prefer: PreferTime, pools: largeFleetPools(2300), losses: true,
		// 16 failures and 530 restarts a day among 2,300 VMs, by steps of 2 s.
		step: 2 * tackclock.Second, faults: faults{loss: 546.0 / 2300 / 43200, secondLoss: 0.02}}
	scenarios = []scenario{brittany, mindanao, largeFleet}

	policies = []policy{
		{"planner", nil},
		{"one VM at a time", func(_ *world, _ *tackfleet.Wave, waiting []tackid.VM) []tackid.VM { return waiting[:1] }},
		{"one rack at a time", rackGroup},
		{"a fixed 10 %", fixedShare(10)},
		{"a fixed 25 %", fixedShare(4)},
	}
)

func largeFleetPools(workers int) []poolSize {
	pools := make([]poolSize, 36)
	for i := range pools {
		pools[i] = poolSize{fmt.Sprintf("pool-%02d", i), workers*(i+1)/36 - workers*i/36, 80}
	}
	return pools
}

func fixedShare(of int) func(*world, *tackfleet.Wave, []tackid.VM) []tackid.VM {
	return func(_ *world, v *tackfleet.Wave, waiting []tackid.VM) []tackid.VM {
		return waiting[:min(len(waiting), max(1, len(v.VMs)/of))]
	}
}

func rackGroup(w *world, _ *tackfleet.Wave, waiting []tackid.VM) []tackid.VM {
	first := w.machines[waiting[0]]
	return slices.DeleteFunc(slices.Clone(waiting), func(id tackid.VM) bool {
		return w.machines[id].dc != first.dc || w.machines[id].rack != first.rack
	})
}

// replaceSteps replaces the planner's steps by groups of VMs: the next group is
// taken when every VM of the last one is back.
func (p policy) replaceSteps(w *world, d Decision) Decision {
	d.Changes = slices.DeleteFunc(d.Changes, func(c tackfleet.Change) bool { return c.WaveStep != nil })
	for _, v := range w.fleet.Waves() {
		var waiting []tackid.VM
		for _, m := range v.VMs {
			vm, _ := w.fleet.VM(m.VM)
			if m.Phase == tackfleet.PhaseWaiting && vm.Health == tackfleet.HealthServing {
				waiting = append(waiting, m.VM)
			}
		}
		if v.Status == tackfleet.WaveRunning && v.HeldCount() == 0 && len(waiting) > 0 {
			step := tackfleet.WaveStep{Wave: v.ID, VMs: p.group(w, &v, waiting)}
			d.Changes = append(d.Changes, tackfleet.Change{WaveStep: &step})
		}
	}
	return d
}

// measure runs the scenario's nights one after the other.
func (s scenario) measure(p policy) outcome {
	w := newWorld(1)
	w.cfg.Prefer = s.prefer
	w.step = cmp.Or(s.step, w.step)
	for _, pool := range s.pools {
		w.addPool(pool.name, pool.vms, s.dcs, percent(pool.budget), p.group == nil)
	}
	if p.group != nil {
		w.baseline = p.replaceSteps
	}
	var o outcome
	w.faults = s.faults
	for night := range cmp.Or(s.only, s.nights) {
		for i := night; i < len(s.pools); i += s.nights {
			w.startWave(fmt.Sprintf("wave-%02d", i), s.pools[i].name, tackfleet.ActionUpgrade, 0)
		}
		start := w.now
		s.lose(w, night)
		w.run(12 * tackclock.Hour)
		o.length += w.now.Sub(start)
		strict, reserved := s.bounds(w, night)
		o.bound += strict
		o.reserved += reserved
		w.now = w.now.Add(12 * tackclock.Hour)
		w.observe()
	}
	for _, v := range w.fleet.Waves() {
		if v.Status != tackfleet.WaveFinished {
			o.stopped++
		}
	}
	o.peak, o.drains, o.breaches, o.short = w.peak, w.drains, w.breaches, w.short
	return o
}

// lose takes down a rack in the second night and a data centre in the third,
// while the waves have the largest number of VMs out of service.
func (s scenario) lose(w *world, night int) {
	if !s.losses || night < 1 || night > 2 {
		return
	}
	w.run(25 * tackclock.Minute)
	w.loseWhere(20*tackclock.Minute, func(m *machine) bool {
		return m.dc == "dc1" && (night == 2 || m.rack == "pool-01-r0")
	})
}

// bounds returns lower bounds on the length of the night's longest wave,
// computed from the durations of its reboots: with the budgets alone, and with
// the reserve too.
func (s scenario) bounds(w *world, night int) (strict, reserved tackclock.Duration) {
	for i := night; i < len(s.pools); i += s.nights {
		pool := s.pools[i]
		var sum, longest tackclock.Duration
		for _, d := range w.reboots[tackid.Pool(pool.name)] {
			sum, longest = sum+d, max(longest, d)
		}
		slack := pool.vms - (pool.vms*pool.budget+99)/100
		strict = max(strict, sum/tackclock.Duration(slack), longest)
		reserved = max(reserved, sum/tackclock.Duration(w.reservedSlots(pool.name, slack)), longest)
	}
	return strict, reserved
}

// reservedSlots returns how many VMs of the pool can be out of service at once
// while the budget still holds after the loss of any data centre. If that is
// impossible it uses the loss of any rack, or else no loss at all.
func (w *world) reservedSlots(pool string, slack int) int {
	dcs, racks := make(map[string]int), make(map[string]int)
	for vm := range w.fleet.EachVM() {
		if string(vm.Pool) == pool {
			dcs[string(vm.DataCentre)]++
			racks[string(vm.DataCentre)+string(vm.Rack)]++
		}
	}
	for _, domains := range []map[string]int{dcs, racks} {
		out := 0
		for ; ; out++ {
			largest := ""
			for d, n := range domains {
				if n > domains[largest] {
					largest = d
				}
			}
			if out+domains[largest] > slack {
				break
			}
			domains[largest]--
		}
		if out > 1 {
			return out - 1
		}
	}
	return slack
}

func minutes(d tackclock.Duration) float64 {
	return float64(d) / float64(tackclock.Minute)
}

// TestFigures checks the planner's figures against bounds. They depend only on
// the simulated clock and the seeds, so they are the same on every machine. Of
// the large fleet's nights it runs one without losses, one that loses a rack
// and one that loses a data centre; BenchmarkWaves runs all nights, and the
// baselines.
func TestFigures(t *testing.T) {
	short := largeFleet
	short.only = 3
	for _, c := range []struct {
		scenario
		peak    int     // VMs
		length  float64 // minutes
		reserve float64 // times the bound with the reserve
	}{
		{brittany, 2, 200, 8},
		{mindanao, 17, 38, 1.5},
		{short, 12, 195, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := c.measure(policies[0])
			t.Logf("%+v", o)
			if o.breaches > 0 || o.stopped > 0 {
				t.Fatalf("%d breaches, %d waves stopped", o.breaches, o.stopped)
			}
			if o.peak > c.peak || minutes(o.length) > c.length || minutes(o.length) > c.reserve*minutes(o.reserved) {
				t.Fatalf("%d VMs out, %.1f min, bound %.1f min", o.peak, minutes(o.length), minutes(o.reserved))
			}
		})
	}
}

// BenchmarkWaves measures each scenario under the planner and the baselines.
func BenchmarkWaves(b *testing.B) {
	for _, s := range scenarios {
		for _, p := range policies {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				b.ReportAllocs()
				var o outcome
				for b.Loop() {
					o = s.measure(p)
				}
				b.ReportMetric(float64(o.peak), "buffer_vms")
				b.ReportMetric(minutes(o.length), "rollout_min")
				b.ReportMetric(float64(o.drains), "drains")
				b.ReportMetric(float64(o.breaches), "breaches")
				b.ReportMetric(minutes(o.short), "short_min")
				b.ReportMetric(float64(o.stopped), "stopped")
				b.ReportMetric(minutes(o.length)/minutes(o.bound), "x_bound")
				b.ReportMetric(minutes(o.length)/minutes(o.reserved), "x_reserve")
			})
		}
	}
}

// BenchmarkPlan measures the cost plan of one pool of n VMs among 2,300, and a
// tick while a wave runs over that pool.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{64, 100, 500, 2300} {
		w := newWorld(1)
		w.addPool("p", n, 10, percent(80), true)
		w.addPool("others", 2300-n, 10, percent(80), true)
		b.Run(fmt.Sprintf("cost/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Cost(w.fleet, "p", tackfleet.ActionUpgrade, 0, Settings{Prefer: PreferTime})
			}
		})
		w.startWave("n", "p", tackfleet.ActionUpgrade, 0)
		w.run(20 * tackclock.Minute)
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.planner.Decide(w, w.cfg)
			}
		})
	}
}

// TestPlanStaysSmall checks the bytes allocated by a cost plan for one pool of
// the large fleet.
func TestPlanStaysSmall(t *testing.T) {
	w := newWorld(1)
	w.addPool("p", 64, 10, percent(80), true)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	Cost(w.fleet, "p", tackfleet.ActionUpgrade, 0, Settings{Prefer: PreferTime})
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > 1<<20 {
		t.Fatalf("a plan for 64 VMs allocated %d bytes", n)
	}
}
