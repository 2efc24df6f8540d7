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
	// rackPatience is how long a gang waits for one rack that holds it whole
	// before it is spread over several.
	rackPatience = 800 * tackclock.Millisecond
	// gangHoldPercent is the part of the time that members wait for each other
	// for which a worker's room is kept for one. Workers with room send heartbeats
	// several times a second; a member that comes later would find the others gone.
	gangHoldPercent = 66
	// gangsEvery spaces out the looks for room of a pool's gangs, and gangTries
	// bounds for how many of them one look is; the others follow in later ones,
	// after tryAgain. With a hundred gangs that wait, a heartbeat of 48 workers
	// took 0.86 ms and one of 349 took 7.8 ms when each looked at every gang; it
	// takes 0.015 and 0.076 ms (BenchmarkRoundWithGangs).
	gangsEvery = 25 * tackclock.Millisecond
	gangTries  = 8
	tryAgain   = 150 * tackclock.Millisecond
	// reserveAfter is how long a gang waits before workers are kept free for it.
	reserveAfter = 300 * tackclock.Millisecond
	// reserveFor bounds for how long: items run for one to three seconds.
	reserveFor = 4 * tackclock.Second
)

type (
	// planned is a start that waits for its worker's next heartbeat, and for the log if
	// it is a trial.
	planned struct {
		run      *run
		until    tackclock.Time
		unlogged bool
	}

	// reservation is workers that start nothing else until a gang has its room.
	//
	// Load pattern: a busy pool whose workers never have room for more than an
	// item or two at a time. What becomes free goes to single items at once, so a
	// gang would wait until the queue is empty.
	reservation struct {
		gang    *openStep
		workers map[*worker]bool
		until   tackclock.Time
	}
)

// holds reports whether the worker is to start nothing else.
func (r *reservation) holds(now tackclock.Time, w *worker) bool {
	return r.taken(now) && r.workers[w]
}

// taken reports whether workers are kept free for a gang that still waits.
func (r *reservation) taken(now tackclock.Time) bool {
	return r.gang != nil && now < r.until && len(r.gang.waiting) > 0
}

// reserve chooses the workers that are kept free for a gang: as few as will hold
// it once what runs there is through. Only one gang of a pool has its turn.
func (d *Dispatcher) reserve(now tackclock.Time, p *pool, s *openStep) {
	r := &p.reserved
	if r.taken(now) || now.Sub(s.waiting[0].since) < reserveAfter {
		return
	}
	hosts := d.hostsFor(now, p, s, slices.Values(p.workers), (*worker).forWork)
	if hosts == nil {
		return
	}
	*r = reservation{gang: s, workers: make(map[*worker]bool), until: now.Add(reserveFor)}
	for _, w := range hosts {
		r.workers[w] = true
	}
}

// placeGangs finds room for gangs whose turn it is, all members at once. Their
// starts go out with their workers' next heartbeats. The gang for which workers
// are kept free comes first.
func (d *Dispatcher) placeGangs(now tackclock.Time, p *pool) {
	if now < p.gangsAt {
		return
	}
	p.gangsAt = now.Add(gangsEvery)
	if s := p.reserved.gang; s != nil && d.gangWaits(now, s) {
		d.tryGang(now, p, s)
	}
	tries := 0
	for s := range p.steps.Fitting(math.MaxInt, func(shelf int) bool { return shelf&shelfGang != 0 }) {
		if tries == gangTries {
			return
		}
		if s == p.reserved.gang || now < s.tryAt || !d.gangWaits(now, s) {
			continue
		}
		s.tryAt = now.Add(tryAgain)
		tries++
		d.tryGang(now, p, s)
	}
}

func (d *Dispatcher) gangWaits(now tackclock.Time, s *openStep) bool {
	if len(s.waiting) == 0 || s.running > 0 || s.ending > 0 || !s.job.fresh && !d.Sure(now) {
		return false
	}
	return !slices.ContainsFunc(s.waiting, func(i waitingItem) bool { return !s.startable(now, i.index) })
}

// mustBeAlone reports whether a gang may start only on workers that run nothing else.
func (d *Dispatcher) mustBeAlone(now tackclock.Time, s *openStep) bool {
	return slices.ContainsFunc(s.waiting, func(i waitingItem) bool { return s.restraints[i.index].alone }) &&
		now.Sub(max(s.waiting[0].since, d.sure)) <= trialPatience
}

// tryGang starts the gang if there is room for all of it, and has workers kept
// free for it otherwise.
func (d *Dispatcher) tryGang(now tackclock.Time, p *pool, s *openStep) {
	if !d.withinCap(now, s, len(s.waiting)) {
		return
	}
	room := (*worker).room
	if d.mustBeAlone(now, s) {
		room = (*worker).roomAlone
	}
	if hosts := d.hostsFor(now, p, s, p.free.atLeast(s.Takes().MilliCores), room); hosts != nil {
		d.planGang(now, s, hosts)
		return
	}
	d.reserve(now, p, s)
}

// hostsFor returns one of the given workers for each waiting item of the gang, or nil if
// the room that they have by the given measure does not do. Workers of one rack are taken
// first.
func (d *Dispatcher) hostsFor(
	now tackclock.Time, p *pool, s *openStep, workers iter.Seq[*worker], room func(*worker) tackroom.Room,
) []*worker {
	racks := make(map[string][]*worker)
	var all []*worker
	stranded := d.stranded(now, p, s)
	for w := range workers {
		d.looked++
		if !d.hosts(now, w, s, stranded) || !s.ticketed(now, w) {
			continue
		}
		all = append(all, w)
		racks[w.rack()] = append(racks[w.rack()], w)
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

// hosts reports whether members of a gang may start on the worker. Those of a
// stranded gang also may on one that is being emptied.
func (d *Dispatcher) hosts(now tackclock.Time, w *worker, s *openStep, stranded bool) bool {
	return w.takesNew(now) && !w.silent(now) && (stranded || !d.cordon[w.vm]) && w.has(s.Requires)
}

// roomAlone is the worker's room if it runs nothing.
func (w *worker) roomAlone() tackroom.Room {
	if !w.runsNothing() {
		return tackroom.Room{MilliCores: -1, MemoryMB: -1, GPUs: -1}
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

// fillHosts puts the waiting items on workers in turn, and returns nil if not
// all of them fit.
func fillHosts(s *openStep, workers []*worker, roomOf func(*worker) tackroom.Room) []*worker {
	var hosts []*worker
	takes := s.Takes()
	for _, w := range workers {
		room := roomOf(w)
		here := w.steps[s.key()]
		for len(hosts) < len(s.waiting) && room.Fits(takes) && (s.MaxPerWorker == 0 || here < s.MaxPerWorker) {
			room = room.Minus(takes)
			here++
			hosts = append(hosts, w)
		}
	}
	if len(hosts) < len(s.waiting) {
		return nil
	}
	return hosts
}

// planGang keeps the room. All members of a gang carry one run number and one
// checkpoint.
func (d *Dispatcher) planGang(now tackclock.Time, s *openStep, hosts []*worker) {
	number := d.nextRun()
	checkpoint := s.waiting[0].checkpoint
	for i, item := range s.waiting {
		r := &run{
			item: s.item(item.index), number: number, worker: hosts[i], step: s, takes: s.Takes(),
			started: now, movedAt: now, sentIn: notSent, checkpoint: checkpoint, pace: fullPace,
		}
		d.place(now, r)
		unlogged := d.try(now, r)
		hosts[i].planned = append(hosts[i].planned, planned{run: r, until: now.Add(d.cfg.GangWait * gangHoldPercent / 100), unlogged: unlogged})
	}
	s.waiting = s.waiting[:0]
	clear(s.restraints)
}

// sendPlanned puts the starts that wait for this worker into its answer. A
// start that has waited too long is given up.
func (d *Dispatcher) sendPlanned(now tackclock.Time, w *worker, sequence uint64, o *Orders) {
	waiting := w.planned
	w.planned = nil
	for _, p := range waiting {
		r := p.run
		if w.runs[r.item] != r {
			continue
		}
		// A worker's room may have shrunk since the start was planned, and one that does
		// not guard its room would run what does not fit. So may a workspace's cap.
		if now > p.until || r.stopping || !w.room().Fits(tackroom.Room{}) || !r.step.job.account.Keeps(now, r.step.Room) {
			d.free(now, r)
			d.requeue(now, r)
			d.undoubt(r)
			continue
		}
		if p.unlogged {
			w.planned = append(w.planned, p)
			continue
		}
		r.sentIn, r.started, r.movedAt = sequence, now, now
		d.noteRun(now, EventStarted, r, r.plannedFor())
		o.Start = append(o.Start, Start{
			Item: r.item, Run: r.number, Text: r.step.job.Text, Checkpoint: r.checkpoint, Ticket: r.step.ticket(w),
		})
	}
}

// plannedFor is why a start was planned, for the log.
func (r *run) plannedFor() string {
	if r.trial > 0 {
		return "on trial"
	}
	return "gang"
}
