package tackvm

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackplace"
	"auburntack/io/tackplatform"

	"github.com/rcrowley/go-metrics"
)

const (
	// idleDecideInterval is how often the placer runs while there are no tasks.
	idleDecideInterval = tackclock.Second
	// usagePollInterval is how often the platform is asked about the tasks of a worker.
	usagePollInterval = 2 * tackclock.Second
	// maxPolledWorkers bounds how many workers are polled in one round. If there are
	// more, each is polled less often.
	maxPolledWorkers = 16
	// maxPolledIdleWorkers is how many of these may be workers without known tasks. With
	// 2,300 workers, polling them as often as the others used more bytes than all other
	// control traffic, for no information.
	maxPolledIdleWorkers = 2
	// maxOrderCalls and maxUsageCalls bound the concurrent calls to the platform. An
	// order beyond the bound is not sent, and placement decides again.
	maxOrderCalls = 64
	maxUsageCalls = 16
)

var orderCounters = [...]string{
	tackplace.OutcomeUnknown: "task_orders_unknown",
	tackplace.OutcomeDone:    "task_orders_done",
	tackplace.OutcomeRefused: "task_orders_refused",
	tackplace.OutcomeNotSent: "task_orders_not_sent",
}

// tasks is the leader's state for task placement. The loop alone accesses placer,
// lastDecision and polledAt.
type tasks struct {
	placer tackplace.Placer
	// lastDecision is when the placer last ran.
	lastDecision tackclock.Time
	polledAt     map[tackid.VM]tackclock.Time

	mu           sync.Mutex
	reports      []tackplace.Report
	answers      []tackplace.Answer
	activeOrders int
	activePolls  int
}

// decideTasks returns the changes to propose and the orders to send for task placement.
// The caller must hold the lock on the state for reading.
func (v *VM) decideTasks(now tackclock.Time) tackplace.Decision {
	if v.platform == nil {
		return tackplace.Decision{}
	}
	// Examining every worker five times per second without any tasks used a fifth of the
	// leader's processor time.
	if now.Sub(v.reconciler.tasks.lastDecision) < idleDecideInterval && len(v.state.Fleet.Tasks()) == 0 {
		return tackplace.Decision{}
	}
	v.reconciler.tasks.lastDecision = now
	s := v.status.Load()
	reports, answers := v.reconciler.tasks.takeResults()
	return v.reconciler.tasks.placer.Decide(tackplace.View{
		Now:     now,
		Term:    uint64(s.Term),
		Fleet:   &v.state.Fleet,
		Pending: v.reconciler.proposedTerm == s.Term && v.applied.Index < v.reconciler.proposedIndex,
		Reports: reports,
		Answers: answers,
	}, tackplace.Settings{})
}

// withoutTaskVMs removes from the changes the VMs that would join a pool while a task
// may still be running on them: a cancelled task is gone from the fleet before its
// worker has stopped it.
func (v *VM) withoutTaskVMs(changes []tackfleet.Change) []tackfleet.Change {
	kept := changes[:0]
	for _, c := range changes {
		joins := len(c.Joined) > 0
		c.Joined = slices.DeleteFunc(c.Joined, v.runsTasks)
		if !joins || len(c.Joined) > 0 {
			kept = append(kept, c)
		}
	}
	return kept
}

func (v *VM) runsTasks(vm tackid.VM) bool {
	return v.reconciler.tasks.placer.Live(vm) > 0
}

// carryOutOrders sends the orders of a placement decision, each in its own goroutine.
func (v *VM) carryOutOrders(orders []tackplace.Order) {
	for _, o := range orders {
		if !v.reconciler.tasks.beginOrder() {
			v.countOrder(tackplace.OutcomeNotSent)
			v.reconciler.tasks.addAnswer(o, tackplace.OutcomeNotSent, "too many calls under way")
			continue
		}
		go v.carryOutOrder(o)
	}
}

func (v *VM) carryOutOrder(o tackplace.Order) {
	err := v.sendOrder(o)
	v.reconciler.tasks.endOrder()
	outcome, reason := outcomeOf(err)
	v.countOrder(outcome)
	v.reconciler.tasks.addAnswer(o, outcome, reason)
	if err != nil {
		v.log.WithField("worker", o.Worker).WithField("task", o.Task).WithError(err).Debug("order to the worker failed")
	}
}

func (v *VM) countOrder(outcome tackplace.Outcome) {
	metrics.GetOrRegisterCounter(orderCounters[outcome], v.registry).Inc(1)
}

func (v *VM) sendOrder(o tackplace.Order) error {
	ctx := context.Background()
	switch o.Verb {
	case tackplace.VerbStart:
		return v.platform.StartTask(ctx, o.Worker, tackplatform.TaskOrder{
			Task: o.Task, Lease: o.Lease, Token: o.Token, Cores: o.Cores, MemoryMB: o.MemoryMB,
		})
	case tackplace.VerbRenew:
		return v.platform.Renew(ctx, o.Worker, o.Task, o.Token, o.Lease)
	case tackplace.VerbCheckpoint:
		return v.platform.Checkpoint(ctx, o.Worker, o.Task, o.Token)
	case tackplace.VerbThrottle:
		return v.platform.Throttle(ctx, o.Worker, o.Task, o.Token, o.Cores)
	}
	return v.platform.Stop(ctx, o.Worker, o.Task, o.Token)
}

// outcomeOf returns the outcome of an order and its reason. Only a call that definitely
// never left this VM counts as not sent.
func outcomeOf(err error) (tackplace.Outcome, string) {
	var refused *tackplatform.RefusedError
	var name *tackplatform.NameError
	var unavailable *tackplatform.UnavailableError
	switch {
	case err == nil:
		return tackplace.OutcomeDone, ""
	case errors.As(err, &refused):
		return tackplace.OutcomeRefused, refused.Reason
	case errors.As(err, &name):
		return tackplace.OutcomeRefused, name.Error()
	case errors.As(err, &unavailable) && unavailable.NotSent:
		return tackplace.OutcomeNotSent, ""
	}
	return tackplace.OutcomeUnknown, ""
}

// pollUsage asks the platform about the tasks of the workers that were polled longest
// ago.
func (v *VM) pollUsage(now tackclock.Time) {
	if v.platform == nil {
		return
	}
	t := &v.reconciler.tasks
	if t.polledAt == nil {
		t.polledAt = make(map[tackid.VM]tackclock.Time)
	}
	for _, vm := range t.dueWorkers(now, &v.state.Fleet) {
		if !t.beginPoll() {
			return
		}
		t.polledAt[vm] = now
		go v.pollWorkerTasks(vm, now)
	}
}

// dueWorkers returns the workers to poll: those that run tasks, the least recently
// polled first, and a few of the others.
func (t *tasks) dueWorkers(now tackclock.Time, f *tackfleet.State) []tackid.VM {
	var busy, idle []tackid.VM
	for vm := range f.EachVM() {
		switch {
		case vm.Cores == 0 || now.Sub(t.polledAt[vm.ID]) < usagePollInterval:
		case f.RunningOn(vm.ID) > 0 || t.placer.Live(vm.ID) > 0:
			busy = append(busy, vm.ID)
		default:
			idle = t.keepOldest(append(idle, vm.ID), maxPolledIdleWorkers)
		}
	}
	return t.keepOldest(append(busy, idle...), maxPolledWorkers)
}

// keepOldest returns at most n of the workers, the least recently polled ones, in that
// order.
func (t *tasks) keepOldest(vms []tackid.VM, n int) []tackid.VM {
	slices.SortStableFunc(vms, func(a, b tackid.VM) int { return cmp.Compare(t.polledAt[a], t.polledAt[b]) })
	return vms[:min(len(vms), n)]
}

func (v *VM) pollWorkerTasks(vm tackid.VM, asked tackclock.Time) {
	list, err := v.platform.Tasks(context.Background(), vm)
	v.reconciler.tasks.endPoll()
	if err != nil {
		v.log.WithField("worker", vm).WithError(err).Debug("cannot read the worker's tasks from the platform")
		return
	}
	r := tackplace.Report{Worker: vm, RequestedAt: asked}
	for _, u := range list {
		r.Tasks = append(r.Tasks, tackplace.Usage{
			Task: u.Task, Token: u.Token, State: tackplace.UsageState(u.State),
			Cores: u.Cores, MemoryMB: u.MemoryMB, Lag: u.LagMS,
		})
	}
	v.reconciler.tasks.addReport(r)
}

// takeResults returns the reports and answers received since the last call.
func (t *tasks) takeResults() ([]tackplace.Report, []tackplace.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports, answers := t.reports, t.answers
	t.reports, t.answers = nil, nil
	return reports, answers
}

func (t *tasks) addReport(r tackplace.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports = append(t.reports, r)
}

func (t *tasks) addAnswer(o tackplace.Order, outcome tackplace.Outcome, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers = append(t.answers, tackplace.Answer{Order: o, Outcome: outcome, Reason: reason})
}

func (t *tasks) beginOrder() bool { return t.begin(&t.activeOrders, maxOrderCalls) }

func (t *tasks) endOrder() { t.end(&t.activeOrders) }

func (t *tasks) beginPoll() bool { return t.begin(&t.activePolls, maxUsageCalls) }

func (t *tasks) endPoll() { t.end(&t.activePolls) }

func (t *tasks) begin(calls *int, limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if *calls >= limit {
		return false
	}
	*calls++
	return true
}

func (t *tasks) end(calls *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*calls--
}
