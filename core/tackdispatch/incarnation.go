package tackdispatch

import (
	"slices"
	"strconv"
	"strings"

	"auburntack/core/tackclock"
)

const (
	// startSeparator separates a worker's name from the start time of its incarnation.
	startSeparator = "@"
	// maxFirstSequence is the highest sequence number of a report that is one of the first
	// of its incarnation.
	maxFirstSequence = 3
	// confirmAfter is how long an incarnation must go on reporting before it replaces the
	// known one although it says that it began earlier. What a partition delays arrives
	// within a moment of its end.
	confirmAfter = tackclock.Second
)

type (
	// WorkerID identifies one incarnation of a worker, that is, one run of its process:
	// by the worker's name and, if the worker reports it, when the incarnation began. A
	// worker may restart under the same name. It runs nothing then and numbers its
	// heartbeats anew, so it counts as another worker.
	WorkerID string

	// pendingIncarnation is an incarnation that is not accepted yet, by its first report.
	pendingIncarnation struct {
		since    tackclock.Time
		sequence uint64
	}
)

// NewWorkerID returns the id of an incarnation. startedAt is by the worker's own clock,
// or zero if the worker does not report it. The result is false if the name contains the
// separator.
func NewWorkerID(name string, startedAt tackclock.Time) (WorkerID, bool) {
	if strings.Contains(name, startSeparator) {
		return "", false
	}
	if startedAt == 0 {
		return WorkerID(name), true
	}
	return WorkerID(name + startSeparator + strconv.FormatInt(int64(startedAt), 10)), true
}

// Name returns the worker's name, which its incarnations share.
func (id WorkerID) Name() string {
	name, _, _ := strings.Cut(string(id), startSeparator)
	return name
}

// StartedAt returns when the incarnation began by the worker's own clock, or zero if the
// worker does not report it.
func (id WorkerID) StartedAt() tackclock.Time {
	_, text, _ := strings.Cut(string(id), startSeparator)
	startedAt, _ := strconv.ParseInt(text, 10, 64) // empty if the worker does not report it
	return tackclock.Time(startedAt)
}

// conflictingWorker returns the worker that is over if the report's incarnation is
// accepted: one of the same name or on the same VM.
func (d *Dispatcher) conflictingWorker(r *Report) *worker {
	if w := d.workersByName[r.Worker.Name()]; w != nil {
		return w
	}
	if r.VM == "" {
		return nil
	}
	return d.workersByVM[r.VM]
}

// acceptsIncarnation reports whether an incarnation that is not registered should be, in
// the place of the one on its VM or under its name.
//
// A heartbeat that a partition delayed may arrive after its sender crashed and began
// another incarnation, at a leader that never knew the former one. Its sequence number does
// not tell which is the case, so an incarnation that was replaced may return; see former.
// A report that is unlikely to come from a new incarnation is ignored while the other one
// reports: one with a high sequence number, or of two incarnations of one name that with
// the earlier start time. A worker's clock may have been set back in between, so such an
// incarnation must keep reporting for a while.
func (d *Dispatcher) acceptsIncarnation(now tackclock.Time, r *Report) bool {
	f := d.formers.byID[r.Worker]
	if f != nil && r.Sequence <= f.sequence {
		return false
	}
	other := d.conflictingWorker(r)
	if other == nil {
		return !d.laterIncarnationLapsed(r.Worker) || d.keepsReporting(now, r, nil)
	}
	if f != nil {
		return true // no report has shown yet that the other one is the later one
	}
	switch name := other.id.Name(); {
	case name == r.Worker.Name() && r.Worker.StartedAt() < other.id.StartedAt():
		return d.keepsReporting(now, r, other)
	case name == r.Worker.Name() && other.id.StartedAt() == 0:
		return true // the other worker did not report when it began
	}
	return r.Sequence <= maxFirstSequence || d.unheard(now, other)
}

// laterIncarnationLapsed reports whether the lease of a later incarnation of the same
// name ran out recently.
func (d *Dispatcher) laterIncarnationLapsed(id WorkerID) bool {
	return slices.ContainsFunc(d.formers.byName[id.Name()], func(f *former) bool { return id.StartedAt() < f.id.StartedAt() })
}

// keepsReporting reports whether an incarnation has gone on reporting for a while and the
// other has not.
func (d *Dispatcher) keepsReporting(now tackclock.Time, r *Report, other *worker) bool {
	c, known := d.pendingIncarnations[r.Worker]
	if !known || other != nil && other.heardAt > c.since {
		d.pendingIncarnations[r.Worker] = pendingIncarnation{since: now, sequence: r.Sequence}
		return false
	}
	return r.Sequence > c.sequence && now.Sub(c.since) >= confirmAfter && (other == nil || d.unheard(now, other))
}
