package tackdisk

import (
	"errors"
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
	Convey("What was saved is there after a restart", t, func() {
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
