package tackdispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackconfine"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

type (
	// unitKey identifies items that behave alike: those of a queue with the same image.
	unitKey struct {
		queue tackcatalog.QueueKey
		image string
	}

	// unit is the evidence about such items, and the pool in which they run.
	unit struct {
		tackconfine.Unit
		service tackid.Service
	}

	// trust is what the starts of a job's items have shown, while units are confined.
	trust struct {
		// proven says that an item has survived its start. distrustedAt is when a worker
		// last crashed at a start of the job's items, zero if none has, and suspect that it
		// was starting nothing else.
		proven       bool
		distrustedAt tackclock.Time
		suspect      bool
		// canary is a run of the job's canary.
		canary *run
	}
)

// String returns the queue and the image.
func (k unitKey) String() string {
	return fmt.Sprintf("%s%s %s", k.queue.Host, k.queue.Prefix, k.image)
}

func (s *openStep) unitKey() unitKey {
	return unitKey{queue: s.job.Queue, image: s.Image}
}

// confined reports whether starts of the step's items are confined. Those of long-running
// items are not: they stay where they start, and the worker would not be exposed for long.
func (d *Dispatcher) confined(s *openStep) bool {
	if len(d.units) == 0 || s.LongRunning {
		return false
	}
	u, p := d.units[s.unitKey()], d.pools[s.job.Service]
	return u != nil && u.Confined() && p != nil && p.exposure.on
}

// needsCanary reports whether the step's items wait until an item of their job has
// survived its start.
func (d *Dispatcher) needsCanary(s *openStep) bool {
	return !s.job.trust.proven && d.confined(s)
}

// canaryUnderWay reports whether the job's canary runs, so that no other is to start.
func (d *Dispatcher) canaryUnderWay(o *openJob) bool {
	r := o.trust.canary
	return r != nil && d.running[r.item] == r
}

// noteStartCrash takes a worker that fell silent or crashed as evidence against the items
// that it was starting: those of confined units if there are any, and all of them
// otherwise.
func (d *Dispatcher) noteStartCrash(now tackclock.Time, w *worker) {
	if !d.cfg.Confine {
		return
	}
	var starting []*run
	blamed := false // some of them are of a confined unit
	single := true  // all of them are of one job
	shared := false // they are of several units
	for _, r := range w.runsInOrder() {
		if r.listed {
			d.endCanary(r)
		}
		if !r.listed && r.sentIn != notSent && !r.step.LongRunning {
			starting = append(starting, r)
			blamed = blamed || d.confined(r.step)
			shared = shared || r.step.unitKey() != starting[0].step.unitKey()
			single = single && r.step.job == starting[0].step.job
		}
	}
	for _, r := range starting {
		if blamed && !d.confined(r.step) {
			continue
		}
		u := d.unit(r.step.unitKey(), r.step.job.Service)
		u.Lost(uint64(r.number))
		r.step.job.distrust(now, single)
		if u.Crashed(now, string(w.vm), string(w.id), shared) {
			d.confine(now, u, r.step.unitKey(), "workers crashed at starts of its items")
		}
	}
}

// distrust makes the job need a canary again. alone says that the worker was starting
// nothing but items of the job.
func (o *openJob) distrust(now tackclock.Time, alone bool) {
	o.trust.proven, o.trust.distrustedAt = false, now
	o.trust.suspect = o.trust.suspect || alone
}

func (d *Dispatcher) unit(key unitKey, service tackid.Service) *unit {
	u := d.units[key]
	if u == nil {
		u = &unit{}
		d.units[key] = u
	}
	u.service = service
	return u
}

// rebindUnits moves the units whose queue now belongs to another service.
func (d *Dispatcher) rebindUnits(now tackclock.Time) {
	if len(d.units) == 0 {
		return
	}
	services := make(map[tackcatalog.QueueKey]tackid.Service)
	for _, o := range d.jobs {
		services[o.Queue] = o.Service
	}
	for key, u := range d.units {
		to, open := services[key.queue]
		if !open || to == u.service {
			continue
		}
		for _, p := range []*pool{d.pool(u.service), d.pool(to)} {
			p.exposure.reviewAt, p.reviewAt = now, now
		}
		u.service = to
	}
}

// confine begins to confine a unit.
func (d *Dispatcher) confine(now tackclock.Time, u *unit, key unitKey, why string) {
	d.note(Event{Kind: EventQueueConfined, At: now, Reason: fmt.Sprintf("%s: %s", key, why)})
	p := d.pool(u.service)
	p.exposure.reviewAt, p.reviewAt = now, now
	d.reviewExposure(now, p)
}

// withdrawStartCrash withdraws the evidence of a worker that did not crash.
func (d *Dispatcher) withdrawStartCrash(id string) {
	for _, u := range d.units {
		u.Withdraw(id)
	}
}

// inheritConfinement derives the confinement from the log's records of crashes and doubts
// under a job's items. When they happened is not recorded, so they count as new.
func (d *Dispatcher) inheritConfinement(now tackclock.Time, j *tackjob.Job) {
	if !d.cfg.Confine || j.Phase != tackjob.Open {
		return
	}
	o := d.jobs[j.ID]
	for _, p := range j.Progress {
		for number := range p.Steps {
			o.trust.proven = o.trust.proven || p.Steps[number].Count > 0
			if j.Steps[number].LongRunning {
				continue
			}
			for _, record := range p.Steps[number].Crashes {
				key := unitKey{queue: j.Queue, image: j.Steps[number].Image}
				for _, c := range record.Crashes {
					if c.BeforeReport && !c.Excused && !c.Outage {
						o.distrust(now, c.Alone || c.Isolated)
						d.inheritCrash(now, o, key, string(c.VM), fmt.Sprintf("%s/%d", c.VM, c.Run))
					}
				}
				for _, x := range record.Doubts {
					if x.BeforeReport && !x.Outage {
						o.distrust(now, x.Alone || x.Isolated)
						d.inheritCrash(now, o, key, string(x.VM), x.WorkerID)
					}
				}
			}
		}
	}
}

func (d *Dispatcher) inheritCrash(now tackclock.Time, o *openJob, key unitKey, vm, worker string) {
	u := d.unit(key, o.Service)
	if u.Crashed(now, vm, worker, false) {
		d.confine(now, u, key, "the log holds crashes at starts of its items")
	}
}

// checkSurvivors records the runs that the worker has now listed for long enough to have
// survived their starts.
func (d *Dispatcher) checkSurvivors(now tackclock.Time, w *worker) {
	if !d.cfg.Confine {
		return
	}
	for _, r := range w.runs {
		if !r.survived && r.listed && w.heardAt.Sub(r.listedAt) >= tackconfine.SurvivedAfter {
			d.recordSurvival(now, r)
		}
	}
}

// recordSurvival records that a run has survived its start. The other items of its job may
// start like all others from then on. A gang has survived once all its members have.
func (d *Dispatcher) recordSurvival(now tackclock.Time, r *run) {
	r.survived = true
	o := r.step.job
	if r.canary {
		d.unit(r.step.unitKey(), o.Service).Survived(now, uint64(r.number))
	}
	if !d.cfg.Confine || o.trust.proven || r.step.LongRunning || r.listed && r.listedAt < o.trust.distrustedAt {
		return
	}
	if r.step.Gang && !d.gangSurvived(r.step) {
		return
	}
	o.trust.proven, o.trust.suspect = true, false
	if !d.confined(r.step) {
		return
	}
	d.noteRun(now, EventCanarySurvived, r, "")
	d.repartition(now, o)
}

// repartition moves the job's steps to the partitions to which they belong now.
func (d *Dispatcher) repartition(now tackclock.Time, o *openJob) {
	p := d.pool(o.Service)
	inOrder := slices.SortedFunc(maps.Values(o.steps), func(a, b *openStep) int {
		return cmp.Or(cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.number, b.number))
	})
	for _, s := range inOrder {
		if s.queued && len(s.waiting) > 0 {
			p.dequeue(s)
			d.enqueue(now, p, s)
		}
	}
}

// gangSurvived reports whether all members of a gang that run have survived their starts.
func (d *Dispatcher) gangSurvived(s *openStep) bool {
	for i := range s.Count {
		if r := d.running[s.item(int32(i))]; r != nil && !r.survived {
			return false
		}
	}
	return true
}

// endCanary records that a run is over. Without a result so far, it says nothing.
func (d *Dispatcher) endCanary(r *run) {
	if r.canary {
		d.unit(r.step.unitKey(), r.step.job.Service).End(uint64(r.number))
	}
}

// startsOnlyCanaries reports whether all that the worker is starting are canaries and
// suspects of confined units. Its crash says nothing about the starts on other workers.
func (d *Dispatcher) startsOnlyCanaries(w *worker) bool {
	if !d.cfg.Confine {
		return false
	}
	for _, r := range w.runs {
		if !r.listed && !(r.isolated && (r.canary || d.confined(r.step))) {
			return false
		}
	}
	return true
}

// heldWork reports whether the job waits for its canary, so that its work draws no VMs to
// its pool.
func (d *Dispatcher) heldWork(o *openJob) bool {
	if len(d.units) == 0 || o == nil || o.trust.proven {
		return false
	}
	for _, s := range o.steps {
		if len(s.waiting) > 0 && d.needsCanary(s) {
			return true
		}
	}
	return false
}

// heldArrivals returns how many millicores of recently submitted work wait for canaries.
func (d *Dispatcher) heldArrivals(now tackclock.Time, p *pool) int {
	if !p.exposure.on {
		return 0
	}
	var work int64
	for i := range p.arrivals {
		if a := &p.arrivals[i]; !a.refused && now.Sub(a.at) <= arrivalWindow && d.heldWork(d.jobs[a.job]) {
			work += a.work
		}
	}
	return int(work / int64(arrivalWindow))
}
