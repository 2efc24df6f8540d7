package tackplace

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// processAnswers processes the answers to orders.
func (t *tick) processAnswers() {
	for i := range t.v.Answers {
		a := &t.v.Answers[i]
		l := t.leases[a.Task]
		if l == nil || l.token != a.Token {
			continue
		}
		t.processAnswer(l, a)
	}
}

func (t *tick) processAnswer(l *lease, a *Answer) {
	if a.Outcome == OutcomeDone {
		l.answered = t.now
	}
	if a.Verb == VerbStart {
		t.processStartAnswer(l, a)
		return
	}
	// A stop that failed is not resent at once.
	if l.pending == a.Verb && (a.Verb != VerbStop || a.Outcome == OutcomeNotSent) {
		l.pending = ""
	}
	switch {
	case a.Verb == VerbStop && a.Outcome == OutcomeDone:
		t.endStopped(l)
	case a.Verb == VerbCheckpoint && a.Outcome == OutcomeDone:
		l.checkpointed = true
	case a.Verb == VerbRenew && a.Outcome == OutcomeNotSent:
		l.renewed = 0
	case a.Verb == VerbRenew && a.Outcome == OutcomeUnknown:
		// Renew again soon, well before the lease runs out on the worker.
		l.renewed = l.renewed.Add(-t.cfg.Lease / 4)
	case a.Verb == VerbThrottle && a.Outcome != OutcomeDone && a.Cores == l.throttledCores():
		l.throttled = 0
	case a.Verb == VerbThrottle && a.Outcome != OutcomeDone:
		l.throttled = l.throttledCores()
	}
}

// processStartAnswer processes the answer to a start. If the outcome is
// unknown the start may still arrive, so startArrivesBy is not changed.
func (t *tick) processStartAnswer(l *lease, a *Answer) {
	if l.pending == VerbStart {
		l.pending = ""
	}
	switch {
	case a.Outcome == OutcomeDone:
		l.confirm()
	case l.resent:
		// Even if it refused, the worker may have the task from the first
		// start.
		l.resend = a.Outcome == OutcomeNotSent
	case a.Outcome == OutcomeUnknown:
		l.resend = l.row.Idempotent
	case a.Outcome == OutcomeRefused:
		t.markEnded(l)
		t.countFailure(l.worker)
		t.requeue(l, tackfleet.TryNotStarted, string(l.worker)+" refused it: "+a.Reason)
	case a.Outcome == OutcomeNotSent:
		l.sent = false
		if l.row.State != tackfleet.TaskRunning {
			t.markEnded(l)
		}
	}
}

// confirm records that the worker has or had the task. A start that arrives
// later under the same token has no effect.
func (l *lease) confirm() {
	l.confirmed = true
	l.startArrivesBy = 0
}

// endStopped ends a lease after its worker has stopped the task.
func (t *tick) endStopped(l *lease) {
	if l.row.State == tackfleet.TaskRunning {
		t.requeue(l, tackfleet.TryStopped, "made room on "+string(l.worker))
	}
	t.markEnded(l)
}

// markEnded records that the worker does not run the task any more.
func (t *tick) markEnded(l *lease) {
	l.expires = t.now
	l.ended = true
	if l.row.State != tackfleet.TaskRunning {
		l.dropped = true
		delete(t.leases, l.task)
	}
}

// processReports processes the reports on the workers' tasks.
func (t *tick) processReports() {
	if len(t.v.Reports) == 0 {
		return
	}
	on := make(map[tackid.VM][]*lease)
	for _, l := range t.live {
		on[l.worker] = append(on[l.worker], l)
	}
	for i := range t.v.Reports {
		r := &t.v.Reports[i]
		if r.RequestedAt.Before(t.reported[r.Worker]) {
			continue
		}
		t.reported[r.Worker] = r.RequestedAt
		t.processReport(r, on[r.Worker])
	}
}

func (t *tick) processReport(r *Report, on []*lease) {
	listed := make(map[tackid.Task]bool, len(r.Tasks))
	for i := range r.Tasks {
		u := &r.Tasks[i]
		l := t.leases[u.Task]
		if l == nil || l.token != u.Token {
			t.handleUnleased(r.Worker, u)
			continue
		}
		listed[u.Task] = true
		t.processUsage(l, u)
	}
	lost := false
	for _, l := range on {
		if !listed[l.task] && t.certainlyEnded(l, r.RequestedAt) {
			lost = lost || l.confirmed
			t.endUnlisted(l)
		}
	}
	if lost {
		// Count one failure for all tasks: the worker may just have been
		// restarted.
		t.countFailure(r.Worker)
	}
}

func (t *tick) processUsage(l *lease, u *Usage) {
	l.confirm()
	l.answered = t.now
	if !u.State.ended() {
		t.learn(l, u)
		return
	}
	if l.row.State == tackfleet.TaskRunning {
		t.endAs(l, u.State)
	}
	t.markEnded(l)
}

// endAs proposes the end of a try by the final state that its worker reported.
func (t *tick) endAs(l *lease, state UsageState) {
	switch {
	case state == StateDone:
		t.learnRunTime(l)
		t.clearFailures(l)
		t.finish(l, tackfleet.TaskChange{State: tackfleet.TaskDone})
	case state == StateStopped && l.stage != stageRunning:
		t.requeue(l, tackfleet.TryStopped, "made room on "+string(l.worker))
	case state == StateStopped:
		t.requeue(l, tackfleet.TryFailed, "stopped on "+string(l.worker)+" without our asking")
	default:
		t.countFailure(l.worker)
		t.requeue(l, tackfleet.TryFailed, "failed on "+string(l.worker))
	}
}

// certainlyEnded reports whether a report without the task, requested at asked,
// means that the task does not run any more. Otherwise the report may be older
// than the start.
func (t *tick) certainlyEnded(l *lease, asked tackclock.Time) bool {
	if !l.sent || l.ended {
		return false
	}
	startedBy := l.sentAt
	if !l.confirmed {
		startedBy = startedBy.Add(t.cfg.OrderLimit)
	}
	return asked.Add(-t.cfg.UsageLag).After(startedBy)
}

// endUnlisted ends a try because its worker does not know the task any more.
func (t *tick) endUnlisted(l *lease) {
	if l.row.State == tackfleet.TaskRunning {
		t.requeue(l, tackfleet.TryFailed, string(l.worker)+" has it no more")
	}
	t.markEnded(l)
}

// handleUnleased handles a task in a worker's report for which there is no
// lease.
func (t *tick) handleUnleased(vm tackid.VM, u *Usage) {
	row, ok := t.f.Task(u.Task)
	switch {
	case ok && row.State == tackfleet.TaskUnknown && row.Token == u.Token && u.State == StateDone:
		t.propose(tackfleet.TaskChange{Task: u.Task, State: tackfleet.TaskDone, Token: u.Token})
	case u.State.ended() || ok && row.Token == u.Token && row.State == tackfleet.TaskRunning:
	default:
		t.send(Order{Worker: vm, Task: u.Task, Verb: VerbStop, Token: u.Token})
	}
}
