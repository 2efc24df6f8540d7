package tackdispatch

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackroom"
)

const (
	// reasonTrial and reasonIsolated are the reasons of planned starts of suspects.
	reasonTrial    = "on trial"
	reasonIsolated = "isolated"
)

const (
	// rackPatience is how long a gang waits for one rack with room for all of it before
	// it is spread over several.
	rackPatience = 800 * tackclock.Millisecond
	// gangHoldPercent is the part of GangWait for which a worker's room is kept for a
	// member. Workers with room send heartbeats several times a second; a member that
	// starts later would find the others gone.
	gangHoldPercent = 66
	// gangsEvery is the interval between attempts to place a pool's gangs. An attempt tries
	// maxGangTries of them, maxGangTurns in turn and the others by rank, each again after
	// gangRetryDelay at the earliest. So n gangs have their turn within n/160 seconds. With
	// a hundred gangs waiting, a heartbeat of 48 workers took 0.86 ms and one of 349 took
	// 7.8 ms when each examined every gang; it takes 0.015 and 0.076 ms
	// (BenchmarkRoundWithGangs).
	gangsEvery     = 25 * tackclock.Millisecond
	maxGangTries   = 8
	gangRetryDelay = 150 * tackclock.Millisecond
	// reserveAfter is how long a gang waits before workers are reserved for it.
	reserveAfter = 300 * tackclock.Millisecond
	// reserveFor is the longest time for which workers are reserved: items run for one to
	// three seconds.
	reserveFor = 4 * tackclock.Second
)

type (
	// planned is a start that waits for its worker's next heartbeat and, if unlogged is
	// set, for the log.
	planned struct {
		run      *run
		until    tackclock.Time
		unlogged bool
	}

	// reservation holds workers that start nothing else until a gang has its room.
	//
	// Load pattern: a busy pool whose workers never have room for more than one or two
	// items at a time. Without a reservation, room that becomes free goes to single items
	// at once, and a gang waits until the queue is empty.
	reservation struct {
		gang    *openStep
		workers map[*worker]bool
		until   tackclock.Time
	}
)

// holds reports whether the worker is reserved.
func (r *reservation) holds(now tackclock.Time, w *worker) bool {
	return r.active(now) && r.workers[w]
}

// active reports whether workers are reserved for a gang that still waits.
func (r *reservation) active(now tackclock.Time) bool {
	return r.gang != nil && now < r.until && len(r.gang.waiting) > 0
}

// reserve chooses the workers to reserve for a gang: as few as will hold it once their
// current batch items have ended. A pool has one reservation at a time.
func (d *Dispatcher) reserve(now tackclock.Time, p *pool, s *openStep) {
	r := &p.reserved
	if r.active(now) || now.Sub(s.waiting[0].since) < reserveAfter {
		return
	}
	hosts := d.hostsFor(now, p, s, slices.Values(p.workers), (*worker).batchRoom)
	if hosts == nil {
		return
	}
	*r = reservation{gang: s, workers: make(map[*worker]bool), until: now.Add(reserveFor)}
	for _, w := range hosts {
		r.workers[w] = true
	}
}

// placeGangs places the gangs that are due, all members of one at once. Their starts are
// sent in the answers to their workers' next heartbeats. The gang that has a reservation
// comes first.
func (d *Dispatcher) placeGangs(now tackclock.Time, p *pool) {
	if now < p.gangsAt {
		return
	}
	turns := p.turnsDue(now)
	p.gangsAt = now.Add(gangsEvery)
	if s := p.reserved.gang; s != nil && d.gangWaits(now, s) {
		d.tryGang(now, p, s)
	}
	d.checkTooLarge(now, p)
	var due []*openStep
	for s := range p.steps.Fitting(math.MaxInt, func(partition int) bool { return partition&(partitionGang|partitionTooLarge) == partitionGang }) {
		if len(due) == maxGangTries-maxGangTurns {
			break
		}
		if s != p.reserved.gang && now >= s.retryAt && d.gangWaits(now, s) {
			s.retryAt = now.Add(gangRetryDelay)
			due = append(due, s)
		}
	}
	for s := p.nextTurn(&turns); s != nil; s = p.nextTurn(&turns) {
		if s != p.reserved.gang && now >= s.retryAt && d.gangWaits(now, s) {
			s.retryAt = now.Add(gangRetryDelay)
			due = append(due, s)
		}
	}
	for _, s := range due {
		d.tryGang(now, p, s)
	}
}

func (d *Dispatcher) gangWaits(now tackclock.Time, s *openStep) bool {
	if len(s.waiting) == 0 || s.running > 0 || s.ending > 0 || now < s.notBefore || !s.job.fresh && !d.EarlierLeasesEnded(now) {
		return false
	}
	return !slices.ContainsFunc(s.waiting, func(i waitingItem) bool { return !s.unrestrained(now, i.index) || s.mayResolve(now, i.index) })
}

// needsIdleWorkers reports whether a gang may start only on workers that run nothing
// else.
func (d *Dispatcher) needsIdleWorkers(now tackclock.Time, s *openStep) bool {
	return slices.ContainsFunc(s.waiting, func(i waitingItem) bool { return s.restraints[i.index].isolated }) &&
		now.Sub(max(s.waiting[0].since, d.earlierLeasesEnd)) <= trialPatience
}

// tryGang starts the gang if there is room for all of it, and reserves workers for it
// otherwise.
func (d *Dispatcher) tryGang(now tackclock.Time, p *pool, s *openStep) {
	if !d.withinCap(now, s, len(s.waiting)) {
		return
	}
	room := (*worker).room
	if d.needsIdleWorkers(now, s) {
		room = (*worker).roomIfIdle
	}
	if hosts := d.hostsFor(now, p, s, p.free.atLeast(s.Reserved().MilliCores), room); hosts != nil {
		d.planGang(now, s, hosts)
		return
	}
	if d.checkSize(now, p, s); !s.tooLarge {
		d.reserve(now, p, s)
	}
}

// hostsFor returns one of the given workers for each waiting item of the gang, or nil if
// their room by the given measure is not enough. It prefers workers of one rack.
func (d *Dispatcher) hostsFor(
	now tackclock.Time, p *pool, s *openStep, workers iter.Seq[*worker], room func(*worker) tackroom.Resources,
) []*worker {
	racks := make(map[string][]*worker)
	var all []*worker
	stranded := d.stranded(now, p, s)
	for w := range workers {
		d.examined++
		if !d.mayHost(now, w, s, stranded) || !s.hasTicket(now, w) {
			continue
		}
		all = append(all, w)
		racks[w.rack()] = append(racks[w.rack()], w)
	}
	if len(s.held) > 0 {
		return d.hostsWithHeld(s, all, room)
	}
	for _, name := range sortedRacks(racks, s.Affinity) {
		if hosts := fillHosts(s, racks[name], room); hosts != nil {
			return hosts
		}
	}
	if s.SameRack && now.Sub(s.waiting[0].since) < rackPatience {
		return nil
	}
	return fillHosts(s, all, room)
}

// mayHost reports whether members of a gang may start on the worker. Those of a stranded
// gang may also start on a worker that is being emptied.
func (d *Dispatcher) mayHost(now tackclock.Time, w *worker, s *openStep, stranded bool) bool {
	return w.acceptsItems(now) && !w.silent(now) && (stranded || !d.cordon[w.vm]) && w.hasLabel(s.Requires) &&
		d.mayHostConfined(now, w, s)
}

// roomIfIdle returns the worker's room if it runs nothing, and negative room otherwise.
func (w *worker) roomIfIdle() tackroom.Resources {
	if !w.idle() {
		return tackroom.Resources{MilliCores: -1, MemoryMB: -1, GPUs: -1}
	}
	return w.room()
}

func sortedRacks(racks map[string][]*worker, first string) []string {
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if (a == first) != (b == first) {
			if a == first {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return names
}

// fillHosts assigns the waiting items to workers, filling one after the other, and
// returns nil if not all of them fit.
func fillHosts(s *openStep, workers []*worker, roomOf func(*worker) tackroom.Resources) []*worker {
	var hosts []*worker
	need := s.Reserved()
	for _, w := range workers {
		room := roomOf(w)
		here := w.steps[s.key()]
		for len(hosts) < len(s.waiting) && room.Fits(need) && (s.MaxPerWorker == 0 || here < s.MaxPerWorker) {
			room = room.Minus(need)
			here++
			hosts = append(hosts, w)
		}
	}
	if len(hosts) < len(s.waiting) {
		return nil
	}
	return hosts
}

// planGang reserves the room and plans the starts. All members of a gang share one run
// number and one checkpoint.
func (d *Dispatcher) planGang(now tackclock.Time, s *openStep, hosts []*worker) {
	number := d.nextRun()
	checkpoint := s.waiting[0].checkpoint
	for i, item := range s.waiting {
		r := &run{
			item: s.item(item.index), number: number, worker: hosts[i], step: s, reserved: s.Reserved(),
			started: now, progressAt: now, sentIn: notSent, checkpoint: checkpoint, pace: fullPace,
		}
		d.addRun(now, r)
		unlogged := d.putOnTrial(now, r)
		if d.needsCanary(s) {
			d.beginCanary(now, r)
		}
		unlogged = unlogged || d.logStart(r)
		hosts[i].planned = append(hosts[i].planned, planned{run: r, until: now.Add(d.cfg.GangWait * gangHoldPercent / 100), unlogged: unlogged})
	}
	s.waiting = s.waiting[:0]
	s.clearRestraints()
}

// sendPlanned adds the starts planned for this worker to its answer. A start that has
// waited too long is given up.
func (d *Dispatcher) sendPlanned(now tackclock.Time, w *worker, sequence uint64, o *Orders) {
	waiting := w.planned
	w.planned = nil
	for _, p := range waiting {
		r := p.run
		if w.runs[r.item] != r {
			continue
		}
		// A worker's room may have shrunk since the start was planned, and a worker that
		// does not enforce its limits would run what does not fit. A workspace's cap may
		// have shrunk as well, the queue may have moved to another service, and a ticket may
		// have expired.
		if now > p.until || r.stopping || r.step.job.Service != w.service || !r.step.hasTicket(now, w) || !w.room().Fits(tackroom.Resources{}) || !r.step.unchargedFor(r.item, func() bool { return r.step.job.account.WithinCap(now, r.step.Resources) }) {
			d.removeRun(now, r)
			d.requeue(now, r)
			d.withdrawDoubt(r)
			continue
		}
		if p.unlogged {
			w.planned = append(w.planned, p)
			continue
		}
		r.sentIn, r.started, r.progressAt = sequence, now, now
		d.noteStarted(now, r, r.planReason())
		o.Start = append(o.Start, Start{
			Item: r.item, Run: r.number, Text: r.step.job.Text, Checkpoint: r.checkpoint, Ticket: r.step.ticket(w),
		})
	}
}

// planReason returns the reason for which a start was planned, for its event.
func (r *run) planReason() string {
	switch {
	case r.trial > 0:
		return reasonTrial
	case r.canary:
		return reasonCanary
	case r.isolated:
		return reasonIsolated
	case r.step.Gang:
		return "gang"
	}
	return "logged first"
}
