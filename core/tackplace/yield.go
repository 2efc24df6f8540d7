package tackplace

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// claimFor is how long room is kept for an urgent task while others are
	// taken off; after that another worker is tried.
	claimFor = 2 * tackclock.Second
	// fullMemory is the part of a worker's memory, measured, above which
	// tasks are taken off.
	fullMemory = 0.95
)

// makeRoom finds a worker on which work of the batch class gives way to an
// urgent task. It returns the worker where that is so at once, by throttling,
// and otherwise keeps the room that is being made.
func (t *tick) makeRoom(p *pool, row *tackfleet.Task, n need) *worker {
	if _, waits := t.claims[row.ID]; waits {
		return nil
	}
	if w := t.throttled(p, row, n); w != nil {
		return w
	}
	var best *worker
	var least []*lease
	for _, w := range p.workers {
		if !t.mayGet(w, row) {
			continue
		}
		leave := w.victims(t.now, n)
		if leave != nil && (best == nil || len(leave) < len(least)) {
			best, least = w, leave
		}
	}
	if best == nil {
		return nil
	}
	for _, l := range least {
		t.yield(l, true)
	}
	t.claims[row.ID] = claim{worker: best.vm.ID, need: n, until: t.now.Add(claimFor)}
	best.free.less(n)
	return nil
}

// throttled bounds batch tasks on a worker that lacks nothing but cores.
// Nothing has to be saved or stopped, so the urgent task starts at once.
func (t *tick) throttled(p *pool, row *tackfleet.Task, n need) *worker {
	for _, w := range p.workers {
		missing := n.cores - w.free.cores
		if !t.mayGet(w, row) || n.memoryMB > w.free.memoryMB || n.accelerators > w.free.accelerators {
			continue
		}
		if w.spareable() < missing {
			continue
		}
		t.throttle(w, missing)
		return w
	}
	return nil
}

// bound returns the cores that a lease can be throttled to.
func (l *lease) bound() int {
	return max(1, l.row.Cores/4)
}

// spare returns the cores that throttling a lease gives.
func (l *lease) spare() float64 {
	if l.row.Class != tackid.ClassBatch || l.throttled > 0 || l.pending != "" || !l.shown || l.stage != stageRunning {
		return 0
	}
	return max(0, l.need.cores-float64(l.bound()))
}

func (w *worker) spareable() float64 {
	sum := 0.0
	for _, l := range w.leases {
		sum += l.spare()
	}
	return sum
}

func (t *tick) throttle(w *worker, missing float64) {
	for _, l := range w.leases {
		gives := l.spare()
		if missing <= 0 || gives == 0 {
			continue
		}
		if t.order(l, VerbThrottle, Order{Cores: l.bound()}) {
			l.throttled = l.bound()
			w.free.cores += gives
			missing -= gives
		}
	}
}

// victims returns the batch tasks to take off for n to fit, the youngest
// first, or nil if that is not enough.
func (w *worker) victims(now tackclock.Time, n need) []*lease {
	free := w.free
	var leave []*lease
	for _, l := range slices.SortedFunc(slices.Values(w.leases), younger) {
		if n.within(free) {
			break
		}
		if l.stage != stageRunning || !l.movable(now) || l.row.Class != tackid.ClassBatch {
			continue
		}
		leave = append(leave, l)
		free.more(l.room())
	}
	if !n.within(free) {
		return nil
	}
	return leave
}

func younger(a, b *lease) int {
	return cmp.Or(cmp.Compare(b.row.Started, a.row.Started), cmp.Compare(a.task, b.task))
}

// movable reports whether the task can be stopped and run again.
func (l *lease) movable(now tackclock.Time) bool {
	return l.row.Idempotent && l.sent && !l.startable.After(now) && l.row.State == tackfleet.TaskRunning
}

// drain empties workers that are to get no work. What is expected to end soon
// is let end; of the rest, what can be run again is taken off. Another
// non-idempotent task holds the drain until it ends or the wave gives up.
func (t *tick) drain() {
	for _, l := range t.live {
		w := l.on
		if w == nil || l.gone || l.stage != stageRunning || !l.movable(t.now) {
			continue
		}
		if w.vm.State != tackfleet.VMDraining && w.vm.State != tackfleet.VMMoving {
			continue
		}
		left := t.cfg.FinishWithin - t.now.Sub(w.vm.Since)
		if !t.endsWithin(l, left) {
			t.yield(l, false)
		}
	}
}

// relieve takes tasks off workers whose memory was measured to run full, and
// gives throttled tasks their cores back where there is room again.
func (t *tick) relieve() {
	for _, l := range t.live {
		w := l.on
		if w == nil || l.gone || l.stage != stageRunning || l.throttled == 0 && !t.heldBack(l) {
			continue
		}
		gives := l.need.cores - float64(l.throttled)
		if w.free.cores >= gives && t.order(l, VerbThrottle, Order{Cores: l.need.wholeCores()}) {
			w.free.cores -= gives
			l.throttled = 0
			l.restore = false
		}
	}
	for _, w := range t.sorted {
		t.relieveMemory(w)
	}
}

// heldBack reports whether a task seems to be throttled by another leader.
func (t *tick) heldBack(l *lease) bool {
	bound := float64(l.bound())
	return l.restore && l.used.known && l.used.cores <= bound*spare && bound < l.need.cores
}

func (t *tick) relieveMemory(w *worker) {
	used := 0.0
	for _, l := range w.leases {
		used += l.used.memoryMB
		if l.stage != stageRunning {
			used -= l.used.memoryMB
		}
	}
	if used <= fullMemory*float64(w.vm.MemoryMB) {
		return
	}
	for _, l := range slices.SortedFunc(slices.Values(w.leases), leastClass) {
		if used <= fullMemory*float64(w.vm.MemoryMB) {
			return
		}
		if l.stage == stageRunning && l.movable(t.now) && l.row.Class != tackid.ClassUrgent {
			used -= l.used.memoryMB
			t.yield(l, false)
		}
	}
}

// leastClass puts batch work first, and the younger of equals.
func leastClass(a, b *lease) int {
	aBatch, bBatch := a.row.Class == tackid.ClassBatch, b.row.Class == tackid.ClassBatch
	if aBatch != bBatch {
		if aBatch {
			return -1
		}
		return 1
	}
	return younger(a, b)
}
