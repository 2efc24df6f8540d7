package tackwave

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	costWave = tackid.Wave("cost")
	// stuckAfter is how many waits of LostWait without any change end a
	// calculation.
	stuckAfter = 3
)

type (
	// Plan is what a wave is expected to cost.
	Plan struct {
		// VMs is the number of VMs the wave is over, Left how many of them
		// would not be maintained.
		VMs, Left int
		// Steps is how many times VMs are taken out.
		Steps int
		// BufferVMs is the most VMs out of service at once.
		BufferVMs int
		// Length is the time from start to end, Minutes the same rounded up.
		Length  tackclock.Duration
		Minutes int
		// Moves is how many running tasks have to be moved away.
		Moves int
		// Binds says what keeps the wave from going faster, for most of the
		// time.
		Binds string
		// Problem says before the start why the wave would not end, or not
		// in time; empty if it does.
		Problem string
		// LowerBound is the least time that the budgets and the length of an
		// operation allow any planner; see the function LowerBound.
		LowerBound tackclock.Duration
	}

	// model is a View of a fleet on which everything takes as long as
	// expected and nothing fails.
	model struct {
		now        tackclock.Time
		f          *tackfleet.State
		revision   tackid.Revision
		drain      tackclock.Duration
		operation  tackclock.Duration
		operations map[tackid.VM]modelOperation
		platform   bool
	}

	modelOperation struct {
		id   tackid.Operation
		ends tackclock.Time
	}

	// run drives a planner over a model.
	run struct {
		p     Planner
		m     *model
		cfg   Settings
		plan  Plan
		binds map[string]tackclock.Duration
		stuck int
	}
)

// Cost returns what a wave over the pool would cost if it started now, which
// is the time of the newest change. The answer comes from the planner that
// runs waves, over a copy of the pool, with what it expects by the settings.
func Cost(f *tackfleet.State, pool tackid.Pool, action tackfleet.Action, maxParallel int, cfg Settings) Plan {
	r := newRun(&Planner{}, cfg, f.Now(), true)
	return r.cost(f, pool, action, maxParallel)
}

// Cost is like the function Cost, at the view's time and with the durations
// that the planner has learned.
func (p *Planner) Cost(v View, pool tackid.Pool, action tackfleet.Action, maxParallel int, cfg Settings) Plan {
	r := newRun(p, cfg, v.Now(), v.Platform())
	return r.cost(v.Fleet(), pool, action, maxParallel)
}

// newRun returns a run with what the planner has learned.
func newRun(p *Planner, cfg Settings, now tackclock.Time, platform bool) *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &run{cfg: cfg.withDefaults(), binds: make(map[string]tackclock.Duration)}
	r.p.times = p.times
	r.p.repair.settled = p.repair.settled
	r.m = &model{
		now:        now,
		f:          &tackfleet.State{},
		drain:      p.times.drain.or(expectedDrain),
		operation:  p.times.operation.or(r.cfg.Reboot) + p.times.back.or(expectedBack),
		operations: make(map[tackid.VM]modelOperation),
		platform:   platform,
	}
	return r
}

func (r *run) cost(f *tackfleet.State, pool tackid.Pool, action tackfleet.Action, maxParallel int) Plan {
	r.m.copyPool(f, pool)
	r.start(pool, action, maxParallel)
	r.drive()
	r.plan.Moves = runningOn(f, pool)
	r.bound(f, pool, maxParallel)
	return r.finish()
}

// copyPool rebuilds the pool as it is. VMs that are out of service for other
// reasons than a wave stay lost in the copy.
func (m *model) copyPool(f *tackfleet.State, pool tackid.Pool) {
	m.command(tackcommand.Command{CreatePool: &tackcommand.CreatePool{Pool: pool}})
	for _, s := range f.ServicesOn(pool) {
		m.command(tackcommand.Command{CreateService: &tackcommand.CreateService{Service: s.ID, Pool: pool}})
		m.command(tackcommand.Command{SetBudget: &tackcommand.SetBudget{
			Service: s.ID, MinAvailable: s.Budget.MinAvailable, Percent: s.Budget.Percent,
		}})
	}
	vms := f.VMsOf(pool)
	seen := make([]tackfleet.Observation, 0, len(vms))
	for i := range vms {
		m.command(tackcommand.Command{AddVM: &tackcommand.AddVM{VM: vms[i].ID, Pool: pool}})
		seen = append(seen, observed(&vms[i]))
	}
	m.apply(tackfleet.Change{Observe: seen})
}

// observed returns the VM's place and the health that it has in the copy.
func observed(vm *tackfleet.VM) tackfleet.Observation {
	o := tackfleet.Observation{
		VM: vm.ID, DataCentre: vm.DataCentre, Rack: vm.Rack, Health: vm.Health,
	}
	switch {
	case vm.Wave != "":
		o.Health = tackfleet.HealthServing
	case vm.State != tackfleet.VMInService:
		o.Health = tackfleet.HealthLost
	}
	return o
}

func (m *model) command(c tackcommand.Command) *tackfleet.RefusedError {
	return m.apply(tackfleet.Change{Command: &c})
}

func (m *model) apply(c tackfleet.Change) *tackfleet.RefusedError {
	m.revision++
	return m.f.Apply(m.revision, m.now, c).Refused
}

// Now implements View.
func (m *model) Now() tackclock.Time { return m.now }

// Fleet implements View.
func (m *model) Fleet() *tackfleet.State { return m.f }

// Idle implements View.
func (m *model) Idle(id tackid.VM, _ tackid.Revision) bool {
	vm, _ := m.f.VM(id)
	return m.now.Sub(vm.Since) >= m.drain
}

// Fenced implements View.
func (m *model) Fenced(tackid.Revision) bool { return true }

// Platform implements View.
func (m *model) Platform() bool { return m.platform }

// Operation implements View.
func (m *model) Operation(id tackid.VM) OperationStatus {
	o := m.operations[id]
	if m.now.Before(o.ends) {
		return OperationStatus{State: PlatformRebooting, Operation: o.id}
	}
	return OperationStatus{State: PlatformServing, Operation: o.id}
}

func (r *run) start(pool tackid.Pool, action tackfleet.Action, maxParallel int) {
	r.m.command(tackcommand.Command{CreateWave: &tackcommand.CreateWave{
		Wave: costWave, Pool: pool, Action: string(action), MaxParallel: maxParallel,
	}})
	r.m.command(tackcommand.Command{ChangeWave: &tackcommand.ChangeWave{
		Wave: costWave, Change: tackcommand.WaveStart,
	}})
}

// drive runs the planner from event to event until the wave ends.
func (r *run) drive() {
	for r.stuck < stuckAfter {
		w, ok := r.m.f.Wave(costWave)
		if !ok || w.Status != tackfleet.WaveRunning {
			return
		}
		r.plan.BufferVMs = max(r.plan.BufferVMs, w.Out())
		if !r.carryOut(r.p.Decide(r.m, r.cfg)) {
			r.wait(&w)
		}
	}
}

// carryOut applies a decision and reports whether anything came of it.
func (r *run) carryOut(d Decision) bool {
	for _, o := range d.Operations {
		r.m.operations[o.VM] = modelOperation{id: o.Operation, ends: r.m.now.Add(r.m.operation)}
	}
	changed := len(d.Operations) > 0
	for _, c := range d.Changes {
		if r.m.apply(c) == nil {
			changed = true
		}
	}
	return changed
}

// wait moves the clock to the next moment at which something can change.
func (r *run) wait(w *tackfleet.Wave) {
	next := r.m.now.Add(r.cfg.LostWait)
	found := false
	for i := range w.VMs {
		if at := r.m.due(&w.VMs[i], r.p.repair.settling(r.cfg.Settle)); at.After(r.m.now) {
			next, found = min(next, at), true
		}
	}
	r.stuck++
	if found {
		r.stuck = 0
	}
	r.binds[r.p.Binds(costWave)] += next.Sub(r.m.now)
	r.m.now = next
}

// due returns when the VM's phase can end, zero if nothing is under way.
func (m *model) due(v *tackfleet.WaveVM, settle tackclock.Duration) tackclock.Time {
	switch v.Phase {
	case tackfleet.PhaseDraining:
		return v.Since.Add(m.drain)
	case tackfleet.PhaseOperating:
		return m.operations[v.VM].ends
	case tackfleet.PhaseSettling:
		return v.Since.Add(settle)
	}
	return 0
}

// bound works out the lower bound from the budgets as they stand.
func (r *run) bound(f *tackfleet.State, pool tackid.Pool, maxParallel int) {
	r.p.init()
	t := &tick{Planner: &r.p, f: f, now: r.m.now, cfg: r.cfg}
	t.look()
	room := t.room(pool)
	free := room.full - room.required
	if maxParallel > 0 {
		free = min(free, maxParallel)
	}
	r.plan.LowerBound = LowerBound(room.full, free, r.p.times.operation.or(r.cfg.Reboot))
}

func (r *run) finish() Plan {
	p := &r.plan
	w, _ := r.m.f.Wave(costWave)
	p.VMs = len(w.VMs)
	p.Steps = w.Steps
	for i := range w.VMs {
		if w.VMs[i].Phase != tackfleet.PhaseDone {
			p.Left++
		}
	}
	p.Length = r.m.now.Sub(w.Started)
	p.Minutes = int((p.Length + tackclock.Minute - 1) / tackclock.Minute)
	longest := tackclock.Duration(0)
	for text, d := range r.binds {
		if text != "" && (d > longest || d == longest && text < p.Binds) {
			p.Binds, longest = text, d
		}
	}
	switch {
	case w.Status == tackfleet.WaveRunning:
		p.Problem = "the wave would not end: " + r.p.Binds(costWave)
	case w.Status == tackfleet.WaveStopped:
		p.Problem = "the wave would stop: " + w.Reason
	case p.Left > 0:
		p.Problem = w.Reason
	}
	return *p
}

// runningOn counts the tasks that run on the pool's VMs: each has to move
// once.
func runningOn(f *tackfleet.State, pool tackid.Pool) int {
	n := 0
	for _, vm := range f.VMsOf(pool) {
		n += f.RunningOn(vm.ID)
	}
	return n
}
