// Package tackforecast estimates the work that arrives at a pool: how much now, and how
// much within the time that a VM takes to arrive.
//
// Load pattern: a queue submits a twentieth of its mean rate, rises to about five times its
// mean within three to four seconds, and falls again some seconds later. A VM takes about
// two seconds to arrive, so VMs that are sent for the present rate come when the first jobs
// of the burst are late.
//
// Two estimates are combined. A rise that is significant against the noise of single jobs
// is extrapolated, and bursts that recur are expected by their learned period and shape.
// The thresholds follow from the duration of a rise and of a move, and from how often
// chance alone may exceed them.
package tackforecast

import (
	"math"

	"auburntack/core/tackclock"
)

const (
	// bucketWidth is the resolution of the model. It is a fraction of the interval between
	// the planner's rounds.
	bucketWidth = 100 * tackclock.Millisecond
	// ringSize is the number of buckets that are kept, 12.8 s: a rise and the time before
	// it.
	ringSize = 128
	// rateWindow is the time over which the present rate is measured. It is that of the
	// dispatcher's own measurement.
	rateWindow = tackclock.Second
	// forgetAfter is the time without a burst, or without an observation, after which
	// nothing is expected from earlier bursts. It bounds the work of catching up.
	forgetAfter = 10 * tackclock.Minute
)

type (
	// Model estimates the work that arrives at one pool. Its zero value has observed
	// nothing. It is not safe for concurrent use.
	//
	// What it believes depends on the added work and the time only, not on how often it is
	// asked, so a model that is rebuilt from the log agrees with the one before.
	Model struct {
		ring [ringSize]bucket
		// first is the first bucket that was observed, and current the newest one; current
		// is zero while nothing was observed.
		first, current int64
		bursts         bursts
	}

	// bucket is the work that arrived within bucketWidth. The sum of the squares of the
	// jobs' work estimates the variance of their sum if they come singly.
	bucket struct {
		number              int64
		jobs, work, squares float64
	}

	// sample is the rate over a window and its standard deviation, in millicores.
	sample struct {
		rate, deviation float64
	}
)

// Add records accepted or refused work in millicore-milliseconds. The time may be some
// seconds before the newest one.
func (m *Model) Add(at tackclock.Time, work int64) {
	m.advance(at)
	n := bucketOf(at)
	if work <= 0 || n <= m.current-ringSize {
		return
	}
	b := &m.ring[n%ringSize]
	if b.number != n {
		*b = bucket{number: n}
	}
	w := float64(work)
	b.jobs, b.work, b.squares = b.jobs+1, b.work+w, b.squares+w*w
	m.bursts.add(at, w)
}

// Rate returns the present arrival rate, as the millicores that it keeps busy.
func (m *Model) Rate(now tackclock.Time) int {
	m.advance(now)
	return int(m.window(now, rateWindow).rate)
}

// Expected returns the highest rate expected within the given time, and how far it is to
// be believed, from 0 to 1. Without a pattern it is the present rate, with confidence 0.
func (m *Model) Expected(now tackclock.Time, ahead tackclock.Duration) (milliCores int, confidence float64) {
	m.advance(now)
	rate := m.window(now, rateWindow).rate
	best := estimate{rate: rate}
	for _, e := range []estimate{m.bursts.limit(m.rise(now).after(ahead, rate), rate), m.bursts.expected(now, ahead)} {
		if (e.rate-rate)*e.confidence > (best.rate-rate)*best.confidence {
			best = e
		}
	}
	return int(best.rate), best.confidence
}

func bucketOf(at tackclock.Time) int64 {
	return int64(at) / int64(bucketWidth)
}

// advance observes the buckets that are complete by now.
func (m *Model) advance(now tackclock.Time) {
	n := bucketOf(now)
	switch {
	case m.current == 0:
		m.first, m.current = n, n
	case n-m.current > int64(forgetAfter/bucketWidth):
		m.current = n
		m.bursts = bursts{hits: m.bursts.hits, misses: m.bursts.misses}
	}
	for m.current < n {
		m.current++
		end := tackclock.Time(m.current * int64(bucketWidth))
		m.bursts.observe(end, m.window(end, rateWindow), m)
	}
}

// each calls f for every bucket with work that begins at from or later, with its middle.
func (m *Model) each(from int64, f func(middle float64, b *bucket)) {
	for n := max(from, m.current-ringSize+1, 0); n <= m.current; n++ {
		if b := &m.ring[n%ringSize]; b.number == n {
			f((float64(n)+0.5)*float64(bucketWidth), b)
		}
	}
}

// window returns the rate over the given time until now.
func (m *Model) window(now tackclock.Time, width tackclock.Duration) sample {
	from := bucketOf(now.Add(-width))
	var work, squares float64
	m.each(from, func(_ float64, b *bucket) { work, squares = work+b.work, squares+b.squares })
	length := float64(now) - float64(from)*float64(bucketWidth)
	return sample{rate: work / length, deviation: math.Sqrt(squares) / length}
}
