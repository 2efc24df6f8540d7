package tacksilence

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcrash"
	"auburntack/core/tackjob"
)

// doubtOf returns a doubt about a trial run that was alone on a worker process of VM m-1.
func doubtOf(run uint64, id string) tackjob.Doubt {
	return tackjob.Doubt{Item: tackjob.Item{Job: "a"}, Doubt: tackcrash.Doubt{
		WorkerID: id, Crash: tackcrash.Crash{Run: run, VM: "m-1", BeforeReport: true, Alone: true},
	}}
}

func neverOrdered(string, tackclock.Time) bool { return false }

func assertSettled(t *testing.T, dismissed, crashed []tackjob.Doubt, wantDismissed, wantCrashed int) {
	t.Helper()
	if len(dismissed) != wantDismissed || len(crashed) != wantCrashed {
		t.Errorf("dismissed %+v, crashed %+v, want %d and %d", dismissed, crashed, wantDismissed, wantCrashed)
	}
}

func TestWatch(t *testing.T) {
	t.Run("a report of the same process clears its runs", func(t *testing.T) {
		var w Watch
		w.Doubt(1000, doubtOf(1, "i-1"), 100)
		dismissed, crashed := w.Resolve("m-1", "i-1", neverOrdered)
		assertSettled(t, dismissed, crashed, 1, 0)
	})
	t.Run("another process on the VM proves the crash", func(t *testing.T) {
		var w Watch
		w.Doubt(1000, doubtOf(1, "i-1"), 100)
		dismissed, crashed := w.Resolve("m-1", "i-2", neverOrdered)
		assertSettled(t, dismissed, crashed, 0, 1)
		if !crashed[0].Alone {
			t.Error("the item ran alone, but the crash is not marked so")
		}
		dismissed, crashed = w.Resolve("m-1", "i-3", neverOrdered)
		assertSettled(t, dismissed, crashed, 0, 0)
	})
	t.Run("an order explains the end of the process that it was given to", func(t *testing.T) {
		var w Watch
		listed := doubtOf(1, "i-1")
		listed.BeforeReport = false
		w.Doubt(1000, listed, 100)
		w.Doubt(1000, doubtOf(2, "i-2"), 100)
		dismissed, crashed := w.Resolve("m-1", "i-3", func(id string, _ tackclock.Time) bool { return id == "i-1" })
		assertSettled(t, dismissed, crashed, 1, 1)
		if crashed[0].Run != 2 || crashed[0].Excused || !crashed[0].Alone {
			t.Errorf("crashed %+v, want run 2, in full", crashed[0])
		}
	})
	t.Run("a start that was not listed is counted all the same, but not in full", func(t *testing.T) {
		var w Watch
		w.Doubt(1000, doubtOf(1, "i-1"), 100)
		dismissed, crashed := w.Resolve("m-1", "i-3", func(_ string, heard tackclock.Time) bool { return heard == 100 })
		assertSettled(t, dismissed, crashed, 0, 1)
		if !crashed[0].Excused || crashed[0].Alone {
			t.Errorf("crashed %+v, want it excused", crashed[0])
		}
	})
	t.Run("a crash at the same time as others counts less", func(t *testing.T) {
		var w Watch
		w.Doubt(1000, doubtOf(1, "i-1"), 100)
		w.FellSilent("m-2", 900, false)
		if _, crashed := w.Resolve("m-1", "i-2", neverOrdered); crashed[0].Alone {
			t.Error("another VM fell silent within the same second, but the crash counts in full")
		}
	})
	t.Run("unless those may have their own cause", func(t *testing.T) {
		var w Watch
		w.Doubt(1000, doubtOf(1, "i-1"), 100)
		w.FellSilent("m-2", 900, true)
		w.FellSilent("m-3", 1200, false)
		if _, crashed := w.Resolve("m-1", "i-2", neverOrdered); !crashed[0].Alone {
			t.Error("the crash does not count in full")
		}
	})
	t.Run("a VM that fails by itself is told from suspects", func(t *testing.T) {
		var w Watch
		w.FellSilent("m-1", 900, false)
		w.FellSilent("m-2", 1000, true)
		if w.OnlySuspects(900) || !w.OnlySuspects(901) {
			t.Error("want only suspects after the VM that failed by itself")
		}
	})
	t.Run("old doubts expire", func(t *testing.T) {
		var w Watch
		w.Doubt(1000, doubtOf(1, "i-1"), 100)
		w.Doubt(3000, doubtOf(2, "i-1"), 100)
		if old := w.Expire(2000); len(old) != 1 || old[0].Run != 1 {
			t.Errorf("expired %+v, want run 1", old)
		}
		dismissed, crashed := w.Resolve("m-1", "i-1", neverOrdered)
		assertSettled(t, dismissed, crashed, 1, 0)
	})
}
