package tackvm

import (
	"context"
	"sync"
	"sync/atomic"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackplace"
	"auburntack/core/tackreplica"
	"auburntack/core/tackstate"
	"auburntack/core/tackwave"
	"auburntack/io/tacksettings"
)

const (
	reconcileInterval = 200 * tackclock.Millisecond
	// reconcileTimeout is how long the leader waits for its proposals to be applied
	// before it decides again.
	reconcileTimeout = 2 * tackclock.Second
	// operationPollInterval is how often the platform is asked about a VM with an
	// operation in progress.
	operationPollInterval = 500 * tackclock.Millisecond
	// maxOperationCalls bounds the concurrent calls to the platform about operations.
	maxOperationCalls = 16
)

var wavePreferences = map[tacksettings.Preference]tackwave.Prefer{
	tacksettings.PreferBuffer: tackwave.PreferBuffer,
	tacksettings.PreferTime:   tackwave.PreferTime,
}

type (
	// reconciler is the state for what the leader does beyond replicating the log. All
	// fields but operations are accessed only by the loop, unless they have their own
	// synchronization.
	reconciler struct {
		planner   *tackwave.Planner
		lastRound tackclock.Time
		// proposedIndex is the last revision proposed by an earlier round, in the term
		// proposedTerm. The next round waits until it is applied, so that it decides on
		// the resulting state.
		proposedIndex tackid.Revision
		proposedTerm  tackreplica.Term
		proposedAt    tackclock.Time

		reports    map[tackid.Peer]receivedReport
		lastReport tackclock.Time
		// reportedTo is the leader to which this VM has sent a report since it started.
		reportedTo    tackid.Peer
		unleasedSince map[tackid.Peer]tackclock.Time
		reportedIdle  bool
		stopped       atomic.Bool
		awaitingIdle  awaitingIdleVMs
		// vmBuffer holds the VMs while observations examines them. It is reused, since
		// otherwise half a megabyte of garbage is allocated five times per second.
		vmBuffer []tackfleet.VM

		operations operations
		tasks      tasks
	}

	// awaitingIdleVMs lists the VMs that may get no new work, as of fleetRevision.
	awaitingIdleVMs struct {
		valid         bool
		fleetRevision tackid.Revision
		vms           []tackid.VM
	}

	// operations tracks the calls to the platform in progress and the last status it
	// reported for each VM.
	operations struct {
		mu       sync.Mutex
		status   map[tackid.VM]tackwave.OperationStatus
		calledAt map[tackid.VM]tackclock.Time
		active   int
	}

	// view is the input of the wave planner on this VM.
	view struct {
		v   *VM
		now tackclock.Time
	}
)

// tickReconciler compares, on the leader, the desired state of the fleet with the
// observed one and proposes the difference.
func (v *VM) tickReconciler(now tackclock.Time) {
	if !v.node.LeaderLease(now) {
		v.reconciler.unleasedSince = nil
		return
	}
	if now.Sub(v.reconciler.lastRound) < reconcileInterval {
		return
	}
	v.watchLeases(now)
	v.reconciler.lastRound = now
	if v.changesPending(now) {
		return
	}
	changes, decision, placement := v.decide(now)
	for i := range changes {
		v.proposeChange(now, &changes[i])
	}
	for _, op := range decision.Operations {
		v.startOperation(op)
	}
	v.pollOperations(now)
	v.carryOutOrders(placement.Orders)
	v.pollUsage(now)
}

// decide returns the changes to propose, and the decisions of which they are a part.
func (v *VM) decide(now tackclock.Time) ([]tackfleet.Change, tackwave.Decision, tackplace.Decision) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	placement := v.decideTasks(now)
	decision := v.reconciler.planner.Decide(view{v: v, now: now}, v.waveSettings(now))
	changes := append(v.observations(now), v.withoutTaskVMs(decision.Changes)...)
	return append(changes, placement.Changes...), decision, placement
}

func (v *VM) changesPending(now tackclock.Time) bool {
	s := v.status.Load()
	return v.reconciler.proposedTerm == s.Term && v.applied.Index < v.reconciler.proposedIndex && now.Sub(v.reconciler.proposedAt) < reconcileTimeout
}

func (v *VM) proposeChange(now tackclock.Time, c *tackfleet.Change) {
	p := tackstate.Proposal{Fleet: c}
	data, err := p.Encode()
	if err != nil {
		v.log.WithError(err).Error("cannot encode a fleet change")
		return
	}
	index, term, err := v.node.Propose(now, data)
	if err != nil {
		return
	}
	v.reconciler.proposedIndex = index
	v.reconciler.proposedTerm = term
	v.reconciler.proposedAt = now
}

// observations returns a change that records what the announcements say about the
// fleet's VMs, where that differs from the recorded state.
func (v *VM) observations(now tackclock.Time) []tackfleet.Change {
	v.directoryMu.Lock()
	defer v.directoryMu.Unlock()
	known := v.reconciler.vmBuffer[:0]
	for vm := range v.state.Fleet.EachVM() {
		known = append(known, *vm)
	}
	v.reconciler.vmBuffer = known
	seen := v.directory.Observations(now, known)
	if len(seen) == 0 {
		return nil
	}
	return []tackfleet.Change{{Observe: seen}}
}

func (v *VM) waveSettings(now tackclock.Time) tackwave.Settings {
	w := v.cfg.Wave
	return tackwave.Settings{
		Prefer:         wavePreferences[w.Prefer],
		NightEnds:      v.nightEnds(now),
		Settle:         w.Settle,
		DrainLimit:     w.DrainLimit,
		OperationLimit: w.OperationLimit,
		Reboot:         w.Reboot,
		Canary:         w.Canary,
		MaxLost:        w.MaxLost,
	}
}

// nightEnds returns the first moment at the configured time of day after the earliest
// start or resumption of a running wave, or after now if none is running. It returns
// zero if no time of day is configured. Counting from now in all cases would give a wave
// that overruns another whole day.
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

// Fleet returns the fleet state applied on this VM.
func (w view) Fleet() *tackfleet.State { return &w.v.state.Fleet }

// Idle reports whether no peer has work in flight on the VM and no task may still be
// running there.
func (w view) Idle(id tackid.VM, fence tackid.Revision) bool {
	vm, ok := w.v.state.Fleet.VM(id)
	return ok && !w.v.runsTasks(id) && w.v.idle(w.now, vm, fence)
}

// Fenced reports whether no peer routes by a revision older than rev.
func (w view) Fenced(rev tackid.Revision) bool {
	done, missing := w.v.node.InForce(w.now, rev)
	return done && len(missing) == 0
}

// Platform reports whether a platform is configured to carry out maintenance.
func (w view) Platform() bool { return w.v.platform != nil }

// Operation returns the last status that the platform reported for the VM.
func (w view) Operation(vm tackid.VM) tackwave.OperationStatus {
	return w.v.reconciler.operations.statusOf(vm)
}

func (o *operations) statusOf(vm tackid.VM) tackwave.OperationStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status[vm]
}

// begin reserves one of the concurrent calls to the platform. It reports false if none
// is free or the last call about the VM was less than operationPollInterval ago.
func (o *operations) begin(now tackclock.Time, vm tackid.VM) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.active >= maxOperationCalls || now.Sub(o.calledAt[vm]) < operationPollInterval {
		return false
	}
	if o.calledAt == nil {
		o.calledAt = make(map[tackid.VM]tackclock.Time)
		o.status = make(map[tackid.VM]tackwave.OperationStatus)
	}
	o.calledAt[vm] = now
	o.active++
	return true
}

func (o *operations) end(vm tackid.VM, s *tackwave.OperationStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
	if s != nil {
		o.status[vm] = *s
	}
}

// startOperation asks the platform to reboot or upgrade a VM. The planner repeats the
// request until the platform reports the operation, so a lost call needs no retry here.
func (v *VM) startOperation(op tackwave.OperationRequest) {
	if v.platform == nil || !v.reconciler.operations.begin(v.clock.Now(), op.VM) {
		return
	}
	go func() {
		defer v.reconciler.operations.end(op.VM, nil)
		if err := v.platform.Start(context.Background(), op.VM, op.Action, op.Operation); err != nil {
			v.log.WithField("worker", op.VM).WithError(err).Warn("cannot start the operation on the platform")
		}
	}()
}

// pollOperations asks the platform about the VMs that have an operation in progress.
func (v *VM) pollOperations(now tackclock.Time) {
	if v.platform == nil {
		return
	}
	for _, w := range v.state.Fleet.Waves() {
		for _, x := range w.VMs {
			if x.Phase == tackfleet.PhaseOperating && v.reconciler.operations.begin(now, x.VM) {
				go v.pollOperation(x.VM)
			}
		}
	}
}

func (v *VM) pollOperation(vm tackid.VM) {
	s, err := v.platform.State(context.Background(), vm)
	if err != nil {
		v.log.WithField("worker", vm).WithError(err).Debug("cannot read the VM's state from the platform")
		v.reconciler.operations.end(vm, nil)
		return
	}
	v.reconciler.operations.end(vm, &tackwave.OperationStatus{State: tackwave.PlatformState(s.State), Operation: s.Operation})
}
