package tackroute

import (
	"math"

	"auburntack/core/tackclock"
)

// record is what the outcomes of requests say of a backend server. Its zero
// value trusts it.
type record struct {
	failure float64
}

func (r *record) picked(tackclock.Time) {}

func (r *record) done(_ tackclock.Time, outcome Outcome) {
	const share = 0.1
	switch outcome.Result {
	case Answered:
		r.failure -= share * r.failure
	case Refused, Failed, Silent:
		r.failure += share * (1 - r.failure)
	}
}

func (r *record) allowance(tackclock.Time) int {
	return math.MaxInt
}

func (r *record) weight() float64 {
	return max(1-r.failure, 0.05)
}
