package tackwave

import (
	"cmp"
	"slices"
	"sync"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// requestInterval is how long to wait for the platform to confirm an
	// operation before requesting it again.
	requestInterval = 5 * tackclock.Second
	// maxRequests bounds the number of requested operations that are
	// remembered. Without a bound those that ended under another leader would
	// never be forgotten.
	maxRequests = 10_000
)

type (
	// Planner decides the next steps of waves. It keeps only learned values:
	// how long drains and operations take, and how often a VM is lost again
	// after a repair. A new Planner starts from the settings and otherwise
	// makes the same decisions. The zero value is ready to use. A Planner is
	// safe for concurrent use, since operators ask for costs and holds while
	// it decides.
	Planner struct {
		mu            sync.Mutex
		times         times
		repair        repairs
		requested     map[tackid.Operation]tackclock.Time
		drainTimeouts map[tackid.VM]tackclock.Time // when the drain of a VM timed out
		// members are the VMs by pool in the current tick, sorted by id.
		members     map[tackid.Pool][]*tackfleet.VM
		capacities  map[tackid.Pool]*capacity
		allServing  servingCount              // scratch space of fill
		sizes       map[tackid.DataCentre]int // scratch space of fill
		tickCount   int                       // number of ticks so far
		minParallel int                       // fewest VMs out at once with which the waves end in time
		holds       map[tackid.Wave][]Hold
		binds       map[tackid.Wave]string
	}

	// Hold is a VM that a wave is waiting for, and the reason.
	Hold struct {
		VM     tackid.VM
		Reason string
	}

	// tick is one call of Decide.
	tick struct {
		*Planner
		v   View
		f   *tackfleet.State
		now tackclock.Time
		cfg Settings
		// slots is how many more VMs all waves together may take.
		slots int
		// done holds the VMs that this tick proposes as done. Later parts of
		// the same decision may rely on them.
		done map[tackid.VM]bool
		// taken holds the VMs that this tick proposes to take out of service,
		// since several waves may run over one pool.
		taken map[tackid.VM]bool
		out   Decision
	}
)

// Decide returns what to do next. The leader calls it about once a second. A
// proposed change may be lost or refused; the next call decides again from the
// state as it is then.
func (p *Planner) Decide(v View, cfg Settings) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	t := &tick{Planner: p, v: v, f: v.Fleet(), now: v.Now(), cfg: cfg.withDefaults()}
	t.done = make(map[tackid.VM]bool)
	t.taken = make(map[tackid.VM]bool)
	t.collectVMs()
	waves := t.f.Waves()
	for i := range waves {
		t.advance(&waves[i])
	}
	running := t.running(waves)
	t.setSlots(running)
	if len(running) == 0 {
		clear(t.drainTimeouts)
	}
	for i := range running {
		t.continueWave(running[i].wave, &running[i].progress)
	}
	t.release()
	return t.out
}

// Holds returns the VMs that the wave was waiting for at the last tick.
func (p *Planner) Holds(w tackid.Wave) []Hold {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holds[w]
}

// Binds describes the constraint that kept the wave from taking more VMs at the
// last tick. It is empty if there was none.
func (p *Planner) Binds(w tackid.Wave) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.binds[w]
}

func (p *Planner) init() {
	if p.requested == nil {
		p.members = make(map[tackid.Pool][]*tackfleet.VM)
		p.capacities = make(map[tackid.Pool]*capacity)
		p.allServing = newServingCount()
		p.sizes = make(map[tackid.DataCentre]int)
		p.requested = make(map[tackid.Operation]tackclock.Time)
		p.drainTimeouts = make(map[tackid.VM]tackclock.Time)
	}
	p.tickCount++
	p.holds = make(map[tackid.Wave][]Hold)
	p.binds = make(map[tackid.Wave]string)
}

// collectVMs groups the VMs by pool and updates what is learned about repairs.
func (t *tick) collectVMs() {
	for pool, vms := range t.members {
		t.members[pool] = vms[:0]
	}
	for vm := range t.f.EachVM() {
		t.repair.observe(t.now, vm)
		t.members[vm.Pool] = append(t.members[vm.Pool], vm)
	}
}

// member returns a VM of the pool, or nil.
func (t *tick) member(pool tackid.Pool, id tackid.VM) *tackfleet.VM {
	vms := t.members[pool]
	i, ok := slices.BinarySearchFunc(vms, id, func(vm *tackfleet.VM, id tackid.VM) int {
		return cmp.Compare(vm.ID, id)
	})
	if !ok {
		return nil
	}
	return vms[i]
}

// release completes the drains and moves that operators asked for, once the
// VM is idle or fenced. It runs after the waves' steps: a VM that joins a pool
// raises the requirement of a percentage budget, and a step computed without
// it could be refused if it was applied afterwards.
func (t *tick) release() {
	var drained, joined []tackid.VM
	for vm := range t.f.EachVM() {
		switch {
		case vm.Wave != "":
		case vm.State == tackfleet.VMDraining && t.idle(vm.ID, vm.Fence):
			drained = append(drained, vm.ID)
		case vm.State == tackfleet.VMMoving && t.v.Fenced(vm.Fence) && t.f.RunningOn(vm.ID) == 0:
			joined = append(joined, vm.ID)
		}
	}
	if len(drained) > 0 {
		t.propose(tackfleet.Change{Drained: drained})
	}
	if len(joined) > 0 {
		t.propose(tackfleet.Change{Joined: joined})
	}
}

// idle reports whether a VM that is being drained has no work left: no
// request in flight and no task running.
func (t *tick) idle(vm tackid.VM, fence tackid.Revision) bool {
	return t.f.RunningOn(vm) == 0 && t.v.Idle(vm, fence)
}

func (t *tick) propose(c tackfleet.Change) {
	t.out.Changes = append(t.out.Changes, c)
}

// request requests an operation from the platform. It repeats the request every
// requestInterval until the operation is confirmed, since the request or its
// answer may have been lost.
func (t *tick) request(r OperationRequest) {
	last, ok := t.requested[r.Operation]
	if ok && t.now.Sub(last) < requestInterval {
		return
	}
	if len(t.requested) >= maxRequests {
		clear(t.requested)
	}
	t.requested[r.Operation] = t.now
	t.out.Operations = append(t.out.Operations, r)
}

func (t *tick) endWave(w *tackfleet.Wave, status tackfleet.WaveStatus, reason string) {
	t.propose(tackfleet.Change{WaveEnd: &tackfleet.WaveEnd{Wave: w.ID, Status: status, Reason: reason}})
}

func (t *tick) addHold(w *tackfleet.Wave, vm tackid.VM, reason string) {
	t.holds[w.ID] = append(t.holds[w.ID], Hold{VM: vm, Reason: reason})
}
