package tackplace

import "auburntack/core/tackclock"

// Settings tune placement. The zero value takes the defaults.
type Settings struct {
	// Lease is how long a worker may run a task without a renewal, 30 s. It
	// is renewed after a third of that.
	Lease tackclock.Duration
	// OrderLimit is how long after it was sent an order may still reach its
	// worker, 10 s. It must be longer than the platform client's timeout.
	OrderLimit tackclock.Duration
	// UsageLag is how old at most what a report says is, 10 s.
	UsageLag tackclock.Duration
	// GiveUp is how long a worker that is not known to serve may go without
	// answering until its leases are left to run out, 15 s.
	GiveUp tackclock.Duration
	// FinishWithin is how long a drain lets a task go on that is expected to
	// end by then, 2 min.
	FinishWithin tackclock.Duration
	// CheckpointLimit is how long a task may take to save its work when an
	// urgent one waits for its room, 800 ms.
	CheckpointLimit tackclock.Duration
	// Headroom is the percentage of a worker's memory kept free of work
	// that is not urgent, 10.
	Headroom int
	// MaxStarts is how many tasks are placed in one decision, 200.
	MaxStarts int
	// FailuresInRow is how many tasks a worker fails in a row until it is
	// avoided, 3.
	FailuresInRow int
	// ProbeAfter is how long a worker is avoided before it gets one task as
	// a probe, 30 s. It doubles with each that fails, up to 30 min.
	ProbeAfter tackclock.Duration
}

// longestProbe bounds the wait between two probes.
const longestProbe = 30 * tackclock.Minute

func (s Settings) withDefaults() Settings {
	fill(&s.Lease, 30*tackclock.Second)
	fill(&s.OrderLimit, 10*tackclock.Second)
	fill(&s.UsageLag, 10*tackclock.Second)
	fill(&s.GiveUp, 15*tackclock.Second)
	fill(&s.FinishWithin, 2*tackclock.Minute)
	fill(&s.CheckpointLimit, 800*tackclock.Millisecond)
	fill(&s.Headroom, 10)
	fill(&s.MaxStarts, 200)
	fill(&s.FailuresInRow, 3)
	fill(&s.ProbeAfter, 30*tackclock.Second)
	return s
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// outlives returns when a lease that an order of the moment sent gave has
// surely run out. Clocks may drift apart by one part in 100 meanwhile.
func (s *Settings) outlives(sent tackclock.Time) tackclock.Time {
	return sent.Add(s.OrderLimit + s.Lease + s.Lease/100)
}
