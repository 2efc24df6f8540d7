package tackwave

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// askAgain is how long the platform has to confirm an operation before
	// it is asked again.
	askAgain = 5 * tackclock.Second
)

type (
	// Planner decides how waves go on. What it keeps is only learned: how
	// long drains and operations take, and how often a VM is lost again after
	// a repair. A new one starts from the settings and makes the same
	// decisions but for that. The zero value is ready; it is not safe for
	// concurrent use.
	Planner struct {
		times  times
		repair repairs
		asked  map[tackid.Operation]tackclock.Time
		busy   map[tackid.VM]tackclock.Time // given up to drain, and when
		held   map[tackid.Wave][]Hold
		binds  map[tackid.Wave]string
		order  order
	}

	// Hold is a VM that keeps a wave waiting, and why.
	Hold struct {
		VM     tackid.VM
		Reason string
	}

	// tick is one call of Decide.
	tick struct {
		*Planner
		v     View
		f     *tackfleet.State
		now   tackclock.Time
		cfg   Settings
		rooms map[tackid.Pool]*room
		out   Decision
	}
)

// Decide returns what to do next. It is meant for the leader, every second or
// so. A change it proposes may get lost or be refused: the next tick sees the
// state as it is and proposes again.
func (p *Planner) Decide(v View, cfg Settings) Decision {
	p.init()
	t := &tick{Planner: p, v: v, f: v.Fleet(), now: v.Now(), cfg: cfg.withDefaults()}
	t.rooms = make(map[tackid.Pool]*room)
	p.repair.observe(t.now, t.f.EachVM())
	t.release()
	waves := t.f.Waves()
	for i := range waves {
		t.advance(&waves[i])
	}
	for i := range waves {
		if waves[i].Status == tackfleet.WaveRunning {
			t.goOn(&waves[i])
		}
	}
	return t.out
}

// Holds returns the VMs that kept the wave waiting at the last tick.
func (p *Planner) Holds(w tackid.Wave) []Hold {
	return p.held[w]
}

// Binds returns what kept the wave from taking more VMs at the last tick; it
// is empty where nothing did.
func (p *Planner) Binds(w tackid.Wave) string {
	return p.binds[w]
}

func (p *Planner) init() {
	if p.asked == nil {
		p.asked = make(map[tackid.Operation]tackclock.Time)
		p.busy = make(map[tackid.VM]tackclock.Time)
	}
	p.held = make(map[tackid.Wave][]Hold)
	p.binds = make(map[tackid.Wave]string)
}

// release ends the drains and moves that operators asked for, once the VM is
// idle or fenced.
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
