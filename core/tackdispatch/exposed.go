package tackdispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackconfine"
	"auburntack/core/tackroom"
)

const (
	// exposureReviewEvery is the interval between choices of exposed workers.
	exposureReviewEvery = 100 * tackclock.Millisecond
	// strandedReviewEvery is the interval between searches for steps that wait in vain, which
	// have waited for longer than that.
	strandedReviewEvery = tackclock.Second
	// quietAfter is how long an exposed worker that is starting an item may be silent: four
	// of its heartbeats. It is replaced then, since it has most likely crashed.
	quietAfter = 200 * tackclock.Millisecond
	// exposurePatience is how long a pool waits for a worker without long-running items,
	// such as a VM from another pool, which takes 1.5 s, before the one with the fewest of
	// them is exposed.
	exposurePatience = 3 * tackclock.Second
)

// exposure holds the workers of a pool that start nothing but canaries and suspects of
// confined units.
type exposure struct {
	// on says that a unit of the pool is confined and that some workers are, or will be,
	// exposed. single says that a unit is confined and the pool has one worker, which
	// starts one item at a time.
	on, single bool
	workers    []*worker
	losses     tackconfine.Losses
	reviewAt   tackclock.Time
	// retryAt is when a canary is next looked for.
	retryAt tackclock.Time
	// strandedAt is when stranded and onlyExposed are next determined.
	strandedAt tackclock.Time
	// lackingSince is since when there has been no worker without long-running items that
	// can be exposed; zero if there is one.
	lackingSince tackclock.Time
	// missing is the number of workers without long-running items that lack for the
	// canaries and suspects that wait.
	missing int
	// sinceSuspect counts the canaries since the last one of a job that is most likely at
	// fault.
	sinceSuspect int
	// stranded are steps that wait for a canary that no exposed worker can run, and
	// onlyExposed others that only exposed workers can run.
	stranded, onlyExposed []*openStep
}

// reviewExposure releases units, and replaces exposed workers that were lost or may not
// start items any more.
func (d *Dispatcher) reviewExposure(now tackclock.Time, p *pool) {
	if len(d.units) == 0 || now < p.exposure.reviewAt {
		return
	}
	p.exposure.reviewAt = now.Add(exposureReviewEvery)
	confined := d.releaseUnits(now, p)
	x := &p.exposure
	x.on, x.single = confined && len(p.workers) > 1, confined && len(p.workers) == 1
	if !x.on {
		d.setExposed(now, x, nil)
		x.lackingSince, x.missing, x.stranded, x.onlyExposed = 0, 0, nil, nil
		return
	}
	kept := slices.DeleteFunc(slices.Clone(x.workers), func(w *worker) bool { return !d.staysExposed(now, x, w) })
	unproven, suspects := p.waitsConfined()
	exposed := tackconfine.Exposed(len(p.workers), suspects && !unproven)
	wanted := min(exposed, len(kept)+x.losses.Replaceable(now, len(p.workers)))
	for len(kept) < wanted {
		w := d.nextExposed(now, p, kept)
		if w == nil {
			break
		}
		if !w.exposed {
			d.noteWorker(now, EventWorkerExposed, w, string(p.service))
			w.exposedAt = now
		}
		kept = append(kept, w)
	}
	free := slices.ContainsFunc(kept, func(w *worker) bool { return w.longRunningUsed == tackroom.Resources{} })
	if free || wanted == 0 {
		x.lackingSince = 0
	} else {
		x.lackingSince = cmp.Or(x.lackingSince, now)
	}
	x.missing = 0
	if unproven || suspects {
		x.missing = max(0, exposed-len(kept))
	}
	d.setExposed(now, x, kept)
	if now >= x.strandedAt {
		x.strandedAt = now.Add(strandedReviewEvery)
		d.findStranded(now, p)
		d.findOnlyExposed(now, p)
	}
}

// waitsConfined reports whether steps of confined units wait for canaries, and whether steps
// of jobs most likely at fault do.
func (p *pool) waitsConfined() (unproven, suspects bool) {
	waits := func(bits int) bool {
		return p.steps.Fits(math.MaxInt32, func(partition int) bool { return partition&confinedPartitions == bits })
	}
	return waits(partitionUnproven), waits(confinedPartitions)
}

// releaseUnits releases the pool's units for which it is time, and reports whether any is
// still confined.
func (d *Dispatcher) releaseUnits(now tackclock.Time, p *pool) bool {
	confined := false
	for key, u := range d.units {
		if u.service != p.service {
			continue
		}
		crashed, tried := u.Share()
		if u.Calm(now) && u.Release(now, p.hasSteps(key, partitionUnproven), p.hasSteps(key, confinedPartitions)) {
			d.note(Event{Kind: EventQueueReleased, At: now, Reason: releaseReason(key, crashed, tried)})
			p.reviewAt = now
		}
		confined = confined || u.Confined()
		if u.Idle(now) {
			delete(d.units, key)
		}
	}
	return confined
}

// hasSteps reports whether steps of the unit wait that have the bits in their partition.
func (p *pool) hasSteps(key unitKey, bits int) bool {
	for s := range p.steps.Fitting(math.MaxInt, func(partition int) bool { return partition&bits == bits }) {
		if s.unitKey() == key && len(s.waiting) > 0 {
			return true
		}
	}
	return false
}

func releaseReason(key unitKey, crashed, tried int) string {
	return fmt.Sprintf("%s: %d of %d canaries crashed their workers", key, crashed, tried)
}

// setExposed replaces the exposed workers.
func (d *Dispatcher) setExposed(now tackclock.Time, x *exposure, next []*worker) {
	for _, w := range x.workers {
		w.exposed = false
	}
	for _, w := range next {
		w.exposed = true
	}
	for _, w := range slices.Concat(x.workers, next) {
		d.updateTotals(now, w)
	}
	x.workers = next
}

// staysExposed reports whether an exposed worker can go on to start canaries, and records
// its loss if it has most likely crashed.
func (d *Dispatcher) staysExposed(now tackclock.Time, x *exposure, w *worker) bool {
	quiet := w.silent(now) || w.unlisted() > 0 && now.Sub(w.heardAt) > quietAfter
	if d.workers[w.id] != w || quiet {
		x.losses.Add(now)
		return false
	}
	return d.mayExpose(now, w) && w.longRunningUsed == tackroom.Resources{}
}

func (d *Dispatcher) mayExpose(now tackclock.Time, w *worker) bool {
	return !w.draining && !w.leaving && now >= w.suspicion.until && now >= w.emptiedUntil && !d.cordon[w.vm] && !w.silent(now)
}

// nextExposed returns the worker that is exposed at the least cost, or nil: one without
// long-running items that is idle, or soonest will be. After a while without any of these,
// it is the one with the fewest long-running items.
func (d *Dispatcher) nextExposed(now tackclock.Time, p *pool, kept []*worker) *worker {
	var best *worker
	desperate := len(kept) == 0 && p.exposure.lackingSince != 0 && now.Sub(p.exposure.lackingSince) > exposurePatience
	for _, w := range p.workers {
		if slices.Contains(kept, w) || w.hasTrial() || !d.mayExpose(now, w) || now.Sub(w.heardAt) > d.cfg.RetryBusy && !w.idle() {
			continue
		}
		if w.longRunningUsed != (tackroom.Resources{}) && !desperate {
			continue
		}
		if best == nil || compareExposure(now, w, best) < 0 {
			best = w
		}
	}
	return best
}

func compareExposure(now tackclock.Time, a, b *worker) int {
	return cmp.Or(
		cmp.Compare(a.longRunningUsed.MilliCores, b.longRunningUsed.MilliCores),
		cmp.Compare(len(a.runs), 0)-cmp.Compare(len(b.runs), 0),
		cmp.Compare(a.busyFor(now), b.busyFor(now)),
		cmp.Compare(a.id, b.id),
	)
}
