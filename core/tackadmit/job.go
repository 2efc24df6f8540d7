// Package tackadmit decides which jobs a pool accepts, by its outlook, and keeps room for
// refused callers until the times at which they were told to return.
//
// Load pattern: for some seconds a queue submits several times what its pool can run. A job
// that is accepted and ends late is of little use and delays others. A caller that is
// refused returns, and would be refused again if new callers took the room that it was told
// of.
package tackadmit

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

type (
	// Part is work of a job, in millicore-milliseconds, that must be done some time before
	// the job's deadline: as long as the steps after it take.
	Part struct {
		Before tackclock.Duration
		Work   int64
	}

	// Job is a submitted job.
	Job struct {
		ID       tackjob.ID
		Priority int
		// Path is the critical path of the job, and Allowed the time from now in which it
		// must end.
		Path, Allowed tackclock.Duration
		// Parts are ordered by their deadlines.
		Parts []Part
	}
)

// PartsOf returns the parts of the given steps, ordered by their deadlines. left returns
// how many items of a step are not done.
//
// Each item counts with all of its work until it has ended. While the pool is full, the
// work that is ahead of a job is then done when the job's first items are about to end, and
// not when they start.
func PartsOf(steps []tackjob.Step, left func(step int) int) []Part {
	after := make([]tackclock.Duration, len(steps)) // how long the steps after one take
	var parts []Part
	for i := len(steps) - 1; i >= 0; i-- {
		s := &steps[i]
		for _, a := range s.After {
			after[a] = max(after[a], after[i]+s.Estimate)
		}
		work := s.Work(left(i))
		if work == 0 {
			continue
		}
		if k := slices.IndexFunc(parts, func(p Part) bool { return p.Before == after[i] }); k >= 0 {
			parts[k].Work += work
			continue
		}
		parts = append(parts, Part{Before: after[i], Work: work})
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(b.Before, a.Before) })
	return parts
}

// JobOf returns a job that is submitted with the given specification. A job whose critical
// path is longer than the time allowed has that much time: it would be refused for ever
// otherwise.
func JobOf(spec *tackjob.Spec, priority int, allowed tackclock.Duration) *Job {
	path := spec.CriticalPath()
	return &Job{
		ID: spec.ID, Priority: priority, Path: path, Allowed: max(allowed, path),
		Parts: PartsOf(spec.Steps, func(step int) int { return spec.Steps[step].Count }),
	}
}

func (j *Job) work() int64 {
	var sum int64
	for _, p := range j.Parts {
		sum += p.Work
	}
	return sum
}

// rest returns how long the steps after the first part take.
func (j *Job) rest() tackclock.Duration {
	if len(j.Parts) == 0 {
		return 0
	}
	return j.Parts[0].Before
}
