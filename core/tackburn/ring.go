package tackburn

import (
	"auburntack/core/tackclock"
)

// Period is the period of an error budget: four whole weeks, so that each period
// has the same days of the week.
const Period = 28 * tackclock.Day

// The rings of a series, named by the width of their buckets. Each ring is used
// for one window, the last one for the period.
const (
	ringMinute = iota
	ringFiveMinutes
	ringHalfHour
	ringQuarterDay
	ringDay
	numRings
)

// ringShapes holds the width of each ring's buckets and the span that it covers.
// Each window is the sum of a ring of its own, so its edge is accurate to within
// one bucket, which is a fifth of the shortest window and a twelfth of the others.
var ringShapes = [numRings]struct{ width, span tackclock.Duration }{
	ringMinute:      {tackclock.Minute, 5 * tackclock.Minute},
	ringFiveMinutes: {5 * tackclock.Minute, tackclock.Hour},
	ringHalfHour:    {30 * tackclock.Minute, 6 * tackclock.Hour},
	ringQuarterDay:  {6 * tackclock.Hour, 3 * tackclock.Day},
	ringDay:         {tackclock.Day, Period},
}

type (
	// series holds the counts of one service, team or label.
	series struct {
		last  tackclock.Time // time of the last sample
		rings [numRings][]bucket
	}

	// bucket holds the counts of one interval. Its number is the start of the
	// interval divided by the width of its ring.
	bucket struct {
		number int64
		counts Counts
	}
)

// add adds c to every ring at the time now.
func (s *series) add(now tackclock.Time, c Counts) {
	s.last = now
	for i := range s.rings {
		s.bucket(i, now).counts.Add(c)
	}
}

// bucket returns the bucket of ring i that contains now. It is cleared if it was
// last used in an earlier revolution of the ring.
func (s *series) bucket(i int, now tackclock.Time) *bucket {
	if s.rings[i] == nil {
		s.rings[i] = make([]bucket, ringSize(i))
	}
	n := int64(now) / int64(ringShapes[i].width)
	b := &s.rings[i][n%int64(len(s.rings[i]))]
	if b.number != n {
		*b = bucket{number: n}
	}
	return b
}

// ringSize returns the number of buckets needed to cover the span of ring i at any
// time.
func ringSize(i int) int {
	return int(ringShapes[i].span/ringShapes[i].width) + 1
}

// sum returns the sum of the counts in the span of ring i up to now.
func (s *series) sum(i int, now tackclock.Time) Counts {
	var c Counts
	for _, b := range s.points(i, now) {
		c.Add(b.Counts)
	}
	return c
}

// points returns the nonempty buckets of ring i that overlap its span up to now,
// oldest first.
func (s *series) points(i int, now tackclock.Time) []Point {
	if s.rings[i] == nil {
		return nil
	}
	var list []Point
	width := ringShapes[i].width
	newest := int64(now) / int64(width)
	size := int64(len(s.rings[i]))
	for n := newest - size + 1; n <= newest; n++ {
		if n < 0 {
			continue
		}
		b := s.rings[i][n%size]
		if b.number == n && b.counts != (Counts{}) {
			list = append(list, Point{Start: tackclock.Time(n * int64(width)), Width: width, Counts: b.counts})
		}
	}
	return list
}
