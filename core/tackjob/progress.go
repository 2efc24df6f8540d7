package tackjob

import (
	"slices"

	"auburntack/core/tackclock"
)

type (
	// End is a run's end that counts for its job.
	End struct {
		Item Item `cbor:"1,keyasint"`
		// Failed is false for an item that is done.
		Failed bool `cbor:"2,keyasint,omitempty"`
		// Gang says that the end stands for all items of the step.
		Gang bool `cbor:"3,keyasint,omitempty"`
		// Run is the number of the run, which rises from run to run.
		Run uint64 `cbor:"4,keyasint,omitempty"`
	}
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{Open: "open", Complete: "complete", Failed: "failed", Cancelled: "cancelled"}[p]
}

// progress returns the occurrence's progress, made where there is none.
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

// Has reports whether the job has such an item.
func (j *Job) Has(i Item) bool {
	return i.Occurrence >= 0 && int(i.Occurrence) < j.Occurrences() &&
		i.Step >= 0 && int(i.Step) < len(j.Steps) &&
		i.Index >= 0 && int(i.Index) < j.Steps[i.Step].Count
}

// Done reports whether the item has ended well.
func (j *Job) Done(i Item) bool {
	p, ok := j.Progress[i.Occurrence]
	return ok && p.Steps[i.Step].has(i.Index)
}

// Failures is how many runs of the item have failed.
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

// has reports whether the run was counted.
func (f *Failures) has(run uint64) bool {
	return f.Earlier > 0 && run <= f.LastEarlier || slices.Contains(f.Runs, run)
}

// StepDone reports whether all items of the step have ended well.
func (j *Job) StepDone(occurrence, step int32) bool {
	p, ok := j.Progress[occurrence]
	return ok && p.Steps[step].Count == j.Steps[step].Count
}

// Ready reports whether all steps that the step waits for are done.
func (j *Job) Ready(occurrence, step int32) bool {
	for _, a := range j.Steps[step].After {
		if !j.StepDone(occurrence, int32(a)) {
			return false
		}
	}
	return true
}

// Take counts an end, at the log's time now. It reports whether it changed
// anything: an end that was counted before does not.
func (j *Job) Take(e End, now tackclock.Time) bool {
	if j.Phase != Open || !j.Has(e.Item) {
		return false
	}
	p := j.progress(e.Item.Occurrence)
	s := &p.Steps[e.Item.Step]
	if s.has(e.Item.Index) {
		return false
	}
	if e.Failed {
		return j.takeFailure(s, e, now)
	}
	if j.Steps[e.Item.Step].LongRunning {
		return false // it is started again however it ended
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

func (j *Job) takeFailure(s *StepProgress, e End, now tackclock.Time) bool {
	step := &j.Steps[e.Item.Step]
	if step.LongRunning {
		return false
	}
	index := e.Item.Index
	if step.Gang {
		index = 0 // a gang fails as one
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
