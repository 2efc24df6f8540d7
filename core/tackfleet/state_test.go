package tackfleet

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

// fleet is a State with helpers to apply commands in text form, as an operator
// would.
type fleet struct {
	State
	t        testing.TB
	revision tackid.Revision
	now      tackclock.Time
}

func newFleet(t testing.TB) *fleet {
	return &fleet{t: t, now: 1_000_000}
}

// apply applies a change at the next revision, a second later.
func (f *fleet) apply(c Change) Result {
	f.revision++
	f.now = f.now.Add(tackclock.Second)
	return f.Apply(f.revision, f.now, c)
}

func (f *fleet) do(text string) Result {
	f.t.Helper()
	return f.apply(Change{Command: f.parse(text)})
}

func (f *fleet) parse(text string) *tackcommand.Command {
	f.t.Helper()
	c, err := tackcommand.Parse(text)
	if err != nil {
		f.t.Fatalf("%s: %v", text, err)
	}
	return &c
}

// must applies commands that have to be accepted.
func (f *fleet) must(texts ...string) {
	f.t.Helper()
	for _, text := range texts {
		if r := f.do(text); r.Refused != nil {
			f.t.Fatalf("%s: %v", text, r.Refused)
		}
	}
}

// observe applies an observation of each VM with the health.
func (f *fleet) observe(h Health, vms ...tackid.VM) {
	for _, id := range vms {
		f.apply(Change{Observe: []Observation{{VM: id, Health: h, DataCentre: "rennes-a", Rack: "r1", Cores: 16, MemoryMB: 32768}}})
	}
}

// pool creates a pool with n serving VMs named prefix-1 and so on.
func (f *fleet) pool(pool, prefix string, n int) []tackid.VM {
	f.t.Helper()
	f.must("create pool " + pool)
	var vms []tackid.VM
	for i := range n {
		id := tackid.VM(fmt.Sprintf("%s-%d", prefix, i+1))
		f.must(fmt.Sprintf("add vm %s to pool %s", id, pool))
		vms = append(vms, id)
	}
	f.observe(HealthServing, vms...)
	return vms
}

func assertRefused(t testing.TB, r Result, code Code) {
	t.Helper()
	if r.Refused == nil {
		t.Fatalf("accepted, want a refusal with code %s", code)
	}
	if r.Refused.Code != code {
		t.Fatalf("refused with %v, want code %s", r.Refused, code)
	}
}

func assertAccepted(t testing.TB, r Result) {
	t.Helper()
	if r.Refused != nil {
		t.Fatalf("%v, want it accepted", r.Refused)
	}
}

// phase moves one VM of a wave to a phase.
func (f *fleet) phase(w tackid.Wave, vm tackid.VM, phase Phase) Result {
	return f.apply(Change{WavePhases: []WavePhase{{Wave: w, VM: vm, Phase: phase, Operation: "op-1"}}})
}

// step takes VMs out of service for a wave.
func (f *fleet) step(w tackid.Wave, vms ...tackid.VM) Result {
	return f.apply(Change{WaveStep: &WaveStep{Wave: w, VMs: vms}})
}

// restart replaces the state by one restored from its snapshot, like the
// restart of a peer.
func (f *fleet) restart() {
	f.t.Helper()
	data, err := f.Snapshot()
	if err != nil {
		f.t.Fatal(err)
	}
	f.State = State{}
	if err := f.Restore(data); err != nil {
		f.t.Fatal(err)
	}
}

func assertState(t testing.TB, s *State, id tackid.VM, pool tackid.Pool, state VMState) {
	t.Helper()
	v, ok := s.VM(id)
	if !ok || v.Pool != pool || v.State != state {
		t.Fatalf("vm %s is %s in pool %q, want %s in %q", id, v.State, v.Pool, state, pool)
	}
}
