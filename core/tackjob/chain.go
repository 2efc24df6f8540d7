package tackjob

import "auburntack/core/tackclock"

// Chain is the time of the longest chain of steps that wait for each other,
// by the estimates.
func (s *Spec) Chain() tackclock.Duration {
	ends := make([]tackclock.Duration, len(s.Steps))
	var longest tackclock.Duration
	for i := range s.Steps {
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
