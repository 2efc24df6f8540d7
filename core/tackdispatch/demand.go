package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackpool"
)

const (
	// refusedWindow is how long refused work counts as demand.
	refusedWindow = 1500 * tackclock.Millisecond
	// arrivalWindow is the time over which the rate of arriving work is measured. A burst
	// reaches its full rate within a fraction of it.
	arrivalWindow = tackclock.Second
	// unplacedAfter is how long an item must wait to count as unplaced: by then all of
	// the pool's workers have sent a heartbeat.
	unplacedAfter = 500 * tackclock.Millisecond
)

// arrival is a submitted job and the time of its submission.
type arrival struct {
	at      tackclock.Time
	job     tackjob.ID
	work    int64
	refused bool
}

// recordArrival records a submitted job. A job that is submitted again after a refusal
// does not count twice.
func (p *pool) recordArrival(now tackclock.Time, spec *tackjob.Spec, refused bool) {
	for i := range p.arrivals {
		if a := &p.arrivals[i]; a.job == spec.ID {
			a.refused = refused
			if refused {
				a.at = now
			}
			return
		}
	}
	work := spec.Work()
	p.arrivals = append(p.arrivals, arrival{at: now, job: spec.ID, work: work, refused: refused})
	if p.forecast != nil {
		p.forecast.model.Add(now, work)
	}
}

// recentArrivals returns the work that was refused recently, in millicore-milliseconds,
// and the millicores that all recently submitted work would keep busy.
func (p *pool) recentArrivals(now tackclock.Time) (refused int64, arriving int) {
	var work int64
	kept := p.arrivals[:0]
	for _, a := range p.arrivals {
		age := now.Sub(a.at)
		if age > refusedWindow {
			continue
		}
		kept = append(kept, a)
		if a.refused {
			refused += a.work
		}
		if age <= arrivalWindow {
			work += a.work
		}
	}
	p.arrivals = kept
	return refused, int(work / int64(arrivalWindow))
}

// demands returns the pool's demand: first for all of its work, then for what only VMs
// with a certain label, or of a certain size, can run.
func (d *Dispatcher) demands(now tackclock.Time, p *pool) []tackpool.Demand {
	refused, arriving := p.recentArrivals(now)
	b := d.backlogOf(now, p)
	arriving = max(0, arriving-d.heldArrivals(now, p))
	list := []tackpool.Demand{{Backlog: b.inTime + refused, Pressing: b.pressing, Soon: refused, Late: b.late, Arriving: arriving}}
	if p.forecast != nil {
		list[0].Expected = d.expected(now, p, arriving)
	}
	at := make(map[string]int) // index in list, by label
	for s := range p.steps.All() {
		if len(s.waiting) == 0 || s.Requires == "" && d.needsCanary(s) {
			continue
		}
		unplaced := d.unplaced(now, p, s)
		switch {
		case s.Requires == "" && s.LongRunning:
			list[0].Unplaced += unplaced
			continue
		case s.Requires == "" && unplaced == 0:
			continue
		}
		i, ok := at[s.Requires]
		if !ok {
			i = len(list)
			at[s.Requires] = i
			list = append(list, tackpool.Demand{Label: s.Requires})
		}
		special := &list[i]
		special.Item = special.Item.Max(s.Reserved())
		special.Unplaced += unplaced
		special.Backlog += s.Work(len(s.waiting))
		special.Soon = special.Backlog
	}
	list[0].Unplaced += p.exposure.missing * p.largestWorker()
	for i := range list[1:] {
		subtractWork(&list[0], p.unsharedBacklog(&list[1+i]))
	}
	return list
}

// subtractWork takes work out of a demand's backlog, and the same share of what presses.
func subtractWork(d *tackpool.Demand, work int64) {
	if work <= 0 || d.Backlog <= 0 {
		return
	}
	left := max(0, d.Backlog-work)
	d.Pressing = int(int64(d.Pressing) * left / d.Backlog)
	d.Backlog = left
}

// unsharedBacklog returns the part of a demand's backlog that the pool's other workers
// cannot help with. When it was counted for them too, the pool seemed to be behind and
// kept VMs that had nothing to do.
func (p *pool) unsharedBacklog(special *tackpool.Demand) int64 {
	able := 0
	for _, w := range p.workers {
		if w.hasLabel(special.Label) {
			able++
		}
	}
	n := len(p.workers)
	if n == 0 {
		return 0
	}
	return special.Backlog * int64(n-able) / int64(n)
}

// largestWorker returns the millicores of the pool's largest worker.
func (p *pool) largestWorker() int {
	size := 0
	for _, w := range p.workers {
		size = max(size, w.capacity.MilliCores)
	}
	return size
}

// unplaced returns how many millicores of a step's items need a further worker now:
// long-running items that have waited for a while, and items for which no worker of the
// pool will ever have room.
//
// Without this such items would wait forever: VMs are assigned by backlog, and a backlog
// that the pool's cores could finish in time, if its VMs were suitable, asks for no more.
func (d *Dispatcher) unplaced(now tackclock.Time, p *pool, s *openStep) int {
	n := 0
	for _, item := range s.waiting {
		if now.Sub(item.since) > unplacedAfter {
			n++
		}
	}
	if n == 0 || !s.LongRunning && d.runnable(now, p, s) {
		return 0
	}
	return max(n*max(s.MilliCores, 1), p.missingCores(now, s, n))
}

// missingCores returns the millicores of the VMs that n items of the step need beyond
// those of the pool, where the step limits its items per worker. By the items' own cores,
// a single VM would be sent for many of them, and the next one only after its arrival.
func (p *pool) missingCores(now tackclock.Time, s *openStep, n int) int {
	if s.MaxPerWorker == 0 {
		return 0
	}
	size, room := 0, 0
	for _, w := range p.workers {
		size = max(size, w.capacity.MilliCores)
		if w.acceptsItems(now) && !w.silent(now) && w.hasLabel(s.Requires) && w.batchRoom().Fits(s.Reserved()) {
			room += max(0, s.MaxPerWorker-w.steps[s.key()])
		}
	}
	missing := max(0, n-room)
	return (missing + s.MaxPerWorker - 1) / s.MaxPerWorker * size
}

// runnable reports whether any worker of the pool could run an item of the step once its
// current batch items have ended or, for a gang, whether the pool's workers could run all
// of it at once.
func (d *Dispatcher) runnable(now tackclock.Time, p *pool, s *openStep) bool {
	if s.Gang {
		return d.fitsGang(now, p, s)
	}
	for _, w := range p.workers {
		if w.exposed && !d.needsCanary(s) {
			continue
		}
		if !w.draining && !w.leaving && !d.cordon[w.vm] && !w.silent(now) && w.hasLabel(s.Requires) && w.batchRoom().Fits(s.Reserved()) {
			return true
		}
	}
	return false
}

// fitsGang reports whether the pool's workers could run the whole gang. Like runnable it
// excludes workers that are being emptied. It needs no tickets: a call for advice names
// the workers that could get one.
func (d *Dispatcher) fitsGang(now tackclock.Time, p *pool, s *openStep) bool {
	var able []*worker
	for _, w := range p.workers {
		if d.mayHost(now, w, s, false) {
			able = append(able, w)
		}
	}
	return fillHosts(s, able, (*worker).batchRoom) != nil
}
