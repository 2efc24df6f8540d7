package tackqueue

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"auburntack/core/tackclock"
)

type entry struct {
	key Key
}

func (e *entry) QueueKey() Key { return e.key }

func anyShelf(int) bool { return true }

func assertOrder(t *testing.T, got []*entry, want []*entry) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("got %d entries, want %d, or the order differs", len(got), len(want))
	}
}

// random returns entries of all partitions and many sizes, in order of rank.
func random(n int) []*entry {
	r := rand.New(rand.NewPCG(1, 2))
	var list []*entry
	for i := range n {
		list = append(list, &entry{key: Key{
			Rank:       Rank{Class: Class(r.IntN(3)), Priority: r.IntN(2), Deadline: tackclock.Time(i)},
			MilliCores: r.IntN(20_000), Partition: r.IntN(Partitions),
		}})
	}
	slices.SortFunc(list, func(a, b *entry) int { return a.key.Rank.Compare(b.key.Rank) })
	return list
}

func filled(list []*entry) *Queue[*entry] {
	q := &Queue[*entry]{}
	for _, i := range rand.New(rand.NewPCG(3, 4)).Perm(len(list)) {
		q.Insert(list[i])
	}
	return q
}

func TestOrder(t *testing.T) {
	list := random(500)
	q := filled(list)
	t.Run("of all", func(t *testing.T) { assertOrder(t, slices.Collect(q.All()), list) })
	t.Run("of fitting entries", func(t *testing.T) {
		var want []*entry
		for _, e := range list {
			if SizeClass(e.key.MilliCores) <= SizeClass(5000) && e.key.Partition < 3 {
				want = append(want, e)
			}
		}
		assertOrder(t, slices.Collect(q.Fitting(5000, func(partition int) bool { return partition < 3 })), want)
	})
	t.Run("after removals", func(t *testing.T) {
		kept := slices.Clone(list)
		for _, e := range list[100:200] {
			q.Remove(e)
			q.Remove(e) // has no effect
		}
		q.RemoveFunc(func(e *entry) bool { return e.key.Partition == 1 })
		kept = slices.DeleteFunc(slices.Delete(kept, 100, 200), func(e *entry) bool { return e.key.Partition == 1 })
		assertOrder(t, slices.Collect(q.All()), kept)
		if q.Len() != len(kept) {
			t.Errorf("length %d, want %d", q.Len(), len(kept))
		}
	})
}

// The size class must not fall as the size grows, or entries that fit would be left out.
func TestSizes(t *testing.T) {
	for _, small := range []int{0, 1, 2, 3, 5, 999, 1000, 16_000, math.MaxInt32} {
		for _, more := range []int{0, 1, 7, 1000} {
			if SizeClass(small) > SizeClass(small+more) || SizeClass(small) >= SizeClasses {
				t.Errorf("SizeClass(%d) = %d, SizeClass(%d) = %d, want both in order and below SizeClasses", small, SizeClass(small), small+more, SizeClass(small+more))
			}
		}
	}
}

func TestFits(t *testing.T) {
	q := filled([]*entry{{key: Key{MilliCores: 4000, Partition: 2}}})
	for _, test := range []struct {
		milliCores int
		has        func(int) bool
		want       bool
	}{
		{4000, anyShelf, true}, {100, anyShelf, false}, {-1, anyShelf, false},
		{4000, func(partition int) bool { return partition != 2 }, false},
	} {
		if got := q.Fits(test.milliCores, test.has); got != test.want {
			t.Errorf("Fits(%d) = %v, want %v", test.milliCores, got, test.want)
		}
	}
	var empty Queue[*entry]
	if empty.Fits(1000, anyShelf) || empty.Len() != 0 {
		t.Error("an empty queue has a fitting entry")
	}
}

// Fitting must not visit entries that are too large.
func TestExaminedBound(t *testing.T) {
	q := &Queue[*entry]{}
	for range 10_000 {
		q.Insert(&entry{key: Key{MilliCores: 8000}})
	}
	for range q.Fitting(2000, anyShelf) {
		t.Fatal("an entry of 8 cores fits 2")
	}
	if q.Examined != 0 {
		t.Errorf("%d entries were visited", q.Examined)
	}
}
