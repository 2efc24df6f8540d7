// Package tackplace decides which worker runs which task, and when a task has
// to give way.
//
// A worker runs a task under a lease that the leader renews, and the task's
// token fences older leases off. The fleet's state says which worker has a
// task; what else the Placer knows (when a lease surely ends, what tasks
// really use, which workers fail) it learns again after a change of leader.
package tackplace

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// Placer decides for the leader. The zero value is ready. It is not safe
	// for concurrent use.
	Placer struct {
		term uint64
		// began is the first decision of the term and base the revision that
		// the fleet was at then: tasks with a later token were given out by
		// this leader, and nobody else can have asked a worker to run them.
		began tackclock.Time
		base  tackid.Revision

		leases   map[tackid.Task]*lease
		promised map[tackid.Task]promise
		claims   map[tackid.Task]claim
		standing map[tackid.VM]*standing
		heard    map[tackid.VM]tackclock.Time
		learned  map[kind]*ratios
		onWorker map[tackid.VM]int
		count    int
	}

	// promise is room that a proposal takes that may still be applied.
	promise struct {
		worker tackid.VM
		need   need
		team   tackid.Team
		cores  int // as declared, for the quota
	}

	// claim keeps the room that is being made for an urgent task.
	claim struct {
		worker tackid.VM
		need   need
		until  tackclock.Time
	}

	// tick is one call of Decide.
	tick struct {
		*Placer
		v   View
		f   *tackfleet.State
		now tackclock.Time
		cfg Settings

		workers map[tackid.VM]*worker
		sorted  []*worker // by id
		pools   map[tackid.Pool]*pool
		live    []*lease            // by task
		held    map[tackid.Team]int // declared cores against the quota
		changes []tackfleet.TaskChange
		// ending are the tasks whose change this tick proposes.
		ending map[tackid.Task]bool
		orders [len(verbOrder)][]Order
		starts int
	}
)

// verbOrder is the order in which what is asked of workers goes out: what
// somebody waits for first.
var verbOrder = [...]Verb{VerbStart, VerbStop, VerbCheckpoint, VerbThrottle, VerbRenew}

// Decide returns what to do next. It is meant for the leader, a few times a
// second. A change it proposes may get lost or be refused: the next call sees
// the state as it is.
func (p *Placer) Decide(v View, cfg Settings) Decision {
	p.enter(&v)
	t := &tick{
		Placer: p, v: v, f: v.Fleet, now: v.Now, cfg: cfg.withDefaults(),
		workers: make(map[tackid.VM]*worker),
		pools:   make(map[tackid.Pool]*pool),
		held:    make(map[tackid.Team]int),
		ending:  make(map[tackid.Task]bool),
	}
	t.lookAtWorkers()
	t.lookAtTasks()
	t.takeAnswers()
	t.takeReports()
	t.keepLeases()
	t.fillWorkers()
	t.drain()
	t.relieve()
	t.place()
	return t.decision()
}

// Live returns the number of leases on the worker that could still be live at
// the last decision, those of cancelled tasks included.
func (p *Placer) Live(worker tackid.VM) int {
	return p.onWorker[worker]
}

// enter starts anew in a new term. What another leader asked of workers
// meanwhile is not known here, so nothing from before may be relied on.
func (p *Placer) enter(v *View) {
	p.count++
	if p.term == v.Term && p.leases != nil {
		return
	}
	*p = Placer{
		term: v.Term, began: v.Now, base: v.Fleet.Revision(), count: p.count,
		leases:   make(map[tackid.Task]*lease),
		promised: make(map[tackid.Task]promise),
		claims:   make(map[tackid.Task]claim),
		standing: make(map[tackid.VM]*standing),
		heard:    make(map[tackid.VM]tackclock.Time),
		learned:  make(map[kind]*ratios),
		onWorker: make(map[tackid.VM]int),
	}
}

// propose takes a task to its next state, unless this tick proposed one.
func (t *tick) propose(c tackfleet.TaskChange) {
	if t.ending[c.Task] {
		return
	}
	t.ending[c.Task] = true
	t.changes = append(t.changes, c)
}

// order asks a worker for something, if the last order of the lease was
// answered or can't be any more.
func (t *tick) order(l *lease, verb Verb, o Order) bool {
	if l.pending != "" && t.now.Sub(l.pendingAt) < t.cfg.OrderLimit {
		return false
	}
	l.pending, l.pendingAt = verb, t.now
	o.Worker, o.Task, o.Verb, o.Token = l.worker, l.task, verb, l.token
	t.send(o)
	return true
}

func (t *tick) send(o Order) {
	for i, verb := range verbOrder {
		if verb == o.Verb {
			t.orders[i] = append(t.orders[i], o)
		}
	}
}

func (t *tick) decision() Decision {
	var d Decision
	if len(t.changes) > 0 {
		d.Changes = []tackfleet.Change{{Tasks: t.changes}}
	}
	for _, orders := range t.orders {
		d.Orders = append(d.Orders, orders...)
	}
	return d
}
