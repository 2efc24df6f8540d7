package tackstate

import (
	"bytes"
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tackreplica"

	. "github.com/smartystreets/goconvey/convey"
)

// newFilledState returns a state with n VMs that have announced themselves, built by
// applying entries.
func newFilledState(t testing.TB, n int) *State {
	t.Helper()
	s := new(State)
	var index tackid.Revision
	apply := func(p Proposal) {
		t.Helper()
		data, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		index++
		e := tackreplica.Entry{Index: index, Term: 1, Time: tackclock.Time(index), Data: data}
		if _, out, err := s.Apply(e); err != nil || out.Fleet.Refused != nil {
			t.Fatal(err, out.Fleet.Refused)
		}
	}
	command := func(c tackcommand.Command) { apply(Proposal{Fleet: &tackfleet.Change{Command: &c}}) }
	for p := range 36 {
		command(tackcommand.Command{CreatePool: &tackcommand.CreatePool{Pool: tackid.Pool(fmt.Sprintf("pool-%02d", p))}})
	}
	for i := range n {
		vm := tackid.VM(fmt.Sprintf("w-%04d", i))
		pool := tackid.Pool(fmt.Sprintf("pool-%02d", i%36))
		command(tackcommand.Command{AddVM: &tackcommand.AddVM{VM: vm, Pool: pool}})
		apply(Proposal{Fleet: &tackfleet.Change{Observe: []tackfleet.Observation{{
			VM: vm, DataCentre: tackid.DataCentre(fmt.Sprintf("region-%d", i%10)), Rack: tackid.Rack(fmt.Sprintf("r%03d", i/4)),
			Cores: 16, MemoryMB: 32768, Health: tackfleet.HealthServing,
		}}}})
	}
	apply(Proposal{Ledger: &tackledger.Change{Begin: &tackledger.Begin{ID: tackledger.ID{Service: "names-api", Key: "k"}, Request: "r", Timeout: 1000}}})
	return s
}

// Guards against a VM whose state differs from the leader's after it restored a snapshot,
// because a part is missing from the snapshot or not restored.
func TestSnapshotRoundTrip(t *testing.T) {
	s := newFilledState(t, 100)
	data, err := s.Snapshot()
	var back State
	restored := back.Restore(data)
	again, _ := back.Snapshot()
	Convey("The restored state has the same snapshot", t, func() {
		So(err, ShouldBeNil)
		So(restored, ShouldBeNil)
		So(bytes.Equal(again, data), ShouldBeTrue)
		So(back.Ledger.Len(), ShouldEqual, 1)
		So(back.Fleet.VMs(), ShouldHaveLength, 100)
	})
	Convey("A damaged snapshot changes nothing", t, func() {
		So(back.Restore(data[:len(data)/2]), ShouldNotBeNil)
		So(back.Fleet.VMs(), ShouldHaveLength, 100)
	})
}

// TestSnapshotBytes bounds the size of a snapshot at the fleet size that the system is
// designed for.
func TestSnapshotBytes(t *testing.T) {
	for _, n := range []int{100, 500, 2300} {
		data, err := newFilledState(t, n).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d VMs: %d bytes", n, len(data))
		if n == 2300 && len(data) > 150_000 {
			t.Errorf("%d bytes at %d VMs, want at most 150,000", len(data), n)
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	s := newFilledState(b, 2300)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}
