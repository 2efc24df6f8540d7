package tackjob

import (
	"slices"

	"auburntack/core/tackclock"
)

type (
	// End is the end of a run that counts towards its job.
	End struct {
		Item Item `cbor:"1,keyasint"`
		// Failed is false if the item is done.
		Failed bool `cbor:"2,keyasint,omitempty"`
		// Gang says that the end applies to all items of the step.
		Gang bool `cbor:"3,keyasint,omitempty"`
		// Run is the number of the run. Later runs have higher numbers.
		Run uint64 `cbor:"4,keyasint,omitempty"`
	}
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{Open: "open", Complete: "complete", Failed: "failed", Cancelled: "cancelled"}[p]
}

// progress returns the progress of the occurrence, which it creates if there is none.
func (j *Job) progress(occurrence int32) Progress {
	p, ok := j.Progress[occurrence]
	if ok {
		return p
	}
	p.Steps = make([]StepProgress, len(j.Steps))
	for i := range p.Steps {
		p.Steps[i].Done = make([]byte, (j.Steps[i].Count+7)/8)
	}
	if j.Progress == nil {
		j.Progress = make(map[int32]Progress)
	}
	j.Progress[occurrence] = p
	return p
}

// Has reports whether the job contains the item.
func (j *Job) Has(i Item) bool {
	return i.Occurrence >= 0 && int(i.Occurrence) < j.Occurrences() &&
		i.Step >= 0 && int(i.Step) < len(j.Steps) &&
		i.Index >= 0 && int(i.Index) < j.Steps[i.Step].Count
}

// Done reports whether the item has completed successfully.
func (j *Job) Done(i Item) bool {
	p, ok := j.Progress[i.Occurrence]
	return ok && p.Steps[i.Step].has(i.Index)
}

// Failures returns the number of failed runs of the item.
func (j *Job) Failures(i Item) int {
	p, ok := j.Progress[i.Occurrence]
	if !ok {
		return 0
	}
	f := p.Steps[i.Step].Failures[i.Index]
	return f.count()
}

func (f *Failures) count() int {
	return f.Earlier + len(f.Runs)
}

// has reports whether the run has been counted.
func (f *Failures) has(run uint64) bool {
	return f.Earlier > 0 && run <= f.LastEarlier || slices.Contains(f.Runs, run)
}

// StepDone reports whether all items of the step have completed successfully.
func (j *Job) StepDone(occurrence, step int32) bool {
	p, ok := j.Progress[occurrence]
	return ok && p.Steps[step].Count == j.Steps[step].Count
}

// Ready reports whether all steps that the step depends on are done.
func (j *Job) Ready(occurrence, step int32) bool {
	for _, a := range j.Steps[step].After {
		if !j.StepDone(occurrence, int32(a)) {
			return false
		}
	}
	return true
}

// RecordEnd records the end of a run at log time now. It reports whether the job changed; an
// end that was recorded before changes nothing.
func (j *Job) RecordEnd(e End, now tackclock.Time) bool {
	if j.Phase != Open || !j.Has(e.Item) {
		return false
	}
	p := j.progress(e.Item.Occurrence)
	s := &p.Steps[e.Item.Step]
	if s.has(e.Item.Index) {
		return false
	}
	if e.Failed {
		return j.recordFailure(s, e, now)
	}
	if j.Steps[e.Item.Step].LongRunning {
		return false // long-running items are restarted however they end
	}
	if e.Gang {
		s.setAll(j.Steps[e.Item.Step].Count)
	} else {
		s.set(e.Item.Index)
	}
	if j.allDone() {
		j.close(Complete, now)
	}
	return true
}

func (j *Job) recordFailure(s *StepProgress, e End, now tackclock.Time) bool {
	step := &j.Steps[e.Item.Step]
	if step.LongRunning {
		return false
	}
	index := e.Item.Index
	if step.Gang {
		index = 0 // a gang fails as a unit
	}
	f := s.Failures[index]
	if f.has(e.Run) {
		return false
	}
	if s.Failures == nil {
		s.Failures = make(map[int32]Failures)
	}
	f.Runs = append(slices.Clone(f.Runs), e.Run)
	s.Failures[index] = f
	if j.Attempts > 0 && f.count() >= j.Attempts {
		j.close(Failed, now)
	}
	return true
}

func (j *Job) close(p Phase, now tackclock.Time) {
	j.Phase = p
	j.Closed = now
	j.Progress = nil
	j.Text = ""
}

func (j *Job) allDone() bool {
	for o := range j.Occurrences() {
		for s := range j.Steps {
			if !j.StepDone(int32(o), int32(s)) {
				return false
			}
		}
	}
	return true
}

func (s *StepProgress) has(index int32) bool {
	return s.Done[index/8]&(1<<(index%8)) != 0
}

func (s *StepProgress) set(index int32) {
	s.Done[index/8] |= 1 << (index % 8)
	s.Count++
}

func (s *StepProgress) setAll(count int) {
	for i := range int32(count) {
		if !s.has(i) {
			s.set(i)
		}
	}
}
