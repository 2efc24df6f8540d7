package tackjob

import "auburntack/core/tackclock"

// CriticalPath returns the estimated duration of the longest chain of dependent steps, the
// critical path of one occurrence.
func (s *Spec) CriticalPath() tackclock.Duration {
	return s.longestChain(func(int) bool { return false })
}

// RemainingCriticalPath returns the estimated duration of the longest chain of dependent
// steps of the occurrence that are not done yet.
func (j *Job) RemainingCriticalPath(occurrence int32) tackclock.Duration {
	return j.longestChain(func(step int) bool { return j.StepDone(occurrence, int32(step)) })
}

// longestChain returns the duration of the longest chain of dependent steps, leaving out
// those for which done returns true.
func (s *Spec) longestChain(done func(step int) bool) tackclock.Duration {
	ends := make([]tackclock.Duration, len(s.Steps))
	var longest tackclock.Duration
	for i := range s.Steps {
		if done(i) {
			continue
		}
		var begin tackclock.Duration
		for _, a := range s.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Work returns the estimated work of one occurrence, in millicore-milliseconds.
func (s *Spec) Work() int64 {
	var total int64
	for i := range s.Steps {
		total += s.Steps[i].Work(s.Steps[i].Count)
	}
	return total
}

// Work returns the estimated work of the given number of items of the step, in
// millicore-milliseconds.
func (s *Step) Work(items int) int64 {
	return int64(items) * int64(s.MilliCores) * int64(s.Estimate)
}
