package tackforecast

import "auburntack/core/tackclock"

const (
	// A begin is as expected if it is off by at most a tenth of the period, within these
	// limits. The lower one is the error with which a begin is detected; the upper one is
	// for how long VMs may wait in vain.
	toleranceDivisor = 10
	minTolerance     = tackclock.Second
	maxTolerance     = 3 * tackclock.Second
	// minPeriod is twice the duration of a move: VMs could not follow faster bursts.
	minPeriod = 4 * tackclock.Second
	// firstConfidence is that of a period of which one interval is known, and
	// agreedConfidence that of two equal intervals in a row.
	firstConfidence  = 0.3
	agreedConfidence = 0.5
	// A confidence is multiplied by missFactor when no burst comes, and by surpriseFactor
	// when one comes at another time. Below minConfidence the period is given up. The
	// weakest first confidence is above it, since a period that is never expected can
	// never prove right.
	missFactor     = 0.4
	surpriseFactor = 0.5
	minConfidence  = 0.03
	// recordFactor weighs the earlier record of hits and misses against the latest one.
	recordFactor = 0.8
)

// recurrence learns the period of bursts from their begins. Its zero value knows none.
type recurrence struct {
	period tackclock.Duration
	// confidence is zero if no burst is expected; next is when one is.
	confidence         float64
	next, last         tackclock.Time
	lastInterval       tackclock.Duration
	goodRecord, record float64
}

func (r *recurrence) tolerance() tackclock.Duration {
	return min(max(r.period/toleranceDivisor, minTolerance), maxTolerance)
}

func near(a, b, tolerance tackclock.Duration) bool {
	return max(a-b, b-a) <= tolerance
}

// begin records the begin of a burst and returns the number of expectations that it
// meets.
func (r *recurrence) begin(at tackclock.Time) (hits int) {
	interval := at.Sub(r.last)
	off := at.Sub(r.next)
	switch {
	case r.last != 0 && interval < minPeriod:
		return 0
	case r.last == 0 || interval > forgetAfter:
	case r.period != 0 && near(off, 0, r.tolerance()):
		r.note(true)
		r.confidence += (1 - r.confidence) / 2 * r.trust()
		r.period += off / 4
		hits = 1
	default:
		r.surprise(interval)
	}
	r.last, r.lastInterval, r.next = at, interval, at.Add(r.period)
	return hits
}

// surprise handles a burst that was not expected now.
func (r *recurrence) surprise(interval tackclock.Duration) {
	r.confidence *= surpriseFactor
	trust := r.trust()
	switch {
	case near(interval, r.lastInterval, maxTolerance) && near(interval, r.lastInterval, interval/toleranceDivisor):
		r.period, r.confidence = interval, max(r.confidence, agreedConfidence*trust)
	case r.confidence < firstConfidence*trust:
		r.period, r.confidence = interval, firstConfidence*trust
	}
	r.dropWeak()
}

// expire handles a burst that did not come in time, and returns the number of such
// misses.
func (r *recurrence) expire(now tackclock.Time) (misses int) {
	if r.period == 0 || now <= r.next.Add(r.tolerance()) {
		return 0
	}
	r.confidence *= missFactor
	r.next = r.next.Add(r.period)
	r.note(false)
	r.dropWeak()
	return 1
}

func (r *recurrence) note(hit bool) {
	r.goodRecord, r.record = r.goodRecord*recordFactor, r.record*recordFactor+1
	if hit {
		r.goodRecord++
	}
}

// trust returns the share of recent expectations that were met. Where many failed, one
// that is met may be chance.
func (r *recurrence) trust() float64 {
	return (1 + r.goodRecord) / (1 + r.record)
}

func (r *recurrence) dropWeak() {
	if r.confidence < minConfidence {
		r.period, r.confidence = 0, 0
	}
}
