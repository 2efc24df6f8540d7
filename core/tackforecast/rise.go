package tackforecast

import (
	"math"

	"auburntack/core/tackclock"
)

const (
	// riseTime is how long the rise of a burst takes, three to four seconds. A rise that
	// has lasted for so long is not expected to go on.
	riseTime = 3500 * tackclock.Millisecond
	// minRiseTime is the least time that a rise is taken to have lasted, and maxRise the
	// largest multiple of the present rate that is expected: the rate of the last second
	// doubles twice in the next second of a rise that began with it. Otherwise jobs that
	// are submitted at once would be a rise without bound.
	minRiseTime = 500 * tackclock.Millisecond
	maxRise     = 4
	// baseTime is the time before riseTime with which the jobs of a rise are compared, and
	// minBaseTime how much of it must have been observed. It is shorter after the begin of
	// a leadership, when the first burst may follow within seconds.
	baseTime    = 9 * tackclock.Second
	minBaseTime = 2 * tackclock.Second
	// riseSignificance is the excess of jobs, in standard deviations, from which on it
	// counts as a rise, and riseCertainty that from which on the rise is certain. A
	// steady load exceeds the first by chance in about one of 4,000 windows.
	riseSignificance = 3.5
	riseCertainty    = 6
)

// estimate is an expected rate in millicores.
type estimate struct {
	rate, confidence float64
}

// rise is a rate that grows in a straight line since some moment. Its zero value is none.
type rise struct {
	// base is the rate before, excess what has been added by now, in millicores, lasted is
	// the time since the begin in milliseconds, and score the excess of jobs in standard
	// deviations.
	base, excess, lasted, score float64
}

// rise returns the rise of a burst in its first seconds.
//
// In a line that starts at zero the mean age of the jobs is a third of the time since the
// begin, so a few jobs tell begin and slope. At a constant rate it is half of the window.
// Jobs are counted, and the size of a job is averaged over a longer time, since the sizes
// differ more than the intervals between them.
func (m *Model) rise(now tackclock.Time) rise {
	from := bucketOf(now.Add(-riseTime))
	baseFrom := max(m.first, bucketOf(now.Add(-riseTime-baseTime)))
	baseLength := float64(from-baseFrom) * float64(bucketWidth)
	if baseLength < float64(minBaseTime) {
		return rise{}
	}
	var work, before, recent, ages float64
	m.each(baseFrom, func(middle float64, b *bucket) {
		work += b.work
		if b.number < from {
			before += b.jobs
			return
		}
		recent += b.jobs
		ages += b.jobs * max(0, float64(now)-middle)
	})
	if recent == 0 {
		return rise{}
	}
	window := float64(now) - float64(from)*float64(bucketWidth)
	base := before / baseLength
	job := work / (before + recent)
	excess := recent - base*window
	r := rise{base: base * job, score: excessScore(recent, base*window, window/baseLength)}
	r.lasted = max(float64(minRiseTime), 3*(ages-base*window*window/2)/excess)
	if excess <= 0 || r.score < riseSignificance || r.lasted > window {
		return rise{}
	}
	r.excess = 2 * excess / r.lasted * job
	return r
}

// excessScore returns by how many standard deviations a number of jobs exceeds the
// expected one, if they come singly. part is the length of the window relative to that in
// which the expected number was measured. The square root makes the deviation the same
// for all numbers.
func excessScore(jobs, expected, part float64) float64 {
	return 2 * (math.Sqrt(jobs+3./8) - math.Sqrt(expected+3./8)) / math.Sqrt(1+part)
}

// perSecond returns the slope in millicores per second.
func (r rise) perSecond() int {
	if r.excess <= 0 {
		return 0
	}
	return int(r.excess / r.lasted * float64(tackclock.Second))
}

// after returns the rate that is expected after the given time. A rise is extrapolated
// for no longer than it has lasted. rate is the present rate.
func (r rise) after(ahead tackclock.Duration, rate float64) estimate {
	if r.excess <= 0 {
		return estimate{}
	}
	more := min(float64(ahead), r.lasted, max(0, float64(riseTime)-r.lasted))
	return estimate{rate: min(r.base+r.excess*(1+more/r.lasted), maxRise*rate), confidence: min(1, r.score/riseCertainty)}
}
