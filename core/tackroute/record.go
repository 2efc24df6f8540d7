package tackroute

import (
	"math"

	"auburntack/core/tackclock"
)

const (
	// newest is the part of the newest outcome in the rate of failure and in
	// the latency.
	newest = 0.1
	// leastWeight keeps a backend server that fails from having no weight.
	leastWeight = 0.05
	// strikes is how many failures in a row eject a backend server. A silent
	// request counts twice, since its caller lost more time.
	strikes = 5
	// betterDivisor is the part of the candidates, one at least, that must do
	// clearly better for a backend server to be ejected.
	betterDivisor = 8
	// firstEjection is how long the first ejection lasts. Each that follows
	// on a failed probe lasts twice as long, up to longestEjection.
	firstEjection   = tackclock.Second
	longestEjection = 16 * tackclock.Second
	// unhealthy is the rate of failure from which a backend server no longer
	// counts as one that answers.
	unhealthy = 0.3
	// slowest bounds how much a slow backend server is held against it.
	slowest = 4
)

// record is what the outcomes of requests say of a backend server. Its zero
// value trusts it.
//
// A backend server that fails everything at once is always idle, so a choice by
// load alone sends it nearly every request. Its callers see errors while the
// other backend servers stand idle. Hence failures make it look loaded, and many
// in a row eject it for a while. It is then allowed one request, and twice as
// many after each one that it answers.
type record struct {
	failure float64
	latency float64
	streak  int
	// ejected is the time of the ejection that is served or on probation.
	ejected tackclock.Duration
	until   tackclock.Time
	// probation is how many requests it may have in flight after an
	// ejection; zero if it was never ejected or has won its share back.
	probation int
}

// answered learns from an answer.
func (r *record) answered(share int, latency tackclock.Duration) {
	r.failure -= newest * r.failure
	r.latency += newest * (float64(latency) - r.latency)
	r.streak = 0
	if r.probation == 0 {
		return
	}
	r.until = 0
	r.probation *= 2
	if r.probation > share {
		r.probation, r.ejected = 0, 0
	}
}

// failed learns from a failure. It reports whether the backend server should
// be ejected if others do better.
func (r *record) failed(result Result) (eject bool) {
	r.failure += newest * (1 - r.failure)
	r.streak++
	if result == Silent {
		r.failure += newest * (1 - r.failure)
		r.streak++
	}
	return r.streak >= strikes || r.probation > 0
}

func (r *record) eject(now tackclock.Time) {
	r.ejected = min(max(2*r.ejected, firstEjection), longestEjection)
	r.until = now.Add(r.ejected)
	r.probation = 1
	r.streak = 0
}

func (r *record) isEjected(now tackclock.Time) bool {
	return now.Before(r.until)
}

// allowance returns how many requests may be in flight there.
func (r *record) allowance(now tackclock.Time) int {
	if r.isEjected(now) {
		return 0
	}
	if r.probation > 0 {
		return r.probation
	}
	return math.MaxInt
}

// weight is the recent success.
func (r *record) weight() float64 {
	return max(1-r.failure, leastWeight)
}

func (r *record) healthy() bool {
	return r.probation == 0 && r.failure < unhealthy
}

// slowness compares the latency with that of all candidates.
func (r *record) slowness(mean float64) float64 {
	if mean == 0 {
		return 1
	}
	return min(max(r.latency/mean, 1), slowest)
}

// learn takes in an outcome of a request to s.
func (c *Chooser) learn(now tackclock.Time, s *server, outcome Outcome) {
	switch outcome.Result {
	case Answered:
		s.record.answered(s.limit, outcome.Latency)
		c.latency += newest * (float64(outcome.Latency) - c.latency)
	case Refused, Failed, Silent:
		wasEjected := s.record.isEjected(now)
		if s.record.failed(outcome.Result) && !wasEjected && c.othersDoBetter(now, s) {
			s.record.eject(now)
		}
	}
}

// othersDoBetter reports whether enough candidates that may be chosen fail at
// most half as often as s. If all fail alike, the fault is in the requests or
// in what the backend servers have in common, and ejecting them would leave
// nothing to serve the requests that could be answered.
func (c *Chooser) othersDoBetter(now tackclock.Time, s *server) bool {
	better := 0
	for _, other := range c.servers {
		if other != s && !other.record.isEjected(now) && other.record.failure <= s.record.failure/2 {
			better++
		}
	}
	return better >= max(1, len(c.servers)/betterDivisor)
}
