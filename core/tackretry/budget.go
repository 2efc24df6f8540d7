// Package tackretry decides whether a failed request is retried.
//
// A retry must be safe, must have time left, and takes a token from the retry
// budget of its service, which is replenished by the requests that arrive. So a
// service whose backend servers fail gets little more load than it would without
// retries, instead of a multiple of it.
package tackretry

import "auburntack/core/tackclock"

const (
	// defaultRatio is the default of Settings.Ratio.
	defaultRatio = 0.1
	// defaultBurst is the default of Settings.Burst.
	defaultBurst = 20
	// defaultTries is the default of Settings.MaxTries.
	defaultTries = 3
	// defaultMinLeft is the default of Settings.MinTimeLeft.
	defaultMinLeft = 20 * tackclock.Millisecond
)

const (
	// ReasonNone is the reason of a retry that is allowed.
	ReasonNone Reason = ""
	// ReasonUnsafe means that the request may have run and is not idempotent.
	ReasonUnsafe Reason = "unsafe"
	// ReasonTries means that the request has reached the limit of tries.
	ReasonTries Reason = "tries"
	// ReasonTime means that too little time is left until the deadline.
	ReasonTime Reason = "time"
	// ReasonBudget means that the retry budget of the service is exhausted.
	ReasonBudget Reason = "budget"
)

type (
	// Reason is the reason why a request is not retried.
	Reason string

	// Attempt describes a request after a failed dispatch.
	Attempt struct {
		// Idempotent reports whether the request may safely run twice.
		Idempotent bool
		// NotRun reports whether the request certainly has not run:
		// either no byte of it was sent, or the backend server answered that
		// it did not run it.
		NotRun bool
		// Tries counts the dispatches so far.
		Tries int
		// TimeLeft is the time until the caller's deadline.
		TimeLeft tackclock.Duration
	}

	// Decision is whether to retry and, if not, why.
	Decision struct {
		Retry  bool
		Reason Reason
	}

	// Settings are the tunables of a Budget. A zero field takes its default.
	Settings struct {
		// Ratio is the number of retries that each request adds to the
		// budget.
		Ratio float64
		// Burst is the largest number of retries that the budget can hold.
		Burst float64
		// MaxTries is the largest number of dispatches of one request, including
		// the first.
		MaxTries int
		// MinTimeLeft is the least time until the deadline with which a retry is
		// worthwhile.
		MinTimeLeft tackclock.Duration
	}

	// Budget is the retry budget of one service, a token bucket. Its zero
	// value is ready to use and full: with an empty budget, the first requests
	// after a start would fail because of a single connection that does not
	// answer, although another backend server could have run them. It is not
	// safe for concurrent use.
	Budget struct {
		Settings Settings

		spent    float64 // tokens taken from the full burst
		requests uint64
		retries  uint64
	}
)

// Record counts a request for the service and adds its ratio to the budget. It
// must be called once per request, before the first dispatch.
func (b *Budget) Record(tackclock.Time) {
	b.requests++
	b.spent = max(b.spent-b.ratio(), 0)
}

// Decide decides whether the request is retried on another backend server, and
// takes the retry from the budget if so.
func (b *Budget) Decide(_ tackclock.Time, a Attempt) Decision {
	if reason := b.refusalReason(a); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	b.spent++
	b.retries++
	return Decision{Retry: true}
}

// Requests returns the number of requests recorded.
func (b *Budget) Requests() uint64 {
	return b.requests
}

// Retries returns the number of retries allowed.
func (b *Budget) Retries() uint64 {
	return b.retries
}

func (b *Budget) refusalReason(a Attempt) Reason {
	switch {
	case !a.Idempotent && !a.NotRun:
		return ReasonUnsafe
	case a.Tries >= b.tries():
		return ReasonTries
	case a.TimeLeft < b.minLeft():
		return ReasonTime
	case b.burst()-b.spent < 1:
		return ReasonBudget
	}
	return ReasonNone
}

func (b *Budget) ratio() float64 {
	return orDefault(b.Settings.Ratio, defaultRatio)
}

func (b *Budget) burst() float64 {
	return orDefault(b.Settings.Burst, defaultBurst)
}

func (b *Budget) tries() int {
	return orDefault(b.Settings.MaxTries, defaultTries)
}

func (b *Budget) minLeft() tackclock.Duration {
	return orDefault(b.Settings.MinTimeLeft, defaultMinLeft)
}

func orDefault[T int | float64 | tackclock.Duration](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}
