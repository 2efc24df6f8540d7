package tackjob

import "auburntack/core/tackclock"

// Chain is the time of the longest chain of steps that wait for each other,
// by the estimates.
func (s *Spec) Chain() tackclock.Duration {
	return s.chain(func(int) bool { return false })
}

// ChainLeft is the longest chain of an occurrence's steps that are not done, by
// the estimates.
func (j *Job) ChainLeft(occurrence int32) tackclock.Duration {
	return j.chain(func(step int) bool { return j.StepDone(occurrence, int32(step)) })
}

// chain is the longest chain of steps, without those that are done.
func (s *Spec) chain(done func(step int) bool) tackclock.Duration {
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

// Work is what one occurrence takes, in milliseconds of thousandths of a core,
// by the estimates.
func (s *Spec) Work() int64 {
	var total int64
	for i := range s.Steps {
		total += s.Steps[i].Work(s.Steps[i].Count)
	}
	return total
}

// Work is what so many items of the step take, in milliseconds of thousandths
// of a core, by the estimate.
func (s *Step) Work(items int) int64 {
	return int64(items) * int64(s.MilliCores) * int64(s.Estimate)
}
