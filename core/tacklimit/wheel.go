package tacklimit

import "auburntack/core/tackclock"

const (
	wheelBuckets = 512
	wheelStep    = 16 * tackclock.Millisecond
)

// wheel is a timer wheel that finds expired entries. Adding and removing an
// entry take constant time, so that the cost of a burst of cancellations is
// proportional to its size. A bucket holds the entries whose expiry falls in its
// step of any revolution.
type wheel struct {
	buckets    [wheelBuckets]*entry
	advancedTo tackclock.Time
	count      int
}

func (w *wheel) add(now tackclock.Time, e *entry) {
	if w.count == 0 {
		w.advancedTo = now
	}
	w.count++
	b := w.bucket(e.expiry)
	e.wheelNext = *b
	if e.wheelNext != nil {
		e.wheelNext.wheelPrev = e
	}
	*b = e
}

func (w *wheel) remove(e *entry) {
	w.count--
	if e.wheelPrev == nil {
		*w.bucket(e.expiry) = e.wheelNext
	} else {
		e.wheelPrev.wheelNext = e.wheelNext
	}
	if e.wheelNext != nil {
		e.wheelNext.wheelPrev = e.wheelPrev
	}
	e.wheelPrev, e.wheelNext = nil, nil
}

// advance calls expire for each entry whose expiry is not after now. The callback
// must remove the entry.
func (w *wheel) advance(now tackclock.Time, expire func(*entry)) {
	if w.count == 0 {
		w.advancedTo = now
		return
	}
	from, to := step(w.advancedTo), step(now)
	from = max(from, to-wheelBuckets+1)
	for s := from; s <= to; s++ {
		for e := w.buckets[s%wheelBuckets]; e != nil; {
			next := e.wheelNext
			if !now.Before(e.expiry) {
				expire(e)
			}
			e = next
		}
	}
	w.advancedTo = now
}

func (w *wheel) bucket(t tackclock.Time) **entry {
	return &w.buckets[step(t)%wheelBuckets]
}

func step(t tackclock.Time) int64 {
	return int64(t) / int64(wheelStep)
}
