package tackfleet

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"auburntack/core/tackcommand"
	"auburntack/core/tackid"

	"github.com/fxamacker/cbor/v2"
)

const (
	benchPools = 36
	benchTeams = 45
	// dayCommands is the number of remembered configuration changes of a day.
	dayCommands = 3300
)

// size is the size of a fleet: the number of VMs, and whether the state
// includes a day of commands and a full history.
type size struct {
	vms int
	day bool
}

var sizes = []size{{100, false}, {500, false}, {2300, false}, {2300, true}}

func (z size) String() string {
	if z.day {
		return fmt.Sprintf("vms=%d_day", z.vms)
	}
	return fmt.Sprintf("vms=%d", z.vms)
}

// fleetOf returns a fleet with z.vms VMs in 36 pools, a service with a budget
// of 50% on each pool, and 45 teams with quotas.
func fleetOf(t testing.TB, z size) *fleet {
	f := newFleet(t)
	for i := range benchPools {
		f.must(fmt.Sprintf("create pool pool-%d", i), fmt.Sprintf("create service service-%d on pool pool-%d", i, i),
			fmt.Sprintf("set budget service-%d min_available 50%%", i))
	}
	for i := range benchTeams {
		f.must(fmt.Sprintf("set quota team-%d slots 40 cores 400", i))
	}
	for i := range z.vms {
		id := tackid.VM(fmt.Sprintf("worker-%04d", i))
		f.apply(Change{Command: &tackcommand.Command{AddVM: &tackcommand.AddVM{VM: id, Pool: tackid.Pool(fmt.Sprintf("pool-%d", i%benchPools))}}})
		f.apply(Change{Observe: []Observation{{
			VM: id, DataCentre: tackid.DataCentre(fmt.Sprintf("dc-%d", i%10)), Rack: tackid.Rack(fmt.Sprintf("rack-%d", i/4)),
			Cores: 16, MemoryMB: 32768, Health: HealthServing,
		}}})
	}
	if z.day {
		f.applyDay()
	}
	return f
}

// applyDay fills the history and applies the commands of a day, each with an
// id.
func (f *fleet) applyDay() {
	set := f.parse("set config log.level debug")
	for range EventLimit {
		f.apply(Change{Command: set})
	}
	for i := range dayCommands {
		f.apply(Change{ID: tackid.CommandID(fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i)), Command: set})
	}
}

// TestSnapshotBytes checks the size of a snapshot, which does not depend on the
// machine, against bounds.
func TestSnapshotBytes(t *testing.T) {
	bounds := map[size]int{sizes[0]: 30_000, sizes[1]: 105_000, sizes[2]: 440_000, sizes[3]: 970_000}
	for _, z := range sizes {
		t.Run(z.String(), func(t *testing.T) {
			data, err := fleetOf(t, z).Snapshot()
			if err != nil || len(data) > bounds[z] {
				t.Fatalf("%d bytes, %v, want at most %d", len(data), err, bounds[z])
			}
		})
	}
}

// TestChangeBytes checks the size of the most common changes in a log entry,
// and of a remembered command in a snapshot, against bounds.
func TestChangeBytes(t *testing.T) {
	f := newFleet(t)
	id := tackid.CommandID("0f8fad5b-d9cb-469f-a165-0e02b2c3d479")
	var step []tackid.VM
	for i := range 20 {
		step = append(step, tackid.VM(fmt.Sprintf("worker-%04d", i)))
	}
	remembered := storedAnswer{ID: id, Time: 1_764_000_000_000, Answer: answer{Revision: 1_000_000}}
	tests := []struct {
		name  string
		value any
		bound int
	}{
		{"drain", Change{ID: id, Command: f.parse("drain vm worker-0001")}, 60},
		{"set_config", Change{ID: id, Command: f.parse("set config log.level debug")}, 65},
		{"observe", Change{Observe: []Observation{{VM: step[1], DataCentre: "rennes-a", Rack: "r4", Cores: 16, MemoryMB: 32768, Health: HealthServing}}}, 45},
		{"wave_step_of_20", Change{WaveStep: &WaveStep{Wave: "night-12", VMs: step}}, 260},
		{"wave_phase", Change{WavePhases: []WavePhase{{Wave: "night-12", VM: step[1], Phase: PhaseOperating, Operation: "night-12/worker-0001/1"}}}, 55},
		{"remembered_command", remembered, 85},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := cbor.Marshal(test.value)
			t.Logf("%d bytes", len(data))
			if err != nil || len(data) > test.bound {
				t.Fatalf("%d bytes, %v, want at most %d", len(data), err, test.bound)
			}
		})
	}
}

// TestApplyAllocations checks the allocations of the most common changes
// against bounds.
func TestApplyAllocations(t *testing.T) {
	f := fleetOf(t, sizes[2])
	for _, b := range applyCases(f) {
		t.Run(b.name, func(t *testing.T) {
			allocations := testing.AllocsPerRun(100, func() { b.apply() })
			if allocations > b.allocations {
				t.Fatalf("%.0f allocations, want at most %.0f", allocations, b.allocations)
			}
		})
	}
}

// applyCase applies one or two changes that together leave the fleet unchanged.
type applyCase struct {
	name        string
	apply       func()
	allocations float64
}

func applyCases(f *fleet) []applyCase {
	drain, undrain := f.parse("drain vm worker-0010"), f.parse("undrain vm worker-0010")
	set := f.parse("set config log.level info")
	health := HealthServing
	return []applyCase{
		{"drain_undrain", func() { f.accept(Change{Command: drain}); f.accept(Change{Command: undrain}) }, 14},
		{"set_config", func() { f.accept(Change{Command: set}) }, 4},
		{"observe", func() {
			health = HealthServing + HealthLost - health
			f.accept(Change{Observe: []Observation{{VM: "worker-0010", Health: health}}})
		}, 4},
	}
}

// accept applies a change that has to be accepted.
func (f *fleet) accept(c Change) {
	if r := f.apply(c); r.Refused != nil {
		f.t.Fatalf("%+v: %v", c, r.Refused)
	}
}

func BenchmarkApply(b *testing.B) {
	for _, z := range sizes {
		f := fleetOf(b, z)
		for _, c := range applyCases(f) {
			b.Run(c.name+"/"+z.String(), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c.apply()
				}
			})
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, z := range sizes {
		f := fleetOf(b, z)
		b.Run(z.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				data, err := f.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "snapshot_bytes")
			}
		})
	}
}

// BenchmarkRestore also reports the bytes of heap that a restored fleet holds.
func BenchmarkRestore(b *testing.B) {
	for _, z := range sizes {
		data, err := fleetOf(b, z).Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(z.String(), func(b *testing.B) {
			b.ReportAllocs()
			before := heap()
			var s State
			for b.Loop() {
				if err := s.Restore(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heap()-before), "heap_bytes")
			runtime.KeepAlive(&s)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCheckedBefore counts how often a budget would be broken if it were
// checked only against the proposer's state, and not again when the change is
// applied. There are up to three changes in flight, each of which drains or
// undrains one of the 64 VMs of a pool with a budget of 80%.
func BenchmarkCheckedBefore(b *testing.B) {
	const window, changes = 3, 10_000
	for _, underWay := range []int{0, 1, window} {
		b.Run(fmt.Sprintf("under_way=%d", underWay), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				broken := raceBudgets(b, underWay, changes)
				b.ReportMetric(float64(broken)*1000/changes, "breaches/1000_changes")
			}
		})
	}
}

// raceBudgets returns how many of the drains that the budget allowed when they
// were proposed are refused when they are applied, underWay changes later.
func raceBudgets(b *testing.B, underWay, changes int) int {
	f := fleetOf(b, sizes[2])
	f.must("set budget service-0 min_available 80%")
	random := rand.New(rand.NewPCG(1, 2))
	var queue []Change
	broken := 0
	for range changes {
		id := tackid.VM(fmt.Sprintf("worker-%04d", random.IntN(63)*benchPools))
		v, _ := f.VM(id)
		switch {
		case v.State != VMInService:
			queue = append(queue, Change{Command: &tackcommand.Command{UndrainVM: &tackcommand.UndrainVM{VM: id}}})
		case f.CheckTake([]tackid.VM{id}) == nil:
			queue = append(queue, Change{Command: &tackcommand.Command{DrainVM: &tackcommand.DrainVM{VM: id}}})
		}
		if len(queue) <= underWay {
			continue
		}
		if r := f.apply(queue[0]); r.Refused != nil && r.Refused.Code == CodeBudget {
			broken++
		}
		queue = queue[1:]
	}
	return broken
}
