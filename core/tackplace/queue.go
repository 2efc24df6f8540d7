package tackplace

import (
	"cmp"
	"fmt"
	"slices"

	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// depth is how many tasks of a team are looked at in one decision, of each
// class and pool.
const depth = 32

type (
	// pool is a pool's workers, and what waits for them.
	pool struct {
		workers []*worker
		largest need // by each measure
		unseen  bool // a VM has not announced its size yet
		queues  [3]map[line]*queue
		teams   map[tackid.Team]float64 // cores that each team's tasks take
		misfits []need                  // needs that found no room in this decision
	}

	// line tells the queues of a class apart. Tasks that want accelerators
	// wait by themselves, so that they don't hold up the others.
	line struct {
		team         tackid.Team
		accelerators bool
	}

	// queue is the first tasks of a line, by age.
	queue struct {
		line  line
		tasks []*tackfleet.Task
	}
)

// order of the classes.
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

// queue takes in a task that waits, or sets it aside if it can never run.
func (t *tick) queue(row *tackfleet.Task) {
	if t.isPromised(row.ID) {
		return
	}
	p := t.poolOf(row.Pool)
	if reason := p.tooLarge(row); reason != "" {
		t.propose(tackfleet.TaskChange{Task: row.ID, State: tackfleet.TaskSetAside, Reason: reason})
		return
	}
	class := min(int(row.Class), len(p.queues)-1)
	if p.queues[class] == nil {
		p.queues[class] = make(map[line]*queue)
	}
	at := line{row.Team, row.Accelerators > 0}
	q := p.queues[class][at]
	if q == nil {
		q = &queue{line: at}
		p.queues[class][at] = q
	}
	q.add(row)
}

func (t *tick) isPromised(id tackid.Task) bool {
	if len(t.promised) == 0 {
		return false
	}
	_, promised := t.promised[id]
	return promised
}

// tooLarge says why no worker of the pool could ever run the task. A worker
// that has not announced itself yet may be a larger one.
func (p *pool) tooLarge(row *tackfleet.Task) string {
	if len(p.workers) == 0 || p.unseen {
		return ""
	}
	declared := need{float64(row.Cores), row.MemoryMB, row.Accelerators}
	for _, w := range p.workers {
		if declared.within(need{float64(w.vm.Cores), w.vm.MemoryMB, w.vm.Accelerators}) {
			return ""
		}
	}
	return fmt.Sprintf("wants %d cores, %d MB and %d accelerators; no worker of pool %s has that, the largest are %.0f, %d and %d",
		row.Cores, row.MemoryMB, row.Accelerators, row.Pool, p.largest.cores, p.largest.memoryMB, p.largest.accelerators)
}

// add keeps the oldest tasks in order.
func (q *queue) add(row *tackfleet.Task) {
	if len(q.tasks) == depth && older(q.tasks[depth-1], row) <= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(q.tasks, row, older)
	q.tasks = slices.Insert(q.tasks, at, row)
	q.tasks = q.tasks[:min(len(q.tasks), depth)]
}

func older(a, b *tackfleet.Task) int {
	return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
}

// place gives waiting tasks to workers: the urgent first, then the team that
// has least of its pool.
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

// countTeams counts the cores that the teams have on each pool.
func (t *tick) countTeams() {
	for _, l := range t.live {
		if !l.gone {
			t.poolOf(l.row.Pool).teams[l.row.Team] += l.room().cores
		}
	}
}

// placeClass shares a pool's room among the teams: the next task is always
// that of the team with the least.
func (t *tick) placeClass(p *pool, class tackid.Class) {
	queues := make([]*queue, 0, len(p.queues[class]))
	for _, q := range p.queues[class] {
		queues = append(queues, q)
	}
	slices.SortFunc(queues, func(a, b *queue) int { return older(a.tasks[0], b.tasks[0]) })
	for len(queues) > 0 && t.starts < t.cfg.MaxStarts {
		least := 0
		for i, q := range queues {
			if p.teams[q.line.team] < p.teams[queues[least].line.team] {
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

// placeTask gives the task to a worker if there is one with room.
func (t *tick) placeTask(p *pool, row *tackfleet.Task) {
	q, bounded := t.f.Quota(row.Team)
	if bounded && q.Cores > 0 && t.held[row.Team]+row.Cores > q.Cores {
		return
	}
	n := t.needOf(row)
	n.memoryMB = min(n.memoryMB, max(row.MemoryMB, p.largest.memoryMB))
	n.cores = min(n.cores, p.largest.cores)
	w := t.roomFor(p, row, n)
	if w == nil && row.Class == tackid.ClassUrgent {
		w = t.makeRoom(p, row, n)
	}
	if w == nil {
		return
	}
	t.give(p, w, row, n)
}

// give proposes to run the task on the worker.
func (t *tick) give(p *pool, w *worker, row *tackfleet.Task, n need) {
	delete(t.claims, row.ID)
	w.take(n, row.Team)
	w.probed = w.probed || w.busy
	p.teams[row.Team] += n.cores
	t.held[row.Team] += row.Cores
	t.starts++
	t.promised[row.ID] = promise{worker: w.vm.ID, need: n, team: row.Team, cores: row.Cores}
	t.propose(tackfleet.TaskChange{Task: row.ID, State: tackfleet.TaskRunning, Worker: w.vm.ID, Token: row.Token})
}

// roomFor returns the worker to run the task on, or nil. Of those with room it
// takes one in a rack with few of the team's tasks, and of these the fullest,
// which leaves the large rooms for large tasks.
func (t *tick) roomFor(p *pool, row *tackfleet.Task, n need) *worker {
	for _, m := range p.misfits {
		if row.Class != tackid.ClassUrgent && m.within(n) {
			return nil
		}
	}
	var best *worker
	for _, w := range p.workers {
		if t.fits(w, row, n) && (best == nil || w.better(best, row)) {
			best = w
		}
	}
	if best == nil && row.Class != tackid.ClassUrgent {
		p.misfits = append(p.misfits, n)
	}
	return best
}

func (t *tick) fits(w *worker, row *tackfleet.Task, n need) bool {
	if !t.mayGet(w, row) {
		return false
	}
	free := w.free
	if c, claimed := t.claims[row.ID]; claimed && c.worker == w.vm.ID {
		free.more(c.need)
	}
	if row.Class != tackid.ClassUrgent {
		free.memoryMB -= min(w.vm.MemoryMB*t.cfg.Headroom/100, max(0, w.vm.MemoryMB-n.memoryMB))
	}
	return n.within(free)
}

// mayGet reports whether the worker may get the task at all. A worker that is
// avoided gets one task at a time that can be run again, and no urgent one.
func (t *tick) mayGet(w *worker, row *tackfleet.Task) bool {
	if !w.vm.Available() {
		return false
	}
	return !w.busy || !w.probed && row.Idempotent && row.Class != tackid.ClassUrgent && row.Tries == 0
}

func (w *worker) better(o *worker, row *tackfleet.Task) bool {
	if again, other := w.vm.ID == row.Worker, o.vm.ID == row.Worker; again != other {
		return other
	}
	if a, b := w.rack.teams[row.Team], o.rack.teams[row.Team]; a != b {
		return a < b
	}
	return w.free.cores < o.free.cores
}
