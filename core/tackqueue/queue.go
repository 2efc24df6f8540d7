// Package tackqueue keeps what waits in the order in which it starts, and finds the first
// that a worker has room for without a look at what is too large for it.
//
// Load pattern: a backlog of thousands of steps beside as many workers, each of which has
// a little room and asks several times a second. A walk over all that waits at each ask
// grows with the square of the fleet.
package tackqueue

import (
	"cmp"
	"iter"
	"math"
	"math/bits"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// halves is into how many parts each power of two of a size is divided.
	halves = 2
	// Sizes bounds the sizes: enough for four million cores, and as many as a mask of
	// them has bits.
	Sizes = 64
	// Shelves bounds the shelves of a queue.
	Shelves = 32
)

const (
	// Serves is work that lasts, and goes first.
	Serves Class = iota
	// Batch is work that ends.
	Batch
	// Fills is work that takes what is left.
	Fills
)

type (
	// Class is a kind of work. Lower ones go first.
	Class uint8

	// Rank orders entries; lower ones go first.
	Rank struct {
		Class    Class
		Priority int // the queue's, 0 first
		Deadline tackclock.Time
		Job      tackjob.ID
	}

	// Key is what an entry goes by. It must not change while the entry is queued.
	Key struct {
		Rank Rank
		// MilliCores is what one item takes, in thousandths of a core.
		MilliCores int
		// Shelf parts entries that some workers cannot start at some times from others.
		// It is below Shelves.
		Shelf int
	}

	// Entry is something that waits.
	Entry interface {
		comparable
		QueueKey() Key
	}

	// Queue holds entries. Its zero value is empty. It is not safe for concurrent use.
	Queue[E Entry] struct {
		shelves [Shelves]shelf[E]
		n       int
		// Looked counts the entries that iterations have passed.
		Looked uint64
	}

	// shelf is the entries of one shelf by their Sizes. A bit of full stands for each
	// size that has some.
	shelf[E Entry] struct {
		bySize map[int]*bucket[E]
		full   uint64
	}

	// bucket is the entries of one shelf and one size, sorted by rank.
	bucket[E Entry] struct {
		entries []E
	}
)

// Compare orders ranks.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(
		cmp.Compare(r.Class, o.Class), cmp.Compare(r.Priority, o.Priority),
		cmp.Compare(r.Deadline, o.Deadline), cmp.Compare(r.Job, o.Job),
	)
}

// Size is the class of a size in thousandths of a core, below Sizes. What is of one class
// is no smaller than what is of those before it.
func Size(milliCores int) int {
	if milliCores <= 1 {
		return 0
	}
	power := bits.Len(uint(milliCores)) - 1
	half := milliCores >> (power - 1) & 1
	return min(power*halves+half, Sizes-1)
}

// Len is how many entries are queued.
func (q *Queue[E]) Len() int {
	return q.n
}

// bucket returns the bucket of a key, or nil if nothing was ever put there.
func (q *Queue[E]) bucket(k Key) *bucket[E] {
	return q.shelves[k.Shelf].bySize[Size(k.MilliCores)]
}

// Insert puts an entry in its place.
func (q *Queue[E]) Insert(e E) {
	key := e.QueueKey()
	b := q.bucket(key)
	if b == nil {
		b = &bucket[E]{}
		s := &q.shelves[key.Shelf]
		if s.bySize == nil {
			s.bySize = make(map[int]*bucket[E])
		}
		s.bySize[Size(key.MilliCores)] = b
	}
	b.entries = slices.Insert(b.entries, b.place(key.Rank), e)
	q.shelves[key.Shelf].full |= 1 << Size(key.MilliCores)
	q.n++
}

// place is where an entry of a rank goes, before others of the same rank.
func (b *bucket[E]) place(rank Rank) int {
	at, _ := slices.BinarySearchFunc(b.entries, rank, func(e E, r Rank) int { return e.QueueKey().Rank.Compare(r) })
	return at
}

// Remove takes an entry out, if it is queued.
func (q *Queue[E]) Remove(e E) {
	key := e.QueueKey()
	b := q.bucket(key)
	if b == nil {
		return
	}
	for at := b.place(key.Rank); at < len(b.entries) && b.entries[at].QueueKey().Rank.Compare(key.Rank) == 0; at++ {
		if b.entries[at] == e {
			b.entries = slices.Delete(b.entries, at, at+1)
			q.removed(key, b, 1)
			return
		}
	}
}

// removed takes in that a bucket has lost entries.
func (q *Queue[E]) removed(k Key, b *bucket[E], n int) {
	q.n -= n
	if len(b.entries) == 0 {
		q.shelves[k.Shelf].full &^= 1 << Size(k.MilliCores)
	}
}

// RemoveFunc takes out all entries of which f says so.
func (q *Queue[E]) RemoveFunc(f func(E) bool) {
	for i := range q.shelves {
		s := &q.shelves[i]
		for at, b := range s.bySize {
			before := len(b.entries)
			q.Looked += uint64(before)
			b.entries = slices.DeleteFunc(b.entries, f)
			q.n -= before - len(b.entries)
			if len(b.entries) == 0 {
				s.full &^= 1 << at
			}
		}
	}
}

// All returns the entries by rank.
func (q *Queue[E]) All() iter.Seq[E] {
	return q.Fitting(math.MaxInt, func(int) bool { return true })
}

// Fitting returns by rank the entries of the shelves that may fit so many thousandths of a
// core. Those that are surely too large are left out. The queue must not change meanwhile.
func (q *Queue[E]) Fitting(milliCores int, has func(shelf int) bool) iter.Seq[E] {
	return func(yield func(E) bool) {
		var space [Sizes][]E
		heads := q.heads(space[:0], milliCores, has)
		for len(heads) > 0 {
			first := lowest(heads)
			e := heads[first][0]
			if heads[first] = heads[first][1:]; len(heads[first]) == 0 {
				heads = slices.Delete(heads, first, first+1)
			}
			q.Looked++
			if !yield(e) {
				return
			}
		}
	}
}

// Fits reports whether any entry of the shelves may fit so many thousandths of a core.
func (q *Queue[E]) Fits(milliCores int, has func(shelf int) bool) bool {
	for i := range q.shelves {
		if q.shelves[i].full&fitting(milliCores) != 0 && has(i) {
			return true
		}
	}
	return false
}

// fitting is the mask of the sizes that may fit so many thousandths of a core.
func fitting(milliCores int) uint64 {
	return uint64(1)<<(Size(max(milliCores, 0))+1) - 1
}

// heads appends the entries of each bucket that may fit.
func (q *Queue[E]) heads(to [][]E, milliCores int, has func(shelf int) bool) [][]E {
	fits := fitting(milliCores)
	for i := range q.shelves {
		s := &q.shelves[i]
		if s.full&fits == 0 || !has(i) {
			continue
		}
		for left := s.full & fits; left != 0; left &= left - 1 {
			to = append(to, s.bySize[bits.TrailingZeros64(left)].entries)
		}
	}
	return to
}

// lowest is the list whose first entry has the lowest rank.
func lowest[E Entry](lists [][]E) int {
	first := 0
	for i := 1; i < len(lists); i++ {
		if lists[i][0].QueueKey().Rank.Compare(lists[first][0].QueueKey().Rank) < 0 {
			first = i
		}
	}
	return first
}
