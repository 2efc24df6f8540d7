package tackdisk

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

// written returns a folder with three saves after what Open wrote, and where
// in its log the last save begins.
func written(peer tackid.Peer) (files *faultyFiles, log string, last int64) {
	files = newFaultyFiles()
	d, _, _ := Open("/state", Options{Peer: peer, Files: files})
	_ = d.Save(&tackreplica.HardState{Term: 1, Vote: "b"}, entries(1, 1, 2))
	_ = d.Save(nil, entries(1, 3, 3))
	last = d.log.offset
	_ = d.Save(nil, entries(1, 4, 5))
	files.kill()
	return files, "/state/" + d.log.name, last
}

func assertCorrupt(err error) {
	var corrupt *CorruptError
	So(errors.As(err, &corrupt), ShouldBeTrue)
}

// Symptom: a VM comes back with a hole in its log, or refuses to start after
// an ordinary power cut.
// Sequence: one byte of the log goes bad, or its end was being written.
// Cause: damage in the middle and a torn end look alike to a reader that
// stops at the first broken record.
func TestDamagedByte(t *testing.T) {
	_, log, last := written("a")
	Convey("Each byte of the log in turn", t, func() {
		for i := 0; ; i++ {
			files, _, _ := written("a")
			data := files.names[log].data
			if i == len(data) {
				break
			}
			data[i] ^= 0x5a
			_, stored, err := Open("/state", Options{Peer: "a", Files: files})
			if int64(i) < last {
				assertCorrupt(err)
				continue
			}
			So(err, ShouldBeNil)
			So(stored.Entries, ShouldResemble, entries(1, 1, 3))
		}
	})
	Convey("What Open wrote at once is never torn", t, func() {
		files, _, _ := written("a")
		d, _, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		file := files.names["/state/"+d.log.name]
		files.kill()
		file.data = file.data[:len(file.data)-1]
		_, _, err = Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
	})
	Convey("A snapshot that is damaged or gone", t, func() {
		files, _, _ := written("a")
		d, _, _ := Open("/state", Options{Peer: "a", Files: files})
		So(d.SaveSnapshot(tackreplica.Snapshot{Index: 3, Term: 1, Data: []byte("x")}), ShouldBeNil)
		files.kill()
		name := "/state/" + snapshotName(3)
		file := files.names[name]
		file.data[len(file.data)-1] ^= 1
		_, _, err := Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
		delete(files.names, name)
		_, _, err = Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
	})
}

// Symptom: a VM votes or acknowledges by the log of another.
// Sequence: an operator copies a data folder, or a file of one, to a new VM.
// Cause: nothing in a log says whose it is.
func TestFolderOfAnother(t *testing.T) {
	Convey("A whole folder", t, func() {
		files, _, _ := written("a")
		_, _, err := Open("/state", Options{Peer: "b", Files: files})
		var identity *IdentityError
		So(errors.As(err, &identity), ShouldBeTrue)
		So(*identity, ShouldResemble, IdentityError{Folder: "/state", Want: "b", Got: "a"})
	})
	Convey("A log file alone", t, func() {
		files, log, _ := written("a")
		other, _, _ := written("a")
		files.names[log] = other.names[log]
		_, _, err := Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
	})
	Convey("A log without its identity", t, func() {
		files, _, _ := written("a")
		delete(files.names, "/state/"+identityName)
		_, _, err := Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
	})
}

// Symptom: after a release is taken back, its VM loses what the newer one
// wrote.
// Sequence: the newer release wrote a format that the older can't read.
// Cause: what can't be read is taken for damage, or for nothing.
func TestFormatOfLaterRelease(t *testing.T) {
	Convey("It is named, and the folder left as it was", t, func() {
		files, log, _ := written("a")
		d := &Disk{folder: "/state", files: files, opt: Options{Peer: "a"}.withDefaults()}
		So(d.identify(nil), ShouldBeNil)
		at := place{salt: d.id.salt(), sequence: 1}
		data, err := encodeRecord(record{Header: &header{Version: formatVersion + 1, Records: 1}}, at, 1000)
		So(err, ShouldBeNil)
		files.names[log].data = data
		_, _, err = Open("/state", Options{Peer: "a", Files: files})
		var version *VersionError
		So(errors.As(err, &version), ShouldBeTrue)
		So(files.names[log].data, ShouldResemble, data)
	})
}

// Symptom: a restart refuses a folder after a power cut in a save.
// Sequence: the entry being saved carries the bytes of a record, as a backup
// tool's request might; the save is torn just before them.
// Cause: the copy inside looks like a record that followed the broken one.
func TestCopyOfRecordInsideEntry(t *testing.T) {
	Convey("Only a record at its own place counts", t, func() {
		files, log, last := written("a")
		copied := files.names[log].data[last:]
		d, _, _ := Open("/state", Options{Peer: "a", Files: files})
		begin := d.log.offset
		So(d.Save(nil, []tackreplica.Entry{{Index: 6, Term: 1, Data: copied}}), ShouldBeNil)
		files.kill()
		files.names["/state/"+d.log.name].data[begin] ^= 1
		_, stored, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		So(stored.Entries, ShouldResemble, entries(1, 1, 5))
	})
}

func TestBounds(t *testing.T) {
	Convey("What is refused leaves the disk good", t, func() {
		files := newFaultyFiles()
		opt := Options{Peer: "a", Files: files, MaxRecordBytes: 400, MaxSnapshotBytes: 100}
		d, _, err := Open("/state", opt)
		So(err, ShouldBeNil)
		large := bytes.Repeat([]byte("x"), 500)
		var tooLarge *TooLargeError
		var gap *GapError
		So(errors.As(d.Save(nil, []tackreplica.Entry{{Index: 1, Term: 1, Data: large}}), &tooLarge), ShouldBeTrue)
		So(errors.As(d.SaveSnapshot(tackreplica.Snapshot{Index: 1, Data: large}), &tooLarge), ShouldBeTrue)
		So(errors.As(d.Save(nil, entries(1, 2, 2)), &gap), ShouldBeTrue)
		for i := tackid.Revision(1); i <= 40; i++ {
			So(d.Save(nil, entries(1, i, i)), ShouldBeNil)
		}
		files.kill()
		_, stored, err := Open("/state", opt)
		So(err, ShouldBeNil)
		So(stored.Entries, ShouldResemble, entries(1, 1, 40))
	})
	Convey("Nothing superfluous stays in the folder", t, func() {
		files := newFaultyFiles()
		d, _, _ := Open("/state", Options{Peer: "a", Files: files})
		for i := tackid.Revision(1); i <= 9; i++ {
			So(d.Save(nil, entries(1, i, i)), ShouldBeNil)
			So(d.SaveSnapshot(tackreplica.Snapshot{Index: i, Term: 1}), ShouldBeNil)
		}
		names := slices.Sorted(maps.Keys(files.names))
		So(strings.Join(names, " "), ShouldEqual, "/state/identity /state/"+d.log.name+" /state/"+snapshotName(9))
	})
}

// FuzzDecodeLog feeds the decoder whole files: it must neither panic nor take
// what was not written, nor give an error of another type.
func FuzzDecodeLog(f *testing.F) {
	files, log, last := written("a")
	whole := files.names[log].data
	f.Add(whole, false)
	f.Add(whole[:last+3], false)
	f.Add([]byte{0xa1, 1, 0xa4, 1, 1, 2, 1, 3, 0xa2, 1, 0, 2, 0, 4, 1}, true)
	f.Fuzz(func(t *testing.T, data []byte, framed bool) {
		d := &Disk{opt: Options{MaxRecordBytes: 1 << 20}}
		at := place{salt: 7, sequence: 1}
		if framed {
			data = frame(data, at)
		}
		content, err := d.decodeLog("log", data, at)
		var corrupt *CorruptError
		if err != nil && !errors.As(err, &corrupt) && !errors.As(err, new(*VersionError)) {
			t.Fatalf("error of type %T", err)
		}
		next := content.state.mark.Index + 1
		for _, e := range content.state.entries {
			if e.Index != next {
				t.Fatalf("entry %d where %d follows", e.Index, next)
			}
			next++
		}
	})
}
