package tackquota

import (
	"testing"

	"pgregory.net/rapid"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroom"
	"auburntack/core/tackworkspace"
)

const mairies = tackid.Workspace("mairies")

func cores(n int) tackroom.Resources {
	return tackroom.Resources{MilliCores: 1000 * n, MemoryMB: 1000 * n}
}

func capped(limit tackroom.Resources) []tackworkspace.Workspace {
	return []tackworkspace.Workspace{{Name: mairies, Cap: limit}}
}

// commitWanted commits the grants that the book wants.
func commitWanted(b *Book, now tackclock.Time, grants Grants) {
	list := b.TakeRequested(now)
	for _, g := range list {
		grants[g.Workspace] = g.Resources
	}
	b.Committed(list)
}

// newAccount returns the account of a leader after the leases of earlier leaders have
// expired.
func newAccount(caps tackroom.Resources) (*Book, *Account, Grants) {
	b, grants := new(Book), make(Grants)
	b.Begin(0, capped(caps), grants)
	commitWanted(b, 0, grants)
	return b, b.Account(mairies), grants
}

// assertMay calls Allows twice: the first call may have to wait for a grant to be
// committed.
func assertMay(t *testing.T, a *Account, now tackclock.Time, need tackroom.Resources, want bool) {
	t.Helper()
	a.Allows(now, need)
	commitWanted(a.book, now, make(Grants))
	assertAllows(t, a, now, need, want)
}

func assertAllows(t *testing.T, a *Account, now tackclock.Time, need tackroom.Resources, want bool) {
	t.Helper()
	if got := a.Allows(now, need); got != want {
		t.Errorf("%+v beside %+v of %+v: %v, want %v", need, a.Used(), a.Cap(), got, want)
	}
}

func TestCap(t *testing.T) {
	t.Run("holds for each kind of resource", func(t *testing.T) {
		_, a, _ := newAccount(tackroom.Resources{MilliCores: 10_000, MemoryMB: 40_000})
		a.Start(cores(7), false)
		assertMay(t, a, 1, cores(3), true)
		assertMay(t, a, 1, cores(4), false)
		assertMay(t, a, 1, tackroom.Resources{MemoryMB: 33_000}, true)
		assertMay(t, a, 1, tackroom.Resources{MemoryMB: 33_001}, false)
		assertMay(t, a, 1, tackroom.Resources{MilliCores: 1, GPUs: 8}, true)
		a.End(cores(7), false)
		assertMay(t, a, 2, cores(10), true)
	})
	t.Run("a larger item runs alone", func(t *testing.T) {
		_, a, _ := newAccount(cores(4))
		assertMay(t, a, 1, cores(6), true)
		a.Start(cores(6), false)
		assertMay(t, a, 1, cores(1), false)
	})
	t.Run("none without a workspace", func(t *testing.T) {
		var none *Account
		assertNone := (&Book{}).Account("")
		if assertNone != nil || !none.Allows(0, cores(1000)) || !none.CapAllows(cores(1000)) {
			t.Error("a job without a workspace is limited")
		}
		none.Start(cores(1), false)
		none.End(cores(1), false)
	})
	t.Run("lowered below what runs", func(t *testing.T) {
		b, a, _ := newAccount(cores(40))
		a.Start(cores(30), false)
		b.SetCaps(capped(cores(10)))
		assertMay(t, a, 1, cores(1), false)
		a.End(cores(21), false)
		assertMay(t, a, 1, cores(1), true)
		assertMay(t, a, 1, cores(2), false)
	})
	t.Run("removed", func(t *testing.T) {
		b, a, _ := newAccount(cores(4))
		a.Start(cores(4), false)
		b.SetCaps(nil)
		assertMay(t, a, 1, cores(100), true)
	})
	t.Run("of a gang", func(t *testing.T) {
		_, a, _ := newAccount(tackroom.Resources{MilliCores: 10_000})
		if !a.CapAllows(cores(10)) || a.CapAllows(cores(11)) || !a.CapAllows(tackroom.Resources{GPUs: 50}) {
			t.Error("wrong answer on what the cap allows at once")
		}
	})
}

// A new leader must count the whole grant of its predecessor as running. If it counted
// only what workers have reported, it would start up to the cap again beside what the
// lost leader had started, and the workspace would exceed its cap.
func TestNextLeaderCountsGrantAsRunning(t *testing.T) {
	const earlierLeasesEnd = 3000
	b, a, grants := newAccount(cores(40))
	a.Start(cores(10), false)
	commitWanted(b, 1, grants)
	granted := grants[mairies].MilliCores
	if granted < 10_000 || granted > 25_000 {
		t.Fatalf("granted %d for 10,000", granted)
	}
	next := new(Book)
	next.Begin(earlierLeasesEnd, capped(cores(40)), grants)
	a = next.Account(mairies)
	beside := tackroom.Resources{MilliCores: 40_000 - granted}
	assertAllows(t, a, 100, beside.Plus(tackroom.Resources{MilliCores: 1}), false)
	t.Run("once the higher grant is committed", func(t *testing.T) {
		assertAllows(t, a, 100, beside, false)
		commitWanted(next, 100, grants)
		assertAllows(t, a, 100, beside, true)
	})
	t.Run("no matter how much of it has been reported", func(t *testing.T) {
		a.Start(cores(6), true)
		assertAllows(t, a, 200, beside, true)
		assertAllows(t, a, 200, beside.Plus(tackroom.Resources{MilliCores: 1}), false)
		a.End(cores(6), true)
		assertAllows(t, a, 200, beside.Plus(tackroom.Resources{MilliCores: 1}), false)
	})
	t.Run("then by what actually runs", func(t *testing.T) {
		a.Start(cores(8), true)
		a.Allows(earlierLeasesEnd, cores(32))
		commitWanted(next, earlierLeasesEnd, grants)
		assertAllows(t, a, earlierLeasesEnd, cores(32), true)
		assertAllows(t, a, earlierLeasesEnd, cores(33), false)
	})
}

// A workspace without a grant in the log may have run without a cap until now.
func TestNextLeaderWithoutGrant(t *testing.T) {
	b := new(Book)
	b.Begin(3000, capped(cores(40)), nil)
	a := b.Account(mairies)
	assertAllows(t, a, 2999, cores(1), false)
	commitWanted(b, 3000, make(Grants))
	assertAllows(t, a, 3000, cores(1), true)
}

func TestGrantFollowsWhatRuns(t *testing.T) {
	b, a, grants := newAccount(cores(80))
	for range 70 {
		if !a.Allows(1, cores(1)) {
			t.Fatalf("start beside %+v waits for the log, which grants %+v", a.Used(), grants[mairies])
		}
		a.Start(cores(1), false)
		commitWanted(b, 1, grants)
	}
	if got := grants[mairies]; got.MilliCores > 80_000 || got.MemoryMB > 80_000 {
		t.Errorf("granted %+v, beyond the cap", got)
	}
	a.End(cores(60), false)
	commitWanted(b, 5000, grants)
	if got := grants[mairies].MilliCores; got > 30_000 {
		t.Errorf("granted %d while 10,000 are running", got)
	}
	assertAllows(t, a, 5000, cores(5), true)
}

// fleet models workers that keep running across leaders, and a log that may lose
// uncommitted proposals when a leader is lost.
type fleet struct {
	cap      tackroom.Resources
	grants   Grants
	runs     []tackroom.Resources // what actually runs
	heard    []bool               // reported to the present leader
	early    []bool               // started by an earlier leader
	inFlight [][]Grant
	book     *Book
	now      tackclock.Time
}

func (f *fleet) lead() {
	f.book = new(Book)
	f.inFlight = nil
	f.book.Begin(f.now.Add(1000), capped(f.cap), f.grants)
	f.forget()
}

// again restarts the accounts of the leader while its proposals are not committed yet.
func (f *fleet) again() {
	f.book.Restart(f.now.Add(1000), capped(f.cap), f.grants)
	f.forget()
}

func (f *fleet) forget() {
	for i := range f.runs {
		f.heard[i], f.early[i] = false, true
	}
}

func (f *fleet) commit() {
	if len(f.inFlight) == 0 {
		return
	}
	for _, g := range f.inFlight[0] {
		f.grants[g.Workspace] = g.Resources
	}
	f.book.Committed(f.inFlight[0])
	f.inFlight = f.inFlight[1:]
}

// end ends a run. The leader is not told of the end of a run that was not reported to it.
func (f *fleet) end(i int) {
	if f.heard[i] {
		f.book.Account(mairies).End(f.runs[i], f.early[i])
	}
	last := len(f.runs) - 1
	f.runs[i], f.heard[i], f.early[i] = f.runs[last], f.heard[last], f.early[last]
	f.runs, f.heard, f.early = f.runs[:last], f.heard[:last], f.early[:last]
}

func (f *fleet) total() tackroom.Resources {
	var sum tackroom.Resources
	for _, r := range f.runs {
		sum = sum.Plus(r)
	}
	return sum
}

// TestRandomLeaders checks that what runs stays within the committed grant and within the
// cap, over random starts, ends, reports, and losses of leaders and of proposals.
func TestRandomLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{cap: cores(40), grants: make(Grants)}
		f.lead()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now = f.now.Add(tackclock.Duration(rapid.IntRange(1, 400).Draw(t, "wait")))
			a := f.book.Account(mairies)
			switch rapid.SampledFrom([]string{"start", "start", "start", "end", "hear", "commit", "commit", "want", "lose", "again", "lost"}).Draw(t, "act") {
			case "start":
				need := tackroom.Resources{MilliCores: rapid.IntRange(1, 8).Draw(t, "cores") * 1000, MemoryMB: rapid.IntRange(0, 9).Draw(t, "memory") * 1000}
				for a.Allows(f.now, need) && rapid.IntRange(0, 4).Draw(t, "again") > 0 {
					a.Start(need, false)
					f.runs, f.heard, f.early = append(f.runs, need), append(f.heard, true), append(f.early, false)
				}
			case "end":
				if len(f.runs) > 0 {
					f.end(rapid.IntRange(0, len(f.runs)-1).Draw(t, "run"))
				}
			case "hear":
				f.hear(t)
			case "want":
				if list := f.book.TakeRequested(f.now); len(list) > 0 {
					f.inFlight = append(f.inFlight, list)
				}
			case "commit":
				f.commit()
			case "lose":
				for range rapid.IntRange(0, len(f.inFlight)).Draw(t, "committed") {
					f.commit()
				}
				f.lead()
			case "again":
				f.again()
			case "lost":
				f.inFlight = f.inFlight[:rapid.IntRange(0, len(f.inFlight)).Draw(t, "kept")]
				f.again()
			}
			// The leases of runs that were not reported to this leader have expired by
			// now.
			if f.now >= f.book.earlierLeasesEnd {
				for i := len(f.runs) - 1; i >= 0; i-- {
					if !f.heard[i] {
						f.end(i)
					}
				}
			}
			f.assertProgress(t)
			if total := f.total(); !f.grants[mairies].Fits(total) || !f.cap.Fits(total) {
				t.Fatalf("%+v runs, granted %+v, cap %+v", total, f.grants[mairies], f.cap)
			}
		}
	})
}

// assertProgress fails the test if nothing runs and nothing can ever start.
func (f *fleet) assertProgress(t *rapid.T) {
	if len(f.runs) > 0 || f.now < f.book.earlierLeasesEnd || len(f.inFlight) > 0 {
		return
	}
	a := f.book.Account(mairies)
	if a.Allows(f.now, cores(1)) {
		return
	}
	f.inFlight = append(f.inFlight, f.book.TakeRequested(f.now))
	f.commit()
	if !a.Allows(f.now, cores(1)) {
		t.Fatalf("nothing runs and nothing can start: %v", a)
	}
}

// hear reports some of the runs of earlier leaders to the present one.
func (f *fleet) hear(t *rapid.T) {
	for i := range f.runs {
		if !f.heard[i] && rapid.Bool().Draw(t, "heard") {
			f.heard[i] = true
			f.book.Account(mairies).Start(f.runs[i], true)
		}
	}
}

// BenchmarkStart measures a start and an end in a book of 45 workspaces.
func BenchmarkStart(b *testing.B) {
	var list []tackworkspace.Workspace
	for i := range 45 {
		list = append(list, tackworkspace.Workspace{Name: tackid.Workspace(rune('A' + i)), Cap: cores(100)})
	}
	book := new(Book)
	book.Begin(0, list, nil)
	book.Committed(book.TakeRequested(1))
	a := book.Account("A")
	b.ReportAllocs()
	for b.Loop() {
		if a.Allows(1, cores(1)) {
			a.Start(cores(1), false)
			a.End(cores(1), false)
		}
	}
}
