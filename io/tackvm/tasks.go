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
	// idleDecideEvery is how often the placer decides while there is no task.
	idleDecideEvery = tackclock.Second
	// usageEvery is how often the platform is asked about a worker's tasks.
	usageEvery = 2 * tackclock.Second
	// usageStarts bounds how many workers are asked about in one round. With
	// more workers than that carries, each is asked less often.
	usageStarts = 16
	// idleStarts is how many of these may be workers that nothing is known
	// to run on. At 2,300 workers, asking them as often as the others took
	// more bytes than all other control, to learn nothing.
	idleStarts = 2
	// orderCalls and usageCalls bound the calls to the platform at one time.
	// An order that finds no place is decided anew.
	orderCalls = 64
	usageCalls = 16
)

var orderCounters = [...]string{
	tackplace.OutcomeUnknown: "task_orders_unknown",
	tackplace.OutcomeDone:    "task_orders_done",
	tackplace.OutcomeRefused: "task_orders_refused",
	tackplace.OutcomeNotSent: "task_orders_not_sent",
}

// tasks are what the leader asks of workers about their tasks. The placer
// belongs to the loop.
type tasks struct {
	placer tackplace.Placer
	// decided is when the placer decided last.
	decided tackclock.Time
	asked   map[tackid.VM]tackclock.Time

	mu      sync.Mutex
	reports []tackplace.Report
	answers []tackplace.Answer
	ordered int
	polled  int
}

// decideTasks returns what placement wants proposed and asked. It is called
// with the state locked for reading.
func (v *VM) decideTasks(now tackclock.Time) tackplace.Decision {
	if v.platform == nil {
		return tackplace.Decision{}
	}
	// Looking at every worker five times a second for nothing took the leader
	// a fifth of its processor time.
	if now.Sub(v.duties.tasks.decided) < idleDecideEvery && len(v.state.Fleet.Tasks()) == 0 {
		return tackplace.Decision{}
	}
	v.duties.tasks.decided = now
	s := v.status.Load()
	reports, answers := v.duties.tasks.take()
	return v.duties.tasks.placer.Decide(tackplace.View{
		Now:     now,
		Term:    uint64(s.Term),
		Fleet:   &v.state.Fleet,
		Pending: v.duties.term == s.Term && v.applied.Index < v.duties.until,
		Reports: reports,
		Answers: answers,
	}, tackplace.Settings{})
}

// withoutLive takes the VMs on which a task may still run out of those that
// join a pool: a cancelled task is gone from the fleet before its worker has
// stopped it.
func (v *VM) withoutLive(changes []tackfleet.Change) []tackfleet.Change {
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
	return v.duties.tasks.placer.Live(vm) > 0
}

// carryOutOrders asks workers for what placement decided, each order in a
// goroutine of its own.
func (v *VM) carryOutOrders(orders []tackplace.Order) {
	for _, o := range orders {
		if !v.duties.tasks.beginOrder() {
			v.countOrder(tackplace.OutcomeNotSent)
			v.duties.tasks.answer(o, tackplace.OutcomeNotSent, "too many calls under way")
			continue
		}
		go v.carryOutOrder(o)
	}
}

func (v *VM) carryOutOrder(o tackplace.Order) {
	err := v.sendOrder(o)
	v.duties.tasks.endOrder()
	outcome, reason := outcomeOf(err)
	v.countOrder(outcome)
	v.duties.tasks.answer(o, outcome, reason)
	if err != nil {
		v.log.WithField("worker", o.Worker).WithField("task", o.Task).WithError(err).Debug("order not carried out")
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

// outcomeOf says what became of an order. Only a call that surely never left
// counts as not sent.
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

// pollUsage asks the platform about the tasks of the workers that were asked
// about longest ago.
func (v *VM) pollUsage(now tackclock.Time) {
	if v.platform == nil {
		return
	}
	t := &v.duties.tasks
	if t.asked == nil {
		t.asked = make(map[tackid.VM]tackclock.Time)
	}
	for _, vm := range t.due(now, &v.state.Fleet) {
		if !t.beginPoll() {
			return
		}
		t.asked[vm] = now
		go v.askUsage(vm, now)
	}
}

// due returns the workers to ask about: those that tasks run on, the longest
// waiting first, and a few of the others.
func (t *tasks) due(now tackclock.Time, f *tackfleet.State) []tackid.VM {
	var busy, idle []tackid.VM
	for vm := range f.EachVM() {
		switch {
		case vm.Cores == 0 || now.Sub(t.asked[vm.ID]) < usageEvery:
		case f.RunningOn(vm.ID) > 0 || t.placer.Live(vm.ID) > 0:
			busy = append(busy, vm.ID)
		default:
			idle = t.keepOldest(append(idle, vm.ID), idleStarts)
		}
	}
	return t.keepOldest(append(busy, idle...), usageStarts)
}

// keepOldest returns at most n of the workers, those that were asked about
// longest ago, in that order.
func (t *tasks) keepOldest(vms []tackid.VM, n int) []tackid.VM {
	slices.SortStableFunc(vms, func(a, b tackid.VM) int { return cmp.Compare(t.asked[a], t.asked[b]) })
	return vms[:min(len(vms), n)]
}

func (v *VM) askUsage(vm tackid.VM, asked tackclock.Time) {
	list, err := v.platform.Tasks(context.Background(), vm)
	v.duties.tasks.endPoll()
	if err != nil {
		v.log.WithField("worker", vm).WithError(err).Debug("platform did not say what runs")
		return
	}
	r := tackplace.Report{Worker: vm, RequestedAt: asked}
	for _, u := range list {
		r.Tasks = append(r.Tasks, tackplace.Usage{
			Task: u.Task, Token: u.Token, State: tackplace.UsageState(u.State),
			Cores: u.Cores, MemoryMB: u.MemoryMB, Lag: u.LagMS,
		})
	}
	v.duties.tasks.report(r)
}

// take returns what came since the last call.
func (t *tasks) take() ([]tackplace.Report, []tackplace.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports, answers := t.reports, t.answers
	t.reports, t.answers = nil, nil
	return reports, answers
}

func (t *tasks) report(r tackplace.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports = append(t.reports, r)
}

func (t *tasks) answer(o tackplace.Order, outcome tackplace.Outcome, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers = append(t.answers, tackplace.Answer{Order: o, Outcome: outcome, Reason: reason})
}

func (t *tasks) beginOrder() bool { return t.begin(&t.ordered, orderCalls) }

func (t *tasks) endOrder() { t.end(&t.ordered) }

func (t *tasks) beginPoll() bool { return t.begin(&t.polled, usageCalls) }

func (t *tasks) endPoll() { t.end(&t.polled) }

func (t *tasks) begin(calls *int, most int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if *calls >= most {
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
