package tackburn

import (
	"auburntack/core/tackclock"
)

// Period is what an error budget is for: four whole weeks, so that each holds
// the same days of the week.
const Period = 28 * tackclock.Day

// The rings of a series; each serves one window, the last one the period.
const (
	ringMinute = iota
	ringFiveMinutes
	ringHalfHour
	ringQuarterDay
	ringDay
	rings
)

// ringShapes gives the width of a ring's buckets and the span that it covers.
// A window is summed from the ring of its own, so its edge is off by less than
// a bucket, which is a fifth of the shortest window and a twelfth of others.
var ringShapes = [rings]struct{ width, span tackclock.Duration }{
	ringMinute:      {tackclock.Minute, 5 * tackclock.Minute},
	ringFiveMinutes: {5 * tackclock.Minute, tackclock.Hour},
	ringHalfHour:    {30 * tackclock.Minute, 6 * tackclock.Hour},
	ringQuarterDay:  {6 * tackclock.Hour, 3 * tackclock.Day},
	ringDay:         {tackclock.Day, Period},
}

type (
	// series is the account of one service, team or label.
	series struct {
		last  tackclock.Time // of the last sample
		rings [rings][]bucket
	}

	// bucket counts what came in one stretch of time. Its number is the time
	// at which it starts, in widths of its ring.
	bucket struct {
		number int64
		counts Counts
	}
)

// add counts c at now in every ring.
func (s *series) add(now tackclock.Time, c Counts) {
	s.last = now
	for i := range s.rings {
		s.bucket(i, now).counts.Add(c)
	}
}

// bucket returns the bucket of ring i that now falls into, cleared if it was
// last used one turn of the ring ago.
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

// ringSize returns how many buckets cover the span of ring i at any moment.
func ringSize(i int) int {
	return int(ringShapes[i].span/ringShapes[i].width) + 1
}

// sum returns what was counted in the span of ring i up to now.
func (s *series) sum(i int, now tackclock.Time) Counts {
	var c Counts
	for _, b := range s.points(i, now) {
		c.Add(b.Counts)
	}
	return c
}

// points returns the buckets of ring i that hold something and that reach into
// its span up to now, the oldest first.
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
