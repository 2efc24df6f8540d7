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

// writtenFolder returns a folder with three saves, the name of its log file, and the offset of
// the last save in it.
func writtenFolder(peer tackid.Peer) (files *faultyFiles, log string, last int64) {
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

// Guards against a VM that loses entries in the middle of its log, or does not start after an
// ordinary power failure: a byte of the log is damaged, or its end is torn, and a reader that
// stops at the first invalid record cannot tell them apart.
func TestDamagedByte(t *testing.T) {
	_, log, last := writtenFolder("a")
	Convey("Damage to each byte of the log", t, func() {
		for i := 0; ; i++ {
			files, _, _ := writtenFolder("a")
			data := files.visible[log].data
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
	Convey("Records written by Open are never torn", t, func() {
		files, _, _ := writtenFolder("a")
		d, _, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		file := files.visible["/state/"+d.log.name]
		files.kill()
		file.data = file.data[:len(file.data)-1]
		_, _, err = Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
	})
	Convey("A snapshot that is damaged or missing", t, func() {
		files, _, _ := writtenFolder("a")
		d, _, _ := Open("/state", Options{Peer: "a", Files: files})
		So(d.SaveSnapshot(tackreplica.Snapshot{Index: 3, Term: 1, Data: []byte("x")}), ShouldBeNil)
		files.kill()
		name := "/state/" + snapshotName(3)
		file := files.visible[name]
		file.data[len(file.data)-1] ^= 1
		_, _, err := Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
		delete(files.visible, name)
		_, _, err = Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
	})
}

// Guards against a VM that votes or acknowledges based on the log of another VM: an operator
// copies a data folder, or a file of one, to a new VM.
func TestFolderOfOtherVM(t *testing.T) {
	Convey("A whole folder", t, func() {
		files, _, _ := writtenFolder("a")
		_, _, err := Open("/state", Options{Peer: "b", Files: files})
		var identity *IdentityError
		So(errors.As(err, &identity), ShouldBeTrue)
		So(*identity, ShouldResemble, IdentityError{Folder: "/state", Want: "b", Got: "a"})
	})
	Convey("A log file alone", t, func() {
		files, log, _ := writtenFolder("a")
		other, _, _ := writtenFolder("a")
		files.visible[log] = other.visible[log]
		_, _, err := Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
	})
	Convey("A log without its identity", t, func() {
		files, _, _ := writtenFolder("a")
		delete(files.visible, "/state/"+identityName)
		_, _, err := Open("/state", Options{Peer: "a", Files: files})
		assertCorrupt(err)
	})
}

// Guards against data loss after a downgrade: the newer release has written a format that the
// older one cannot read and treats as damage or as an empty folder.
func TestFormatOfLaterRelease(t *testing.T) {
	Convey("It is reported, and the folder is left unchanged", t, func() {
		files, log, _ := writtenFolder("a")
		d := &Disk{folder: "/state", files: files, opt: Options{Peer: "a"}.withDefaults()}
		So(d.loadIdentity(nil), ShouldBeNil)
		at := recordLocation{salt: d.id.salt(), sequence: 1}
		data, err := encodeRecord(record{Header: &header{Version: formatVersion + 1, Records: 1}}, at, 1000)
		So(err, ShouldBeNil)
		files.visible[log].data = data
		_, _, err = Open("/state", Options{Peer: "a", Files: files})
		var version *VersionError
		So(errors.As(err, &version), ShouldBeTrue)
		So(files.visible[log].data, ShouldResemble, data)
	})
}

// Guards against a restart that fails after a power failure during a save. The data of the saved
// entry contains a copy of a record, as the request of a backup tool might, and the save is torn
// before it. The copy must not be mistaken for a record that follows the torn one.
func TestCopyOfRecordInsideEntry(t *testing.T) {
	Convey("Only a record at its own location is valid", t, func() {
		files, log, last := writtenFolder("a")
		copied := files.visible[log].data[last:]
		d, _, _ := Open("/state", Options{Peer: "a", Files: files})
		begin := d.log.offset
		So(d.Save(nil, []tackreplica.Entry{{Index: 6, Term: 1, Data: copied}}), ShouldBeNil)
		files.kill()
		files.visible["/state/"+d.log.name].data[begin] ^= 1
		_, stored, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		So(stored.Entries, ShouldResemble, entries(1, 1, 5))
	})
}

func TestBounds(t *testing.T) {
	Convey("Refused calls leave the disk usable", t, func() {
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
	Convey("Obsolete files are removed from the folder", t, func() {
		files := newFaultyFiles()
		d, _, _ := Open("/state", Options{Peer: "a", Files: files})
		for i := tackid.Revision(1); i <= 9; i++ {
			So(d.Save(nil, entries(1, i, i)), ShouldBeNil)
			So(d.SaveSnapshot(tackreplica.Snapshot{Index: i, Term: 1}), ShouldBeNil)
		}
		names := slices.Sorted(maps.Keys(files.visible))
		So(strings.Join(names, " "), ShouldEqual, "/state/identity /state/"+d.log.name+" /state/"+snapshotName(9))
	})
}

// FuzzDecodeLog passes arbitrary files to the decoder. It must not panic, must not accept
// entries with gaps, and must return only errors of the expected types.
func FuzzDecodeLog(f *testing.F) {
	files, log, last := writtenFolder("a")
	whole := files.visible[log].data
	f.Add(whole, false)
	f.Add(whole[:last+3], false)
	f.Add([]byte{0xa1, 1, 0xa4, 1, 1, 2, 1, 3, 0xa2, 1, 0, 2, 0, 4, 1}, true)
	f.Fuzz(func(t *testing.T, data []byte, framed bool) {
		d := &Disk{opt: Options{MaxRecordBytes: 1 << 20}}
		at := recordLocation{salt: 7, sequence: 1}
		if framed {
			data = frame(data, at)
		}
		content, err := d.decodeLog("log", data, at)
		var corrupt *CorruptError
		if err != nil && !errors.As(err, &corrupt) && !errors.As(err, new(*VersionError)) {
			t.Fatalf("error of type %T", err)
		}
		next := content.state.snapshot.Index + 1
		for _, e := range content.state.entries {
			if e.Index != next {
				t.Fatalf("entry %d where %d follows", e.Index, next)
			}
			next++
		}
	})
}
