package tackplace

import (
	"cmp"
	"fmt"
	"slices"

	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// queueDepth is the number of tasks of each queue that are considered in one
// decision.
const queueDepth = 32

type (
	// pool holds the workers of a pool and the tasks that wait for them.
	pool struct {
		workers     []*worker
		largest     resources // the largest amount of each resource that any worker has
		sizeUnknown bool      // a VM has not announced its size yet
		queues      [3]map[queueKey]*queue
		teams       map[tackid.Team]float64 // cores used by each team's tasks
		unmet       []resources             // requirements that no worker could meet in this decision
	}

	// queueKey identifies a queue within its class. Tasks that need accelerators
	// have queues of their own, so that they don't delay other tasks.
	queueKey struct {
		team         tackid.Team
		accelerators bool
	}

	// queue holds the oldest tasks with one key, oldest first.
	queue struct {
		key   queueKey
		tasks []*tackfleet.Task
	}
)

// classes lists the classes in the order in which their tasks are placed.
var classes = [...]tackid.Class{tackid.ClassUrgent, tackid.ClassNormal, tackid.ClassBatch}

func (t *tick) poolOf(id tackid.Pool) *pool {
	p := t.pools[id]
	if p == nil {
		p = &pool{teams: make(map[tackid.Team]float64)}
		t.pools[id] = p
	}
	return p
}

func (p *pool) add(w *worker) {
	p.workers = append(p.workers, w)
	p.largest.cores = max(p.largest.cores, w.free.cores)
	p.largest.memoryMB = max(p.largest.memoryMB, w.free.memoryMB)
	p.largest.accelerators = max(p.largest.accelerators, w.free.accelerators)
}

// queue adds a waiting task to its queue, or proposes to set it aside if it can
// never run.
func (t *tick) queue(row *tackfleet.Task) {
	if t.isProposed(row.ID) {
		return
	}
	p := t.poolOf(row.Pool)
	if reason := p.tooLarge(row); reason != "" {
		t.propose(tackfleet.TaskChange{Task: row.ID, State: tackfleet.TaskSetAside, Reason: reason})
		return
	}
	class := min(int(row.Class), len(p.queues)-1)
	if p.queues[class] == nil {
		p.queues[class] = make(map[queueKey]*queue)
	}
	at := queueKey{row.Team, row.Accelerators > 0}
	q := p.queues[class][at]
	if q == nil {
		q = &queue{key: at}
		p.queues[class][at] = q
	}
	q.add(row)
}

func (t *tick) isProposed(id tackid.Task) bool {
	if len(t.proposed) == 0 {
		return false
	}
	_, proposed := t.proposed[id]
	return proposed
}

// tooLarge returns the reason why no worker of the pool can ever run the task,
// or "" if one may. A worker that has not announced itself yet may be large
// enough.
func (p *pool) tooLarge(row *tackfleet.Task) string {
	if len(p.workers) == 0 || p.sizeUnknown {
		return ""
	}
	declared := resources{float64(row.Cores), row.MemoryMB, row.Accelerators}
	for _, w := range p.workers {
		if declared.fitsIn(resources{float64(w.vm.Cores), w.vm.MemoryMB, w.vm.Accelerators}) {
			return ""
		}
	}
	return fmt.Sprintf("wants %d cores, %d MB and %d accelerators; no worker of pool %s has that, the largest are %.0f, %d and %d",
		row.Cores, row.MemoryMB, row.Accelerators, row.Pool, p.largest.cores, p.largest.memoryMB, p.largest.accelerators)
}

// add adds a task to the queue, which keeps the oldest depth tasks.
func (q *queue) add(row *tackfleet.Task) {
	if len(q.tasks) == queueDepth && older(q.tasks[queueDepth-1], row) <= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(q.tasks, row, older)
	q.tasks = slices.Insert(q.tasks, at, row)
	q.tasks = q.tasks[:min(len(q.tasks), queueDepth)]
}

func older(a, b *tackfleet.Task) int {
	return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
}

// place assigns waiting tasks to workers, by class and then by team: the team
// that uses the fewest cores of the pool comes first.
func (t *tick) place() {
	ids := make([]tackid.Pool, 0, len(t.pools))
	for id := range t.pools {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	t.countTeams()
	for _, class := range classes {
		for _, id := range ids {
			t.placeClass(t.pools[id], class)
		}
	}
}

// countTeams sums up the cores that the teams use on each pool.
func (t *tick) countTeams() {
	for _, l := range t.live {
		if !l.ended {
			t.poolOf(l.row.Pool).teams[l.row.Team] += l.allocated().cores
		}
	}
}

// placeClass places the tasks of one class. The next task is always that of the
// team that uses the fewest cores of the pool.
func (t *tick) placeClass(p *pool, class tackid.Class) {
	queues := make([]*queue, 0, len(p.queues[class]))
	for _, q := range p.queues[class] {
		queues = append(queues, q)
	}
	slices.SortFunc(queues, func(a, b *queue) int { return older(a.tasks[0], b.tasks[0]) })
	for len(queues) > 0 && t.starts < t.cfg.MaxStarts {
		least := 0
		for i, q := range queues {
			if p.teams[q.key.team] < p.teams[queues[least].key.team] {
				least = i
			}
		}
		q := queues[least]
		t.placeTask(p, q.tasks[0])
		if q.tasks = q.tasks[1:]; len(q.tasks) == 0 {
			queues = slices.Delete(queues, least, least+1)
		}
	}
}

// placeTask assigns the task to a worker if there is one with room and the
// team's quota allows it.
func (t *tick) placeTask(p *pool, row *tackfleet.Task) {
	q, bounded := t.f.Quota(row.Team)
	if bounded && q.Cores > 0 && t.quotaCores[row.Team]+row.Cores > q.Cores {
		return
	}
	n := t.estimate(row)
	n.memoryMB = min(n.memoryMB, max(row.MemoryMB, p.largest.memoryMB))
	n.cores = min(n.cores, p.largest.cores)
	w := t.findWorker(p, row, n)
	if w == nil && row.Class == tackid.ClassUrgent {
		w = t.makeRoom(p, row, n)
	}
	if w == nil {
		return
	}
	t.assign(p, w, row, n)
}

// assign proposes the assignment of the task to the worker.
func (t *tick) assign(p *pool, w *worker, row *tackfleet.Task, n resources) {
	delete(t.reservations, row.ID)
	w.take(n, row.Team)
	w.probing = w.probing || w.avoided
	p.teams[row.Team] += n.cores
	t.quotaCores[row.Team] += row.Cores
	t.starts++
	t.proposed[row.ID] = assignment{worker: w.vm.ID, need: n, team: row.Team, cores: row.Cores}
	t.propose(tackfleet.TaskChange{Task: row.ID, State: tackfleet.TaskRunning, Worker: w.vm.ID, Token: row.Token})
}

// findWorker returns the worker to run the task on, or nil. Of the workers
// with room it avoids the one of the task's last try, then prefers the rack
// with the fewest of the team's tasks, then the worker with the fewest free
// cores, which keeps large gaps for large tasks.
func (t *tick) findWorker(p *pool, row *tackfleet.Task, n resources) *worker {
	for _, m := range p.unmet {
		if row.Class != tackid.ClassUrgent && m.fitsIn(n) {
			return nil
		}
	}
	var best *worker
	for _, w := range p.workers {
		if t.fits(w, row, n) && (best == nil || w.preferredTo(best, row)) {
			best = w
		}
	}
	if best == nil && row.Class != tackid.ClassUrgent {
		p.unmet = append(p.unmet, n)
	}
	return best
}

// fits reports whether the worker may get the task and has room for it. Tasks
// that are not urgent must leave some memory free.
func (t *tick) fits(w *worker, row *tackfleet.Task, n resources) bool {
	if !t.eligible(w, row) {
		return false
	}
	free := w.free
	if c, reserved := t.reservations[row.ID]; reserved && c.worker == w.vm.ID {
		free.add(c.need)
	}
	if row.Class != tackid.ClassUrgent {
		free.memoryMB -= min(w.vm.MemoryMB*t.cfg.Headroom/100, max(0, w.vm.MemoryMB-n.memoryMB))
	}
	return n.fitsIn(free)
}

// eligible reports whether the worker may get the task, regardless of room. A
// worker that is avoided gets only one task at a time as a probe, which must be
// idempotent, not urgent and in its first try.
func (t *tick) eligible(w *worker, row *tackfleet.Task) bool {
	if !w.vm.Available() {
		return false
	}
	return !w.avoided || !w.probing && row.Idempotent && row.Class != tackid.ClassUrgent && row.Tries == 0
}

// preferredTo reports whether w is preferred to o for the task.
func (w *worker) preferredTo(o *worker, row *tackfleet.Task) bool {
	if tried, otherTried := w.vm.ID == row.Worker, o.vm.ID == row.Worker; tried != otherTried {
		return otherTried
	}
	if a, b := w.rack.teams[row.Team], o.rack.teams[row.Team]; a != b {
		return a < b
	}
	return w.free.cores < o.free.cores
}
