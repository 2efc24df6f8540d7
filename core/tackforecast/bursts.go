package tackforecast

import (
	"math"

	"auburntack/core/tackclock"
)

const (
	// topHalving is the time in which the remembered highest rate halves: longer than most
	// periods, so that it is still known at the next burst.
	topHalving = tackclock.Minute
	// A burst begins when the rate exceeds 1/beginDivisor of the highest one, and twice
	// that between bursts, by beginDeviations standard deviations.
	beginDivisor    = 4
	quietFactor     = 2
	beginDeviations = 2
	// A burst counts once its work exceeds that of quiet times by confirmDeviations, so
	// that chance does not make one of a few jobs.
	confirmDeviations = 4
	// endAfter is how long the rate must be low for a burst to have ended. Shorter gaps
	// are the noise of single jobs.
	endAfter = tackclock.Second
	// quietTime is the time over which the rate between bursts is averaged.
	quietTime = 20 * tackclock.Second
	// maxLength is the longest burst. What lasts longer is the new level of the load.
	maxLength = 3 * tackclock.Minute
	// longMemory is the number of bursts over which length, height and shape are averaged
	// once more have been seen.
	longMemory = 3
	// maxOverHeight bounds an extrapolated rise to this multiple of the height of the
	// bursts seen: at the top of a burst its rise is still significant.
	maxOverHeight = 1.25
)

// bursts detects bursts and learns their shape and period.
type bursts struct {
	// top is the highest rate, halved with each topHalving, and quiet the average rate
	// between bursts, in millicores.
	top, quiet float64
	current    burst
	// seen is the number of bursts that shape, length and height were learned from.
	seen           int
	shape          shape
	length, height float64
	recurrence     recurrence
	hits, misses   int
	lastAt         tackclock.Time // when a burst was last seen
}

// burst is a burst in progress; its zero value is none. begin is when the rate rose above
// the threshold, and low since when it is below, zero if it is not.
type burst struct {
	begin, low    tackclock.Time
	confirmed     bool
	work, squares float64
	shape         shape
}

// add adds work to the burst in progress.
func (b *bursts) add(at tackclock.Time, work float64) {
	if c := &b.current; c.begin != 0 {
		c.work, c.squares = c.work+work, c.squares+work*work
		c.shape.add(at.Sub(c.begin), work)
	}
}

// observe updates the bursts at the end of a bucket, with the present rate.
func (b *bursts) observe(now tackclock.Time, s sample, m *Model) {
	b.top = max(s.rate, b.top*math.Exp2(-float64(bucketWidth)/float64(topHalving)))
	threshold := max(b.top/beginDivisor, quietFactor*b.quiet)
	switch {
	case b.current.begin != 0:
		b.continueBurst(now, s.rate, threshold)
	case s.rate-beginDeviations*s.deviation > threshold:
		b.beginBurst(now, m)
	default:
		b.quiet += (s.rate - b.quiet) * float64(bucketWidth) / float64(quietTime)
		b.misses += b.recurrence.expire(now)
	}
	if b.lastAt != 0 && b.current.begin == 0 && now.Sub(b.lastAt) > forgetAfter {
		*b = bursts{top: b.top, quiet: b.quiet, hits: b.hits, misses: b.misses}
	}
}

func (b *bursts) beginBurst(now tackclock.Time, m *Model) {
	b.current = burst{begin: now}
	m.each(bucketOf(now.Add(-shapeBefore)), func(at float64, x *bucket) {
		age := now.Sub(tackclock.Time(at))
		if age <= rateWindow {
			b.current.work, b.current.squares = b.current.work+x.work, b.current.squares+x.squares
		}
		b.current.shape.add(-age, x.work)
	})
}

func (b *bursts) continueBurst(now tackclock.Time, rate, threshold float64) {
	c := &b.current
	length := now.Sub(c.begin)
	if !c.confirmed && c.work-b.quiet*float64(length+rateWindow) > confirmDeviations*math.Sqrt(c.squares) {
		c.confirmed = true
		b.lastAt = c.begin
		b.hits += b.recurrence.begin(c.begin)
	}
	switch {
	case length > maxLength:
		b.quiet, b.current = rate, burst{}
	case rate >= threshold:
		c.low = 0
	case c.low == 0:
		c.low = now
	case now.Sub(c.low) >= endAfter:
		b.learn()
		b.current = burst{}
	}
}

// learn averages the burst that has ended into what is known of bursts.
func (b *bursts) learn() {
	c := &b.current
	if !c.confirmed {
		return
	}
	b.seen = min(b.seen+1, longMemory)
	part := 1 / float64(b.seen)
	b.length += (float64(c.low.Sub(c.begin)) - b.length) * part
	b.shape.average(&c.shape, part)
	b.height = b.shape.highest(-shapeBefore, maxLength)
}

// expected returns the highest rate within the given time by the shape of earlier bursts:
// the rest of the burst in progress, or the one that is due.
func (b *bursts) expected(now tackclock.Time, ahead tackclock.Duration) estimate {
	begin, confidence := b.current.begin, float64(b.seen)/float64(b.seen+1)
	if begin == 0 {
		// A burst that is overdue may begin at any moment.
		begin, confidence = max(b.recurrence.next, now), b.recurrence.confidence
	}
	if b.seen == 0 || confidence == 0 {
		return estimate{}
	}
	return estimate{rate: b.shape.highest(now.Sub(begin), now.Sub(begin)+ahead), confidence: confidence}
}

// limit bounds an extrapolated rise by the height of the bursts seen, but not below the
// present rate.
func (b *bursts) limit(e estimate, rate float64) estimate {
	if b.seen > 1 {
		e.rate = min(e.rate, max(rate, maxOverHeight*b.height))
	}
	return e
}
