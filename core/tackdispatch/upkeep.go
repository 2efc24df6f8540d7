package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackupkeep"
)

const (
	// drainLimit is how long a VM that is next for upkeep is kept free of new
	// work so that what runs there can end by itself.
	drainLimit = 4 * tackclock.Second
	// spareTime is the part of a wave's time that is kept in hand: within it,
	// work that runs is given up rather than the time.
	spareTime = 4 * tackclock.Second
	// downLimit is after which time a VM that was taken down and has not come
	// back counts no more against what may be down at once.
	downLimit = 20 * tackclock.Second
	// upkeepSlack is added to the platform's time for an upkeep.
	upkeepSlack = tackclock.Second
	// doubtFor is how long a heartbeat may have been under way when the
	// platform consented to an upkeep.
	doubtFor = tackclock.Second
	// callAgainAfter spaces out the calls for one VM.
	callAgainAfter = tackclock.Second
	// silentAfter is after which silence what a worker listed last is not relied
	// on any more: four of the heartbeats that even a busy one sends.
	silentAfter = 1600 * tackclock.Millisecond
	// atWork is the percentage that a worker lists for an item that lasts and
	// serves.
	atWork = 100
)

// silent reports whether the worker may be gone, though its lease runs on.
func (w *worker) silent(now tackclock.Time) bool {
	return now.Sub(w.heardAt) > silentAfter+w.patience
}

// upkeepState is what the leader knows of one VM of a wave.
type upkeepState struct {
	drainedFrom tackclock.Time
	// calledAt is when it was taken down, zero while it is up; life is the
	// one that the call ended.
	calledAt tackclock.Time
	life     WorkerID
	// callFrom is when the next call may be made.
	callFrom tackclock.Time
	// surely says that the platform has not done the upkeep before, so that
	// its consent means that the life is over. unclear is set once a call was
	// made that it may have carried out.
	surely  bool
	unclear bool
	// doubtAt is when a consent came that may mean an earlier call.
	doubtAt tackclock.Time
}

// NextUpkeep returns the VMs of a wave that can be taken down now, and keeps
// those that come next free of new work.
func (d *Dispatcher) NextUpkeep(now tackclock.Time, w *tackupkeep.Wave) []tackid.VM {
	room := max(w.AtOnce, 1) - d.down(now, w)
	next := d.callAgain(now, w)
	if room <= 0 {
		return next
	}
	for _, vm := range d.soonest(w, room) {
		st := d.upkeepOf(vm)
		if st.drainedFrom == 0 {
			st.drainedFrom = now
			d.setCordon(now, vm, true)
		}
		if now >= st.callFrom && d.mayTakeDown(now, vm, st, w) {
			st.surely = w.Term == d.term && !st.unclear
			if life := d.lives[vm]; life != nil {
				life.leaving = true
				d.recount(now, life)
				d.noteWorker(now, EventUpkeep, life, "")
			}
			next = append(next, vm)
		}
	}
	return next
}

// callAgain returns the VMs whose call got no clear answer. The platform says
// that it is done if it is, so the same call is safe.
func (d *Dispatcher) callAgain(now tackclock.Time, w *tackupkeep.Wave) []tackid.VM {
	var again []tackid.VM
	for _, vm := range w.Left() {
		if st := d.upkeeps[vm]; st != nil && st.calledAt != 0 && now >= st.callFrom {
			again = append(again, vm)
		}
	}
	return again
}

// downFor is how long a VM counts as down if nobody says that it is back. One
// in the standby pool never says so; the platform's own time has to do.
func (d *Dispatcher) downFor(st *upkeepState) tackclock.Duration {
	if st.life == "" {
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

// down counts the VMs of a wave that are down for it: from the call until the
// next life reports. Nobody says when a VM that never comes back stopped
// counting, so it does after a while.
func (d *Dispatcher) down(now tackclock.Time, w *tackupkeep.Wave) int {
	n := 0
	for _, vm := range w.VMs {
		st := d.upkeeps[vm]
		if st == nil || st.calledAt == 0 {
			continue
		}
		life := d.lives[vm]
		back := life != nil && life.id != st.life
		if back || now.Sub(st.calledAt) > d.downFor(st) {
			if life != nil && !back {
				life.leaving = false // it is still there, so no call was carried out
			}
			st.calledAt = 0
			d.setCordon(now, vm, false)
			continue
		}
		n++
	}
	return n
}

// soonest picks the VMs that come next: those already being emptied, then
// those with the least work on them.
func (d *Dispatcher) soonest(w *tackupkeep.Wave, n int) []tackid.VM {
	var chosen []tackid.VM
	for len(chosen) < n {
		best, bestScore := tackid.VM(""), 0
		for _, vm := range w.Left() {
			if contains(chosen, vm) || d.upkeepOf(vm).calledAt != 0 {
				continue
			}
			score := d.loadOf(vm)
			if d.upkeepOf(vm).drainedFrom != 0 {
				score = -1
			}
			if best == "" || score < bestScore {
				best, bestScore = vm, score
			}
		}
		if best == "" {
			break
		}
		chosen = append(chosen, best)
	}
	return chosen
}

func contains(list []tackid.VM, vm tackid.VM) bool {
	for _, o := range list {
		if o == vm {
			return true
		}
	}
	return false
}

func (d *Dispatcher) loadOf(vm tackid.VM) int {
	w := d.lives[vm]
	if w == nil {
		return 0
	}
	return 1 + len(w.runs)
}

// mayTakeDown reports whether what runs on the VM can be missed.
func (d *Dispatcher) mayTakeDown(now tackclock.Time, vm tackid.VM, st *upkeepState, w *tackupkeep.Wave) bool {
	life := d.lives[vm]
	if life == nil {
		// Nothing is known to run there. Before the leader has heard all
		// workers, something may.
		return d.Sure(now)
	}
	hurry := now.Sub(st.drainedFrom) > drainLimit || now > w.Due().Add(-spareTime)
	if !life.draining && !d.evacuate(now, life) {
		return false
	}
	for _, r := range life.runs {
		if !r.step.LongRunning && !hurry {
			return false
		}
	}
	return true
}

// evacuate reports whether the items that last on a worker can be missed all at
// once. Where too many of one step are there it has one of them stopped, to
// start elsewhere; the next follows when that one is at work again.
func (d *Dispatcher) evacuate(now tackclock.Time, w *worker) bool {
	possible := true
	for key, here := range w.steps {
		s := d.stepOf(key)
		if s == nil || !s.LongRunning || s.MayMiss == 0 {
			continue
		}
		away, elsewhere := d.away(now, s, w)
		if elsewhere+here <= s.MayMiss {
			continue
		}
		possible = false
		if away < s.MayMiss {
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

// stopOne has one item of the step stopped, unless one already is.
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

// away counts the step's items that are not at work, and those among them that
// are not on w.
func (d *Dispatcher) away(now tackclock.Time, s *openStep, w *worker) (all, elsewhere int) {
	for i := range s.Count {
		r := d.running[s.item(int32(i))]
		working := r != nil && r.percent >= atWork && !r.stopping && !r.worker.leaving && !r.worker.silent(now)
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

// UpkeepCalled takes in what became of a call: done says that the VM is going
// down, refused that it is surely not. Where neither is known it may be.
func (d *Dispatcher) UpkeepCalled(now tackclock.Time, vm tackid.VM, done, refused bool) {
	st := d.upkeepOf(vm)
	st.callFrom = now.Add(callAgainAfter)
	if refused && !done {
		if life := d.lives[vm]; life != nil {
			life.leaving = false
			d.recount(now, life)
		}
		return
	}
	if st.calledAt == 0 {
		if life := d.lives[vm]; life != nil {
			st.life = life.id
		}
	}
	if done {
		d.endLapsed(now, vm, "")
	}
	// Of several calls the last may be the one that was carried out. Were the VM
	// down from the first one, the next would be taken down beside it.
	st.calledAt = now
	st.unclear = true // from now on a consent may mean this call
	life := d.lives[vm]
	if !done || life == nil || life.id != st.life {
		return
	}
	if st.surely {
		d.lose(now, life, "taken down for upkeep")
		return
	}
	// The platform consents as well if an earlier call was carried out. Then the
	// life goes on, and what runs there must not start elsewhere. A further
	// heartbeat or the end of the lease tells.
	st.doubtAt = now
}

// survived takes in that a life still sends heartbeats some time after the
// platform's doubtful consent.
func (d *Dispatcher) survived(now tackclock.Time, w *worker) {
	st := d.upkeeps[w.vm]
	if st == nil || st.doubtAt == 0 || st.life != w.id || now.Sub(st.doubtAt) < doubtFor {
		return
	}
	st.doubtAt, st.calledAt = 0, 0
	w.leaving = false
	d.setCordon(now, w.vm, false)
}
