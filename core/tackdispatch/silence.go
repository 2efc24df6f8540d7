package tackdispatch

import (
	"cmp"
	"container/heap"
	"slices"

	"auburntack/core/tackclock"
)

// silentEvery spaces out the looks at a worker that stays silent.
const silentEvery = 100 * tackclock.Millisecond

type (
	// checks is when to look whether workers have fallen silent, the next one first. A
	// worker that has sent heartbeats since is looked at again when it may have next. It
	// is a heap.
	checks []check

	check struct {
		at     tackclock.Time
		worker *worker
	}
)

// Len implements heap.Interface.
func (c checks) Len() int { return len(c) }

// Less implements heap.Interface.
func (c checks) Less(i, j int) bool { return c[i].at < c[j].at }

// Swap implements heap.Interface.
func (c checks) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *checks) Push(x any) { *c = append(*c, x.(check)) }

// Pop implements heap.Interface.
func (c *checks) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func (c *checks) add(w *worker, at tackclock.Time) {
	heap.Push(c, check{at: at, worker: w})
}

// due takes out the workers that are to be looked at now.
func (c *checks) due(now tackclock.Time) []*worker {
	var list []*worker
	for len(*c) > 0 && (*c)[0].at <= now {
		list = append(list, heap.Pop(c).(check).worker)
	}
	return list
}

// silentAt is when something must be done about the worker if no further heartbeat comes.
func (d *Dispatcher) silentAt(w *worker) tackclock.Time {
	return min(w.heardAt.Add(min(doubtAfter, d.cfg.CopyAfter)+w.patience), w.leaseUntil)
}

// setSilent notes that a worker has fallen silent, or has not.
func (d *Dispatcher) setSilent(w *worker, silent bool) {
	if w.fellSilent == silent {
		return
	}
	w.fellSilent = silent
	if silent {
		d.fellSilent++
	} else {
		d.fellSilent--
	}
}

// unheard are the workers that are silent and to be looked at now, in the order of their
// ids, so that the same faults bring the same outcome.
func (d *Dispatcher) unheard(now tackclock.Time) []*worker {
	var list []*worker
	for _, w := range d.checks.due(now) {
		switch at := d.silentAt(w); {
		case d.workers[w.id] != w:
		case at > now:
			d.checks.add(w, at)
		default:
			d.setSilent(w, true)
			list = append(list, w)
			d.checks.add(w, max(now+1, min(now.Add(silentEvery), w.leaseUntil)))
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	return list
}
