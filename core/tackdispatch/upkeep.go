package tackdispatch

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackupkeep"
)

const (
	// drainLimit is how long a VM that is next for upkeep is kept free of new work, so
	// that what runs there can end by itself.
	drainLimit = 4 * tackclock.Second
	// waveReserve is the remaining time of a wave from which on VMs are taken down even if
	// batch items still run there, so that the wave ends on schedule.
	waveReserve = 4 * tackclock.Second
	// downLimit is the time after which a VM that was taken down and has not come back no
	// longer counts towards the limit of VMs that are down at once.
	downLimit = 20 * tackclock.Second
	// upkeepSlack is added to the platform's duration of an upkeep.
	upkeepSlack = tackclock.Second
	// callRetryDelay is the least interval between calls for one VM, and maxRefusals the
	// number of refused calls after which other VMs of the wave go first.
	callRetryDelay = tackclock.Second
	maxRefusals    = 3
	// silentAfter is the silence after which a worker's last report is no longer relied
	// on: four heartbeat intervals of a busy worker.
	silentAfter = 1600 * tackclock.Millisecond
	// servingPercent is the progress that a worker lists for a long-running item that is
	// serving.
	servingPercent = 100
)

// silent reports whether the worker may be gone, although its lease has not run out.
func (w *worker) silent(now tackclock.Time) bool {
	return now.Sub(w.heardAt) > silentAfter+w.silenceAllowance
}

// upkeepState is the state of one VM of a wave, as known to the leader.
type upkeepState struct {
	drainedFrom tackclock.Time
	// calledAt is when the call to take it down was made, zero while it is up, and
	// incarnation is the incarnation that the call ended.
	calledAt    tackclock.Time
	incarnation WorkerID
	// calledFor is the wave of that call.
	calledFor tackupkeep.Number
	// callFrom is when the next call may be made at the earliest.
	callFrom tackclock.Time
	// refusals counts the calls that the platform refused since the VM was last chosen, and
	// postponed how often others went first because of them.
	refusals, postponed int
	// finalFor is when the VM was chosen, if no earlier call can have been carried out: the
	// platform's consent means that the incarnations that had joined by then are over. Later
	// ones may have begun after a call. It is zero if an earlier call may have been carried
	// out; the calls before a Reset within a term are not known. callMade is set once a call
	// was made that the platform may have carried out.
	finalFor tackclock.Time
	callMade bool
	// consented are the waves for which the platform has consented. Nothing ends on the VM by
	// a further consent.
	consented []tackupkeep.Number
	// uncertainSince is when a consent came that may refer to an earlier call.
	uncertainSince tackclock.Time
}

// NextUpkeep returns the VMs of a wave that can be taken down now, and withholds new work
// from those that come next.
func (d *Dispatcher) NextUpkeep(now tackclock.Time, w *tackupkeep.Wave) []tackid.VM {
	more := max(w.MaxDown, 1) - d.down(now, w)
	next := d.retryCalls(now, w)
	if more <= 0 {
		return next
	}
	for _, vm := range d.soonest(w, more) {
		st := d.upkeepOf(vm)
		if st.drainedFrom == 0 {
			st.drainedFrom = now
			d.setCordon(now, vm, true)
		}
		if now >= st.callFrom && d.mayTakeDown(now, vm, st, w) {
			if st.callMade || d.freshTerm == 0 || w.Term != d.freshTerm {
				st.finalFor = 0
			} else if st.finalFor == 0 {
				st.finalFor = now
			}
			if current := d.workersByVM[vm]; current != nil {
				current.leaving = true
				d.updateTotals(now, current)
				d.noteWorker(now, EventUpkeep, current, "")
			}
			next = append(next, vm)
		}
	}
	return next
}

// retryCalls returns the VMs whose call for the wave got no clear answer. One that is down for
// another wave has its turn once it is back. The platform reports an upkeep as done if it
// already is, so repeating the call is safe.
func (d *Dispatcher) retryCalls(now tackclock.Time, w *tackupkeep.Wave) []tackid.VM {
	var again []tackid.VM
	for _, vm := range w.Remaining() {
		if st := d.upkeeps[vm]; st != nil && st.calledAt != 0 && st.calledFor == w.Number && now >= st.callFrom {
			again = append(again, vm)
		}
	}
	return again
}

// downFor returns how long a VM counts as down if nothing reports that it is back. A VM
// in the standby pool never reports, so the platform's own duration is used.
func (d *Dispatcher) downFor(st *upkeepState) tackclock.Duration {
	if st.incarnation == "" {
		return d.cfg.Upkeep + upkeepSlack
	}
	return downLimit
}

func (d *Dispatcher) upkeepOf(vm tackid.VM) *upkeepState {
	st := d.upkeeps[vm]
	if st == nil {
		st = &upkeepState{}
		d.upkeeps[vm] = st
	}
	return st
}

// down counts the VMs of a wave that are down for it, from the call until the next
// incarnation reports. No incarnation that reports sooner than the upkeep takes can be the
// next one: its heartbeat was under way when the VM was taken down. A VM that never comes
// back stops counting after a while.
func (d *Dispatcher) down(now tackclock.Time, w *tackupkeep.Wave) int {
	n := 0
	for _, vm := range w.VMs {
		st := d.upkeeps[vm]
		if st == nil || st.calledAt == 0 {
			continue
		}
		current := d.workersByVM[vm]
		back := current != nil && current.id != st.incarnation && current.heardAt.Sub(st.calledAt) >= d.cfg.Upkeep
		if back || now.Sub(st.calledAt) > d.downFor(st) {
			if current != nil && !back {
				current.leaving = false // the same incarnation still reports, so no call was carried out
			}
			st.calledAt = 0
			d.setCordon(now, vm, false)
			continue
		}
		n++
	}
	return n
}

// soonest returns the VMs that come next: those that were postponed least often, of these
// the ones already being emptied, then those with the fewest runs.
func (d *Dispatcher) soonest(w *tackupkeep.Wave, n int) []tackid.VM {
	var list []tackid.VM
	for _, vm := range w.Remaining() {
		if d.upkeepOf(vm).calledAt == 0 {
			list = append(list, vm)
		}
	}
	load := func(vm tackid.VM) int {
		if d.upkeepOf(vm).drainedFrom != 0 {
			return -1
		}
		return d.loadOf(vm)
	}
	slices.SortStableFunc(list, func(a, b tackid.VM) int {
		return cmp.Or(cmp.Compare(d.upkeepOf(a).postponed, d.upkeepOf(b).postponed), cmp.Compare(load(a), load(b)))
	})
	return list[:min(n, len(list))]
}

// refusedUpkeep records that the platform refused to take a VM down. A VM that has failed is
// refused until it is repaired, so after some refusals others go first.
func (d *Dispatcher) refusedUpkeep(now tackclock.Time, vm tackid.VM, st *upkeepState) {
	if st.refusals++; st.refusals < maxRefusals {
		return
	}
	st.refusals = 0
	st.postponed++
	st.drainedFrom = 0
	d.setCordon(now, vm, false)
}

func (d *Dispatcher) loadOf(vm tackid.VM) int {
	w := d.workersByVM[vm]
	if w == nil {
		return 0
	}
	return 1 + len(w.runs)
}

// mayTakeDown reports whether the VM can be taken down, given what runs there.
func (d *Dispatcher) mayTakeDown(now tackclock.Time, vm tackid.VM, st *upkeepState, w *tackupkeep.Wave) bool {
	current := d.workersByVM[vm]
	if current == nil {
		// Nothing is known to run there. Something may until the leader has heard from
		// all workers.
		return d.EarlierLeasesEnded(now)
	}
	hurry := now.Sub(st.drainedFrom) > drainLimit || now > w.Due().Add(-waveReserve)
	if !current.draining && !d.evacuate(now, current) {
		return false
	}
	for _, r := range current.runs {
		if !r.step.LongRunning && !hurry {
			return false
		}
	}
	return true
}

// evacuate reports whether all long-running items on a worker can be stopped at once.
// Where it runs too many of one step, one of them is stopped to start elsewhere; the next
// follows when that one is serving again.
func (d *Dispatcher) evacuate(now tackclock.Time, w *worker) bool {
	possible := true
	for key, here := range w.steps {
		s := d.stepOf(key)
		if s == nil || !s.LongRunning || s.MaxUnavailable == 0 {
			continue
		}
		away, elsewhere := d.unavailable(now, s, w)
		if elsewhere+here <= s.MaxUnavailable {
			continue
		}
		possible = false
		if away < s.MaxUnavailable {
			d.stopOne(now, w, s)
		}
	}
	return possible
}

func (d *Dispatcher) stepOf(key stepKey) *openStep {
	o := d.jobs[key.job]
	if o == nil {
		return nil
	}
	return o.steps[key]
}

// stopOne stops one item of the step on the worker, unless one is already being stopped.
func (d *Dispatcher) stopOne(now tackclock.Time, w *worker, s *openStep) {
	var chosen *run
	for _, r := range w.runs {
		if r.step != s {
			continue
		}
		if r.stopping {
			return
		}
		if chosen == nil || r.item.Index < chosen.item.Index {
			chosen = r
		}
	}
	if chosen != nil {
		d.stop(now, chosen, "moved before upkeep")
	}
}

// unavailable counts the step's items that are not serving, and those among them that are
// not on w.
func (d *Dispatcher) unavailable(now tackclock.Time, s *openStep, w *worker) (all, elsewhere int) {
	for i := range s.Count {
		r := d.running[s.item(int32(i))]
		working := r != nil && r.percent >= servingPercent && !r.stopping && !r.worker.leaving && !r.worker.left && !r.worker.silent(now)
		if working {
			continue
		}
		all++
		if r == nil || r.worker != w {
			elsewhere++
		}
	}
	return all, elsewhere
}

// UpkeepCalled records the result of a call for a wave: done says that the VM is going down, refused
// that it certainly is not. If neither is set, it may be.
func (d *Dispatcher) UpkeepCalled(now tackclock.Time, vm tackid.VM, wave tackupkeep.Number, done, refused bool) {
	st := d.upkeepOf(vm)
	st.callFrom = now.Add(callRetryDelay)
	if refused && !done {
		if current := d.workersByVM[vm]; current != nil {
			current.leaving = false
			d.updateTotals(now, current)
		}
		if !st.callMade {
			st.finalFor = 0
		}
		d.refusedUpkeep(now, vm, st)
		return
	}
	if done && slices.Contains(st.consented, wave) {
		if current := d.workersByVM[vm]; current != nil && st.calledAt == 0 {
			current.leaving = false
			d.updateTotals(now, current)
			d.setCordon(now, vm, false)
		}
		return
	}
	if done {
		st.consented = append(st.consented, wave)
	}
	if st.calledAt == 0 {
		if current := d.workersByVM[vm]; current != nil {
			st.incarnation = current.id
		}
	}
	if done {
		d.terminateFormers(now, vm, func(f *former) bool { return f.joinedAt <= st.finalFor || d.overSince(now, f.leaseOverAt) })
	}
	// If there were several calls, the last one may be the one that was carried out. If
	// the VM counted as down only from the first, its time would end too early, and the
	// next VM would be taken down while it is still down.
	st.calledAt, st.calledFor = now, wave
	st.callMade = true // from now on a consent may refer to this call
	current := d.workersByVM[vm]
	if !done || current == nil || current.id != st.incarnation {
		return
	}
	if current.joinedAt <= st.finalFor {
		d.terminate(now, current, "taken down for upkeep")
		return
	}
	// The platform also consents if an earlier call was carried out. Then the present
	// incarnation goes on, and what runs there must not start elsewhere. A further
	// heartbeat, or the end of the lease, shows which is the case.
	st.uncertainSince = now
}

// checkSurvival ends the upkeep of a VM whose worker's incarnation still sends heartbeats
// after an uncertain consent. One that is heard sooner than the upkeep takes may have been
// under way when the VM was taken down. Once that time has passed, the VM is not down,
// whatever the heartbeat proves.
func (d *Dispatcher) checkSurvival(now tackclock.Time, w *worker) {
	st := d.upkeeps[w.vm]
	if st == nil || st.uncertainSince == 0 || st.incarnation != w.id || now.Sub(st.uncertainSince) < d.cfg.Upkeep {
		return
	}
	st.uncertainSince, st.calledAt = 0, 0
	w.leaving = false
	d.setCordon(now, w.vm, false)
}
