package tackdispatch

import (
	"iter"

	"auburntack/core/tackqueue"
)

type (
	// freeIndex has workers by the cores that they have free, so that those without
	// room need not be looked at. Its zero value is empty.
	freeIndex struct {
		bySize [tackqueue.Sizes][]*worker
	}

	// freePlace is where a worker stands in the index.
	freePlace struct {
		indexed bool
		size    int
		at      int
	}
)

// put has the worker where it belongs now.
func (x *freeIndex) put(w *worker) {
	size := tackqueue.Size(max(w.room().MilliCores, 0))
	if w.free.indexed && w.free.size == size {
		return
	}
	x.remove(w)
	w.free = freePlace{indexed: true, size: size, at: len(x.bySize[size])}
	x.bySize[size] = append(x.bySize[size], w)
}

// remove takes the worker out. The last one of its size takes its place.
func (x *freeIndex) remove(w *worker) {
	if !w.free.indexed {
		return
	}
	list := x.bySize[w.free.size]
	last := list[len(list)-1]
	list[w.free.at], last.free.at = last, w.free.at
	list[len(list)-1] = nil
	x.bySize[w.free.size] = list[:len(list)-1]
	w.free = freePlace{}
}

// atLeast returns the workers that may have so many thousandths of a core free, those with
// less of it first.
func (x *freeIndex) atLeast(milliCores int) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, list := range x.bySize[tackqueue.Size(milliCores):] {
			for _, w := range list {
				if !yield(w) {
					return
				}
			}
		}
	}
}
