// Package tackretry decides whether a request that failed is sent again.
//
// A retry must be safe, must have time left, and must be paid for from the
// budget of its service, which fills with the requests that arrive. So a
// service whose backend servers fail gets little more load than without
// retries, instead of a multiple.
package tackretry

import "auburntack/core/tackclock"

const (
	// defaultRatio is the part of the requests that may be retried.
	defaultRatio = 0.1
	// defaultBurst is the largest number of retries that can be saved up.
	defaultBurst = 20
	// defaultTries bounds the dispatches of one request, the first included.
	defaultTries = 3
	// defaultMinLeft is the least time left in which a retry can help.
	defaultMinLeft = 20 * tackclock.Millisecond
)

const (
	// ReasonNone is the reason of a retry that is allowed.
	ReasonNone Reason = ""
	// ReasonUnsafe: the request may have run and is not idempotent.
	ReasonUnsafe Reason = "unsafe"
	// ReasonTries: the request was tried often enough.
	ReasonTries Reason = "tries"
	// ReasonTime: too little time is left.
	ReasonTime Reason = "time"
	// ReasonBudget: the service's budget is spent.
	ReasonBudget Reason = "budget"
)

type (
	// Reason says why a request is not tried again.
	Reason string

	// Attempt is a request after a dispatch that failed.
	Attempt struct {
		// Idempotent says that running the request twice does no harm.
		Idempotent bool
		// SurelyNotRun says that no byte of it left, or that the backend
		// server said itself that it did not run it.
		SurelyNotRun bool
		// Tries counts the dispatches so far.
		Tries int
		// TimeLeft is the time until the caller's deadline.
		TimeLeft tackclock.Duration
	}

	// Decision says whether to try again, and why not.
	Decision struct {
		Retry  bool
		Reason Reason
	}

	// Settings are the tunables of a Budget. A zero field takes its default.
	Settings struct {
		// Ratio is the number of retries that each request pays for.
		Ratio float64
		// Burst is the largest number of retries that can be saved up.
		Burst float64
		// Tries bounds the dispatches of one request, the first included.
		Tries int
		// MinLeft is the least time left in which a retry can help.
		MinLeft tackclock.Duration
	}

	// Budget pays for the retries of one service. Its zero value is ready to
	// use and has a full burst saved up: with an empty one the first requests
	// after a start would fail by one silent connection, though another
	// backend server could have run them. It is not safe for concurrent use.
	Budget struct {
		Settings Settings

		spent    float64 // of the burst
		requests uint64
		retries  uint64
	}
)

// Record counts a request that arrived for the service, and pays its part
// into the budget. It is called once a request, before its first dispatch.
func (b *Budget) Record(tackclock.Time) {
	b.requests++
	b.spent = max(b.spent-b.ratio(), 0)
}

// Decide says whether the attempt may be followed by another, on another
// backend server, and takes the retry from the budget if so.
func (b *Budget) Decide(_ tackclock.Time, a Attempt) Decision {
	if reason := b.refuses(a); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	b.spent++
	b.retries++
	return Decision{Retry: true}
}

// Requests returns how many requests were recorded, and Retries how many
// retries were allowed.
func (b *Budget) Requests() uint64 {
	return b.requests
}

// Retries returns how many retries were allowed.
func (b *Budget) Retries() uint64 {
	return b.retries
}

func (b *Budget) refuses(a Attempt) Reason {
	switch {
	case !a.Idempotent && !a.SurelyNotRun:
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
	return orDefault(b.Settings.Tries, defaultTries)
}

func (b *Budget) minLeft() tackclock.Duration {
	return orDefault(b.Settings.MinLeft, defaultMinLeft)
}

func orDefault[T int | float64 | tackclock.Duration](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}
