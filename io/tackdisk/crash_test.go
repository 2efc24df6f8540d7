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
	// model is what a disk must hold: what was acknowledged, and what one
	// call that was not acknowledged may have left besides.
	model struct {
		stored  tackreplica.Stored
		attempt *tackreplica.Stored
	}

	// step is one call on a disk.
	step struct {
		hard     *tackreplica.HardState
		entries  []tackreplica.Entry
		snapshot *tackreplica.Snapshot
	}
)

// after returns what a disk holds after a step on s, by the rules of the
// package comment and written without regard to how a disk does it.
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

func (p step) take(d *Disk) error {
	if p.snapshot != nil {
		return d.SaveSnapshot(*p.snapshot)
	}
	return d.Save(p.hard, p.entries)
}

// show makes two Stored comparable whatever is nil in them.
func show(s tackreplica.Stored) string { return fmt.Sprintf("%+v", s) }

// matches reports whether stored is what the model allows, and takes it as
// what is acknowledged from now on: its owner goes on from there.
func (m *model) matches(stored tackreplica.Stored) bool {
	ok := show(stored) == show(m.stored) || (m.attempt != nil && show(stored) == show(*m.attempt))
	m.stored, m.attempt = stored, nil
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

// Symptom: a VM that restarts has forgotten a vote or an entry that it
// answered for, or shows one that nobody gave it.
// Sequence: any one write, sync, rename or removal fails, is cut short or is
// the last before the power fails, and the disk keeps any part of what was
// not synced.
// Cause: an answer before the sync, a name before its content, a log dropped
// before its snapshot is durable, or a torn record taken for a whole one.
func TestPowerCutAtEveryOperation(t *testing.T) {
	keeps := map[string]func(n int) bool{
		"nothing":     func(int) bool { return false },
		"everything":  func(int) bool { return true },
		"every other": func(n int) bool { return n%2 == 0 },
		"all but one": func(n int) bool { return n != 9 },
	}
	for name, keep := range keeps {
		for kind := failOperation; kind < faults; kind++ {
			t.Run(fmt.Sprintf("%s/fault %d", name, kind), func(t *testing.T) {
				for at := 1; cutAt(t, kind, at, keep); at++ {
				}
			})
		}
	}
}

// cutAt has operation at go wrong, cuts the power and checks what is left. It
// reports false where the script ends before that operation.
func cutAt(t *testing.T, kind fault, at int, keep func(n int) bool) bool {
	files := newFaultyFiles()
	files.inject(kind, at)
	m := runScript(files)
	if files.operations < at {
		return false
	}
	n := 0
	files.powerCut(func() bool {
		n++
		return keep(n)
	})
	assertHolds(t, files, &m)
	return true
}

// runScript takes the steps of script until one fails.
func runScript(files *faultyFiles) model {
	var m model
	d, _, err := Open("/state", Options{Peer: "a", Files: files})
	for _, p := range script() {
		if err != nil {
			break
		}
		next := p.after(m.stored)
		if err = p.take(d); err != nil {
			m.attempt = &next
			break
		}
		m.stored = next
	}
	return m
}

// assertHolds opens the folder and, since its owner relies on what it finds,
// cuts the power once more right after.
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
			t.Fatalf("operation %d: found %s\nwant %s\nor %v", files.at, show(stored), show(want.stored), want.attempt)
		}
		files.powerCut(func() bool { return false })
	}
}

// Symptom: entries that were acknowledged are gone after a later power cut.
// Sequence: a sync fails, the process ends, its successor reads the record
// from the kernel's cache, builds on it, and the power fails.
// Cause: the kernel marks pages as clean when their write failed. The
// successor must write them once more, into another file.
func TestFailedSyncIsNotBuiltOn(t *testing.T) {
	Convey("What the successor found is durable once it has opened", t, func() {
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
		files.powerCut(func() bool { return false })
		_, stored, err := Open("/state", Options{Peer: "a", Files: files})
		So(err, ShouldBeNil)
		So(stored.Entries, ShouldResemble, entries(1, 1, 4))
	})
}

// TestRandomFaults takes random steps with random faults, kills and power
// cuts in between. Nothing acknowledged is lost, nothing is invented, and a
// disk that failed acknowledges nothing more.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := newFaultyFiles()
		var m model
		for range rapid.IntRange(1, 6).Draw(t, "lives") {
			live(t, files, &m)
			if rapid.Bool().Draw(t, "power cut") {
				files.powerCut(func() bool { return rapid.Bool().Draw(t, "keep") })
			} else {
				files.kill()
			}
		}
		assertHolds(t, files, &m)
	})
}

// live is one process on the folder.
func live(t *rapid.T, files *faultyFiles, m *model) {
	files.inject(fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")), rapid.IntRange(1, 40).Draw(t, "after"))
	d, stored, err := Open("/state", Options{Peer: "a", Files: files})
	if err != nil {
		if files.operations < files.at {
			t.Fatalf("open failed with no fault: %v", err)
		}
		return
	}
	if !m.matches(stored) {
		t.Fatalf("found %s", show(stored))
	}
	for range rapid.IntRange(0, 12).Draw(t, "steps") {
		p := drawStep(t, m.stored)
		next := p.after(m.stored)
		err := p.take(d)
		switch {
		case err == nil && m.attempt != nil:
			t.Fatalf("acknowledged after a failure")
		case err == nil:
			m.stored = next
		case m.attempt == nil:
			m.attempt = &next
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
