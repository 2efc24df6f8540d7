package tackdisk

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

func entries(term tackreplica.Term, from, to tackid.Revision) []tackreplica.Entry {
	var list []tackreplica.Entry
	for i := from; i <= to; i++ {
		list = append(list, tackreplica.Entry{Index: i, Term: term, Data: []byte{byte(i), byte(term)}})
	}
	return list
}

func TestReopen(t *testing.T) {
	Convey("Saved data is present after a restart", t, func() {
		folder := t.TempDir() + "/state"
		d, stored, err := Open(folder, Options{Peer: "rennes-a-1"})
		So(err, ShouldBeNil)
		So(stored, ShouldResemble, tackreplica.Stored{})
		So(d.Save(&tackreplica.HardState{Term: 3, Vote: "b"}, entries(3, 1, 5)), ShouldBeNil)
		So(d.Save(nil, entries(4, 4, 6)), ShouldBeNil)
		snapshot := tackreplica.Snapshot{Index: 2, Term: 3, Data: []byte("state")}
		So(d.SaveSnapshot(snapshot), ShouldBeNil)

		_, _, err = Open(folder, Options{Peer: "rennes-a-1"})
		var inUse *InUseError
		So(errors.As(err, &inUse), ShouldBeTrue)

		So(d.Close(), ShouldBeNil)
		d, stored, err = Open(folder, Options{Peer: "rennes-a-1"})
		So(err, ShouldBeNil)
		defer d.Close()
		So(stored.Hard, ShouldResemble, tackreplica.HardState{Term: 3, Vote: "b"})
		So(stored.Snapshot, ShouldResemble, snapshot)
		So(stored.Entries, ShouldResemble, append(entries(3, 3, 3), entries(4, 4, 6)...))
	})
}

// Guards against a leader that loses its lease at each snapshot because saves wait while a large
// snapshot is written. Saves must not wait, and the entries saved in the meantime must not be
// lost when the log is compacted.
func TestSaveDuringSnapshot(t *testing.T) {
	Convey("Entries are saved while the snapshot is written", t, func() {
		files := newFaultyFiles()
		d, _, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		So(d.Save(nil, entries(1, 1, 3)), ShouldBeNil)
		files.onCreate = func(string) {
			files.onCreate = nil
			So(d.Save(nil, entries(1, 4, 5)), ShouldBeNil)
		}
		So(d.SaveSnapshot(tackreplica.Snapshot{Index: 3, Term: 1}), ShouldBeNil)
		files.powerFailure(func() bool { return false })
		_, stored, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		So(stored.Entries, ShouldResemble, entries(1, 4, 5))
	})
}

// TestCostOfSaves checks the number of syncs and bytes of a save, which do not depend on the
// machine.
func TestCostOfSaves(t *testing.T) {
	cases := []struct{ entries, maxBytes int }{{1, 200}, {16, 3_000}, {256, 47_000}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("entries=%d", c.entries), func(t *testing.T) {
			Convey("One sync, and few bytes more than the entries", t, func() {
				d, _, err := Open("/state", Options{Peer: "a", Files: newFaultyFiles()})
				So(err, ShouldBeNil)
				bytes, syncs := d.Bytes(), d.Syncs()
				So(d.Save(nil, largeEntries(1, c.entries)), ShouldBeNil)
				So(d.Syncs()-syncs, ShouldEqual, uint64(1))
				So(d.Bytes()-bytes, ShouldBeLessThanOrEqualTo, uint64(c.maxBytes))
			})
		})
	}
}
