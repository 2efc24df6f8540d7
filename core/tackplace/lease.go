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

// resendAfter is how long to wait for an answer before resending a start, or a
// stop for which urgent work is waiting.
const resendAfter = 500 * tackclock.Millisecond

type (
	// stage is a step of evicting a task from its worker.
	stage uint8

	// lease is the right of a worker to run a task. It lasts until the worker
	// reports that the task has ended, or until it expires.
	lease struct {
		task   tackid.Task
		worker tackid.VM
		token  tackid.Token
		row    *tackfleet.Task
		on     *worker // in the current tick; nil if it is not known
		need   resources

		// expires is the time at which the lease has certainly run out.
		expires tackclock.Time
		// renewed is when a renewal was last sent, answered when the worker
		// last answered for this task.
		renewed  tackclock.Time
		answered tackclock.Time
		// sent reports that a start may have been sent, at sentAt.
		sent      bool
		sentAt    tackclock.Time
		confirmed bool // the worker is known to have or have had the task
		// startArrivesBy is the time until which a start may still reach the
		// worker. A stop sent earlier might be answered before the start
		// arrives and runs the task.
		startArrivesBy tackclock.Time
		ended          bool // the try has ended
		// dropped reports that the lease of a cancelled task has ended.
		dropped bool
		// resend requests that the start is resent under the same token.
		resend bool
		resent bool
		// maybeThrottled reports that another leader may have throttled the task.
		maybeThrottled bool

		stage        stage
		stageSince   tackclock.Time
		urgent       bool // an urgent task waits for the task to be evicted
		checkpointed bool

		pending   Verb
		pendingAt tackclock.Time
		throttled int                  // number of cores the task is throttled to, or 0
		endChange tackfleet.TaskChange // the change proposed at the end of the try
		used      usage
		lastTick  int // the tick in which the lease was last found in the state
	}

	// usage is the last measured number of cores and the largest measured
	// memory of a task.
	usage struct {
		known    bool
		cores    float64
		memoryMB float64
	}
)

// collectTasks updates the leases and queues from the fleet's state.
func (t *tick) collectTasks() {
	if !t.v.Pending {
		clear(t.proposed)
	}
	t.previous, t.live = t.live, make([]*lease, 0, len(t.live)+1)
	last := t.previous
	for row := range t.f.EachTask() {
		switch row.State {
		case tackfleet.TaskRunning:
			t.trackRunning(row)
		case tackfleet.TaskCancelled:
			t.trackCancelled(row)
		case tackfleet.TaskQueued:
			t.queue(row)
		}
		if row.State != tackfleet.TaskQueued && len(t.proposed) > 0 {
			delete(t.proposed, row.ID)
		}
	}
	for _, l := range last {
		if l.lastTick != t.tickCount && t.leases[l.task] == l {
			delete(t.leases, l.task)
		}
	}
}

// leaseOf returns the lease that the task had at the last decision, or nil. It
// must be called in the order of the task ids: like a merge, it walks through
// the earlier leases only once.
func (t *tick) leaseOf(id tackid.Task) *lease {
	for len(t.previous) > 0 && t.previous[0].task < id {
		t.previous = t.previous[1:]
	}
	if len(t.previous) == 0 || t.previous[0].task != id || t.previous[0].dropped {
		return nil
	}
	return t.previous[0]
}

// trackRunning updates the lease of a running task, and creates it if there is
// none.
func (t *tick) trackRunning(row *tackfleet.Task) {
	l := t.leaseOf(row.ID)
	if l == nil || l.token != row.Token {
		l = t.newLease(row)
		t.leases[row.ID] = l
	}
	l.row = row
	l.lastTick = t.tickCount
	l.on = t.workers[l.worker]
	t.live = append(t.live, l)
	t.quotaCores[row.Team] += row.Cores
}

// newLease returns the lease of a task that was assigned to its worker. A lease
// of an earlier leader may have been renewed just before this term began.
func (t *tick) newLease(row *tackfleet.Task) *lease {
	l := &lease{task: row.ID, worker: row.Worker, token: row.Token, row: row, answered: t.now, need: t.estimate(row)}
	if t.inherited(row) {
		l.sent = true
		l.sentAt = t.began
		l.startArrivesBy = t.began.Add(t.cfg.OrderLimit)
		l.resend = row.Idempotent && t.began.Sub(row.Started) < t.cfg.Lease
		l.maybeThrottled = row.Class == tackid.ClassBatch
		l.expires = t.cfg.leaseEnd(t.began)
		// Spread the first renewals, which would otherwise all be due at once.
		l.renewed = t.now.Add(tackclock.Duration(row.Token)%(t.cfg.Lease/6) - t.cfg.Lease/3)
	}
	return l
}

// inherited reports whether another leader assigned the task to its worker.
func (p *Placer) inherited(row *tackfleet.Task) bool {
	return tackid.Revision(row.Token) <= p.base
}

// trackCancelled keeps the lease of a task that was cancelled while it ran.
//
// The fleet's counts do not include a cancelled task, but its worker runs it
// until it is told to stop. Without the lease the task's resources could be
// assigned twice, and a drained VM could be rebooted while the task still runs.
func (t *tick) trackCancelled(row *tackfleet.Task) {
	l := t.leaseOf(row.ID)
	if l != nil && l.token == row.Token {
		l.row = row
		l.lastTick = t.tickCount
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
	t.trackRunning(row)
	t.quotaCores[row.Team] -= row.Cores
}

// updateLeases starts, renews and ends the leases as needed.
func (t *tick) updateLeases() {
	for _, l := range t.live {
		switch {
		case l.row.State != tackfleet.TaskRunning:
			t.endCancelled(l)
		case l.ended:
			t.proposeEndAgain(l)
		case !l.sent:
			t.start(l)
		case l.resend || t.startUnanswered(l):
			t.resendStart(l)
		case !l.expires.After(t.now):
			t.expire(l)
		case l.stage == stageStop:
			t.stop(l)
		case l.stage == stageCheckpoint:
			t.awaitCheckpoint(l)
		default:
			t.renew(l)
		}
	}
}

// start orders the worker to run a task. The start of a task that is not
// idempotent is sent only once: if only the answer was lost, a second start
// could run the task twice.
func (t *tick) start(l *lease) {
	w := l.on
	if w == nil || !w.vm.Available() {
		t.requeue(l, tackfleet.TryNotStarted, "worker left before the start")
		return
	}
	l.sent = true
	l.sentAt = t.now
	l.startArrivesBy = t.now.Add(t.cfg.OrderLimit)
	l.expires = t.cfg.leaseEnd(t.now)
	l.renewed = t.now
	t.order(l, VerbStart, Order{Lease: t.cfg.Lease, Cores: l.need.wholeCores(), MemoryMB: l.need.memoryMB})
}

// startUnanswered reports whether the start of an idempotent task has been
// waiting for an answer for too long.
func (t *tick) startUnanswered(l *lease) bool {
	return l.row.Idempotent && l.pending == VerbStart && !l.confirmed && t.now.Sub(l.pendingAt) >= resendAfter
}

// resendStart resends a start that may have been lost, or that another leader
// may not have sent. The token is the same, so a worker that already has the
// task continues with it. Waiting for the worker's report instead would delay
// urgent work by UsageLag.
func (t *tick) resendStart(l *lease) {
	l.resend = false
	l.pending = ""
	if w := l.on; w == nil || !w.vm.Available() || l.confirmed {
		return
	}
	l.sentAt = t.now
	l.startArrivesBy = t.now.Add(t.cfg.OrderLimit)
	l.expires = max(l.expires, t.cfg.leaseEnd(t.now))
	l.renewed = t.now
	l.resent = true
	t.order(l, VerbStart, Order{Lease: t.cfg.Lease, Cores: l.need.wholeCores(), MemoryMB: l.need.memoryMB})
}

// renew renews a lease when a third of it has passed, unless its worker is
// silent.
func (t *tick) renew(l *lease) {
	if t.now.Sub(l.renewed) < t.cfg.Lease/3 || t.workerSilent(l) {
		return
	}
	if t.order(l, VerbRenew, Order{Lease: t.cfg.Lease}) {
		l.renewed = t.now
		l.expires = max(l.expires, t.cfg.leaseEnd(t.now))
	}
}

// workerSilent reports whether the worker of a lease is neither serving nor
// answering. Its leases are left to run out, since only then the tasks have
// certainly ended.
func (t *tick) workerSilent(l *lease) bool {
	w := l.on
	if w != nil && w.vm.Health == tackfleet.HealthServing {
		return false
	}
	return t.now.Sub(max(l.answered, t.reported[l.worker])) >= t.cfg.SilenceLimit
}

// expire ends a try whose lease has certainly run out.
func (t *tick) expire(l *lease) {
	t.requeue(l, tackfleet.TryFailed, "lease ran out on "+string(l.worker))
}

// proposeEndAgain proposes the end of a try again, in case the first proposal
// was lost.
func (t *tick) proposeEndAgain(l *lease) {
	if !t.v.Pending && l.endChange.Task != "" {
		t.propose(l.endChange)
	}
}

// requeue proposes the end of a try that did not complete the task. The fleet
// decides whether the task is tried again.
func (t *tick) requeue(l *lease, end tackfleet.TryEnd, reason string) {
	t.finish(l, tackfleet.TaskChange{
		State: tackfleet.TaskQueued, End: end, Reason: reason, Checkpointed: l.checkpointed,
	})
}

// finish proposes the end of a try. No more orders are sent to its worker,
// even if the proposal takes long to be applied: a start sent meanwhile could
// run the task after the fleet has assigned it to another worker.
func (t *tick) finish(l *lease, c tackfleet.TaskChange) {
	c.Task, c.Token = l.task, l.token
	l.endChange = c
	l.ended = true
	t.propose(c)
}

// endCancelled stops a cancelled task. It sends one stop and repeats it only
// if it is not answered, so that many cancellations at once do not cause more
// orders than tasks.
func (t *tick) endCancelled(l *lease) {
	if !l.sent || !l.expires.After(t.now) {
		t.markEnded(l)
		return
	}
	if !l.startArrivesBy.After(t.now) {
		t.order(l, VerbStop, Order{})
	}
}

// evict starts to evict a task from its worker.
func (t *tick) evict(l *lease, urgent bool) {
	l.urgent = l.urgent || urgent
	if l.stage != stageRunning || !l.movable(t.now) {
		return
	}
	l.stage = stageCheckpoint
	l.stageSince = t.now
	l.pending = ""
	t.order(l, VerbCheckpoint, Order{})
}

// awaitCheckpoint stops a task once its work is saved, or if saving takes too
// long.
func (t *tick) awaitCheckpoint(l *lease) {
	limit := t.cfg.OrderLimit
	if l.urgent {
		limit = t.cfg.CheckpointLimit
	}
	if l.pending == VerbCheckpoint && t.now.Sub(l.stageSince) < limit {
		return
	}
	l.stage = stageStop
	l.pending = ""
	t.stop(l)
}

// stop orders the worker to end a task. The lease is not renewed any more, so
// the task ends even if the order is never answered.
func (t *tick) stop(l *lease) {
	if l.urgent && t.now.Sub(l.pendingAt) >= resendAfter {
		l.pending = ""
	}
	t.order(l, VerbStop, Order{})
}
