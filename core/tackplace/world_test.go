package tackplace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	testTick = 200 * tackclock.Millisecond
	testLag  = 5 * tackclock.Second
)

type (
	// run is one start of a task on a fake worker.
	run struct {
		order  Order
		began  tackclock.Time
		leased tackclock.Time
		ends   tackclock.Time
		state  UsageState
		over   tackclock.Time
		cores  float64 // used
		memory float64
	}

	fakeWorker struct {
		runs         map[tackid.Task]*run
		token        map[tackid.Task]tackid.Token
		starts       int
		fails        bool // every task fails at once
		disconnected bool
		reportedAt   tackclock.Time
	}

	message struct {
		at       tackclock.Time
		order    Order
		answered bool // with OutcomeUnknown
		term     uint64
	}

	// world simulates a fleet, its workers, and a leader that may be replaced.
	// Orders and answers are late or lost with the probability loss.
	world struct {
		fleet      tackfleet.State
		now        tackclock.Time
		revision   tackid.Revision
		term       uint64
		placer     Placer
		cfg        Settings
		rng        *rand.Rand
		loss       float64
		late       float64
		saving     tackclock.Duration // time that a checkpoint takes
		workers    map[tackid.VM]*fakeWorker
		sent       []message
		unanswered []message // orders whose outcome will be reported as unknown
		answers    []Answer
		pending    []tackfleet.Change
		began      map[tackid.Task][]tackclock.Time
		violations []string
		orders     map[Verb]int
		actual     func(o *Order) (cores, memory float64, takes tackclock.Duration)
	}
)

func newWorld(seed uint64, workers, cores, memoryMB int) *world {
	w := &world{
		now: tackclock.Time(tackclock.Day), term: 1, rng: rand.New(rand.NewPCG(seed, 1)), saving: 300,
		workers: make(map[tackid.VM]*fakeWorker), began: make(map[tackid.Task][]tackclock.Time),
		orders: make(map[Verb]int),
		actual: func(o *Order) (float64, float64, tackclock.Duration) {
			return float64(o.Cores), float64(o.MemoryMB) * 0.9, 10 * tackclock.Minute
		},
	}
	w.do(tackcommand.Command{CreatePool: &tackcommand.CreatePool{Pool: "p"}})
	for i := range workers {
		id := tackid.VM(fmt.Sprintf("w-%04d", i))
		w.do(tackcommand.Command{AddVM: &tackcommand.AddVM{VM: id, Pool: "p"}})
		w.observe(id, tackfleet.HealthServing)
		w.apply(tackfleet.Change{Observe: []tackfleet.Observation{{VM: id, Health: tackfleet.HealthServing,
			Rack: tackid.Rack(fmt.Sprint("r-", i/4)), Cores: cores, MemoryMB: memoryMB}}})
		w.workers[id] = &fakeWorker{runs: make(map[tackid.Task]*run), token: make(map[tackid.Task]tackid.Token)}
	}
	return w
}

func (w *world) apply(c tackfleet.Change) tackfleet.Result {
	w.revision++
	return w.fleet.Apply(w.revision, w.now, c)
}

func (w *world) do(c tackcommand.Command) { w.apply(tackfleet.Change{Command: &c}) }

func (w *world) observe(vm tackid.VM, h tackfleet.Health) {
	w.apply(tackfleet.Change{Observe: []tackfleet.Observation{{VM: vm, Health: h}}})
}

func (w *world) create(id string, team string, cores, memory int, class tackid.Class, idempotent bool) {
	w.do(tackcommand.Command{CreateTask: &tackcommand.CreateTask{Task: tackid.Task(id), Team: tackid.Team(team),
		Pool: "p", Cores: cores, MemoryMB: memory, Class: class, Minutes: 10, Idempotent: idempotent}})
}

func (w *world) cancel(id string) {
	w.do(tackcommand.Command{CancelTask: &tackcommand.CancelTask{Task: tackid.Task(id)}})
}

func (w *world) task(id string) tackfleet.Task {
	t, _ := w.fleet.Task(tackid.Task(id))
	return t
}

// replaceLeader starts a new term. Some of the old leader's proposals are still
// applied, and its orders still arrive.
func (w *world) replaceLeader() {
	for _, c := range w.pending {
		if w.rng.IntN(2) == 0 {
			w.apply(c)
		}
	}
	w.pending, w.answers, w.unanswered = nil, nil, nil
	w.term++
	w.placer = Placer{}
}

// step advances the world by one tick. Proposals are applied at once, or a tick
// later with the probability late.
func (w *world) step() {
	w.now = w.now.Add(testTick)
	w.deliver()
	w.work()
	if w.rng.Float64() >= w.late {
		w.applyPending()
	}
	view := View{Now: w.now, Term: w.term, Fleet: &w.fleet, Pending: len(w.pending) > 0, Reports: w.reports(), Answers: w.answers}
	w.answers = nil
	d := w.placer.Decide(view, w.cfg)
	w.pending = append(w.pending, d.Changes...)
	if w.rng.Float64() >= w.late {
		w.applyPending()
	}
	for _, o := range d.Orders {
		w.orders[o.Verb]++
		w.send(o)
	}
	w.check()
}

func (w *world) applyPending() {
	for _, c := range w.pending {
		w.apply(c)
	}
	w.pending = nil
}

func (w *world) run(d tackclock.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *world) send(o Order) {
	m := message{at: w.now.Add(20), order: o, term: w.term}
	if o.Verb == VerbCheckpoint {
		m.at = m.at.Add(w.saving)
	}
	if w.rng.Float64() < w.loss {
		m.answered = true
		w.unanswered = append(w.unanswered, message{at: w.now.Add(2 * tackclock.Second), order: o, term: w.term})
		if w.rng.IntN(2) == 0 {
			return
		}
		m.at = w.now.Add(tackclock.Duration(w.rng.IntN(9500)))
	}
	w.sent = append(w.sent, m)
}

func (w *world) deliver() {
	for len(w.unanswered) > 0 && !w.unanswered[0].at.After(w.now) {
		if w.unanswered[0].term == w.term {
			w.answers = append(w.answers, Answer{Order: w.unanswered[0].order})
		}
		w.unanswered = w.unanswered[1:]
	}
	slices.SortStableFunc(w.sent, func(a, b message) int { return cmp.Compare(a.at, b.at) })
	for len(w.sent) > 0 && !w.sent[0].at.After(w.now) {
		m := w.sent[0]
		w.sent = w.sent[1:]
		outcome := w.workers[m.order.Worker].handle(w, m.order)
		switch {
		case m.answered || m.term != w.term:
		case w.rng.Float64() < w.loss:
			w.unanswered = append(w.unanswered, message{at: w.now.Add(2 * tackclock.Second), order: m.order, term: w.term})
		default:
			w.answers = append(w.answers, Answer{Order: m.order, Outcome: outcome})
		}
	}
}

// handle carries out an order like a worker.
func (f *fakeWorker) handle(w *world, o Order) Outcome {
	r := f.runs[o.Task]
	switch {
	case f.disconnected:
		return OutcomeUnknown
	case o.Token < f.token[o.Task]:
		return OutcomeRefused
	case o.Verb == VerbStart && r != nil && r.order.Token == o.Token:
		return f.startAgain(w, o)
	case o.Verb == VerbStart:
		return f.start(w, o)
	case r == nil || r.order.Token != o.Token:
		return OutcomeDone
	case r.state != StateRunning:
		if o.Verb == VerbStop {
			return OutcomeDone
		}
		return OutcomeRefused
	case o.Verb == VerbRenew:
		r.leased = w.now.Add(o.Lease)
	case o.Verb == VerbStop:
		r.state, r.over = StateStopped, w.now
	}
	return OutcomeDone
}

// startAgain answers a repeated start. The answer is random, since it is not
// known what a platform does in this case.
func (f *fakeWorker) startAgain(w *world, o Order) Outcome {
	if row, _ := w.fleet.Task(o.Task); !row.Idempotent {
		w.violations = append(w.violations, fmt.Sprintf("%s, not idempotent, got a second start", o.Task))
	}
	if w.rng.IntN(2) == 0 {
		return OutcomeRefused
	}
	return OutcomeDone
}

func (f *fakeWorker) start(w *world, o Order) Outcome {
	row, _ := w.fleet.Task(o.Task)
	w.began[o.Task] = append(w.began[o.Task], w.now)
	if n := len(w.began[o.Task]); n > 1 && !row.Idempotent {
		w.violations = append(w.violations, fmt.Sprintf("%s, not idempotent, started %d times", o.Task, n))
	}
	f.starts++
	f.token[o.Task] = o.Token
	r := &run{order: o, began: w.now, leased: w.now.Add(o.Lease), state: StateRunning}
	var takes tackclock.Duration
	r.cores, r.memory, takes = w.actual(&o)
	r.ends = w.now.Add(takes)
	if f.fails {
		r.state, r.over = StateFailed, w.now
	}
	f.runs[o.Task] = r
	return OutcomeDone
}

// work ends the tasks that are done and those whose lease has run out.
func (w *world) work() {
	for _, f := range w.workers {
		for id, r := range f.runs {
			switch {
			case r.state != StateRunning && w.now.Sub(r.over) > tackclock.Minute:
				delete(f.runs, id)
			case r.state != StateRunning:
			case !r.leased.After(w.now):
				r.state, r.over = StateStopped, r.leased
			case !r.ends.After(w.now):
				r.state, r.over = StateDone, r.ends
			}
		}
	}
}

// reports returns every 2 s the usage of each worker's tasks as it was testLag
// ago. Ends are reported at once.
func (w *world) reports() []Report {
	var reports []Report
	for vm := range w.fleet.EachVM() {
		f := w.workers[vm.ID]
		if f.disconnected || w.now.Sub(f.reportedAt) < 2*tackclock.Second || w.rng.Float64() < w.loss {
			continue
		}
		f.reportedAt = w.now
		r := Report{Worker: vm.ID, RequestedAt: w.now}
		for _, x := range f.runs {
			if x.began.After(w.now.Add(-testLag)) && x.state == StateRunning {
				continue
			}
			r.Tasks = append(r.Tasks, Usage{x.order.Task, x.order.Token, x.state, x.cores, x.memory, testLag})
		}
		slices.SortFunc(r.Tasks, func(a, b Usage) int { return cmp.Compare(a.Task, b.Task) })
		reports = append(reports, r)
	}
	return reports
}

// check checks what the workers do, independently of the placer's state.
func (w *world) check() {
	live := make(map[tackid.Task]tackid.VM)
	for id, f := range w.workers {
		memory := 0
		for task, r := range f.runs {
			if r.state != StateRunning || !r.leased.After(w.now) {
				continue
			}
			memory += r.order.MemoryMB
			if other, twice := live[task]; twice {
				w.violations = append(w.violations, fmt.Sprintf("%s runs on %s and %s", task, id, other))
			}
			live[task] = id
		}
		if vm, ok := w.fleet.VM(id); ok && memory > vm.MemoryMB {
			w.violations = append(w.violations, fmt.Sprintf("%s runs tasks of %d MB on %d", id, memory, vm.MemoryMB))
		}
	}
	for _, q := range w.fleet.Quotas() {
		if n := w.fleet.CoresOf(q.Team); q.Cores > 0 && n > q.Cores {
			w.violations = append(w.violations, fmt.Sprintf("%s runs %d of %d cores", q.Team, n, q.Cores))
		}
	}
}

type fataler interface{ Fatalf(string, ...any) }

func assertSound(t fataler, w *world) {
	if len(w.violations) > 0 {
		t.Fatalf("%s", strings.Join(w.violations[:min(len(w.violations), 5)], "\n"))
	}
}
