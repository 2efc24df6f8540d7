package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackcrash"
	"auburntack/core/tackjob"
)

// inheritSteps marks the steps of a job that an earlier leader may have started.
func (d *Dispatcher) inheritSteps(j *tackjob.Job) {
	o := d.jobs[j.ID]
	if o == nil || o.fresh {
		return
	}
	for _, s := range o.steps {
		s.inherited = true
	}
}

// markLost records that a run of the item may have been lost with its worker.
func (s *openStep) markLost(index int32) {
	if s.lost == nil {
		s.lost = make(map[int32]bool)
	}
	s.lost[index] = true
}

// mustLogStart reports whether a start of the item must be in the log before it is sent.
//
// The first start of an item is sent without a log entry. If it is lost with its worker,
// and the leader is lost before it notices, one start leaves no trace. To keep it at one,
// every further start is logged as a doubt before it is sent: those of items that an
// earlier leader may have started, and those of items that this leader has lost. The
// members of a gang start together.
func (s *openStep) mustLogStart(index int32) bool {
	return s.inherited || s.lost[index] || s.Gang && len(s.lost) > 0
}

// logStart records a planned start, and reports whether it must wait for the log.
func (d *Dispatcher) logStart(r *run) bool {
	if !r.step.mustLogStart(r.item.Index) || r.worker.vm == "" {
		return false
	}
	d.doubtRun(r)
	return true
}

// planLoggedStart reserves room for an item whose start goes out with the worker's next
// heartbeat after the log holds it.
func (d *Dispatcher) planLoggedStart(now tackclock.Time, r *run) {
	r.sentIn = notSent
	d.addRun(now, r)
	w := r.worker
	w.planned = append(w.planned, planned{run: r, until: now.Add(startPlanned), unlogged: d.logStart(r)})
}

// holdForLog keeps an item from starting until the finding about it that was just made is
// in the log. If this leader were lost before, the next one would not know of it.
func (s *openStep) holdForLog(index int32) {
	if s.unlogged == nil {
		s.unlogged = make(map[int32]int)
	}
	s.unlogged[index]++
}

// addDismissed records that a doubt about the run was dismissed, although the log may still
// hold it.
func (s *openStep) addDismissed(run uint64) {
	if s.dismissed == nil {
		s.dismissed = make(map[uint64]bool)
	}
	s.dismissed[run] = true
}

// crashRecord returns the item's record of crashes in the log, without the doubts that were
// dismissed since. With them an item whose start was logged would seem a suspect for the
// moment after its end.
func (s *openStep) crashRecord(index int32) tackcrash.Record {
	record := s.job.CrashesUnder(s.item(index))
	for _, x := range record.Doubts {
		if s.dismissed[x.Run] {
			record = record.WithoutDoubt(x.Run)
		}
	}
	return record
}

// findingLogged records that the log holds a finding about the item.
func (s *openStep) findingLogged(index int32) {
	if s.unlogged[index] > 1 {
		s.unlogged[index]--
		return
	}
	delete(s.unlogged, index)
}
