package tackdispatch

import (
	"cmp"
	"container/heap"
	"slices"

	"auburntack/core/tackclock"
)

// silentEvery is the interval between checks of a worker that stays silent.
const silentEvery = 100 * tackclock.Millisecond

type (
	// silenceChecks is a heap of the times at which to check whether workers have fallen
	// silent, the earliest first. A worker that has sent heartbeats since is rescheduled
	// to when it may next have fallen silent.
	silenceChecks []silenceCheck

	silenceCheck struct {
		at     tackclock.Time
		worker *worker
	}
)

// Len implements heap.Interface.
func (c silenceChecks) Len() int { return len(c) }

// Less implements heap.Interface.
func (c silenceChecks) Less(i, j int) bool { return c[i].at < c[j].at }

// Swap implements heap.Interface.
func (c silenceChecks) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *silenceChecks) Push(x any) { *c = append(*c, x.(silenceCheck)) }

// Pop implements heap.Interface.
func (c *silenceChecks) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func (c *silenceChecks) add(w *worker, at tackclock.Time) {
	heap.Push(c, silenceCheck{at: at, worker: w})
}

// due removes and returns the workers whose check is due.
func (c *silenceChecks) due(now tackclock.Time) []*worker {
	var list []*worker
	for len(*c) > 0 && (*c)[0].at <= now {
		list = append(list, heap.Pop(c).(silenceCheck).worker)
	}
	return list
}

// silentAt returns when action is needed on the worker if no further heartbeat comes.
func (d *Dispatcher) silentAt(w *worker) tackclock.Time {
	return min(w.heardAt.Add(min(doubtAfter, d.cfg.CopyAfter)+w.silenceAllowance), w.leaseOverAt())
}

// setSilent records whether a worker is silent.
func (d *Dispatcher) setSilent(w *worker, silent bool) {
	if w.countedSilent == silent {
		return
	}
	w.countedSilent = silent
	if silent {
		d.silentWorkers++
	} else {
		d.silentWorkers--
	}
}

// overdueWorkers returns the workers that are silent and due for a check, in the order of
// their ids, so that the same faults have the same outcome.
func (d *Dispatcher) overdueWorkers(now tackclock.Time) []*worker {
	var list []*worker
	for _, w := range d.silenceChecks.due(now) {
		switch at := d.silentAt(w); {
		case d.workers[w.id] != w:
		case at > now:
			d.silenceChecks.add(w, at)
		default:
			d.setSilent(w, true)
			list = append(list, w)
			d.silenceChecks.add(w, max(now+1, min(now.Add(silentEvery), w.leaseOverAt())))
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	return list
}
