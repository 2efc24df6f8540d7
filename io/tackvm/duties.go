package tackvm

import (
	"context"
	"sync"
	"sync/atomic"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackstate"
	"auburntack/core/tackwave"
	"auburntack/io/tacksettings"
)

const (
	dutyEvery = 200 * tackclock.Millisecond
	// dutyLimit is how long the leader waits for what it proposed to be
	// applied before it decides anew.
	dutyLimit = 2 * tackclock.Second
	// pollEvery is how often the platform is asked about a VM under way.
	pollEvery = 500 * tackclock.Millisecond
	// platformCalls bounds the calls to the platform at one time.
	platformCalls = 16
)

var preferences = map[tacksettings.Preference]tackwave.Prefer{
	tacksettings.PreferBuffer: tackwave.PreferBuffer,
	tacksettings.PreferTime:   tackwave.PreferTime,
}

type (
	// duties are what the leader does beyond keeping the log. All but the
	// operations belong to the loop.
	duties struct {
		planner *tackwave.Planner
		at      tackclock.Time
		// until is the last revision proposed by an earlier round and term
		// the term it was proposed in; the next round waits for it, so that
		// it decides by what the earlier one changed.
		until      tackid.Revision
		term       tackreplica.Term
		proposedAt tackclock.Time

		reports  map[tackid.Peer]heardReport
		reported tackclock.Time
		// reportedTo is the leader that had a report of this life.
		reportedTo tackid.Peer
		unleased   map[tackid.Peer]tackclock.Time
		hadIdle    bool
		stopped    atomic.Bool
		leaving    leaving
		// known holds the VMs while observations looks at them. It is kept,
		// since half a megabyte five times a second would else be garbage.
		known []tackfleet.VM

		operations operations
		tasks      tasks
	}

	// leaving are the VMs that may get no new work, as of the fleet's
	// revision.
	leaving struct {
		made  bool
		fleet tackid.Revision
		vms   []tackid.VM
	}

	// operations are the calls to the platform that are under way and what
	// it last said of each VM.
	operations struct {
		mu     sync.Mutex
		said   map[tackid.VM]tackwave.OperationStatus
		asked  map[tackid.VM]tackclock.Time
		active int
	}

	// view is what the wave planner sees of this VM.
	view struct {
		v   *VM
		now tackclock.Time
	}
)

// tickDuties has the leader compare what the fleet should be with what is
// seen and propose the difference.
func (v *VM) tickDuties(now tackclock.Time) {
	if !v.node.LeaderLease(now) {
		v.duties.unleased = nil
		return
	}
	if now.Sub(v.duties.at) < dutyEvery {
		return
	}
	v.watchLeases(now)
	v.duties.at = now
	if v.dutyPending(now) {
		return
	}
	v.mu.RLock()
	placement := v.decideTasks(now)
	decision := v.duties.planner.Decide(view{v: v, now: now}, v.waveSettings(now))
	changes := append(v.observations(now), v.withoutLive(decision.Changes)...)
	changes = append(changes, placement.Changes...)
	v.mu.RUnlock()
	for i := range changes {
		v.proposeDuty(now, &changes[i])
	}
	for _, op := range decision.Operations {
		v.operate(op)
	}
	v.pollOperations(now)
	v.carryOutOrders(placement.Orders)
	v.pollUsage(now)
}

func (v *VM) dutyPending(now tackclock.Time) bool {
	s := v.status.Load()
	return v.duties.term == s.Term && v.applied.Index < v.duties.until && now.Sub(v.duties.proposedAt) < dutyLimit
}

func (v *VM) proposeDuty(now tackclock.Time, c *tackfleet.Change) {
	p := tackstate.Proposal{Fleet: c}
	data, err := p.Encode()
	if err != nil {
		v.log.WithError(err).Error("duty cannot be encoded")
		return
	}
	index, term, err := v.node.Propose(now, data)
	if err != nil {
		return
	}
	v.duties.until = index
	v.duties.term = term
	v.duties.proposedAt = now
}

// observations tells the fleet what the announcements say of its VMs, where
// that differs from what it holds.
func (v *VM) observations(now tackclock.Time) []tackfleet.Change {
	v.directoryMu.Lock()
	defer v.directoryMu.Unlock()
	known := v.duties.known[:0]
	for vm := range v.state.Fleet.EachVM() {
		known = append(known, *vm)
	}
	v.duties.known = known
	seen := v.directory.Observations(now, known)
	if len(seen) == 0 {
		return nil
	}
	return []tackfleet.Change{{Observe: seen}}
}

func (v *VM) waveSettings(now tackclock.Time) tackwave.Settings {
	w := v.cfg.Wave
	return tackwave.Settings{
		Prefer:         preferences[w.Prefer],
		NightEnds:      v.nightEnds(now),
		Settle:         w.Settle,
		DrainLimit:     w.DrainLimit,
		OperationLimit: w.OperationLimit,
		Reboot:         w.Reboot,
		Canary:         w.Canary,
		MaxLost:        w.MaxLost,
	}
}

// nightEnds returns the first moment at the configured time of day that comes
// after the first of the running waves was started or resumed, or after now if
// none runs; it is zero where no time of day is configured. Counting from now
// alone would give a wave that overruns another whole day.
func (v *VM) nightEnds(now tackclock.Time) tackclock.Time {
	began := now
	for _, w := range v.state.Fleet.Waves() {
		if w.Status == tackfleet.WaveRunning && w.Resumed.Before(began) {
			began = w.Resumed
		}
	}
	return v.cfg.Wave.NightEnds.After(began)
}

// Now returns the time of this round.
func (w view) Now() tackclock.Time { return w.now }

// Fleet returns the state that this VM has applied.
func (w view) Fleet() *tackfleet.State { return &w.v.state.Fleet }

// Idle reports whether no peer has work in flight on the VM and no task may
// still run there.
func (w view) Idle(id tackid.VM, fence tackid.Revision) bool {
	vm, ok := w.v.state.Fleet.VM(id)
	return ok && !w.v.runsTasks(id) && w.v.idle(w.now, vm, fence)
}

// Fenced reports whether no peer routes by a revision older than rev.
func (w view) Fenced(rev tackid.Revision) bool {
	done, missing := w.v.node.InForce(w.now, rev)
	return done && len(missing) == 0
}

// Platform reports whether there is a platform to carry out maintenance.
func (w view) Platform() bool { return w.v.platform != nil }

// Operation returns what the platform last said of the VM.
func (w view) Operation(vm tackid.VM) tackwave.OperationStatus {
	return w.v.duties.operations.of(vm)
}

func (o *operations) of(vm tackid.VM) tackwave.OperationStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.said[vm]
}

// begin takes one of the places for calls to the platform, unless the VM was
// asked about a moment ago.
func (o *operations) begin(now tackclock.Time, vm tackid.VM) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.active >= platformCalls || now.Sub(o.asked[vm]) < pollEvery {
		return false
	}
	if o.asked == nil {
		o.asked = make(map[tackid.VM]tackclock.Time)
		o.said = make(map[tackid.VM]tackwave.OperationStatus)
	}
	o.asked[vm] = now
	o.active++
	return true
}

func (o *operations) end(vm tackid.VM, s *tackwave.OperationStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
	if s != nil {
		o.said[vm] = *s
	}
}

// operate asks the platform to reboot or upgrade a VM. The planner asks again
// until the platform shows the operation, so a lost call needs no retry here.
func (v *VM) operate(op tackwave.OperationRequest) {
	if v.platform == nil || !v.duties.operations.begin(v.clock.Now(), op.VM) {
		return
	}
	go func() {
		defer v.duties.operations.end(op.VM, nil)
		if err := v.platform.Start(context.Background(), op.VM, op.Action, op.Operation); err != nil {
			v.log.WithField("worker", op.VM).WithError(err).Warn("platform did not take the operation")
		}
	}()
}

// pollOperations asks the platform about the VMs it has an operation for.
func (v *VM) pollOperations(now tackclock.Time) {
	if v.platform == nil {
		return
	}
	for _, w := range v.state.Fleet.Waves() {
		for _, x := range w.VMs {
			if x.Phase == tackfleet.PhaseOperating && v.duties.operations.begin(now, x.VM) {
				go v.poll(x.VM)
			}
		}
	}
}

func (v *VM) poll(vm tackid.VM) {
	s, err := v.platform.State(context.Background(), vm)
	if err != nil {
		v.log.WithField("worker", vm).WithError(err).Debug("platform did not answer")
		v.duties.operations.end(vm, nil)
		return
	}
	v.duties.operations.end(vm, &tackwave.OperationStatus{State: tackwave.PlatformState(s.State), Operation: s.Operation})
}
