package tackplace

import "auburntack/core/tackclock"

// Settings are the settings of placement. A zero field means its default.
type Settings struct {
	// Lease is how long a worker may run a task without a renewal, 30 s. A
	// lease is renewed after a third of that time.
	Lease tackclock.Duration
	// OrderLimit is how long after being sent an order may still reach its
	// worker, 10 s. It must be longer than the platform client's timeout.
	OrderLimit tackclock.Duration
	// UsageLag is the maximum age of the data in a report, 10 s.
	UsageLag tackclock.Duration
	// SilenceLimit is how long a worker that is not known to be serving may not
	// answer before its leases are left to run out, 15 s.
	SilenceLimit tackclock.Duration
	// FinishWithin is how long after the start of a drain a task may go on
	// if it is expected to end within that time, 2 min.
	FinishWithin tackclock.Duration
	// CheckpointLimit is how long a task may take to save its work if an
	// urgent task waits for its resources, 800 ms.
	CheckpointLimit tackclock.Duration
	// Headroom is the percentage of a worker's memory that is reserved for
	// urgent tasks, 10.
	Headroom int
	// MaxStarts is the maximum number of tasks placed in one decision, 200.
	MaxStarts int
	// MaxConsecutiveFailures is the number of consecutive failures of tasks after
	// which a worker is avoided, 3.
	MaxConsecutiveFailures int
	// ProbeAfter is how long a worker is avoided before it gets one task as
	// a probe, 30 s. It doubles with each probe that fails, up to 30 min.
	ProbeAfter tackclock.Duration
}

// maxProbeInterval is the maximum time between two probes.
const maxProbeInterval = 30 * tackclock.Minute

func (s Settings) withDefaults() Settings {
	setDefault(&s.Lease, 30*tackclock.Second)
	setDefault(&s.OrderLimit, 10*tackclock.Second)
	setDefault(&s.UsageLag, 10*tackclock.Second)
	setDefault(&s.SilenceLimit, 15*tackclock.Second)
	setDefault(&s.FinishWithin, 2*tackclock.Minute)
	setDefault(&s.CheckpointLimit, 800*tackclock.Millisecond)
	setDefault(&s.Headroom, 10)
	setDefault(&s.MaxStarts, 200)
	setDefault(&s.MaxConsecutiveFailures, 3)
	setDefault(&s.ProbeAfter, 30*tackclock.Second)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// leaseEnd returns the time at which a lease has certainly run out if the
// order that granted it was sent at sent. It allows for clocks that drift
// apart by one part in 100.
func (s *Settings) leaseEnd(sent tackclock.Time) tackclock.Time {
	return sent.Add(s.OrderLimit + s.Lease + s.Lease/100)
}
