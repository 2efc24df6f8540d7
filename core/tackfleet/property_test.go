package tackfleet

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

var (
	somePools    = []tackid.Pool{"a", "b", "c"}
	someVMs      = []tackid.VM{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"}
	someWaves    = []tackid.Wave{"m1", "m2", "m3"}
	someServices = []tackid.Service{"api", "names", "eid"}
	someTasks    = []tackid.Task{"t1", "t2", "t3", "t4"}
)

// drawChange draws a change of any kind; many of them are not valid in the
// state.
func drawChange(t *rapid.T, s *State) Change {
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0, 1, 2:
		return Change{Command: drawCommand(t)}
	case 3, 4:
		return Change{Observe: []Observation{{VM: draw(t, someVMs), Health: draw(t, []Health{HealthServing, HealthServing, HealthServing, HealthLost, HealthUnknown})}}}
	case 5, 6:
		return Change{WaveStep: drawStep(t, s)}
	case 7, 8:
		return Change{WavePhases: []WavePhase{drawPhase(t, s)}}
	case 9:
		return Change{Drained: []tackid.VM{draw(t, someVMs)}}
	case 10:
		return Change{Joined: []tackid.VM{draw(t, someVMs)}}
	}
	state := TaskState(rapid.IntRange(0, int(TaskUnknown)).Draw(t, "state"))
	return Change{Tasks: []TaskChange{{Task: draw(t, someTasks), State: state, Worker: draw(t, someVMs)}}}
}

// drawStep draws a step of a wave, mostly with VMs of its pool.
func drawStep(t *rapid.T, s *State) *WaveStep {
	step := &WaveStep{Wave: draw(t, someWaves)}
	vms := someVMs
	if w, found := s.Wave(step.Wave); found && len(s.VMsOf(w.Pool)) > 0 && rapid.IntRange(0, 7).Draw(t, "own pool") > 0 {
		vms = nil
		for _, v := range s.VMsOf(w.Pool) {
			vms = append(vms, v.ID)
		}
	}
	step.VMs = rapid.SliceOfNDistinct(rapid.SampledFrom(vms), 1, min(3, len(vms)), rapid.ID).Draw(t, "step")
	return step
}

// drawPhase draws a phase change, mostly the next phase of a VM that a wave
// holds.
func drawPhase(t *rapid.T, s *State) WavePhase {
	phase := Phase(rapid.IntRange(0, int(PhaseSkipped)).Draw(t, "phase"))
	var next []WavePhase
	for _, w := range s.Waves() {
		for _, m := range w.VMs {
			if m.Phase >= PhaseDraining && m.Phase <= PhaseSettling {
				next = append(next, WavePhase{Wave: w.ID, VM: m.VM, Phase: m.Phase + 1})
			}
		}
	}
	if len(next) > 0 && rapid.IntRange(0, 3).Draw(t, "in order") > 0 {
		return draw(t, next)
	}
	return WavePhase{Wave: draw(t, someWaves), VM: draw(t, someVMs), Phase: phase}
}

func drawCommand(t *rapid.T) *tackcommand.Command {
	vm, pool, wave := draw(t, someVMs), draw(t, somePools), draw(t, someWaves)
	return rapid.SampledFrom([]*tackcommand.Command{
		{AddVM: &tackcommand.AddVM{VM: vm, Pool: pool}},
		{MoveVM: &tackcommand.MoveVM{VM: vm, Pool: pool}},
		{DrainVM: &tackcommand.DrainVM{VM: vm}},
		{UndrainVM: &tackcommand.UndrainVM{VM: vm}},
		{RemoveVM: &tackcommand.RemoveVM{VM: vm}},
		{SetBudget: &tackcommand.SetBudget{Service: draw(t, someServices), MinAvailable: draw(t, []int{0, 1, 2, 3, 50}), Percent: rapid.Bool().Draw(t, "percent")}},
		{CreateWave: &tackcommand.CreateWave{Wave: wave, Pool: pool, Action: string(ActionReboot)}},
		{ChangeWave: &tackcommand.ChangeWave{Wave: wave, Change: draw(t, []tackcommand.WaveChange{tackcommand.WaveStart, tackcommand.WavePause, tackcommand.WaveResume, tackcommand.WaveCancel})}},
		{CreateTask: &tackcommand.CreateTask{Task: draw(t, someTasks), Team: "x", Pool: pool, Cores: 1, MemoryMB: 1, Idempotent: rapid.Bool().Draw(t, "idempotent")}},
		{CancelTask: &tackcommand.CancelTask{Task: draw(t, someTasks)}},
		{DeletePool: &tackcommand.DeletePool{Pool: pool}},
	}).Draw(t, "command")
}

func draw[T any](t *rapid.T, from []T) T {
	return rapid.SampledFrom(from).Draw(t, fmt.Sprintf("%T", from))
}

// sampleFleet returns a fleet with three services and a running wave on each of
// two pools, and six VMs of which five serve.
func sampleFleet() *fleet {
	f := newFleet(nil)
	for _, p := range somePools {
		f.apply(Change{Command: &tackcommand.Command{CreatePool: &tackcommand.CreatePool{Pool: p}}})
	}
	for i, s := range someServices {
		f.apply(Change{Command: &tackcommand.Command{CreateService: &tackcommand.CreateService{Service: s, Pool: somePools[i/2]}}})
	}
	for i, v := range someVMs[:6] {
		f.apply(Change{Command: &tackcommand.Command{AddVM: &tackcommand.AddVM{VM: v, Pool: somePools[i/4]}}})
		f.observe(HealthServing, v)
	}
	f.observe(HealthLost, someVMs[5])
	for i, w := range someWaves[:2] {
		f.apply(Change{Command: &tackcommand.Command{CreateWave: &tackcommand.CreateWave{Wave: w, Pool: somePools[i], Action: string(ActionReboot)}}})
		f.apply(Change{Command: &tackcommand.Command{ChangeWave: &tackcommand.ChangeWave{Wave: w, Change: tackcommand.WaveStart}}})
	}
	return f
}

// TestInvariants applies random changes and checks, from the lists of VMs and
// waves alone, that no accepted change takes a service below its budget, that
// each VM is in one pool and held by one wave at most, and that a refused
// change does nothing.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := sampleFleet()
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			before, was := f.VMs(), encodeContents(t, &f.State)
			c := drawChange(t, &f.State)
			r := f.apply(c)
			if r.Refused != nil && !bytes.Equal(was, encodeContents(t, &f.State)) {
				t.Fatalf("refused with %v, but the state changed", r.Refused)
			}
			checkBudgets(t, &f.State, before, c)
			checkPools(t, &f.State, before, c)
			checkWaves(t, &f.State)
		}
	})
}

// encodeContents encodes the state without the revision and the time.
func encodeContents(t *rapid.T, s *State) []byte {
	all, err := s.Snapshot()
	var fields map[int]cbor.RawMessage
	if err == nil {
		err = cbor.Unmarshal(all, &fields)
	}
	delete(fields, 2)
	delete(fields, 3)
	mode, _ := cbor.CanonicalEncOptions().EncMode()
	data, encodeErr := mode.Marshal(fields)
	if err != nil || encodeErr != nil {
		t.Fatalf("snapshot: %v, %v", err, encodeErr)
	}
	return data
}

// checkBudgets fails if a change other than an observation takes VMs out of
// service and leaves a service of their pool with fewer proven VMs than its
// budget requires, computed from the size of the pool before the change.
func checkBudgets(t *rapid.T, s *State, before []VM, c Change) {
	if c.Observe != nil || c.Joined != nil {
		return
	}
	mayServe := func(v VM) bool {
		return (v.State == VMInService || v.State == VMSettling) && v.Health != HealthLost
	}
	for _, service := range s.Services() {
		total, taken, proven := 0, 0, 0
		for _, v := range before {
			if v.Pool != service.Pool {
				continue
			}
			total++
			now, there := s.VM(v.ID)
			stays := there && now.Pool == v.Pool && (now.State == VMInService || now.State == VMSettling)
			if mayServe(v) && !stays && v.State != VMSettling {
				taken++
			}
			if stays && now.State == VMInService && now.Health == HealthServing {
				proven++
			}
		}
		need := service.Budget.MinAvailable
		if service.Budget.Percent {
			for need = 0; need*100 < service.Budget.MinAvailable*total; need++ {
			}
		}
		if taken > 0 && proven < need {
			t.Fatalf("%d VMs taken, service %s has %d proven VMs and needs %d", taken, service.ID, proven, need)
		}
	}
}

// checkPools fails unless each VM is listed in exactly one pool, its own, and
// got there by being added or by joining.
func checkPools(t *rapid.T, s *State, before []VM, c Change) {
	listed := make(map[tackid.VM]tackid.Pool)
	for _, p := range s.Pools() {
		for _, v := range s.VMsOf(p.ID) {
			if other, twice := listed[v.ID]; twice || v.Pool != p.ID {
				t.Fatalf("vm %s of pool %s is listed in %s and %s", v.ID, v.Pool, other, p.ID)
			}
			listed[v.ID] = p.ID
		}
	}
	for _, v := range s.VMs() {
		if _, found := listed[v.ID]; !found {
			t.Fatalf("vm %s of pool %s is not listed in any pool", v.ID, v.Pool)
		}
		i := slices.IndexFunc(before, func(b VM) bool { return b.ID == v.ID })
		if i >= 0 && before[i].Pool != v.Pool && (c.Joined == nil || before[i].State != VMMoving) {
			t.Fatalf("vm %s went from %s to %s without leaving first", v.ID, before[i].Pool, v.Pool)
		}
	}
}

// checkWaves fails unless the waves and the VMs agree on which wave holds
// which VM.
func checkWaves(t *rapid.T, s *State) {
	for _, v := range s.VMs() {
		holders := 0
		for _, w := range s.Waves() {
			m, part := w.Member(v.ID)
			if !part || m.Phase < PhaseDraining || m.Phase > PhaseSettling {
				continue
			}
			holders++
			if v.Wave != w.ID || m.Phase == PhaseSettling != (v.State == VMSettling) {
				t.Fatalf("wave %s has %s as %s, but it is %s and held by %q", w.ID, v.ID, m.Phase, v.State, v.Wave)
			}
		}
		if holders > 1 || (holders == 0) != (v.Wave == "") {
			t.Fatalf("vm %s is held by %d waves, but its wave is %q", v.ID, holders, v.Wave)
		}
	}
}

// TestReplicasAgree applies the same changes to two replicas, one of which is
// restored from its own snapshot now and then, and compares their snapshots and
// answers. Some commands are sent twice.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := sampleFleet()
		data, err := f.Snapshot()
		other := new(State)
		if err != nil || other.Restore(data) != nil {
			t.Fatalf("snapshot: %v", err)
		}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			c := drawChange(t, &f.State)
			if c.Command != nil {
				c.ID = draw(t, []tackid.CommandID{"", "id1", "id2", "id3", "id4"})
			}
			f.now = f.now.Add(tackclock.Duration(rapid.IntRange(0, int(9*tackclock.Hour)).Draw(t, "pause")))
			one := f.apply(c)
			two := other.Apply(f.revision, f.now, c)
			if fmt.Sprint(one) != fmt.Sprint(two) {
				t.Fatalf("answers %v and %v", one, two)
			}
			data, _ := f.Snapshot()
			copied, _ := other.Snapshot()
			if !bytes.Equal(data, copied) {
				t.Fatalf("the replicas differ after %+v", c)
			}
			if rapid.Bool().Draw(t, "restart") {
				other = new(State)
				if err := other.Restore(copied); err != nil {
					t.Fatalf("restore: %v", err)
				}
			}
		}
	})
}
