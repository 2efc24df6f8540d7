package tackdispatch

import (
	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackpool"
	"auburntack/core/tackroom"
)

const (
	// moveSlack is how much longer than the duration of a move to wait for a VM that was
	// sent to another pool and has not reported from there.
	moveSlack = 3500 * tackclock.Millisecond
	// standbySlack is how much longer than the duration of a move a VM that was sent to
	// the standby pool is left alone. Nothing reports from there.
	standbySlack = 300 * tackclock.Millisecond
	// minReports is the number of reports after which a worker may be chosen for a move.
	// The first report to a new leader may have been under way for seconds, so it does
	// not prove that the worker has nothing to do.
	minReports = 2
	// emptyFor is how long a worker that is emptied for a move gets nothing new: three
	// rounds of the planner, each of which renews it while the plan holds.
	emptyFor = 500 * tackclock.Millisecond
)

type (
	// Machine is a worker's VM as the platform lists it.
	Machine struct {
		VM       tackid.VM
		Service  tackid.Service
		Capacity tackroom.Resources
		// Labels are its kind and its rack.
		Labels []string
		// Up says that the VM is neither moving nor down.
		Up bool
	}

	// moving is a VM on its way to another pool.
	moving struct {
		to          tackid.Service
		resources   tackroom.Resources
		labels      []string
		since       tackclock.Time
		incarnation WorkerID // the incarnation that the move ends
		// doneAt is when the platform consented to the move, zero before.
		doneAt tackclock.Time
	}
)

// Inventory updates the platform's list of VMs. Those of a standby pool send no
// heartbeats, so they are known only from this list.
func (d *Dispatcher) Inventory(machines []Machine) {
	d.unlisted = false
	d.standby, d.listed = make(map[tackid.VM]Machine), make(map[tackid.Service]tackroom.Resources)
	for _, m := range machines {
		if d.workersByVM[m.VM] == nil && m.Up {
			d.addStandby(m)
		}
	}
}

func (d *Dispatcher) addStandby(m Machine) {
	d.removeStandby(m.VM)
	d.standby[m.VM] = m
	d.listed[m.Service] = d.listed[m.Service].Plus(m.Capacity)
}

func (d *Dispatcher) removeStandby(vm tackid.VM) {
	if m, known := d.standby[vm]; known {
		d.listed[m.Service] = d.listed[m.Service].Minus(m.Capacity)
		delete(d.standby, vm)
	}
}

// poolCores returns the millicores of a service's pool: those of the workers that report
// and, until all workers have had time to report, those of the VMs that the platform
// lists there. It is zero while neither is reliable.
//
// Load pattern: a leader is lost under load. Judged by the few workers that have reported
// to the next one within the first moments, all jobs submitted then would seem to end too
// late.
func (d *Dispatcher) poolCores(now tackclock.Time, service tackid.Service) int {
	if d.unlisted && !d.EarlierLeasesEnded(now) {
		return 0
	}
	cores := d.pool(service).totals.capacity.MilliCores
	if !d.EarlierLeasesEnded(now) {
		cores += d.listed[service].MilliCores
	}
	return cores
}

// Pools returns the input of the planner of moves. VMs that may not be moved are marked
// as fixed.
func (d *Dispatcher) Pools(now tackclock.Time, c *tackcatalog.Catalog, free func(tackid.VM) bool) []tackpool.Pool {
	var pools []tackpool.Pool
	d.endMoves(now, c)
	for _, s := range c.Services {
		p := tackpool.Pool{Service: s.Name, Standby: s.Standby}
		if s.Standby {
			p.VMs = d.standbyVMs(s.Name, free)
		} else {
			d.fillPool(now, &p, free)
		}
		coming := 0
		for vm, m := range d.moves {
			if m.to == s.Name {
				p.Incoming = append(p.Incoming, tackpool.VM{Name: vm, Resources: m.resources, Labels: m.labels})
				coming += m.resources.MilliCores
			}
		}
		d.pool(s.Name).coming = coming
		pools = append(pools, p)
	}
	d.updateSpare(pools)
	return pools
}

// endMoves removes moves that need no longer be tracked: those to the standby pool after
// their usual duration, and those that cannot be confirmed to have happened. A VM whose
// move to standby has no known end could not be called back, however urgently it is
// needed.
func (d *Dispatcher) endMoves(now tackclock.Time, c *tackcatalog.Catalog) {
	for vm, m := range d.moves {
		if now.Sub(m.since) > d.cfg.Move+moveSlack {
			d.giveUpMove(now, vm, m)
			continue
		}
		to := c.Service(m.to)
		if to != nil && to.Standby && m.doneAt != 0 && now.Sub(m.doneAt) > d.cfg.Move+standbySlack {
			delete(d.moves, vm)
		}
	}
}

// giveUpMove drops a move that cannot be confirmed to have happened. Otherwise the VM
// would never get work again.
func (d *Dispatcher) giveUpMove(now tackclock.Time, vm tackid.VM, m *moving) {
	delete(d.moves, vm)
	if w := d.workersByVM[vm]; w != nil && w.id == m.incarnation {
		w.leaving = false
		d.updateTotals(now, w)
	}
}

func (d *Dispatcher) standbyVMs(service tackid.Service, free func(tackid.VM) bool) []tackpool.VM {
	vms := make([]tackpool.VM, 0, len(d.standby))
	for vm, m := range d.standby {
		if m.Service == service && d.moves[vm] == nil && d.workersByVM[vm] == nil {
			vms = append(vms, tackpool.VM{Name: vm, Resources: m.Capacity, Labels: m.Labels, Fixed: d.inUpkeep(vm) || !free(vm)})
		}
	}
	return vms
}

func (d *Dispatcher) fillPool(now tackclock.Time, out *tackpool.Pool, free func(tackid.VM) bool) {
	p := d.pools[out.Service]
	if p == nil {
		return
	}
	out.VMs = make([]tackpool.VM, 0, len(p.workers))
	for _, w := range p.workers {
		if w.draining || w.silent(now) {
			continue
		}
		vm := tackpool.VM{Name: w.vm, Resources: w.batchRoom(), Labels: w.labels}
		if len(w.runs) == 0 && w.orphanUsed == (tackroom.Resources{}) {
			vm.Idle = max(1, now.Sub(w.idleSince))
		}
		vm.Busy, vm.Emptying = w.busyFor(now), now < w.emptiedUntil
		vm.Fixed = w.fixed || w.vm == "" || w.leaving || d.inUpkeep(w.vm) || w.reports < minReports || !free(w.vm) || w.exposed
		out.VMs = append(out.VMs, vm)
	}
	out.Demands = d.demands(now, p)
}

// busyFor returns the time after which all that runs on the worker should have ended;
// zero if nothing runs, or something whose end is not foreseeable.
func (w *worker) busyFor(now tackclock.Time) tackclock.Duration {
	var longest tackclock.Duration
	for _, r := range w.runs {
		if r.step.LongRunning || r.step.Gang || r.step.BestEffort {
			return 0
		}
		longest = max(longest, r.remaining(now))
	}
	return longest
}

// remaining returns how long the run should still take, at least one millisecond: by its
// progress once it has made some, otherwise by the time that its step is expected to
// take.
func (r *run) remaining(now tackclock.Time) tackclock.Duration {
	done := r.percent - r.startPercent
	if !r.listed || done <= 0 {
		return max(1, r.expected()-now.Sub(r.started))
	}
	ran := r.progressAt.Sub(r.listedAt)
	return max(1, ran*tackclock.Duration(100-r.percent)/tackclock.Duration(done)-now.Sub(r.progressAt))
}

// WithholdWork withholds new work from VMs for a while, so that they can soon be moved.
func (d *Dispatcher) WithholdWork(now tackclock.Time, vms []tackid.VM) {
	for _, vm := range vms {
		w := d.workersByVM[vm]
		if w == nil {
			continue
		}
		if now >= w.emptiedUntil {
			d.noteWorker(now, EventEmptied, w, "")
		}
		w.emptiedUntil = now.Add(emptyFor)
		d.updateTotals(now, w)
	}
}

// inUpkeep reports whether a wave is emptying the VM or has taken it down.
func (d *Dispatcher) inUpkeep(vm tackid.VM) bool {
	st := d.upkeeps[vm]
	return st != nil && (st.calledAt != 0 || d.cordon[vm])
}

// Moving records that a VM is about to be sent to another pool. It gets nothing new.
func (d *Dispatcher) Moving(now tackclock.Time, m tackpool.Move) {
	next := &moving{to: m.To, since: now}
	if w := d.workersByVM[m.VM]; w != nil {
		w.leaving = true
		d.updateTotals(now, w)
		next.incarnation, next.resources, next.labels = w.id, w.capacity, w.labels
		d.noteWorker(now, EventMove, w, "to "+string(m.To))
	} else {
		next.resources, next.labels = d.standby[m.VM].Capacity, d.standby[m.VM].Labels
		d.note(Event{Kind: EventMove, At: now, VM: m.VM, Reason: "to " + string(m.To)})
	}
	d.moves[m.VM] = next
	d.spareVMs.take(next.resources.MilliCores)
}

// Moved records the result of a move: done says that the VM is on its way, refused that
// it is certain to stay.
func (d *Dispatcher) Moved(now tackclock.Time, vm tackid.VM, done, refused bool) {
	m := d.moves[vm]
	if m == nil {
		return
	}
	w := d.workersByVM[vm]
	here := w != nil && w.id == m.incarnation
	switch {
	case done:
		if here {
			d.terminate(now, w, "moved to another pool")
		}
		// If the VM is in that pool already, the platform consents and nothing there ends.
		d.terminateFormers(now, vm, func(f *former) bool { return f.service != m.to })
		parked := d.standby[vm]
		parked.VM, parked.Service, parked.Capacity, parked.Labels = vm, m.to, m.resources, m.labels
		d.addStandby(parked)
		m.doneAt = now
	case refused:
		if here {
			w.leaving = false
			d.updateTotals(now, w)
		}
		delete(d.moves, vm)
	}
}
