package tackwave

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	costWave = tackid.Wave("cost")
	// maxIdleWaits is the number of consecutive waits of LostWait without any
	// change after which a simulation ends.
	maxIdleWaits = 3
)

type (
	// Plan is what a wave is expected to cost.
	Plan struct {
		// VMs is the number of VMs in the wave, Left the number of them that
		// would not be maintained.
		VMs, Left int
		// Steps is the number of times that VMs are taken out of service.
		Steps int
		// BufferVMs is the largest number of VMs out of service at once.
		BufferVMs int
		// Length is the time from start to end; Minutes is Length rounded up.
		Length  tackclock.Duration
		Minutes int
		// Moves is the number of running tasks that have to be moved away.
		Moves int
		// Binds describes the constraint that limits the wave's speed for the
		// largest part of the time.
		Binds string
		// Problem says why the wave would not end, or not in time. It is
		// empty if the wave would end in time.
		Problem string
		// LowerBound is the shortest time that the budgets and the length of
		// an operation allow; see the function LowerBound.
		LowerBound tackclock.Duration
	}

	// model is the View of a simulated fleet in which everything takes as long
	// as expected and nothing fails.
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

	// simulation simulates a wave by applying a planner's decisions to a model.
	simulation struct {
		p         Planner
		m         *model
		cfg       Settings
		plan      Plan
		binds     map[string]tackclock.Duration
		idleWaits int
	}
)

// Cost returns the cost of a wave over the pool that would start at the time
// of the fleet's newest change. It simulates the wave on a copy of the pool
// with a new Planner, using the durations expected by the settings.
func Cost(f *tackfleet.State, pool tackid.Pool, action tackfleet.Action, maxParallel int, cfg Settings) Plan {
	r := newSimulation(&Planner{}, cfg, f.Now(), true)
	return r.cost(f, pool, action, maxParallel)
}

// Cost is like the function Cost, but starts at the view's time and uses the
// durations that the planner has learned.
func (p *Planner) Cost(v View, pool tackid.Pool, action tackfleet.Action, maxParallel int, cfg Settings) Plan {
	r := newSimulation(p, cfg, v.Now(), v.Platform())
	return r.cost(v.Fleet(), pool, action, maxParallel)
}

// newSimulation returns a simulation that uses the durations learned by the
// planner.
func newSimulation(p *Planner, cfg Settings, now tackclock.Time, platform bool) *simulation {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &simulation{cfg: cfg.withDefaults(), binds: make(map[string]tackclock.Duration)}
	r.p.times = p.times
	r.p.repair.learned = p.repair.learned
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

func (r *simulation) cost(f *tackfleet.State, pool tackid.Pool, action tackfleet.Action, maxParallel int) Plan {
	r.m.copyPool(f, pool)
	r.start(pool, action, maxParallel)
	r.runToEnd()
	r.plan.Moves = runningOn(f, pool)
	r.setLowerBound(f, pool, maxParallel)
	return r.finish()
}

// copyPool copies the pool into the model. VMs that are out of service for a
// reason other than a wave are lost in the copy.
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

// observed returns an observation with the VM's location and the health that
// the VM has in the copy.
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

func (r *simulation) start(pool tackid.Pool, action tackfleet.Action, maxParallel int) {
	r.m.command(tackcommand.Command{CreateWave: &tackcommand.CreateWave{
		Wave: costWave, Pool: pool, Action: string(action), MaxParallel: maxParallel,
	}})
	r.m.command(tackcommand.Command{ChangeWave: &tackcommand.ChangeWave{
		Wave: costWave, Change: tackcommand.WaveStart,
	}})
}

// runToEnd runs the planner until the wave ends or makes no more progress.
func (r *simulation) runToEnd() {
	for r.idleWaits < maxIdleWaits {
		w, ok := r.m.f.Wave(costWave)
		if !ok || w.Status != tackfleet.WaveRunning {
			return
		}
		r.plan.BufferVMs = max(r.plan.BufferVMs, w.OutCount())
		if !r.apply(r.p.Decide(r.m, r.cfg)) {
			r.advanceClock(&w)
		}
	}
}

// apply applies a decision and reports whether it changed anything.
func (r *simulation) apply(d Decision) bool {
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

// advanceClock advances the clock to the next time at which something can
// change.
func (r *simulation) advanceClock(w *tackfleet.Wave) {
	next := r.m.now.Add(r.cfg.LostWait)
	found := false
	for i := range w.VMs {
		if at := r.m.phaseEnd(&w.VMs[i], r.p.repair.settling(r.cfg.Settle)); at.After(r.m.now) {
			next, found = min(next, at), true
		}
	}
	r.idleWaits++
	if found {
		r.idleWaits = 0
	}
	r.binds[r.p.Binds(costWave)] += next.Sub(r.m.now)
	r.m.now = next
}

// phaseEnd returns the time at which the VM's phase can end, or zero if the VM
// is in a phase that does not end by itself.
func (m *model) phaseEnd(v *tackfleet.WaveVM, settle tackclock.Duration) tackclock.Time {
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

// setLowerBound sets the plan's lower bound from the current budgets.
func (r *simulation) setLowerBound(f *tackfleet.State, pool tackid.Pool, maxParallel int) {
	r.p.init()
	t := &tick{Planner: &r.p, f: f, now: r.m.now, cfg: r.cfg}
	t.collectVMs()
	c := t.capacity(pool)
	free := c.full - c.required
	if maxParallel > 0 {
		free = min(free, maxParallel)
	}
	r.plan.LowerBound = LowerBound(c.full, free, r.p.times.operation.or(r.cfg.Reboot))
}

func (r *simulation) finish() Plan {
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

// runningOn returns the number of tasks running on the pool's VMs. Each of
// them has to be moved once.
func runningOn(f *tackfleet.State, pool tackid.Pool) int {
	n := 0
	for _, vm := range f.VMsOf(pool) {
		n += f.RunningOn(vm.ID)
	}
	return n
}
