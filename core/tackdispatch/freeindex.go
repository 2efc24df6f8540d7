package tackdispatch

import (
	"iter"

	"auburntack/core/tackqueue"
)

type (
	// freeIndex indexes workers by their free cores, so that those without room need not
	// be examined. Its zero value is empty.
	freeIndex struct {
		bySize [tackqueue.SizeClasses][]*worker
	}

	// freePosition is the position of a worker in the index.
	freePosition struct {
		indexed bool
		size    int
		at      int
	}
)

// update moves the worker to the list for its present free cores.
func (x *freeIndex) update(w *worker) {
	size := tackqueue.SizeClass(max(w.room().MilliCores, 0))
	if w.freePosition.indexed && w.freePosition.size == size {
		return
	}
	x.remove(w)
	w.freePosition = freePosition{indexed: true, size: size, at: len(x.bySize[size])}
	x.bySize[size] = append(x.bySize[size], w)
}

// remove removes the worker and moves the last one of its size to its position.
func (x *freeIndex) remove(w *worker) {
	if !w.freePosition.indexed {
		return
	}
	list := x.bySize[w.freePosition.size]
	last := list[len(list)-1]
	list[w.freePosition.at], last.freePosition.at = last, w.freePosition.at
	list[len(list)-1] = nil
	x.bySize[w.freePosition.size] = list[:len(list)-1]
	w.freePosition = freePosition{}
}

// atLeast returns the workers that may have the given millicores free, those with less
// room first.
func (x *freeIndex) atLeast(milliCores int) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, list := range x.bySize[tackqueue.SizeClass(milliCores):] {
			for _, w := range list {
				if !yield(w) {
					return
				}
			}
		}
	}
}
