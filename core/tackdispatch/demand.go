package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackpool"
)

const (
	// refusedMemory is how long refused work counts as asked for.
	refusedMemory = 1500 * tackclock.Millisecond
	// arrivalMemory is over which time the work that arrives is measured. A turn
	// begins within a fraction of it.
	arrivalMemory = tackclock.Second
	// unplacedAfter is after which wait an item has no worker: all of the pool's
	// workers have sent a heartbeat meanwhile.
	unplacedAfter = 500 * tackclock.Millisecond
)

// arrival is a job that was handed in, and when.
type arrival struct {
	at      tackclock.Time
	job     tackjob.ID
	work    int64
	refused bool
}

// arrived remembers a job that was handed in. One that comes again after a
// refusal is no further work.
func (p *pool) arrived(now tackclock.Time, spec *tackjob.Spec, refused bool) {
	for i := range p.arrivals {
		if a := &p.arrivals[i]; a.job == spec.ID {
			a.refused = refused
			if refused {
				a.at = now
			}
			return
		}
	}
	p.arrivals = append(p.arrivals, arrival{at: now, job: spec.ID, work: spec.Work(), refused: refused})
}

// recent is the work that was refused lately, in milliseconds of thousandths of
// a core, and the thousandths of a core that all work handed in lately keeps
// busy.
func (p *pool) recent(now tackclock.Time) (refused int64, arriving int) {
	var work int64
	kept := p.arrivals[:0]
	for _, a := range p.arrivals {
		age := now.Sub(a.at)
		if age > refusedMemory {
			continue
		}
		kept = append(kept, a)
		if a.refused {
			refused += a.work
		}
		if age <= arrivalMemory {
			work += a.work
		}
	}
	p.arrivals = kept
	return refused, int(work / int64(arrivalMemory))
}

// demands is what the pool is to do: all of it first, then what only VMs with a
// certain label, or of a certain size, can do.
func (d *Dispatcher) demands(now tackclock.Time, p *pool) []tackpool.Demand {
	refused, arriving := p.recent(now)
	b := d.backlogOf(now, p)
	list := []tackpool.Demand{{Backlog: b.inTime + refused, Pressing: b.pressing, Soon: refused, Late: b.late, Arriving: arriving}}
	at := make(map[string]int) // of a label in list
	for s := range p.steps.All() {
		if len(s.waiting) == 0 {
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
		special.Item = special.Item.Max(s.Takes())
		special.Unplaced += unplaced
		special.Backlog += s.Work(len(s.waiting))
		special.Soon = special.Backlog
	}
	for i := range list[1:] {
		leaveOut(&list[0], p.beyond(&list[1+i]))
	}
	return list
}

// leaveOut takes work out of a demand, and as much of what presses.
func leaveOut(d *tackpool.Demand, work int64) {
	if work <= 0 || d.Backlog <= 0 {
		return
	}
	left := max(0, d.Backlog-work)
	d.Pressing = int(int64(d.Pressing) * left / d.Backlog)
	d.Backlog = left
}

// beyond is the part of a demand's backlog that the pool's other workers cannot
// help with. Counted for them, it held VMs in a pool that had nothing for them to
// do, since the pool was behind.
func (p *pool) beyond(special *tackpool.Demand) int64 {
	able := 0
	for _, w := range p.workers {
		if w.has(special.Label) {
			able++
		}
	}
	n := len(p.workers)
	if n == 0 {
		return 0
	}
	return special.Backlog * int64(n-able) / int64(n)
}

// unplaced is what of a step must have a worker at once, in thousandths of a
// core: items that last and have waited for a while, and items for which no
// worker of the pool will ever have room.
//
// Without it such items wait for good: VMs come by the backlog, and a backlog
// that the pool could do in time, had it the right VMs, calls for none.
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
	return max(n*max(s.MilliCores, 1), p.lacks(now, s, n))
}

// lacks is the thousandths of a core of the VMs that n items need beside those of
// the pool, where few of the step's may run on one. By their own cores alone one
// VM would be sent for many items, then the next one when it has come.
func (p *pool) lacks(now tackclock.Time, s *openStep, n int) int {
	if s.MaxPerWorker == 0 {
		return 0
	}
	size, room := 0, 0
	for _, w := range p.workers {
		size = max(size, w.capacity.MilliCores)
		if w.takesNew(now) && !w.silent(now) && w.has(s.Requires) && w.forWork().Fits(s.Takes()) {
			room += max(0, s.MaxPerWorker-w.steps[s.key()])
		}
	}
	missing := max(0, n-room)
	return (missing + s.MaxPerWorker - 1) / s.MaxPerWorker * size
}

// runnable reports whether any worker of the pool could run an item of the step
// once what runs there now and does not last is through; of a gang, whether the
// pool's workers could run all of it at once.
func (d *Dispatcher) runnable(now tackclock.Time, p *pool, s *openStep) bool {
	if s.Gang {
		return d.fitsGang(now, p, s)
	}
	for _, w := range p.workers {
		if !w.draining && !w.leaving && !d.cordon[w.vm] && !w.silent(now) && w.has(s.Requires) && w.forWork().Fits(s.Takes()) {
			return true
		}
	}
	return false
}

// fitsGang leaves out workers that are being emptied, like runnable, and asks for
// no tickets: a call for advice names the workers that could get one.
func (d *Dispatcher) fitsGang(now tackclock.Time, p *pool, s *openStep) bool {
	var able []*worker
	for _, w := range p.workers {
		if d.hosts(now, w, s, false) {
			able = append(able, w)
		}
	}
	return fillHosts(s, able, (*worker).forWork) != nil
}
