package tackcrash

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

func recordOf(crashes ...Crash) Record {
	var r Record
	for i, c := range crashes {
		c.Run = uint64(i + 1)
		r = r.WithCrash(c)
	}
	return r
}

func on(n int, early, alone bool) Crash {
	return Crash{VM: tackid.VM(fmt.Sprintf("m-%d", n)), BeforeReport: early, Alone: alone}
}

func assertJudged(t *testing.T, r Record, atFault bool, trial tackclock.Duration) {
	t.Helper()
	if r.AtFault() != atFault {
		t.Errorf("AtFault() = %v after %+v, want %v", r.AtFault(), r.Crashes, atFault)
	}
	if got := r.Trial(); !atFault && got != trial {
		t.Errorf("trial of %d ms after %+v, want %d", got, r.Crashes, trial)
	}
}

// assertIsolated fails the test unless the item must start isolated, without a trial.
func assertIsolated(t *testing.T, r Record) {
	t.Helper()
	assertJudged(t, r, false, 0)
	if !r.StartsIsolated() {
		t.Errorf("after %+v and %+v the item may start together with others", r.Crashes, r.Doubts)
	}
}

func TestRecord(t *testing.T) {
	t.Run("without a crash, no trial", func(t *testing.T) { assertJudged(t, Record{}, false, 0) })
	t.Run("lost once after its start, it may run beside others", func(t *testing.T) {
		assertJudged(t, recordOf(on(1, false, false)), false, 0)
	})
	t.Run("lost twice after its start, it is tried", func(t *testing.T) {
		assertJudged(t, recordOf(on(1, false, false), on(2, false, false)), false, SettledAfter)
	})
	t.Run("lost at its start beside others, it starts isolated", func(t *testing.T) {
		assertIsolated(t, recordOf(on(1, true, false)))
	})
	t.Run("lost at its start while no other was under way, it is tried", func(t *testing.T) {
		c := on(1, true, false)
		c.Isolated = true
		assertJudged(t, recordOf(c), false, shortTrial)
	})
	t.Run("lost at its start twice, it is tried", func(t *testing.T) {
		assertJudged(t, recordOf(on(1, true, false), on(2, true, false)), false, shortTrial)
	})
	t.Run("crashes that another start explains do not count", func(t *testing.T) {
		c := on(1, false, false)
		c.Explained = true
		assertJudged(t, recordOf(c, c, c, c, c, c), false, 0)
	})
	t.Run("a start that may have been ended by an order counts as a start", func(t *testing.T) {
		c := on(1, true, false)
		c.Excused = true
		assertIsolated(t, recordOf(c))
		assertJudged(t, recordOf(c, c, c, c), true, 0)
	})
	t.Run("lost with its rack, it may run beside others", func(t *testing.T) {
		c := on(1, true, false)
		c.Outage = true
		r := recordOf(c, c, c)
		assertJudged(t, r, false, 0)
		if r.StartsIsolated() {
			t.Error("the item must start isolated")
		}
		assertJudged(t, recordOf(c, c, c, c), true, 0)
	})
	t.Run("an item that survived its start each time is given up after one crash more", func(t *testing.T) {
		four := []Crash{on(1, false, true), on(2, false, false), on(3, false, false), on(4, false, false)}
		assertJudged(t, recordOf(four...), false, SettledAfter)
		assertJudged(t, recordOf(append(four, on(5, true, false))...), true, 0)
	})
	t.Run("lost once while alone, it is tried again", func(t *testing.T) {
		assertJudged(t, recordOf(on(1, true, false), on(2, true, true)), false, shortTrial)
	})
	t.Run("lost while alone on two VMs, it is given up", func(t *testing.T) {
		assertJudged(t, recordOf(on(1, true, false), on(2, true, true), on(3, true, true)), true, 0)
	})
	t.Run("repeated crashes on one VM do not count against the item", func(t *testing.T) {
		assertJudged(t, recordOf(on(1, true, true), on(1, true, true), on(1, true, true)), false, shortTrial)
	})
	t.Run("an item that is never alone is given up as well", func(t *testing.T) {
		assertJudged(t, recordOf(on(1, true, false), on(2, true, false), on(1, true, false)), false, shortTrial)
		assertJudged(t, recordOf(on(1, true, false), on(2, true, false), on(1, true, false), on(2, true, false)), true, 0)
		four := []Crash{on(1, false, false), on(2, false, false), on(1, false, false), on(2, false, false)}
		assertJudged(t, recordOf(four...), false, SettledAfter)
		assertJudged(t, recordOf(append(four, on(1, false, false))...), true, 0)
	})
	t.Run("a run counts once", func(t *testing.T) {
		r := recordOf(on(1, true, true))
		if same := r.WithCrash(Crash{Run: 1, VM: "m-2", Alone: true}); len(same.Crashes) != 1 {
			t.Errorf("record %+v after the same run, want one crash", same)
		}
	})
}

func TestDoubts(t *testing.T) {
	doubt := func(run uint64) Doubt {
		return Doubt{Crash: Crash{Run: run, VM: "m-1", BeforeReport: true}, WorkerID: "i-1"}
	}
	one := Record{}.WithDoubt(doubt(1))
	two := one.WithDoubt(doubt(2))
	t.Run("isolate the item's next start and never give it up", func(t *testing.T) {
		assertIsolated(t, one)
		assertIsolated(t, two.WithDoubt(doubt(3)).WithDoubt(doubt(4)))
	})
	t.Run("hold the item back once they may be all that it is allowed", func(t *testing.T) {
		three := two.WithDoubt(doubt(3))
		if three.Exhausted() || !three.WithDoubt(doubt(4)).Exhausted() {
			t.Error("want the item to be held after four doubts, and not before")
		}
	})
	t.Run("about two workers at once hold the item back", func(t *testing.T) {
		if one.OnHold() || !two.OnHold() {
			t.Errorf("Waits() = %v after one doubt and %v after two, want false and true", one.OnHold(), two.OnHold())
		}
	})
	t.Run("are replaced by the crash of the run", func(t *testing.T) {
		r := two.WithCrash(doubt(1).Crash)
		if len(r.Doubts) != 1 || len(r.Crashes) != 1 || r.OnHold() {
			t.Errorf("record %+v, want one crash and the other doubt", r)
		}
		if again := r.WithDoubt(doubt(1)); len(again.Doubts) != 1 {
			t.Errorf("record %+v has a doubt about a crash that it holds", again)
		}
	})
	t.Run("can be dismissed", func(t *testing.T) {
		if r := one.WithoutDoubt(1); !r.Empty() {
			t.Errorf("record %+v, want an empty one", r)
		}
	})
}
