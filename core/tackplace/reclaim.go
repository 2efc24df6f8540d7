package tackplace

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// reservationLimit is how long resources are reserved for an urgent task
	// while other tasks are evicted. After that another worker is tried.
	reservationLimit = 2 * tackclock.Second
	// memoryLimit is the measured share of a worker's memory above which tasks
	// are evicted.
	memoryLimit = 0.95
)

// makeRoom frees resources for an urgent task by throttling or evicting batch
// tasks. If throttling is enough it returns the worker. Otherwise it starts to
// evict tasks, reserves their resources and returns nil.
func (t *tick) makeRoom(p *pool, row *tackfleet.Task, n resources) *worker {
	if _, reserved := t.reservations[row.ID]; reserved {
		return nil
	}
	if w := t.throttleFor(p, row, n); w != nil {
		return w
	}
	var best *worker
	var fewest []*lease
	for _, w := range p.workers {
		if !t.eligible(w, row) {
			continue
		}
		victims := w.victims(t.now, n)
		if victims != nil && (best == nil || len(victims) < len(fewest)) {
			best, fewest = w, victims
		}
	}
	if best == nil {
		return nil
	}
	for _, l := range fewest {
		t.evict(l, true)
	}
	t.reservations[row.ID] = reservation{worker: best.vm.ID, need: n, until: t.now.Add(reservationLimit)}
	best.free.subtract(n)
	return nil
}

// throttleFor throttles batch tasks on a worker that lacks only cores for the
// task, and returns that worker. No work has to be saved or stopped, so the
// urgent task can start at once.
func (t *tick) throttleFor(p *pool, row *tackfleet.Task, n resources) *worker {
	for _, w := range p.workers {
		missing := n.cores - w.free.cores
		if !t.eligible(w, row) || n.memoryMB > w.free.memoryMB || n.accelerators > w.free.accelerators {
			continue
		}
		if w.reclaimableCores() < missing {
			continue
		}
		t.throttle(w, missing)
		return w
	}
	return nil
}

// throttledCores returns the number of cores that the task can be throttled to.
func (l *lease) throttledCores() int {
	return max(1, l.row.Cores/4)
}

// reclaimableCores returns the number of cores freed by throttling the task.
func (l *lease) reclaimableCores() float64 {
	if l.row.Class != tackid.ClassBatch || l.throttled > 0 || l.pending != "" || !l.confirmed || l.stage != stageRunning {
		return 0
	}
	return max(0, l.need.cores-float64(l.throttledCores()))
}

// reclaimableCores returns the number of cores freed by throttling all batch
// tasks.
func (w *worker) reclaimableCores() float64 {
	sum := 0.0
	for _, l := range w.leases {
		sum += l.reclaimableCores()
	}
	return sum
}

func (t *tick) throttle(w *worker, missing float64) {
	for _, l := range w.leases {
		freed := l.reclaimableCores()
		if missing <= 0 || freed == 0 {
			continue
		}
		if t.order(l, VerbThrottle, Order{Cores: l.throttledCores()}) {
			l.throttled = l.throttledCores()
			w.free.cores += freed
			missing -= freed
		}
	}
}

// victims returns the batch tasks to evict so that n fits, the most recently
// started first, or nil if evicting all of them is not enough.
func (w *worker) victims(now tackclock.Time, n resources) []*lease {
	free := w.free
	var evicted []*lease
	for _, l := range slices.SortedFunc(slices.Values(w.leases), byLatestStart) {
		if n.fitsIn(free) {
			break
		}
		if l.stage != stageRunning || !l.movable(now) || l.row.Class != tackid.ClassBatch {
			continue
		}
		evicted = append(evicted, l)
		free.add(l.allocated())
	}
	if !n.fitsIn(free) {
		return nil
	}
	return evicted
}

// byLatestStart orders leases by the start time of the task, latest first.
func byLatestStart(a, b *lease) int {
	return cmp.Or(cmp.Compare(b.row.Started, a.row.Started), cmp.Compare(a.task, b.task))
}

// movable reports whether the task can be stopped and run again.
func (l *lease) movable(now tackclock.Time) bool {
	return l.row.Idempotent && l.sent && !l.startArrivesBy.After(now) && l.row.State == tackfleet.TaskRunning
}

// drain evicts tasks from workers that are being drained or moved. Tasks that
// are expected to end soon may finish. Tasks that can't be run again are not
// evicted: they delay the drain until they end or the wave gives up.
func (t *tick) drain() {
	for _, l := range t.live {
		w := l.on
		if w == nil || l.ended || l.stage != stageRunning || !l.movable(t.now) {
			continue
		}
		if w.vm.State != tackfleet.VMDraining && w.vm.State != tackfleet.VMMoving {
			continue
		}
		left := t.cfg.FinishWithin - t.now.Sub(w.vm.Since)
		if !t.endsWithin(l, left) {
			t.evict(l, false)
		}
	}
}

// relieveWorkers evicts tasks from workers whose measured memory usage is too
// high, and ends the throttling of tasks where there is room again.
func (t *tick) relieveWorkers() {
	for _, l := range t.live {
		w := l.on
		if w == nil || l.ended || l.stage != stageRunning || l.throttled == 0 && !t.seemsThrottled(l) {
			continue
		}
		restored := l.need.cores - float64(l.throttled)
		if w.free.cores >= restored && t.order(l, VerbThrottle, Order{Cores: l.need.wholeCores()}) {
			w.free.cores -= restored
			l.throttled = 0
			l.maybeThrottled = false
		}
	}
	for _, w := range t.sorted {
		t.relieveMemory(w)
	}
}

// seemsThrottled reports whether a task seems to have been throttled by another
// leader.
func (t *tick) seemsThrottled(l *lease) bool {
	bound := float64(l.throttledCores())
	return l.maybeThrottled && l.used.known && l.used.cores <= bound*usageMargin && bound < l.need.cores
}

func (t *tick) relieveMemory(w *worker) {
	used := 0.0
	for _, l := range w.leases {
		used += l.used.memoryMB
		if l.stage != stageRunning {
			used -= l.used.memoryMB
		}
	}
	if used <= memoryLimit*float64(w.vm.MemoryMB) {
		return
	}
	for _, l := range slices.SortedFunc(slices.Values(w.leases), byEvictionOrder) {
		if used <= memoryLimit*float64(w.vm.MemoryMB) {
			return
		}
		if l.stage == stageRunning && l.movable(t.now) && l.row.Class != tackid.ClassUrgent {
			used -= l.used.memoryMB
			t.evict(l, false)
		}
	}
}

// byEvictionOrder orders batch tasks first, and then by start time, latest
// first.
func byEvictionOrder(a, b *lease) int {
	aBatch, bBatch := a.row.Class == tackid.ClassBatch, b.row.Class == tackid.ClassBatch
	if aBatch != bBatch {
		if aBatch {
			return -1
		}
		return 1
	}
	return byLatestStart(a, b)
}
