package tackplace

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	stageRunning stage = iota
	stageCheckpoint
	stageStop
)

// hurry is how long an answer is waited for before a start is sent again, or a
// stop while urgent work waits.
const hurry = 500 * tackclock.Millisecond

type (
	// stage is where a lease stands on its way to its end.
	stage uint8

	// lease is a task on a worker that may run there. It lasts until the
	// worker said that the task ended, or until has passed.
	lease struct {
		task   tackid.Task
		worker tackid.VM
		token  tackid.Token
		row    *tackfleet.Task
		on     *worker // as of the tick under way; nil where it is not known
		need   need

		// until is when the lease has surely run out.
		until tackclock.Time
		// renewed is when a renewal was last sent, answered when the worker
		// last answered for this task.
		renewed  tackclock.Time
		answered tackclock.Time
		// sent says that a start may have left, at the time sentAt.
		sent   bool
		sentAt tackclock.Time
		shown  bool // the worker was seen to have the task
		// startable is until when a start may still reach the worker. A stop
		// that came before it would be answered, and the task then run.
		startable tackclock.Time
		gone      bool // the try is over
		// again has the start sent once more under the same token.
		again  bool
		resent bool
		// restore says that another leader may have throttled the task.
		restore bool

		stage        stage
		stageAt      tackclock.Time
		hurried      bool // an urgent task waits for the room
		checkpointed bool

		pending   Verb
		pendingAt tackclock.Time
		throttled int                  // cores it was bounded to, 0 for none
		end       tackfleet.TaskChange // what was last proposed of it
		used      usage
		seen      int
	}

	// usage is what a task was measured to use, at most.
	usage struct {
		known    bool
		cores    float64
		memoryMB float64
	}
)

// lookAtTasks brings the leases up to the fleet's state.
func (t *tick) lookAtTasks() {
	if !t.v.Pending {
		clear(t.promised)
	}
	for row := range t.f.EachTask() {
		switch row.State {
		case tackfleet.TaskRunning:
			t.follow(row)
		case tackfleet.TaskCancelled:
			t.followCancelled(row)
		case tackfleet.TaskQueued:
			t.queue(row)
		}
		if row.State != tackfleet.TaskQueued && len(t.promised) > 0 {
			delete(t.promised, row.ID)
		}
	}
	for id, l := range t.leases {
		if l.seen != t.count {
			delete(t.leases, id)
		}
	}
}

// follow keeps the lease of a running task.
func (t *tick) follow(row *tackfleet.Task) {
	l := t.leases[row.ID]
	if l == nil || l.token != row.Token {
		l = t.newLease(row)
		t.leases[row.ID] = l
	}
	l.row = row
	l.seen = t.count
	l.on = t.workers[l.worker]
	t.live = append(t.live, l)
	t.held[row.Team] += row.Cores
}

// newLease returns the lease of a task that was given to its worker. One from
// an earlier leader may have been renewed just before this term began.
func (t *tick) newLease(row *tackfleet.Task) *lease {
	l := &lease{task: row.ID, worker: row.Worker, token: row.Token, row: row, answered: t.now, need: t.needOf(row)}
	if t.inherited(row) {
		l.sent = true
		l.sentAt = t.began
		l.startable = t.began.Add(t.cfg.OrderLimit)
		l.again = row.Idempotent && t.began.Sub(row.Started) < t.cfg.Lease
		l.restore = row.Class == tackid.ClassBatch
		l.until = t.cfg.outlives(t.began)
		// Spread the first renewals: they would all be due at once.
		l.renewed = t.now.Add(tackclock.Duration(row.Token)%(t.cfg.Lease/6) - t.cfg.Lease/3)
	}
	return l
}

// inherited reports whether another leader gave the task to its worker.
func (p *Placer) inherited(row *tackfleet.Task) bool {
	return tackid.Revision(row.Token) <= p.base
}

// followCancelled keeps the lease of a task that was cancelled while it ran.
//
// A cancelled task leaves the fleet's counts at once, while its worker goes on
// until it is told. Without this its room would be given away twice, and a
// drained VM rebooted under it.
func (t *tick) followCancelled(row *tackfleet.Task) {
	l := t.leases[row.ID]
	if l != nil && l.token == row.Token {
		l.row = row
		l.seen = t.count
		l.on = t.workers[l.worker]
		t.live = append(t.live, l)
		return
	}
	if l != nil || row.Worker == "" || !t.inherited(row) || t.now.Sub(t.began) > 0 {
		return
	}
	if row.Ended.Before(t.now.Add(-t.cfg.OrderLimit - 2*t.cfg.Lease)) {
		return
	}
	t.follow(row)
	t.held[row.Team] -= row.Cores
}

// keepLeases starts, renews and ends leases.
func (t *tick) keepLeases() {
	for _, l := range t.live {
		switch {
		case l.row.State != tackfleet.TaskRunning:
			t.endCancelled(l)
		case l.gone:
			t.repeatEnd(l)
		case !l.sent:
			t.start(l)
		case l.again || t.unanswered(l):
			t.startAgain(l)
		case !l.until.After(t.now):
			t.lost(l)
		case l.stage == stageStop:
			t.stop(l)
		case l.stage == stageCheckpoint:
			t.awaitCheckpoint(l)
		default:
			t.renew(l)
		}
	}
}

// start has the worker run a task. For one that is not idempotent the order is
// sent once: after an answer that was lost, a second could run it twice.
func (t *tick) start(l *lease) {
	w := l.on
	if w == nil || !w.vm.Available() {
		t.requeue(l, tackfleet.TryNotStarted, "worker left before the start")
		return
	}
	l.sent = true
	l.sentAt = t.now
	l.startable = t.now.Add(t.cfg.OrderLimit)
	l.until = t.cfg.outlives(t.now)
	l.renewed = t.now
	t.order(l, VerbStart, Order{Lease: t.cfg.Lease, Cores: l.need.wholeCores(), MemoryMB: l.need.memoryMB})
}

// unanswered reports whether the start of a task that may be run again waits
// for its answer too long.
func (t *tick) unanswered(l *lease) bool {
	return l.row.Idempotent && l.pending == VerbStart && !l.shown && t.now.Sub(l.pendingAt) >= hurry
}

// startAgain sends the start of a task that may have got lost, or that another
// leader may not have sent any more. The token is the same, so a worker that
// has the task goes on with it; waiting for reports instead would hold up
// urgent work for UsageLag.
func (t *tick) startAgain(l *lease) {
	l.again = false
	l.pending = ""
	if w := l.on; w == nil || !w.vm.Available() || l.shown {
		return
	}
	l.sentAt = t.now
	l.startable = t.now.Add(t.cfg.OrderLimit)
	l.until = max(l.until, t.cfg.outlives(t.now))
	l.renewed = t.now
	l.resent = true
	t.order(l, VerbStart, Order{Lease: t.cfg.Lease, Cores: l.need.wholeCores(), MemoryMB: l.need.memoryMB})
}

// renew extends a lease in time, as long as its worker shows itself.
func (t *tick) renew(l *lease) {
	if t.now.Sub(l.renewed) < t.cfg.Lease/3 || t.silent(l) {
		return
	}
	if t.order(l, VerbRenew, Order{Lease: t.cfg.Lease}) {
		l.renewed = t.now
		l.until = max(l.until, t.cfg.outlives(t.now))
	}
}

// silent reports whether the worker of a lease neither serves nor answers. Its
// leases are left to run out, which is the only way to be sure of them.
func (t *tick) silent(l *lease) bool {
	w := l.on
	if w != nil && w.vm.Health == tackfleet.HealthServing {
		return false
	}
	return t.now.Sub(max(l.answered, t.heard[l.worker])) >= t.cfg.GiveUp
}

// lost gives a task back whose lease has surely run out.
func (t *tick) lost(l *lease) {
	t.requeue(l, tackfleet.TryFailed, "lease ran out on "+string(l.worker))
}

// repeatEnd proposes the end of a try again, in case the first got lost.
func (t *tick) repeatEnd(l *lease) {
	if !t.v.Pending && l.end.Task != "" {
		t.propose(l.end)
	}
}

// requeue ends a try. The fleet decides what becomes of the task.
func (t *tick) requeue(l *lease, end tackfleet.TryEnd, reason string) {
	t.finish(l, tackfleet.TaskChange{
		State: tackfleet.TaskQueued, End: end, Reason: reason, Checkpointed: l.checkpointed,
	})
}

// finish proposes how a try ended. Nothing more is asked of its worker, even
// if the proposal takes long: a start sent meanwhile would run the task after
// the fleet gave it to another worker.
func (t *tick) finish(l *lease, c tackfleet.TaskChange) {
	c.Task, c.Token = l.task, l.token
	l.end = c
	l.gone = true
	t.propose(c)
}

// endCancelled stops a cancelled task. One stop a task is sent, again only
// when it was not answered, so a burst costs no more than its number.
func (t *tick) endCancelled(l *lease) {
	if !l.sent || !l.until.After(t.now) {
		t.over(l)
		return
	}
	if !l.startable.After(t.now) {
		t.order(l, VerbStop, Order{})
	}
}

// yield starts to take a task off its worker.
func (t *tick) yield(l *lease, hurried bool) {
	l.hurried = l.hurried || hurried
	if l.stage != stageRunning || !l.movable(t.now) {
		return
	}
	l.stage = stageCheckpoint
	l.stageAt = t.now
	l.pending = ""
	t.order(l, VerbCheckpoint, Order{})
}

// awaitCheckpoint stops a task once its work is saved, or saving takes too
// long.
func (t *tick) awaitCheckpoint(l *lease) {
	limit := t.cfg.OrderLimit
	if l.hurried {
		limit = t.cfg.CheckpointLimit
	}
	if l.pending == VerbCheckpoint && t.now.Sub(l.stageAt) < limit {
		return
	}
	l.stage = stageStop
	l.pending = ""
	t.stop(l)
}

// stop has the worker end a task. It is not renewed any more, so it ends even
// if no answer ever comes.
func (t *tick) stop(l *lease) {
	if l.hurried && t.now.Sub(l.pendingAt) >= hurry {
		l.pending = ""
	}
	t.order(l, VerbStop, Order{})
}
