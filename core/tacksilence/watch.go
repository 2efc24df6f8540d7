// Package tacksilence tracks workers that stopped reporting: for each run on them,
// whether the worker crashed during it is unresolved until the VM is heard from again.
package tacksilence

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

// togetherWithin is the maximum difference between the last reports of workers of a rack
// that loses power: two heartbeats of a busy worker.
const togetherWithin = tackclock.Second

type (
	// Watch holds the silent workers during a leadership. Its zero value is empty.
	Watch struct {
		doubts   map[tackid.VM][]doubt
		silences []silence
	}

	// doubt is a run of a worker that is silent, or that has been replaced by another on
	// its VM.
	doubt struct {
		tackjob.Doubt
		heard tackclock.Time // last report of the worker
		since tackclock.Time // when the doubt arose
	}

	// silence is a worker that stopped reporting. ranSuspect says that it ran an item
	// that may be the cause.
	silence struct {
		vm         tackid.VM
		heard      tackclock.Time
		ranSuspect bool
	}
)

// FellSilent records that a worker, last heard from at the given time, stopped reporting.
// ranSuspect says that it ran an item that may be the cause.
func (w *Watch) FellSilent(vm tackid.VM, heard tackclock.Time, ranSuspect bool) {
	w.silences = append(w.silences, silence{vm: vm, heard: heard, ranSuspect: ranSuspect})
}

// Doubt records a run whose worker may have crashed, since now.
func (w *Watch) Doubt(now tackclock.Time, x tackjob.Doubt, heard tackclock.Time) {
	if w.doubts == nil {
		w.doubts = make(map[tackid.VM][]doubt)
	}
	w.doubts[x.VM] = append(w.doubts[x.VM], doubt{Doubt: x, heard: heard, since: now})
}

// Resolve resolves the doubts about a VM after a report from a worker process there.
// Doubts about the same process are dismissed; the other processes have crashed. Where
// endedByOrder, called with the time of a process's last report, returns true, an order may
// have ended it: doubts about runs that it had reported are dismissed, and the others
// become crashes that are excused.
func (w *Watch) Resolve(
	vm tackid.VM, id string, endedByOrder func(id string, heard tackclock.Time) bool,
) (dismissed, crashed []tackjob.Doubt) {
	for _, x := range w.doubts[vm] {
		excused := x.WorkerID != id && endedByOrder(x.WorkerID, x.heard)
		if x.WorkerID == id || excused && !x.BeforeReport {
			dismissed = append(dismissed, x.Doubt)
			continue
		}
		x.Excused = excused
		x.Alone = x.Alone && !excused && !w.together(&x)
		crashed = append(crashed, x.Doubt)
	}
	delete(w.doubts, vm)
	return dismissed, crashed
}

// together reports whether another worker that ran no suspect item fell silent at the
// same time. Then both most likely lost power or their network.
func (w *Watch) together(x *doubt) bool {
	return slices.ContainsFunc(w.silences, func(s silence) bool {
		apart := max(s.heard.Sub(x.heard), x.heard.Sub(s.heard))
		return s.vm != x.VM && !s.ranSuspect && apart <= togetherWithin
	})
}

// OnlySuspects reports whether every worker that fell silent since the given time ran an
// item that may be the cause, so that nothing points to failures of VMs.
func (w *Watch) OnlySuspects(since tackclock.Time) bool {
	return !slices.ContainsFunc(w.silences, func(s silence) bool { return s.heard >= since && !s.ranSuspect })
}

// Expire removes what is older than the given time, and returns the doubts among it,
// which will no longer be resolved by a report.
func (w *Watch) Expire(before tackclock.Time) []tackjob.Doubt {
	var old []tackjob.Doubt
	for vm, doubts := range w.doubts {
		left := slices.DeleteFunc(doubts, func(x doubt) bool {
			if x.since < before {
				old = append(old, x.Doubt)
			}
			return x.since < before
		})
		if w.doubts[vm] = left; len(left) == 0 {
			delete(w.doubts, vm)
		}
	}
	w.silences = slices.DeleteFunc(w.silences, func(s silence) bool { return s.heard < before })
	return old
}
