// Package tacktable provides the tables of a replicated state machine: Table,
// which is sorted by key and so has the same order on every peer, and Recent,
// whose rows are removed by age and number.
package tacktable

import (
	"cmp"
	"iter"
	"slices"
)

// Table has one row for each key and lists its rows in the order of the keys.
// The zero value is an empty table. Adding or deleting a key shifts the keys
// after it; other operations on a key only look it up.
type Table[K cmp.Ordered, V any] struct {
	rows map[K]*V
	keys []K
	list []*V // in the order of keys, so that All needs no lookups
}

// Get returns the row of k, or nil. The row may be changed in place.
func (t *Table[K, V]) Get(k K) *V {
	return t.rows[k]
}

// Put sets the row of k and returns it.
func (t *Table[K, V]) Put(k K, v V) *V {
	if t.rows == nil {
		t.rows = make(map[K]*V)
	}
	if i, found := slices.BinarySearch(t.keys, k); !found {
		t.keys = slices.Insert(t.keys, i, k)
		t.list = slices.Insert(t.list, i, &v)
	} else {
		t.list[i] = &v
	}
	t.rows[k] = &v
	return &v
}

// Delete removes the row of k, if there is one.
func (t *Table[K, V]) Delete(k K) {
	i, found := slices.BinarySearch(t.keys, k)
	if !found {
		return
	}
	t.keys = slices.Delete(t.keys, i, i+1)
	t.list = slices.Delete(t.list, i, i+1)
	delete(t.rows, k)
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int {
	return len(t.keys)
}

// All returns an iterator over the rows in the order of their keys. No row may
// be put or deleted during the iteration.
func (t *Table[K, V]) All() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		for i, k := range t.keys {
			if !yield(k, t.list[i]) {
				return
			}
		}
	}
}

// Values returns a copy of every row in the order of their keys.
func (t *Table[K, V]) Values() []V {
	values := make([]V, 0, len(t.keys))
	for _, row := range t.list {
		values = append(values, *row)
	}
	return values
}
