package tacktable

import (
	"slices"

	"auburntack/core/tackclock"
)

type (
	// Recent keeps rows in the order in which they came, until they are too
	// old or too many. Its zero value is empty and keeps nothing back: the
	// bounds are given to Trim.
	Recent[K comparable, V any] struct {
		rows  map[K]V
		queue []Stamp[K]
	}

	// Stamp is a key and the time at which it came.
	Stamp[K comparable] struct {
		Key  K              `cbor:"1,keyasint"`
		Time tackclock.Time `cbor:"2,keyasint"`
	}
)

// Get returns the row of k.
func (r *Recent[K, V]) Get(k K) (V, bool) {
	v, ok := r.rows[k]
	return v, ok
}

// Put adds a row at now, which must not fall from call to call. A key that is
// there already becomes the newest; that costs a walk through the keys.
func (r *Recent[K, V]) Put(now tackclock.Time, k K, v V) {
	if r.rows == nil {
		r.rows = make(map[K]V)
	}
	if _, found := r.rows[k]; found {
		r.queue = slices.DeleteFunc(r.queue, func(s Stamp[K]) bool { return s.Key == k })
	}
	r.queue = append(r.queue, Stamp[K]{Key: k, Time: now})
	r.rows[k] = v
}

// Trim drops the rows that came longer than age before now, and the oldest
// ones beyond limit. It returns what it dropped, until the next Put.
func (r *Recent[K, V]) Trim(now tackclock.Time, age tackclock.Duration, limit int) []Stamp[K] {
	n := 0
	for n < len(r.queue) && (now.Sub(r.queue[n].Time) > age || len(r.queue)-n > limit) {
		delete(r.rows, r.queue[n].Key)
		n++
	}
	dropped := r.queue[:n]
	r.queue = r.queue[n:]
	return dropped
}

// Len returns the number of rows.
func (r *Recent[K, V]) Len() int {
	return len(r.queue)
}

// Stamps returns the keys from the oldest to the newest. The caller must not
// change them.
func (r *Recent[K, V]) Stamps() []Stamp[K] {
	return r.queue
}
