package tacktable

import (
	"slices"

	"auburntack/core/tackclock"
)

type (
	// Recent is a table of rows in the order in which they were put. Trim
	// removes rows by age and number. The zero value is an empty table.
	Recent[K comparable, V any] struct {
		rows  map[K]V
		queue []Stamp[K]
	}

	// Stamp is a key and the time at which it was put.
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

// Put adds a row at now, which must not be earlier than in the last call. If
// the key exists it becomes the newest one, which takes time linear in the
// number of keys.
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

// Trim removes the rows that were put more than age before now, and the oldest
// rows beyond limit. It returns the removed keys; the result is valid until
// the next Put.
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
