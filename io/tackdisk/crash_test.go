package tackdisk

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

type (
	// model is the expected content of a disk: the acknowledged state, and the state that one
	// unacknowledged call may have produced.
	model struct {
		stored         tackreplica.Stored
		unacknowledged *tackreplica.Stored
	}

	// step is one call on a disk.
	step struct {
		hard     *tackreplica.HardState
		entries  []tackreplica.Entry
		snapshot *tackreplica.Snapshot
	}
)

// after returns the expected content of a disk after a step on s. It follows the documented
// behaviour and is independent of the implementation.
func (p step) after(s tackreplica.Stored) tackreplica.Stored {
	s.Entries = slices.Clone(s.Entries)
	if p.snapshot != nil {
		return afterSnapshot(s, *p.snapshot)
	}
	if p.hard != nil {
		s.Hard = *p.hard
	}
	for _, e := range p.entries {
		if e.Index <= s.Snapshot.Index {
			continue
		}
		s.Entries = slices.DeleteFunc(s.Entries, func(old tackreplica.Entry) bool { return old.Index >= e.Index })
		s.Entries = append(s.Entries, e)
	}
	return s
}

func afterSnapshot(s tackreplica.Stored, snapshot tackreplica.Snapshot) tackreplica.Stored {
	if snapshot.Index <= s.Snapshot.Index {
		return s
	}
	agrees := slices.ContainsFunc(s.Entries, func(e tackreplica.Entry) bool {
		return e.Index == snapshot.Index && e.Term == snapshot.Term
	})
	s.Snapshot = snapshot
	s.Entries = slices.DeleteFunc(s.Entries, func(e tackreplica.Entry) bool {
		return !agrees || e.Index <= snapshot.Index
	})
	return s
}

func (p step) applyTo(d *Disk) error {
	if p.snapshot != nil {
		return d.SaveSnapshot(*p.snapshot)
	}
	return d.Save(p.hard, p.entries)
}

// format formats s for comparison, so that nil and empty slices are equal.
func format(s tackreplica.Stored) string { return fmt.Sprintf("%+v", s) }

// matches reports whether the model allows stored, which becomes the acknowledged state, since
// the owner of the disk continues from it.
func (m *model) matches(stored tackreplica.Stored) bool {
	ok := format(stored) == format(m.stored) || (m.unacknowledged != nil && format(stored) == format(*m.unacknowledged))
	m.stored, m.unacknowledged = stored, nil
	return ok
}

func script() []step {
	return []step{
		{hard: &tackreplica.HardState{Term: 1, Vote: "a"}},
		{entries: entries(1, 1, 4)},
		{hard: &tackreplica.HardState{Term: 2}, entries: entries(2, 3, 6)},
		{snapshot: &tackreplica.Snapshot{Index: 4, Term: 2, Data: []byte("four")}},
		{entries: entries(2, 7, 8)},
		{snapshot: &tackreplica.Snapshot{Index: 7, Term: 3, Data: []byte("from the leader")}},
		{entries: entries(3, 8, 9)},
	}
}

// Guards against a VM that after a restart has lost a vote or an entry that it acknowledged, or
// has one that was never saved. Any one write, sync, rename or removal fails, is cut short or is
// the last before a power failure, and the disk keeps any part of the data that was not synced.
// Possible faults are an acknowledgement before the sync, a rename before the content is synced,
// a log removed before its snapshot is durable, or a torn record accepted as a whole one.
func TestPowerFailureAtEveryOperation(t *testing.T) {
	keeps := map[string]func(n int) bool{
		"nothing":     func(int) bool { return false },
		"everything":  func(int) bool { return true },
		"every other": func(n int) bool { return n%2 == 0 },
		"all but one": func(n int) bool { return n != 9 },
	}
	for name, keep := range keeps {
		for kind := failOperation; kind < faultCount; kind++ {
			t.Run(fmt.Sprintf("%s/fault %d", name, kind), func(t *testing.T) {
				for at := 1; injectFaultAt(t, kind, at, keep); at++ {
				}
			})
		}
	}
}

// injectFaultAt injects a fault into operation at, simulates a power failure and checks the
// content of the disk. It returns false if the script ends before that operation.
func injectFaultAt(t *testing.T, kind fault, at int, keep func(n int) bool) bool {
	files := newFaultyFiles()
	files.inject(kind, at)
	m := runScript(files)
	if files.operations < at {
		return false
	}
	n := 0
	files.powerFailure(func() bool {
		n++
		return keep(n)
	})
	assertHolds(t, files, &m)
	return true
}

// runScript runs the steps of script until one fails.
func runScript(files *faultyFiles) model {
	var m model
	d, _, err := Open("/state", Options{Peer: "a", Files: files})
	for _, p := range script() {
		if err != nil {
			break
		}
		next := p.after(m.stored)
		if err = p.applyTo(d); err != nil {
			m.unacknowledged = &next
			break
		}
		m.stored = next
	}
	return m
}

// assertHolds checks the content of the folder twice, with a power failure in between, since the
// owner of the folder relies on what it has read.
func assertHolds(t interface {
	Helper()
	Fatalf(string, ...any)
}, files *faultyFiles, m *model) {
	t.Helper()
	for range 2 {
		want := *m
		_, stored, err := Open("/state", Options{Peer: "a", Files: files})
		if err != nil {
			t.Fatalf("operation %d: %v", files.at, err)
		}
		if !m.matches(stored) {
			t.Fatalf("operation %d: found %s\nwant %s\nor %v", files.at, format(stored), format(want.stored), want.unacknowledged)
		}
		files.powerFailure(func() bool { return false })
	}
}

// Guards against the loss of acknowledged entries after a power failure. A sync fails and the
// process ends. The next process reads the record from the kernel's cache and relies on it, but
// the kernel has marked the pages as clean although their write failed. The next process must
// write them again, into another file.
func TestDataOfFailedSyncIsRewritten(t *testing.T) {
	Convey("The data that the next process reads is durable after Open", t, func() {
		files := newFaultyFiles()
		d, _, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		files.inject(failOperation, 2)
		err = d.Save(nil, entries(1, 1, 3))
		var failed *FailedError
		So(errors.As(err, &failed), ShouldBeTrue)
		So(errors.Is(err, errFault), ShouldBeTrue)
		So(d.Save(nil, entries(1, 1, 3)), ShouldEqual, err)
		So(d.SaveSnapshot(tackreplica.Snapshot{Index: 9, Term: 1}), ShouldEqual, err)

		files.kill()
		d, found, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		So(len(found.Entries), ShouldEqual, 3)
		So(d.Save(nil, entries(1, 4, 4)), ShouldBeNil)
		files.powerFailure(func() bool { return false })
		_, stored, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		So(stored.Entries, ShouldResemble, entries(1, 1, 4))
	})
}

// TestRandomFaults runs random steps with random faults, kills and power failures. Acknowledged
// data must not be lost, data that was never saved must not appear, and a failed disk must not
// acknowledge anything.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := newFaultyFiles()
		var m model
		for range rapid.IntRange(1, 6).Draw(t, "processes") {
			runProcess(t, files, &m)
			if rapid.Bool().Draw(t, "power cut") {
				files.powerFailure(func() bool { return rapid.Bool().Draw(t, "keep") })
			} else {
				files.kill()
			}
		}
		assertHolds(t, files, &m)
	})
}

// runProcess runs one process that uses the folder.
func runProcess(t *rapid.T, files *faultyFiles, m *model) {
	files.inject(fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")), rapid.IntRange(1, 40).Draw(t, "after"))
	d, stored, err := Open("/state", Options{Peer: "a", Files: files})
	if err != nil {
		if files.operations < files.at {
			t.Fatalf("open failed with no fault: %v", err)
		}
		return
	}
	if !m.matches(stored) {
		t.Fatalf("found %s", format(stored))
	}
	for range rapid.IntRange(0, 12).Draw(t, "steps") {
		p := drawStep(t, m.stored)
		next := p.after(m.stored)
		err := p.applyTo(d)
		switch {
		case err == nil && m.unacknowledged != nil:
			t.Fatalf("acknowledged after a failure")
		case err == nil:
			m.stored = next
		case m.unacknowledged == nil:
			m.unacknowledged = &next
		}
	}
}

func drawStep(t *rapid.T, s tackreplica.Stored) step {
	last := s.Snapshot.Index + tackid.Revision(len(s.Entries))
	term := tackreplica.Term(rapid.IntRange(1, 4).Draw(t, "term"))
	if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
		index := rapid.Uint64Range(uint64(s.Snapshot.Index), uint64(last)+3).Draw(t, "snapshot")
		return step{snapshot: &tackreplica.Snapshot{Index: tackid.Revision(index), Term: term, Data: []byte{byte(index)}}}
	}
	from := tackid.Revision(rapid.Uint64Range(max(1, uint64(s.Snapshot.Index)), uint64(last)+1).Draw(t, "from"))
	n := tackid.Revision(rapid.IntRange(0, 4).Draw(t, "entries"))
	p := step{entries: entries(term, from, from+n-1)}
	if n == 0 || rapid.Bool().Draw(t, "with hard") {
		p.hard = &tackreplica.HardState{Term: term, Vote: tackid.Peer(fmt.Sprint("p", n))}
	}
	return p
}
