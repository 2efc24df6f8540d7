package tackwave

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const never = tackclock.Time(1 << 60)

type (
	// faults are the probabilities of faults. The zero value has none.
	faults struct {
		loss       float64            // per VM and tick: the VM is lost for some minutes
		secondLoss float64            // per repair: the VM is lost again soon after
		breaks     float64            // per operation: the VM does not come back
		refused    float64            // per operation: the platform reports a failure
		lostAnswer float64            // per request: the platform's answer is lost
		restart    float64            // per tick: the leader is replaced between two changes
		busy       float64            // per drain: work outlasts the drain limit
		lag        tackclock.Duration // until an accepted operation starts
	}

	machine struct {
		dc        tackid.DataCentre
		rack      tackid.Rack
		from, to  tackclock.Time // down in between
		work      map[tackid.Revision]tackclock.Time
		op        tackid.Operation
		begins    tackclock.Time
		ends      tackclock.Time
		failed    bool
		busyUntil tackclock.Time      // has work until then
		runs      map[tackid.Wave]int // successful operations
	}

	// world simulates a fleet and its platform. It applies the planner's
	// decisions and checks each change independently of the planner.
	world struct {
		faults
		now        tackclock.Time
		step       tackclock.Duration
		rev        tackid.Revision
		fleet      *tackfleet.State
		rng        *rand.Rand
		cfg        Settings
		planner    *Planner
		baseline   func(w *world, d Decision) Decision
		noPlatform bool
		machines   map[tackid.VM]*machine
		ids        []tackid.VM
		budgets    map[tackid.Service]tackfleet.Budget
		pools      map[tackid.Service]tackid.Pool
		violations []string
		reboots    map[tackid.Pool][]tackclock.Duration
		peak       int // VMs out of service at once
		drains     int
		refusals   int                // steps that the state refused
		breaches   int                // decided changes that broke a budget
		short      tackclock.Duration // time during which some service was below its budget
	}
)

func newWorld(seed uint64) *world {
	return &world{
		now: 1_800_000_000_000, step: 5 * tackclock.Second, fleet: &tackfleet.State{}, planner: &Planner{},
		rng: rand.New(rand.NewPCG(seed, 7)), machines: map[tackid.VM]*machine{},
		budgets: map[tackid.Service]tackfleet.Budget{}, pools: map[tackid.Service]tackid.Pool{},
		reboots: map[tackid.Pool][]tackclock.Duration{},
	}
}

// addPool creates a pool of n VMs spread over the data centres, four to a
// rack, with one service on it. If guarded is false only the checker knows the
// budget.
func (w *world) addPool(name string, n, dcs int, b tackfleet.Budget, guarded bool) {
	pool, service := tackid.Pool(name), tackid.Service(name)
	w.do(tackcommand.Command{CreatePool: &tackcommand.CreatePool{Pool: pool}})
	w.do(tackcommand.Command{CreateService: &tackcommand.CreateService{Service: service, Pool: pool}})
	if guarded {
		w.do(tackcommand.Command{SetBudget: &tackcommand.SetBudget{Service: service, MinAvailable: b.MinAvailable, Percent: b.Percent}})
	}
	w.budgets[service], w.pools[service] = b, pool
	for i := range n {
		id := tackid.VM(fmt.Sprintf("%s-%03d", name, i))
		w.do(tackcommand.Command{AddVM: &tackcommand.AddVM{VM: id, Pool: pool}})
		w.ids = append(w.ids, id)
		w.machines[id] = &machine{
			dc:   tackid.DataCentre(fmt.Sprintf("dc%d", i%dcs)),
			rack: tackid.Rack(fmt.Sprintf("%s-r%d", name, i/dcs/4)),
			work: map[tackid.Revision]tackclock.Time{}, runs: map[tackid.Wave]int{},
		}
	}
	w.observe()
}

func (w *world) startWave(wave, pool string, action tackfleet.Action, parallel int) {
	w.do(tackcommand.Command{CreateWave: &tackcommand.CreateWave{
		Wave: tackid.Wave(wave), Pool: tackid.Pool(pool), Action: string(action), MaxParallel: parallel}})
	w.change(wave, tackcommand.WaveStart)
}

func (w *world) change(wave string, c tackcommand.WaveChange) {
	w.do(tackcommand.Command{ChangeWave: &tackcommand.ChangeWave{Wave: tackid.Wave(wave), Change: c}})
}

func (w *world) do(c tackcommand.Command) *tackfleet.RefusedError {
	return w.apply(tackfleet.Change{Command: &c})
}

// apply applies a change. A change that reduces the VMs of a service to fewer
// than its budget, or further below it, counts as a breach.
func (w *world) apply(c tackfleet.Change) *tackfleet.RefusedError {
	ours := len(c.Observe) == 0 && (c.Command == nil || c.Command.SetBudget == nil)
	var before map[tackid.Service]int
	if ours {
		before, _ = w.serving()
	}
	w.rev++
	refused := w.fleet.Apply(w.rev, w.now, c).Refused
	if !ours {
		return refused
	}
	after, required := w.serving()
	for s, n := range after {
		if n < before[s] && n < required[s] {
			w.breaches++
		}
	}
	switch {
	case c.WaveStep == nil:
	case refused == nil:
		w.drains += len(c.WaveStep.VMs)
	default:
		w.refusals++
	}
	return refused
}

// serving returns, for each service, the number of its VMs that may get work
// and are up, and the number required by its budget.
func (w *world) serving() (have, required map[tackid.Service]int) {
	up, total := make(map[tackid.Pool]int), make(map[tackid.Pool]int)
	for vm := range w.fleet.EachVM() {
		total[vm.Pool]++
		routable := vm.State == tackfleet.VMInService || vm.State == tackfleet.VMSettling
		if routable && vm.Health == tackfleet.HealthServing {
			up[vm.Pool]++
		}
	}
	have, required = make(map[tackid.Service]int), make(map[tackid.Service]int)
	for s, pool := range w.pools {
		b := w.budgets[s]
		have[s], required[s] = up[pool], b.MinAvailable
		if b.Percent {
			required[s] = int(math.Ceil(float64(b.MinAvailable*total[pool]) / 100))
		}
	}
	return have, required
}

// tick advances the clock by one step, and applies the planner's decision.
func (w *world) tick() {
	w.now = w.now.Add(w.step)
	w.fail()
	w.observe()
	d := w.planner.Decide(w, w.cfg)
	if w.baseline != nil {
		d = w.baseline(w, d)
	}
	if w.rng.Float64() < w.restart {
		w.planner = &Planner{}
		d.Changes = d.Changes[:w.rng.IntN(len(d.Changes)+1)]
		d.Operations = d.Operations[:w.rng.IntN(len(d.Operations)+1)]
	}
	for _, o := range d.Operations {
		w.accept(o)
	}
	for _, c := range d.Changes {
		w.apply(c)
	}
	w.check()
}

func (w *world) fail() {
	for _, id := range w.ids {
		if m := w.machines[id]; w.now >= m.to && w.rng.Float64() < w.loss {
			w.lose(m, w.now, w.between(1, 20))
		}
	}
}

func (w *world) lose(m *machine, from tackclock.Time, d tackclock.Duration) {
	m.from, m.to = from, from.Add(d)
}

// loseWhere takes down every machine that meets the condition.
func (w *world) loseWhere(d tackclock.Duration, where func(m *machine) bool) {
	for _, id := range w.ids {
		if m := w.machines[id]; where(m) {
			w.lose(m, w.now, d)
		}
	}
}

func (w *world) between(low, high int) tackclock.Duration {
	return tackclock.Duration(low*60_000 + w.rng.IntN((high-low)*60_000))
}

func (w *world) observe() {
	var seen []tackfleet.Observation
	for _, id := range w.ids {
		m := w.machines[id]
		health := tackfleet.HealthServing
		if m.begins <= w.now && w.now < m.ends || m.failed || w.now >= m.from && w.now < m.to {
			health = tackfleet.HealthLost
		}
		if vm, ok := w.fleet.VM(id); ok && vm.Health != health {
			seen = append(seen, tackfleet.Observation{VM: id, DataCentre: m.dc, Rack: m.rack, Health: health})
		}
	}
	if len(seen) > 0 {
		w.apply(tackfleet.Change{Observe: seen})
	}
}

// accept starts an operation, once per operation id.
func (w *world) accept(o OperationRequest) {
	m := w.machines[o.VM]
	vm, _ := w.fleet.VM(o.VM)
	if w.rng.Float64() < w.lostAnswer || m.op == o.Operation {
		return
	}
	if vm.State != tackfleet.VMMaintenance || !w.Idle(o.VM, vm.Fence) {
		w.violations = append(w.violations, fmt.Sprintf("%s stopped in state %v with work in flight", o.VM, vm.State))
	}
	reboot := w.between(2, 4)
	m.op, m.begins, m.failed = o.Operation, w.now.Add(w.lag), w.rng.Float64() < w.refused
	m.ends = m.begins.Add(reboot)
	if m.failed {
		return
	}
	w.reboots[vm.Pool] = append(w.reboots[vm.Pool], reboot)
	if m.runs[vm.Wave]++; m.runs[vm.Wave] > 1 {
		w.violations = append(w.violations, fmt.Sprintf("%s operated twice by %s", o.VM, vm.Wave))
	}
	switch {
	case w.rng.Float64() < w.breaks:
		m.from, m.to = m.ends, never
	case w.rng.Float64() < w.secondLoss:
		w.lose(m, m.ends.Add(w.between(0, 2)), w.between(1, 8))
	}
}

// check checks what can't be seen from a single change.
func (w *world) check() {
	out, holders := 0, make(map[tackid.VM]int)
	for _, wave := range w.fleet.Waves() {
		for _, m := range wave.VMs {
			if held(m.Phase) {
				holders[m.VM]++
			}
			if m.Phase == tackfleet.PhaseDone && !w.noPlatform && w.machines[m.VM].runs[wave.ID] == 0 {
				w.violations = append(w.violations, fmt.Sprintf("%s was not operated by %s", m.VM, wave.ID))
			}
		}
		out += wave.OutCount()
	}
	for id, n := range holders {
		if n > 1 {
			w.violations = append(w.violations, fmt.Sprintf("%s is in %d waves", id, n))
		}
	}
	for vm := range w.fleet.EachVM() {
		if m := w.machines[vm.ID]; vm.Routable() && m.begins <= w.now && w.now < m.ends {
			w.violations = append(w.violations, fmt.Sprintf("%s may get work during its operation", vm.ID))
		}
	}
	w.peak = max(w.peak, out)
	have, required := w.serving()
	for s, n := range have {
		if n < required[s] {
			w.short += w.step
			break
		}
	}
}

// run ticks until no wave runs or holds a VM, or until the limit, and returns
// the time it took.
func (w *world) run(limit tackclock.Duration) tackclock.Duration {
	start := w.now
	for w.now.Sub(start) < limit && w.active() {
		w.tick()
	}
	return w.now.Sub(start)
}

// until ticks until the condition holds.
func (w *world) until(t *testing.T, what string, done func() bool) {
	for !done() {
		if w.tick(); !w.active() {
			t.Fatalf("the wave ended before %s", what)
		}
	}
}

// phases counts, by phase, the wave's VMs for which where returns true. A nil
// where selects all.
func (w *world) phases(wave tackid.Wave, where func(m *machine) bool) map[tackfleet.Phase]int {
	n := make(map[tackfleet.Phase]int)
	v, _ := w.fleet.Wave(wave)
	for _, m := range v.VMs {
		if where == nil || where(w.machines[m.VM]) {
			n[m.Phase]++
		}
	}
	return n
}

func (w *world) active() bool {
	return slices.ContainsFunc(w.fleet.Waves(), func(v tackfleet.Wave) bool {
		return v.Status == tackfleet.WaveRunning || v.HeldCount() > 0
	})
}

// Now implements View.
func (w *world) Now() tackclock.Time { return w.now }

// Fleet implements View.
func (w *world) Fleet() *tackfleet.State { return w.fleet }

// Platform implements View.
func (w *world) Platform() bool { return !w.noPlatform }

// Fenced implements View.
func (w *world) Fenced(tackid.Revision) bool { return true }

// Idle implements View.
func (w *world) Idle(id tackid.VM, fence tackid.Revision) bool {
	m := w.machines[id]
	if _, ok := m.work[fence]; !ok {
		m.work[fence] = w.now.Add(tackclock.Duration(w.rng.IntN(30_000)))
		if w.rng.Float64() < w.busy {
			m.work[fence] = w.now.Add(w.between(12, 30))
		}
	}
	return w.now >= max(m.work[fence], m.busyUntil)
}

// Operation implements View.
func (w *world) Operation(id tackid.VM) OperationStatus {
	m := w.machines[id]
	switch {
	case m.op == "" || w.rng.Float64() < w.lostAnswer:
		return OperationStatus{}
	case w.now < m.begins:
		return OperationStatus{State: PlatformServing, Operation: m.op}
	case w.now < m.ends:
		return OperationStatus{State: PlatformRebooting, Operation: m.op}
	case m.failed:
		return OperationStatus{State: PlatformFailed, Operation: m.op}
	}
	return OperationStatus{State: PlatformServing, Operation: m.op}
}
