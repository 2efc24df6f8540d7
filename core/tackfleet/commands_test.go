package tackfleet

import (
	"errors"
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a resent command that takes effect again because its answer
// is not remembered, or not part of the snapshot: an operator drains a VM, the
// answer is lost, another operator undrains the VM, and the first operator
// resends the command with the same id through a peer that was restored from a
// snapshot.
func TestResentCommand(t *testing.T) {
	f := newFleet(t)
	f.pool("a", "w", 2)
	drain := Change{ID: "op-7", Command: f.parse("drain vm w-1")}
	first := f.apply(drain)
	f.must("undrain vm w-1")
	f.restart()
	again := f.apply(drain)
	other := f.apply(Change{ID: "op-7", Command: f.parse("drain vm w-2")})
	Convey("The resent command gets the first answer and does nothing", t, func() {
		So(again, ShouldResemble, Result{Revision: first.Revision, Repeated: true})
	})
	assertState(t, &f.State, "w-1", "a", VMInService)
	assertRefused(t, other, CodeReused)
	t.Run("a refusal is repeated too", func(t *testing.T) {
		missing := Change{ID: "op-8", Command: f.parse("drain vm w-3")}
		assertRefused(t, f.apply(missing), CodeMissing)
		f.must("add vm w-3 to pool a")
		assertRefused(t, f.apply(missing), CodeMissing)
	})
}

// Guards against a peer whose memory grows with every command id, and against
// ids that are forgotten before a command may be resent the next morning.
func TestAnswersAreBounded(t *testing.T) {
	f := newFleet(t)
	set := Change{ID: "first", Command: f.parse("set config k 1")}
	f.apply(set)
	f.now = f.now.Add(CommandAge - 2*tackclock.Second)
	if r := f.apply(set); !r.Repeated {
		t.Fatalf("got %+v within the age, want a repeated answer", r)
	}
	f.now = f.now.Add(2 * tackclock.Second)
	if r := f.apply(set); r.Repeated {
		t.Fatalf("got %+v beyond the age, want a new answer", r)
	}
	for i := range CommandLimit + 10 {
		f.revision++
		f.Apply(f.revision, f.now, Change{ID: tackid.CommandID(fmt.Sprint(i)), Command: set.Command})
	}
	f.apply(Change{})
	if n := f.answers.Len(); n != CommandLimit {
		t.Fatalf("%d answers are kept, want %d", n, CommandLimit)
	}
	if n := len(f.events); n > EventLimit {
		t.Fatalf("%d events are kept, want at most %d", n, EventLimit)
	}
}

// Guards against a peer that can't start from a snapshot of a newer version
// because the decoder refuses unknown fields, as in a rolling upgrade that
// adds a field.
func TestSnapshotOfALaterVersion(t *testing.T) {
	f := newFleet(t)
	f.pool("a", "w", 2)
	data, err := f.Snapshot()
	var fields map[int]any
	if err == nil {
		err = cbor.Unmarshal(data, &fields)
	}
	if err != nil {
		t.Fatal(err)
	}
	fields[99] = "unknown"
	data, _ = cbor.Marshal(fields)
	var restored State
	if err := restored.Restore(data); err != nil || len(restored.VMs()) != 2 {
		t.Fatalf("%d VMs, %v, want the unknown field ignored", len(restored.VMs()), err)
	}
	fields[1] = snapshotVersion + 1
	data, _ = cbor.Marshal(fields)
	var version *VersionError
	if err := restored.Restore(data); !errors.As(err, &version) || len(restored.VMs()) != 2 {
		t.Fatalf("got %v, want a *VersionError and the state as it was", err)
	}
}
