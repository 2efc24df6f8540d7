package tacklimit

import "auburntack/core/tackclock"

const (
	wheelBuckets = 512
	wheelStep    = 16 * tackclock.Millisecond
)

// wheel finds the requests whose time has run out. Adding and removing take
// constant time, so that a burst of cancellations costs no more than its
// number. A bucket holds every entry whose time falls in its step of any turn.
type wheel struct {
	buckets [wheelBuckets]*entry
	swept   tackclock.Time
	count   int
}

func (w *wheel) add(now tackclock.Time, e *entry) {
	if w.count == 0 {
		w.swept = now
	}
	w.count++
	b := w.bucket(e.giveUp)
	e.later = *b
	if e.later != nil {
		e.later.earlier = e
	}
	*b = e
}

func (w *wheel) remove(e *entry) {
	w.count--
	if e.earlier == nil {
		*w.bucket(e.giveUp) = e.later
	} else {
		e.earlier.later = e.later
	}
	if e.later != nil {
		e.later.earlier = e.earlier
	}
	e.earlier, e.later = nil, nil
}

// advance calls expire for each entry whose time is not after now; expire
// removes it.
func (w *wheel) advance(now tackclock.Time, expire func(*entry)) {
	if w.count == 0 {
		w.swept = now
		return
	}
	from, to := step(w.swept), step(now)
	from = max(from, to-wheelBuckets+1)
	for s := from; s <= to; s++ {
		for e := w.buckets[s%wheelBuckets]; e != nil; {
			later := e.later
			if !now.Before(e.giveUp) {
				expire(e)
			}
			e = later
		}
	}
	w.swept = now
}

func (w *wheel) bucket(t tackclock.Time) **entry {
	return &w.buckets[step(t)%wheelBuckets]
}

func step(t tackclock.Time) int64 {
	return int64(t) / int64(wheelStep)
}
