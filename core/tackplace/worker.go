package tackplace

import (
	"maps"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// worker is a VM that has announced its size, and the room on it.
	worker struct {
		vm     *tackfleet.VM
		free   need
		leases []*lease
		rack   *rack
		probed bool // it has a probe, or may not get one yet
		busy   bool // it is avoided, and gets probes only
	}

	// rack counts the tasks of each team in one failure domain.
	rack struct {
		teams map[tackid.Team]int
	}

	rackName struct {
		dataCentre tackid.DataCentre
		rack       tackid.Rack
	}

	// standing is how a worker did lately.
	standing struct {
		failures int
		wait     tackclock.Duration
		probeAt  tackclock.Time
	}
)

// lookAtWorkers takes in the VMs that announced a size.
func (t *tick) lookAtWorkers() {
	racks := make(map[rackName]*rack)
	for vm := range t.f.EachVM() {
		p := t.poolOf(vm.Pool)
		if vm.Cores == 0 {
			p.unseen = p.unseen || vm.Health != tackfleet.HealthLost
			continue
		}
		name := rackName{vm.DataCentre, vm.Rack}
		if racks[name] == nil {
			racks[name] = &rack{teams: make(map[tackid.Team]int)}
		}
		w := &worker{vm: vm, rack: racks[name], free: need{float64(vm.Cores), vm.MemoryMB, vm.Accelerators}}
		t.workers[vm.ID] = w
		t.sorted = append(t.sorted, w)
		p.add(w)
	}
}

// fillWorkers takes the room of live leases, promises and claims.
func (t *tick) fillWorkers() {
	clear(t.onWorker)
	for _, w := range t.sorted {
		w.busy, w.probed = t.avoided(w.vm.ID)
	}
	for _, l := range t.live {
		switch w := l.on; {
		case l.gone:
		case w == nil:
			t.onWorker[l.worker]++
		default:
			w.leases = append(w.leases, l)
			w.take(l.room(), l.row.Team)
			w.probed = w.probed || w.busy && !l.row.Started.Before(t.standing[l.worker].probeAt)
		}
	}
	for _, w := range t.sorted {
		t.onWorker[w.vm.ID] = len(w.leases)
	}
	for _, id := range slices.Sorted(maps.Keys(t.promised)) {
		p := t.promised[id]
		t.onWorker[p.worker]++
		t.held[p.team] += p.cores
		if w := t.workers[p.worker]; w != nil {
			w.take(p.need, p.team)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.claims)) {
		c := t.claims[id]
		w := t.workers[c.worker]
		if w == nil || !c.until.After(t.now) {
			delete(t.claims, id)
			continue
		}
		w.free.less(c.need)
	}
}

// room returns what the lease takes. A throttled task takes what it was
// bounded to.
func (l *lease) room() need {
	n := l.need
	if l.throttled > 0 {
		n.cores = min(n.cores, float64(l.throttled))
	}
	return n
}

func (w *worker) take(n need, team tackid.Team) {
	w.free.less(n)
	w.rack.teams[team]++
}

func (n *need) less(m need) {
	n.cores -= m.cores
	n.memoryMB -= m.memoryMB
	n.accelerators -= m.accelerators
}

func (n *need) more(m need) {
	n.cores += m.cores
	n.memoryMB += m.memoryMB
	n.accelerators += m.accelerators
}

// within reports whether n fits into m.
func (n need) within(m need) bool {
	return n.cores <= m.cores && n.memoryMB <= m.memoryMB && n.accelerators <= m.accelerators
}

// avoided reports whether a worker failed too much in a row, and whether it
// may not get a probe now.
//
// A worker that fails everything at once is always the emptiest one. Without
// this it would draw task after task and use up all their tries.
func (t *tick) avoided(vm tackid.VM) (avoid, wait bool) {
	s := t.standing[vm]
	if s == nil || s.failures < t.cfg.FailuresInRow {
		return false, false
	}
	return true, t.now.Before(s.probeAt)
}

// failedOn counts a task that failed on its worker.
func (t *tick) failedOn(vm tackid.VM) {
	s := t.standing[vm]
	if s == nil {
		s = new(standing)
		t.standing[vm] = s
	}
	s.failures++
	if s.failures < t.cfg.FailuresInRow || t.now.Before(s.probeAt) {
		return // what was started together counts once
	}
	s.wait = min(max(2*s.wait, t.cfg.ProbeAfter), longestProbe)
	s.probeAt = t.now.Add(s.wait)
}

// workedOn clears a worker on which a task ended well.
func (t *tick) workedOn(l *lease) {
	delete(t.standing, l.worker)
}
