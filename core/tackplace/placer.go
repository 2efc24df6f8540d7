// Package tackplace decides which worker runs which task, and when a task is
// throttled or evicted to make room.
//
// A worker runs a task under a lease that the leader renews, and the task's
// token fences off older leases. The fleet's state says which worker has a
// task. Everything else that the Placer knows (when a lease has certainly run
// out, which resources tasks actually use, which workers fail) is learned again
// after a change of leader.
package tackplace

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// Placer makes the leader's placement decisions. The zero value is ready
	// to use. It is not safe for concurrent use.
	Placer struct {
		term uint64
		// began is the time of the first decision of the term, and base the
		// revision of the fleet at that time. Tasks with a later token were
		// assigned by this leader, so nobody else can have ordered a worker to
		// run them.
		began tackclock.Time
		base  tackid.Revision

		leases       map[tackid.Task]*lease
		live         []*lease // those of the last decision, by task
		proposed     map[tackid.Task]assignment
		reservations map[tackid.Task]reservation
		failures     map[tackid.VM]*failureRecord
		reported     map[tackid.VM]tackclock.Time
		learned      map[taskKind]*usageRatios
		leasesOn     map[tackid.VM]int
		tickCount    int
	}

	// assignment is a proposed assignment of a task to a worker that may still
	// be applied.
	assignment struct {
		worker tackid.VM
		need   resources
		team   tackid.Team
		cores  int // declared cores, which count against the quota
	}

	// reservation holds the resources that are being freed for an urgent task.
	reservation struct {
		worker tackid.VM
		need   resources
		until  tackclock.Time
	}

	// tick is one call of Decide.
	tick struct {
		*Placer
		v   View
		f   *tackfleet.State
		now tackclock.Time
		cfg Settings

		workers    map[tackid.VM]*worker
		sorted     []*worker // by id
		pools      map[tackid.Pool]*pool
		previous   []*lease            // leases of the last decision that leaseOf has not passed yet
		quotaCores map[tackid.Team]int // declared cores that count against the quota
		changes    []tackfleet.TaskChange
		// changing holds the tasks for which this tick proposes a change.
		changing map[tackid.Task]bool
		orders   [len(verbOrder)][]Order
		starts   int
	}
)

// verbOrder is the order in which orders are sent: the ones that somebody waits
// for come first.
var verbOrder = [...]Verb{VerbStart, VerbStop, VerbCheckpoint, VerbThrottle, VerbRenew}

// Decide returns what to do next. The leader calls it a few times a second. A
// proposed change may be lost or refused; the next call decides again from the
// state as it is then.
func (p *Placer) Decide(v View, cfg Settings) Decision {
	p.startTerm(&v)
	t := &tick{
		Placer: p, v: v, f: v.Fleet, now: v.Now, cfg: cfg.withDefaults(),
		workers:    make(map[tackid.VM]*worker),
		pools:      make(map[tackid.Pool]*pool),
		quotaCores: make(map[tackid.Team]int),
		changing:   make(map[tackid.Task]bool),
	}
	t.collectWorkers()
	t.collectTasks()
	t.processAnswers()
	t.processReports()
	t.updateLeases()
	t.fillWorkers()
	t.drain()
	t.relieveWorkers()
	t.place()
	return t.decision()
}

// Live returns the number of leases on the worker that may have been live at
// the last decision, including those of cancelled tasks.
func (p *Placer) Live(worker tackid.VM) int {
	return p.leasesOn[worker]
}

// startTerm resets the Placer in a new term. Another leader may have sent
// orders to workers meanwhile, so nothing learned earlier may be relied on.
func (p *Placer) startTerm(v *View) {
	p.tickCount++
	if p.term == v.Term && p.leases != nil {
		return
	}
	*p = Placer{
		term: v.Term, began: v.Now, base: v.Fleet.Revision(), tickCount: p.tickCount,
		leases:       make(map[tackid.Task]*lease),
		proposed:     make(map[tackid.Task]assignment),
		reservations: make(map[tackid.Task]reservation),
		failures:     make(map[tackid.VM]*failureRecord),
		reported:     make(map[tackid.VM]tackclock.Time),
		learned:      make(map[taskKind]*usageRatios),
		leasesOn:     make(map[tackid.VM]int),
	}
}

// propose adds a change of a task, unless this tick has already proposed one.
func (t *tick) propose(c tackfleet.TaskChange) {
	if t.changing[c.Task] {
		return
	}
	t.changing[c.Task] = true
	t.changes = append(t.changes, c)
}

// order sends an order to the lease's worker and reports whether it did. It
// does not while the last order of the lease may still be answered.
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
