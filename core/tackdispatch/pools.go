package tackdispatch

import (
	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackpool"
	"auburntack/core/tackroom"
)

const (
	// moveSlack is for how much longer than a move takes a VM is waited for that
	// was sent to another pool and has not reported from there.
	moveSlack = 3500 * tackclock.Millisecond
	// restSlack is for how much longer than a move takes a VM is left alone that was sent
	// to the standby pool. Nothing reports from there.
	restSlack = 300 * tackclock.Millisecond
	// reportsMean is how many reports of a worker show that it has nothing to do.
	// The first to a new leader may have been under way for seconds.
	reportsMean = 2
	// emptyFor is how long a worker that is emptied for a move gets nothing new:
	// three rounds, each of which says it again while it holds.
	emptyFor = 500 * tackclock.Millisecond
)

type (
	// Machine is a worker's VM as the platform lists it.
	Machine struct {
		VM       tackid.VM
		Service  tackid.Service
		Capacity tackroom.Room
		// Labels are its kind and its rack.
		Labels []string
		// Up says that it is neither moving nor down.
		Up bool
	}

	// moving is a VM on its way to another pool.
	moving struct {
		to     tackid.Service
		room   tackroom.Room
		labels []string
		since  tackclock.Time
		life   WorkerID // the life that the move ended
		// doneAt is when the platform consented, zero before.
		doneAt tackclock.Time
	}
)

// Inventory takes in the platform's list of VMs. Those of a standby pool send
// no heartbeats, so this is the only way to know of them.
func (d *Dispatcher) Inventory(machines []Machine) {
	d.unlisted = false
	d.standby, d.listed = make(map[tackid.VM]Machine), make(map[tackid.Service]tackroom.Room)
	for _, m := range machines {
		if d.lives[m.VM] == nil && m.Up {
			d.putStandby(m)
		}
	}
}

func (d *Dispatcher) putStandby(m Machine) {
	d.takeStandby(m.VM)
	d.standby[m.VM] = m
	d.listed[m.Service] = d.listed[m.Service].Plus(m.Capacity)
}

func (d *Dispatcher) takeStandby(vm tackid.VM) {
	if m, known := d.standby[vm]; known {
		d.listed[m.Service] = d.listed[m.Service].Minus(m.Capacity)
		delete(d.standby, vm)
	}
}

// coresOf is how many thousandths of a core a service's pool has: those of the workers that
// report, and until all of them have had the time to, those of the VMs that the platform
// lists there. It is zero while nothing is known for sure.
//
// Load pattern: a leader is lost under load. By the workers that have reported to the next
// one within a moment, all that comes meanwhile would end too late.
func (d *Dispatcher) coresOf(now tackclock.Time, service tackid.Service) int {
	if d.unlisted && !d.Sure(now) {
		return 0
	}
	cores := d.pool(service).sums.capacity.MilliCores
	if !d.Sure(now) {
		cores += d.listed[service].MilliCores
	}
	return cores
}

// Pools returns what the planner of moves goes by. VMs that are not free to be
// ordered about stay where they are.
func (d *Dispatcher) Pools(now tackclock.Time, c *tackcatalog.Catalog, free func(tackid.VM) bool) []tackpool.Pool {
	var pools []tackpool.Pool
	d.endMoves(now, c)
	for _, s := range c.Services {
		p := tackpool.Pool{Service: s.Name, Standby: s.Standby}
		if s.Standby {
			p.VMs = d.parked(s.Name, free)
		} else {
			d.fillPool(now, &p, free)
		}
		coming := 0
		for vm, m := range d.moves {
			if m.to == s.Name {
				p.Coming = append(p.Coming, tackpool.VM{Name: vm, Room: m.room, Labels: m.labels})
				coming += m.room.MilliCores
			}
		}
		d.pool(s.Name).coming = coming
		pools = append(pools, p)
	}
	return pools
}

// endMoves ends moves that take no longer: to the standby pool once it is time, and those
// that nobody knows to have happened. A VM whose rest is not known to have begun cannot
// be called back, however much it is needed.
func (d *Dispatcher) endMoves(now tackclock.Time, c *tackcatalog.Catalog) {
	for vm, m := range d.moves {
		if now.Sub(m.since) > d.cfg.Move+moveSlack {
			d.giveUpMove(now, vm, m)
			continue
		}
		to := c.Service(m.to)
		if to != nil && to.Standby && m.doneAt != 0 && now.Sub(m.doneAt) > d.cfg.Move+restSlack {
			delete(d.moves, vm)
		}
	}
}

// giveUpMove forgets a move that nobody knows to have happened. Without it the
// VM would get no work for good.
func (d *Dispatcher) giveUpMove(now tackclock.Time, vm tackid.VM, m *moving) {
	delete(d.moves, vm)
	if w := d.lives[vm]; w != nil && w.id == m.life {
		w.leaving = false
		d.recount(now, w)
	}
}

func (d *Dispatcher) parked(service tackid.Service, free func(tackid.VM) bool) []tackpool.VM {
	vms := make([]tackpool.VM, 0, len(d.standby))
	for vm, m := range d.standby {
		if m.Service == service && d.moves[vm] == nil && d.lives[vm] == nil {
			vms = append(vms, tackpool.VM{Name: vm, Room: m.Capacity, Labels: m.Labels, Fixed: d.inUpkeep(vm) || !free(vm)})
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
		vm := tackpool.VM{Name: w.vm, Room: w.forWork(), Labels: w.labels}
		if len(w.runs) == 0 && w.strange == (tackroom.Room{}) {
			vm.Idle = max(1, now.Sub(w.idleFrom))
		}
		vm.Busy, vm.Emptying = w.busyFor(now), now < w.emptiedUntil
		vm.Fixed = w.fixed || w.vm == "" || w.leaving || d.inUpkeep(w.vm) || w.reports < reportsMean || !free(w.vm)
		out.VMs = append(out.VMs, vm)
	}
	out.Demands = d.demands(now, p)
}

// busyFor is after which time all that runs on the worker should have ended; zero
// if nothing runs, or something that lasts.
func (w *worker) busyFor(now tackclock.Time) tackclock.Duration {
	var longest tackclock.Duration
	for _, r := range w.runs {
		if r.step.LongRunning || r.step.Gang || r.step.Fills {
			return 0
		}
		longest = max(longest, r.left(now))
	}
	return longest
}

// left is how long the run should still take, one millisecond at least: by its
// progress once it has made some, else by what its step takes.
func (r *run) left(now tackclock.Time) tackclock.Duration {
	done := r.percent - r.from
	if !r.listed || done <= 0 {
		return max(1, r.expected()-now.Sub(r.started))
	}
	ran := r.movedAt.Sub(r.listedAt)
	return max(1, ran*tackclock.Duration(100-r.percent)/tackclock.Duration(done)-now.Sub(r.movedAt))
}

// Empty has VMs get nothing new for a while, so that they can soon be moved.
func (d *Dispatcher) Empty(now tackclock.Time, vms []tackid.VM) {
	for _, vm := range vms {
		w := d.lives[vm]
		if w == nil {
			continue
		}
		if now >= w.emptiedUntil {
			d.noteWorker(now, EventEmptied, w, "")
		}
		w.emptiedUntil = now.Add(emptyFor)
		d.recount(now, w)
	}
}

// inUpkeep reports whether a wave has taken hold of the VM.
func (d *Dispatcher) inUpkeep(vm tackid.VM) bool {
	st := d.upkeeps[vm]
	return st != nil && (st.calledAt != 0 || d.cordon[vm])
}

// Moving takes in that a VM is about to be sent to another pool. It gets
// nothing new.
func (d *Dispatcher) Moving(now tackclock.Time, m tackpool.Move) {
	next := &moving{to: m.To, since: now}
	if w := d.lives[m.VM]; w != nil {
		w.leaving = true
		d.recount(now, w)
		next.life, next.room, next.labels = w.id, w.capacity, w.labels
		d.noteWorker(now, EventMove, w, "to "+string(m.To))
	} else {
		next.room, next.labels = d.standby[m.VM].Capacity, d.standby[m.VM].Labels
		d.note(Event{Kind: EventMove, At: now, VM: m.VM, Reason: "to " + string(m.To)})
	}
	d.moves[m.VM] = next
}

// Moved takes in what became of a move: done says that the VM is on its way,
// refused that it surely stays.
func (d *Dispatcher) Moved(now tackclock.Time, vm tackid.VM, done, refused bool) {
	m := d.moves[vm]
	if m == nil {
		return
	}
	w := d.lives[vm]
	here := w != nil && w.id == m.life
	switch {
	case done:
		if here {
			d.lose(now, w, "moved to another pool")
		}
		d.endLapsed(now, vm, "")
		parked := d.standby[vm]
		parked.VM, parked.Service, parked.Capacity, parked.Labels = vm, m.to, m.room, m.labels
		d.putStandby(parked)
		m.doneAt = now
	case refused:
		if here {
			w.leaving = false
			d.recount(now, w)
		}
		delete(d.moves, vm)
	}
}
