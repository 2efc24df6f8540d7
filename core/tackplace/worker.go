package tackplace

import (
	"maps"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// worker is a VM that has announced its size.
	worker struct {
		vm      *tackfleet.VM
		free    resources
		leases  []*lease
		rack    *rack
		probing bool // has a probe, or may not get one yet
		avoided bool // gets only probes
	}

	// rack holds the number of tasks of each team in one rack.
	rack struct {
		teams map[tackid.Team]int
	}

	rackName struct {
		dataCentre tackid.DataCentre
		rack       tackid.Rack
	}

	// failureRecord records the consecutive failures of a worker.
	failureRecord struct {
		failures int
		wait     tackclock.Duration
		probeAt  tackclock.Time
	}
)

// collectWorkers collects the VMs that have announced a size.
func (t *tick) collectWorkers() {
	racks := make(map[rackName]*rack)
	for vm := range t.f.EachVM() {
		p := t.poolOf(vm.Pool)
		if vm.Cores == 0 {
			p.sizeUnknown = p.sizeUnknown || vm.Health != tackfleet.HealthLost
			continue
		}
		name := rackName{vm.DataCentre, vm.Rack}
		if racks[name] == nil {
			racks[name] = &rack{teams: make(map[tackid.Team]int)}
		}
		w := &worker{vm: vm, rack: racks[name], free: resources{float64(vm.Cores), vm.MemoryMB, vm.Accelerators}}
		t.workers[vm.ID] = w
		t.sorted = append(t.sorted, w)
		p.add(w)
	}
}

// fillWorkers subtracts the resources of live leases, proposed assignments and
// reservations from the free resources of the workers.
func (t *tick) fillWorkers() {
	clear(t.leasesOn)
	for _, w := range t.sorted {
		w.avoided, w.probing = t.avoided(w.vm.ID)
	}
	for _, l := range t.live {
		switch w := l.on; {
		case l.ended:
		case w == nil:
			t.leasesOn[l.worker]++
		default:
			w.leases = append(w.leases, l)
			w.take(l.allocated(), l.row.Team)
			w.probing = w.probing || w.avoided && !l.row.Started.Before(t.failures[l.worker].probeAt)
		}
	}
	for _, w := range t.sorted {
		t.leasesOn[w.vm.ID] = len(w.leases)
	}
	for _, id := range slices.Sorted(maps.Keys(t.proposed)) {
		p := t.proposed[id]
		t.leasesOn[p.worker]++
		t.quotaCores[p.team] += p.cores
		if w := t.workers[p.worker]; w != nil {
			w.take(p.need, p.team)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.reservations)) {
		c := t.reservations[id]
		w := t.workers[c.worker]
		if w == nil || !c.until.After(t.now) {
			delete(t.reservations, id)
			continue
		}
		w.free.subtract(c.need)
	}
}

// allocated returns the resources that the lease takes. A throttled task takes
// only the cores that it is throttled to.
func (l *lease) allocated() resources {
	n := l.need
	if l.throttled > 0 {
		n.cores = min(n.cores, float64(l.throttled))
	}
	return n
}

func (w *worker) take(n resources, team tackid.Team) {
	w.free.subtract(n)
	w.rack.teams[team]++
}

func (n *resources) subtract(m resources) {
	n.cores -= m.cores
	n.memoryMB -= m.memoryMB
	n.accelerators -= m.accelerators
}

func (n *resources) add(m resources) {
	n.cores += m.cores
	n.memoryMB += m.memoryMB
	n.accelerators += m.accelerators
}

// fitsIn reports whether n fits into m.
func (n resources) fitsIn(m resources) bool {
	return n.cores <= m.cores && n.memoryMB <= m.memoryMB && n.accelerators <= m.accelerators
}

// avoided reports whether a worker is avoided after too many consecutive
// failures, and whether it has to wait for its next probe.
//
// A worker on which every task fails at once always has the most room. If it
// was not avoided it would get task after task and use up their tries.
func (t *tick) avoided(vm tackid.VM) (avoid, wait bool) {
	s := t.failures[vm]
	if s == nil || s.failures < t.cfg.MaxConsecutiveFailures {
		return false, false
	}
	return true, t.now.Before(s.probeAt)
}

// countFailure counts a task that failed on its worker.
func (t *tick) countFailure(vm tackid.VM) {
	s := t.failures[vm]
	if s == nil {
		s = new(failureRecord)
		t.failures[vm] = s
	}
	s.failures++
	if s.failures < t.cfg.MaxConsecutiveFailures || t.now.Before(s.probeAt) {
		return // tasks that were started together count once
	}
	s.wait = min(max(2*s.wait, t.cfg.ProbeAfter), maxProbeInterval)
	s.probeAt = t.now.Add(s.wait)
}

// clearFailures clears the failures of a worker after a task has succeeded on
// it.
func (t *tick) clearFailures(l *lease) {
	delete(t.failures, l.worker)
}
