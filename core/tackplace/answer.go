package tackplace

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// takeAnswers takes in what became of the orders.
func (t *tick) takeAnswers() {
	for i := range t.v.Answers {
		a := &t.v.Answers[i]
		l := t.leases[a.Task]
		if l == nil || l.token != a.Token {
			continue
		}
		t.takeAnswer(l, a)
	}
}

func (t *tick) takeAnswer(l *lease, a *Answer) {
	if a.Outcome == OutcomeDone {
		l.answered = t.now
	}
	if a.Verb == VerbStart {
		t.startAnswered(l, a)
		return
	}
	// A stop that failed is sent again only after a while.
	if l.pending == a.Verb && (a.Verb != VerbStop || a.Outcome == OutcomeNotSent) {
		l.pending = ""
	}
	switch {
	case a.Verb == VerbStop && a.Outcome == OutcomeDone:
		t.stopped(l)
	case a.Verb == VerbCheckpoint && a.Outcome == OutcomeDone:
		l.checkpointed = true
	case a.Verb == VerbRenew && a.Outcome == OutcomeNotSent:
		l.renewed = 0
	case a.Verb == VerbRenew && a.Outcome == OutcomeUnknown:
		// Long before the worker ends the task by itself.
		l.renewed = l.renewed.Add(-t.cfg.Lease / 4)
	case a.Verb == VerbThrottle && a.Outcome != OutcomeDone && a.Cores == l.bound():
		l.throttled = 0
	case a.Verb == VerbThrottle && a.Outcome != OutcomeDone:
		l.throttled = l.bound()
	}
}

// startAnswered takes in the answer to a start. Without one the start may still
// arrive, so startable stays as it is.
func (t *tick) startAnswered(l *lease, a *Answer) {
	if l.pending == VerbStart {
		l.pending = ""
	}
	switch {
	case a.Outcome == OutcomeDone:
		l.showed()
	case l.resent:
		// Refused or not, the worker may have it from the first start.
		l.again = a.Outcome == OutcomeNotSent
	case a.Outcome == OutcomeUnknown:
		l.again = l.row.Idempotent
	case a.Outcome == OutcomeRefused:
		t.over(l)
		t.failedOn(l.worker)
		t.requeue(l, tackfleet.TryNotStarted, string(l.worker)+" refused it: "+a.Reason)
	case a.Outcome == OutcomeNotSent:
		l.sent = false
		if l.row.State != tackfleet.TaskRunning {
			t.over(l)
		}
	}
}

// showed notes that the worker has, or had, the task: a start that comes again
// under the same token does nothing.
func (l *lease) showed() {
	l.shown = true
	l.startable = 0
}

// stopped ends a lease whose task its worker has stopped.
func (t *tick) stopped(l *lease) {
	if l.row.State == tackfleet.TaskRunning {
		t.requeue(l, tackfleet.TryStopped, "made room on "+string(l.worker))
	}
	t.over(l)
}

// over notes that the worker has the task no more.
func (t *tick) over(l *lease) {
	l.until = t.now
	l.gone = true
	if l.row.State != tackfleet.TaskRunning {
		delete(t.leases, l.task)
	}
}

// takeReports takes in what workers say of their tasks.
func (t *tick) takeReports() {
	if len(t.v.Reports) == 0 {
		return
	}
	on := make(map[tackid.VM][]*lease)
	for _, l := range t.live {
		on[l.worker] = append(on[l.worker], l)
	}
	for i := range t.v.Reports {
		r := &t.v.Reports[i]
		if r.Asked.Before(t.heard[r.Worker]) {
			continue
		}
		t.heard[r.Worker] = r.Asked
		t.takeReport(r, on[r.Worker])
	}
}

func (t *tick) takeReport(r *Report, on []*lease) {
	listed := make(map[tackid.Task]bool, len(r.Tasks))
	for i := range r.Tasks {
		u := &r.Tasks[i]
		l := t.leases[u.Task]
		if l == nil || l.token != u.Token {
			t.stray(r.Worker, u)
			continue
		}
		listed[u.Task] = true
		t.takeUsage(l, u)
	}
	lost := false
	for _, l := range on {
		if !listed[l.task] && t.surelyGone(l, r.Asked) {
			lost = lost || l.shown
			t.vanished(l)
		}
	}
	if lost {
		// Once, however many: a worker that restarted is not one that fails
		// what it starts.
		t.failedOn(r.Worker)
	}
}

func (t *tick) takeUsage(l *lease, u *Usage) {
	l.showed()
	l.answered = t.now
	if !u.State.ended() {
		t.learn(l, u)
		return
	}
	if l.row.State == tackfleet.TaskRunning {
		t.endedAs(l, u.State)
	}
	t.over(l)
}

// endedAs proposes what a worker said of a task that ended there.
func (t *tick) endedAs(l *lease, state UsageState) {
	switch {
	case state == StateDone:
		t.learnTime(l)
		t.workedOn(l)
		t.finish(l, tackfleet.TaskChange{State: tackfleet.TaskDone})
	case state == StateStopped && l.stage != stageRunning:
		t.requeue(l, tackfleet.TryStopped, "made room on "+string(l.worker))
	case state == StateStopped:
		t.requeue(l, tackfleet.TryFailed, "stopped on "+string(l.worker)+" without our asking")
	default:
		t.failedOn(l.worker)
		t.requeue(l, tackfleet.TryFailed, "failed on "+string(l.worker))
	}
}

// surelyGone reports whether a list without the task shows that the task runs
// no more, rather than that the list is older than the start.
func (t *tick) surelyGone(l *lease, asked tackclock.Time) bool {
	if !l.sent || l.gone {
		return false
	}
	begun := l.sentAt
	if !l.shown {
		begun = begun.Add(t.cfg.OrderLimit)
	}
	return asked.Add(-t.cfg.UsageLag).After(begun)
}

// vanished ends a try whose worker doesn't know the task.
func (t *tick) vanished(l *lease) {
	if l.row.State == tackfleet.TaskRunning {
		t.requeue(l, tackfleet.TryFailed, string(l.worker)+" has it no more")
	}
	t.over(l)
}

// stray handles a task that a worker lists and has no lease for.
func (t *tick) stray(vm tackid.VM, u *Usage) {
	row, ok := t.f.Task(u.Task)
	switch {
	case ok && row.State == tackfleet.TaskUnknown && row.Token == u.Token && u.State == StateDone:
		t.propose(tackfleet.TaskChange{Task: u.Task, State: tackfleet.TaskDone, Token: u.Token})
	case u.State.ended() || ok && row.Token == u.Token && row.State == tackfleet.TaskRunning:
	default:
		t.send(Order{Worker: vm, Task: u.Task, Verb: VerbStop, Token: u.Token})
	}
}
