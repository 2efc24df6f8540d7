// Package tackoutlook holds the outlook of a pool: its committed work by deadline, and the
// capacity that it has and will have.
//
// Load pattern: for some seconds a queue submits several times what its pool can run, while
// VMs are on their way to the pool. Whether one more job can end in time depends on when
// the work before it must be done, and on when those VMs arrive. Totals of both do not show
// that.
package tackoutlook

import (
	"maps"

	"auburntack/core/tackclock"
)

const (
	// Resolution is the width of the buckets of a Backlog, about the interval between two rounds of
	// heartbeats.
	Resolution = 100 * tackclock.Millisecond
	// Horizon is how far ahead deadlines are told apart. Work that is due later is treated
	// as due then: it is beyond the longest time that callers are told.
	Horizon = tackclock.Minute
	// buckets is the number of buckets up to the horizon.
	buckets = int64(Horizon / Resolution)
	// overdueWithin is the time within which work that missed its deadline should be done.
	// It starts after work that can be in time, so it is not due at once.
	overdueWithin = 10 * tackclock.Second
	// minSlack is the least time within which work should be done, about the duration of a
	// move. Without it, work that is due now would require any number of cores.
	minSlack = 1500 * tackclock.Millisecond
)

type (
	// Backlog holds committed work by deadline, in buckets of fixed width up to a horizon,
	// so that the cost of each operation does not depend on the number of open jobs. Work
	// is in millicore-milliseconds. Times passed to it must not decrease. The zero value is
	// empty. It is not safe for concurrent use.
	Backlog struct {
		// first is the number of the first bucket of near, counted from time zero.
		first int64
		// near holds the buckets from first up to the horizon, by their number modulo
		// buckets.
		near [buckets]int64
		// far holds the later buckets, by number, and overdue the work of the earlier ones.
		far     map[int64]int64
		overdue int64
		total   int64
	}
)

// Add adds work that is due at a time.
func (b *Backlog) Add(due tackclock.Time, work int64) {
	b.total += work
	switch n := int64(due) / int64(Resolution); {
	case n < b.first:
		b.overdue += work
	case n < b.first+buckets:
		b.near[n%buckets] += work
	default:
		if b.far == nil {
			b.far = make(map[int64]int64)
		}
		if b.far[n] += work; b.far[n] == 0 {
			delete(b.far, n)
		}
	}
}

// Remove removes work that Add has added with the same due time.
func (b *Backlog) Remove(due tackclock.Time, work int64) {
	b.Add(due, -work)
}

// Total returns all work.
func (b *Backlog) Total() int64 {
	return b.total
}

// AddAll adds the work of another backlog as of now.
func (b *Backlog) AddAll(now tackclock.Time, o *Backlog) {
	if o.total == 0 && len(o.far) == 0 {
		return
	}
	b.advance(now)
	o.advance(now)
	for i, work := range o.near {
		b.near[i] += work
	}
	if b.far == nil {
		b.far = make(map[int64]int64, len(o.far))
	}
	for n, work := range o.far {
		b.far[n] += work
	}
	b.overdue, b.total = b.overdue+o.overdue, b.total+o.total
}

// Clone returns a copy.
func (b *Backlog) Clone() *Backlog {
	c := *b
	c.far = maps.Clone(b.far)
	return &c
}

// advance makes the bucket of now the first one.
func (b *Backlog) advance(now tackclock.Time) {
	first := int64(now) / int64(Resolution)
	if first <= b.first {
		return
	}
	for n := b.first; n < min(first, b.first+buckets); n++ {
		b.overdue += b.near[n%buckets]
		b.near[n%buckets] = 0
		if first-b.first < buckets {
			b.near[n%buckets] = b.far[n+buckets]
			delete(b.far, n+buckets)
		}
	}
	if first-b.first >= buckets {
		b.refill(first)
	}
	b.first = first
}

// refill moves the later buckets to their places, with near empty and the given first
// bucket.
func (b *Backlog) refill(first int64) {
	for n, work := range b.far {
		switch {
		case n < first:
			b.overdue += work
		case n < first+buckets:
			b.near[n%buckets] += work
		default:
			continue
		}
		delete(b.far, n)
	}
}

// each calls f for the times from the first bucket on at which work is due, with the work
// that is due by then, until f returns false. Overdue work is due within overdueWithin, and
// work beyond the horizon at the horizon.
func (b *Backlog) each(now tackclock.Time, f func(at tackclock.Time, sum int64) bool) {
	b.advance(now)
	overdueBy := b.first + int64(overdueWithin/Resolution)
	var sum int64
	for n := b.first; n < b.first+buckets; n++ {
		work := b.near[n%buckets]
		if n == overdueBy {
			work += b.overdue
		}
		sum += work
		if work != 0 && !f(tackclock.Time(n*int64(Resolution)), sum) {
			return
		}
	}
	if b.total != sum {
		f(now.Add(Horizon), b.total)
	}
}

// dueBy returns the work that is due by a time.
func (b *Backlog) dueBy(now, due tackclock.Time) int64 {
	var before int64
	b.each(now, func(at tackclock.Time, sum int64) bool {
		if at > due {
			return false
		}
		before = sum
		return true
	})
	return before
}

// Required returns the millicores that finish all work within slackPercent of the time
// until its deadline.
func (b *Backlog) Required(now tackclock.Time, slackPercent int) int {
	var most int64
	b.each(now, func(at tackclock.Time, sum int64) bool {
		within := max(minSlack, at.Sub(now)*tackclock.Duration(slackPercent)/100)
		most = max(most, (sum+int64(within)-1)/int64(within))
		return true
	})
	return int(most)
}
