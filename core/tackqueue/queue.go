// Package tackqueue holds waiting entries in the order in which they start. It finds the
// first entry that a worker has capacity for without visiting those that are too large.
//
// Load pattern: a backlog of thousands of steps and as many workers, each of which has a
// little free capacity and asks for work several times a second. If each request visited
// all waiting entries, the cost would grow with the square of the fleet.
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
	// classesPerPower is the number of size classes per power of two.
	classesPerPower = 2
	// SizeClasses is the number of size classes: enough for four million cores, and the
	// number of bits in a mask of them.
	SizeClasses = 64
	// Partitions is the number of partitions of a queue.
	Partitions = 512
)

const (
	// LongRunning is long-running work, which goes first.
	LongRunning Class = iota
	// Batch is work that ends.
	Batch
	// BestEffort is work that uses leftover processor time.
	BestEffort
)

type (
	// Class is a kind of work. Lower classes go first.
	Class uint8

	// Rank orders entries; lower ranks go first.
	Rank struct {
		Class    Class
		Priority int // priority of the queue, 0 first
		Deadline tackclock.Time
		Job      tackjob.ID
	}

	// Key determines the place of an entry. It must not change while the entry is queued.
	Key struct {
		Rank Rank
		// Order orders the entries of one rank, size class and partition. Of those with
		// the same order, the one that was inserted last goes first.
		Order int64
		// MilliCores is the size of one item, in millicores.
		MilliCores int
		// Partition is the partition of the entry, below Partitions. Entries that some
		// workers cannot start at some times are kept in other partitions than the rest.
		Partition int
	}

	// Entry is a waiting entry.
	Entry interface {
		comparable
		QueueKey() Key
	}

	// Queue holds entries. Its zero value is empty. It is not safe for concurrent use.
	Queue[E Entry] struct {
		partitions [Partitions]partition[E]
		// nonEmpty has a bit for each partition, set if it has entries.
		nonEmpty [Partitions / 64]uint64
		n        int
		// Examined counts the entries that iterations have visited.
		Examined uint64
	}

	// partition holds the entries of one partition by size class. The bits of nonEmpty
	// stand for the size classes that have entries.
	partition[E Entry] struct {
		bySize   map[int]*bucket[E]
		nonEmpty uint64
	}

	// bucket holds the entries of one partition and one size class, sorted by rank.
	bucket[E Entry] struct {
		entries []E
	}
)

// Compare compares two ranks, as cmp.Compare does.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(
		cmp.Compare(r.Class, o.Class), cmp.Compare(r.Priority, o.Priority),
		cmp.Compare(r.Deadline, o.Deadline), cmp.Compare(r.Job, o.Job),
	)
}

// SizeClass returns the size class of an amount in millicores, below SizeClasses. Larger
// amounts have the same or a higher class.
func SizeClass(milliCores int) int {
	if milliCores <= 1 {
		return 0
	}
	power := bits.Len(uint(milliCores)) - 1
	half := milliCores >> (power - 1) & 1
	return min(power*classesPerPower+half, SizeClasses-1)
}

// Len returns the number of queued entries.
func (q *Queue[E]) Len() int {
	return q.n
}

// bucket returns the bucket of a key, or nil if it has never had entries.
func (q *Queue[E]) bucket(k Key) *bucket[E] {
	return q.partitions[k.Partition].bySize[SizeClass(k.MilliCores)]
}

// Insert adds an entry.
func (q *Queue[E]) Insert(e E) {
	key := e.QueueKey()
	b := q.bucket(key)
	if b == nil {
		b = &bucket[E]{}
		s := &q.partitions[key.Partition]
		if s.bySize == nil {
			s.bySize = make(map[int]*bucket[E])
		}
		s.bySize[SizeClass(key.MilliCores)] = b
	}
	b.entries = slices.Insert(b.entries, b.insertionIndex(key), e)
	q.partitions[key.Partition].nonEmpty |= 1 << SizeClass(key.MilliCores)
	q.nonEmpty[key.Partition/64] |= 1 << (key.Partition % 64)
	q.n++
}

// compare compares the places of two entries of one bucket.
func (k Key) compare(o Key) int {
	return cmp.Or(k.Rank.Compare(o.Rank), cmp.Compare(k.Order, o.Order))
}

// insertionIndex returns the index at which to insert an entry with the key, before others
// of the same rank and order.
func (b *bucket[E]) insertionIndex(key Key) int {
	at, _ := slices.BinarySearchFunc(b.entries, key, func(e E, k Key) int { return e.QueueKey().compare(k) })
	return at
}

// Remove removes an entry, if it is queued.
func (q *Queue[E]) Remove(e E) {
	key := e.QueueKey()
	b := q.bucket(key)
	if b == nil {
		return
	}
	for at := b.insertionIndex(key); at < len(b.entries) && b.entries[at].QueueKey().compare(key) == 0; at++ {
		if b.entries[at] == e {
			b.entries = slices.Delete(b.entries, at, at+1)
			q.removed(key, b, 1)
			return
		}
	}
}

// removed updates the queue after n entries were removed from a bucket.
func (q *Queue[E]) removed(k Key, b *bucket[E], n int) {
	q.n -= n
	if len(b.entries) == 0 {
		q.emptied(k.Partition, SizeClass(k.MilliCores))
	}
}

// emptied records that a size class of a partition has no entries any more.
func (q *Queue[E]) emptied(partition, size int) {
	s := &q.partitions[partition]
	if s.nonEmpty &^= 1 << size; s.nonEmpty == 0 {
		q.nonEmpty[partition/64] &^= 1 << (partition % 64)
	}
}

// inUse returns the partitions that have entries, in order.
func (q *Queue[E]) inUse() iter.Seq[int] {
	return func(yield func(int) bool) {
		for word, left := range q.nonEmpty {
			for ; left != 0; left &= left - 1 {
				if !yield(word*64 + bits.TrailingZeros64(left)) {
					return
				}
			}
		}
	}
}

// RemoveFunc removes all entries for which f returns true.
func (q *Queue[E]) RemoveFunc(f func(E) bool) {
	for i := range q.inUse() {
		for at, b := range q.partitions[i].bySize {
			before := len(b.entries)
			q.Examined += uint64(before)
			b.entries = slices.DeleteFunc(b.entries, f)
			q.n -= before - len(b.entries)
			if len(b.entries) == 0 {
				q.emptied(i, at)
			}
		}
	}
}

// All returns the entries in order of rank.
func (q *Queue[E]) All() iter.Seq[E] {
	return q.Fitting(math.MaxInt, func(int) bool { return true })
}

// Fitting returns, in order of rank, the entries that may fit in the given millicores,
// from the partitions for which has returns true. Entries that are certainly too large
// are left out. The queue must not change during the iteration.
func (q *Queue[E]) Fitting(milliCores int, has func(partition int) bool) iter.Seq[E] {
	return func(yield func(E) bool) {
		var space [SizeClasses][]E
		heads := q.heads(space[:0], milliCores, has)
		for len(heads) > 0 {
			first := lowestHead(heads)
			e := heads[first][0]
			if heads[first] = heads[first][1:]; len(heads[first]) == 0 {
				heads = slices.Delete(heads, first, first+1)
			}
			q.Examined++
			if !yield(e) {
				return
			}
		}
	}
}

// Fits reports whether any entry of these partitions may fit in the given millicores.
func (q *Queue[E]) Fits(milliCores int, has func(partition int) bool) bool {
	for i := range q.inUse() {
		if q.partitions[i].nonEmpty&fitting(milliCores) != 0 && has(i) {
			return true
		}
	}
	return false
}

// fitting returns the mask of the size classes that may fit in the given millicores.
func fitting(milliCores int) uint64 {
	return uint64(1)<<(SizeClass(max(milliCores, 0))+1) - 1
}

// heads appends the entry list of each bucket that may fit.
func (q *Queue[E]) heads(to [][]E, milliCores int, has func(partition int) bool) [][]E {
	fits := fitting(milliCores)
	for i := range q.inUse() {
		s := &q.partitions[i]
		if s.nonEmpty&fits == 0 || !has(i) {
			continue
		}
		for left := s.nonEmpty & fits; left != 0; left &= left - 1 {
			to = append(to, s.bySize[bits.TrailingZeros64(left)].entries)
		}
	}
	return to
}

// lowestHead returns the index of the list whose first entry has the lowest rank.
func lowestHead[E Entry](lists [][]E) int {
	first := 0
	for i := 1; i < len(lists); i++ {
		if lists[i][0].QueueKey().Rank.Compare(lists[first][0].QueueKey().Rank) < 0 {
			first = i
		}
	}
	return first
}
