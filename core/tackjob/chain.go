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

// Work is what one occurrence takes, in milliseconds of a whole core, by the
// estimates.
func (s *Spec) Work() tackclock.Duration {
	var total int64
	for i := range s.Steps {
		step := &s.Steps[i]
		total += int64(step.Count) * int64(step.MilliCores) * int64(step.Estimate)
	}
	return tackclock.Duration(total / 1000)
}
