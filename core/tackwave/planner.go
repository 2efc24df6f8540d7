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
	// askAgain is how long the platform has to confirm an operation before
	// it is asked again.
	askAgain = 5 * tackclock.Second
	// maxAsked bounds how many operations are remembered as asked for. Those
	// that another leader saw end would stay for good.
	maxAsked = 10_000
)

type (
	// Planner decides how waves go on. What it keeps is only learned: how
	// long drains and operations take, and how often a VM is lost again after
	// a repair. A new one starts from the settings and makes the same
	// decisions but for that. The zero value is ready; it is safe for
	// concurrent use, since operators ask for costs and holds meanwhile.
	Planner struct {
		mu     sync.Mutex
		times  times
		repair repairs
		asked  map[tackid.Operation]tackclock.Time
		busy   map[tackid.VM]tackclock.Time // given up to drain, and when
		// members are the VMs by pool, as of the tick under way.
		members map[tackid.Pool][]*tackfleet.VM
		rooms   map[tackid.Pool]*room
		base    census                    // scratch of fill
		sizes   map[tackid.DataCentre]int // scratch of fill
		count   int                       // ticks so far
		fewest  int                       // VMs out at once that end the waves in time
		held    map[tackid.Wave][]Hold
		binds   map[tackid.Wave]string
	}

	// Hold is a VM that keeps a wave waiting, and why.
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
		// done are the VMs that this tick proposes to be through: what comes
		// later in the decision may count on them.
		done map[tackid.VM]bool
		// taken are the VMs that this tick proposes to take out: two waves
		// may be over one pool.
		taken map[tackid.VM]bool
		out   Decision
	}
)

// Decide returns what to do next. It is meant for the leader, every second or
// so. A change it proposes may get lost or be refused: the next tick sees the
// state as it is and proposes again.
func (p *Planner) Decide(v View, cfg Settings) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	t := &tick{Planner: p, v: v, f: v.Fleet(), now: v.Now(), cfg: cfg.withDefaults()}
	t.done = make(map[tackid.VM]bool)
	t.taken = make(map[tackid.VM]bool)
	t.look()
	waves := t.f.Waves()
	for i := range waves {
		t.advance(&waves[i])
	}
	running := t.running(waves)
	t.share(running)
	if len(running) == 0 {
		clear(t.busy)
	}
	for i := range running {
		t.goOn(running[i].wave, &running[i].progress)
	}
	t.release()
	return t.out
}

// Holds returns the VMs that kept the wave waiting at the last tick.
func (p *Planner) Holds(w tackid.Wave) []Hold {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[w]
}

// Binds returns what kept the wave from taking more VMs at the last tick; it
// is empty where nothing did.
func (p *Planner) Binds(w tackid.Wave) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.binds[w]
}

func (p *Planner) init() {
	if p.asked == nil {
		p.members = make(map[tackid.Pool][]*tackfleet.VM)
		p.rooms = make(map[tackid.Pool]*room)
		p.base = newCensus()
		p.sizes = make(map[tackid.DataCentre]int)
		p.asked = make(map[tackid.Operation]tackclock.Time)
		p.busy = make(map[tackid.VM]tackclock.Time)
	}
	p.count++
	p.held = make(map[tackid.Wave][]Hold)
	p.binds = make(map[tackid.Wave]string)
}

// look takes in every VM once.
func (t *tick) look() {
	for pool, vms := range t.members {
		t.members[pool] = vms[:0]
	}
	for vm := range t.f.EachVM() {
		t.repair.follow(t.now, vm)
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

// release ends the drains and moves that operators asked for, once the VM is
// idle or fenced. It comes after the waves' steps: a VM that joins a pool
// raises what a budget in percent asks for, and a step worked out before
// would be refused after it.
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

// ask sends an operation to the platform, again every askAgain while it is
// not confirmed: the request or its answer may have been lost.
func (t *tick) ask(r OperationRequest) {
	last, ok := t.asked[r.Operation]
	if ok && t.now.Sub(last) < askAgain {
		return
	}
	if len(t.asked) >= maxAsked {
		clear(t.asked)
	}
	t.asked[r.Operation] = t.now
	t.out.Operations = append(t.out.Operations, r)
}

// end ends or stops a wave.
func (t *tick) end(w *tackfleet.Wave, status tackfleet.WaveStatus, reason string) {
	t.propose(tackfleet.Change{WaveEnd: &tackfleet.WaveEnd{Wave: w.ID, Status: status, Reason: reason}})
}

func (t *tick) hold(w *tackfleet.Wave, vm tackid.VM, reason string) {
	t.held[w.ID] = append(t.held[w.ID], Hold{VM: vm, Reason: reason})
}
