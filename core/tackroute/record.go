package tackroute

import (
	"math"

	"auburntack/core/tackclock"
)

const (
	// sampleWeight is the weight of the newest outcome in the moving averages
	// of the failure rate and the latency.
	sampleWeight = 0.1
	// minSuccessRate is the lower bound of the success rate that is used as a
	// weight, which must not be zero.
	minSuccessRate = 0.05
	// ejectAfter is how many consecutive failures eject a backend server. A
	// silent request counts twice, since its caller lost more time.
	ejectAfter = 5
	// betterDivisor gives the part of the candidates, at least one, that must
	// do clearly better than a backend server for it to be ejected.
	betterDivisor = 8
	// firstEjection is how long the first ejection lasts. Each ejection after
	// a failed probe lasts twice as long, up to longestEjection.
	firstEjection   = tackclock.Second
	longestEjection = 16 * tackclock.Second
	// unhealthyRate is the failure rate from which a backend server no longer
	// counts as healthy.
	unhealthyRate = 0.3
	// maxSlowness is the upper bound of the factor by which high latency
	// increases the cost of a backend server.
	maxSlowness = 4
)

// record summarizes the outcomes of the requests to a backend server. Its zero
// value is that of a healthy one.
//
// A backend server that fails all requests at once is always idle, so a choice
// by load alone would send it nearly every request, and callers would see errors
// while the other backend servers are idle. Hence failures increase its cost, and
// many consecutive ones eject it for a while. After an ejection it is allowed one
// request at a time, and twice as many after each answer.
type record struct {
	failureRate         float64
	latency             float64
	consecutiveFailures int
	// ejection is the duration of the last ejection, zero once the probation
	// after it has ended.
	ejection     tackclock.Duration
	ejectedUntil tackclock.Time
	// probation is how many requests may be in flight after an ejection; zero
	// if there was none or its probation has ended.
	probation int
}

// answered records an answer.
func (r *record) answered(share int, latency tackclock.Duration) {
	r.failureRate -= sampleWeight * r.failureRate
	r.latency += sampleWeight * (float64(latency) - r.latency)
	r.consecutiveFailures = 0
	if r.probation == 0 {
		return
	}
	r.ejectedUntil = 0
	r.probation *= 2
	if r.probation > share {
		r.probation, r.ejection = 0, 0
	}
}

// failed records a failure and reports whether the backend server should be
// ejected, provided that others do better.
func (r *record) failed(result Result) (eject bool) {
	r.failureRate += sampleWeight * (1 - r.failureRate)
	r.consecutiveFailures++
	if result == Silent {
		r.failureRate += sampleWeight * (1 - r.failureRate)
		r.consecutiveFailures++
	}
	return r.consecutiveFailures >= ejectAfter || r.probation > 0
}

func (r *record) eject(now tackclock.Time) {
	r.ejection = min(max(2*r.ejection, firstEjection), longestEjection)
	r.ejectedUntil = now.Add(r.ejection)
	r.probation = 1
	r.consecutiveFailures = 0
}

func (r *record) isEjected(now tackclock.Time) bool {
	return now.Before(r.ejectedUntil)
}

// allowance returns how many requests may be in flight, by the ejection state.
func (r *record) allowance(now tackclock.Time) int {
	if r.isEjected(now) {
		return 0
	}
	if r.probation > 0 {
		return r.probation
	}
	return math.MaxInt
}

// successRate returns the recent success rate, but at least minSuccessRate.
func (r *record) successRate() float64 {
	return max(1-r.failureRate, minSuccessRate)
}

func (r *record) healthy() bool {
	return r.probation == 0 && r.failureRate < unhealthyRate
}

// slowness returns the latency relative to the mean of all candidates, within
// bounds.
func (r *record) slowness(mean float64) float64 {
	if mean == 0 {
		return 1
	}
	return min(max(r.latency/mean, 1), maxSlowness)
}

// recordOutcome records the outcome of a request to s.
func (c *Chooser) recordOutcome(now tackclock.Time, s *server, outcome Outcome) {
	switch outcome.Result {
	case Answered:
		s.record.answered(s.limit, outcome.Latency)
		c.meanLatency += sampleWeight * (float64(outcome.Latency) - c.meanLatency)
	case Refused, Failed, Silent:
		wasEjected := s.record.isEjected(now)
		if s.record.failed(outcome.Result) && !wasEjected && c.othersDoBetter(now, s) {
			s.record.eject(now)
		}
	}
}

// othersDoBetter reports whether enough candidates that are not ejected fail at
// most half as often as s. If all fail alike, the fault is in the requests or in
// something that the backend servers have in common, and ejecting them would
// leave none for the requests that could be answered.
func (c *Chooser) othersDoBetter(now tackclock.Time, s *server) bool {
	better := 0
	for _, other := range c.servers {
		if other != s && !other.record.isEjected(now) && other.record.failureRate <= s.record.failureRate/2 {
			better++
		}
	}
	return better >= max(1, len(c.servers)/betterDivisor)
}
