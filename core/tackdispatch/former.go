package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
)

// maxSoonReports is how many heartbeats a worker sends soon after it replaced another.
const maxSoonReports = 6

type (
	// former is an incarnation of a worker that may go on although it is not registered
	// any more: its lease ran out, the platform is taking its VM down, or another incarnation
	// reported from its VM or under its name. A report that was delayed is no proof that its
	// sender is the later of the two.
	//
	// The incarnations of a worker follow one another. So if one of them lists a run that
	// was ordered after another was heard, that other is over.
	former struct {
		id      WorkerID
		vm      tackid.VM
		service tackid.Service
		// joinedAt is when it was first heard.
		joinedAt tackclock.Time
		// at is when it was last registered, and heardAt when it was last heard.
		at, heardAt tackclock.Time
		// overdueAt is when its next heartbeat should have been received.
		overdueAt tackclock.Time
		// leaseUntil and leaseOverAt are those of the worker.
		leaseUntil, leaseOverAt tackclock.Time
		// sequence is the sequence number of its last report, and lastRun the number of the
		// last run that was ordered before it was replaced.
		sequence uint64
		lastRun  RunNumber
		left     bool
		// terminated says that the platform ends it. Its heartbeats are ignored, and its
		// lease counts as over once its processes have ended.
		terminated bool
		// held are the items that it may still run, and charges what they, and then its
		// other runs, count against their workspaces until they are released.
		held    []tackjob.Item
		charges []orphanRun
	}

	// formers holds the former incarnations by VM and by name. Its zero value is empty.
	formers struct {
		byID   map[WorkerID]*former
		byVM   map[tackid.VM][]*former
		byName map[string][]*former
		// holding are those that hold items, or whose runs count against workspaces.
		holding []*former
	}
)

func (x *formers) add(f *former) {
	if x.byID == nil {
		x.byID, x.byVM, x.byName = make(map[WorkerID]*former), make(map[tackid.VM][]*former), make(map[string][]*former)
	}
	x.byID[f.id] = f
	if f.vm != "" {
		x.byVM[f.vm] = append(x.byVM[f.vm], f)
	}
	x.byName[f.id.Name()] = append(x.byName[f.id.Name()], f)
	if len(f.charges) > 0 {
		x.holding = append(x.holding, f)
	}
}

func (x *formers) remove(f *former) {
	delete(x.byID, f.id)
	is := func(o *former) bool { return o == f }
	if x.byVM[f.vm] = slices.DeleteFunc(x.byVM[f.vm], is); len(x.byVM[f.vm]) == 0 {
		delete(x.byVM, f.vm)
	}
	name := f.id.Name()
	if x.byName[name] = slices.DeleteFunc(x.byName[name], is); len(x.byName[name]) == 0 {
		delete(x.byName, name)
	}
	x.holding = slices.DeleteFunc(x.holding, is)
}

// of returns the former incarnations on a VM or under a name, each of which may be empty.
func (x *formers) of(vm tackid.VM, name string) []*former {
	list := slices.Clone(x.byVM[vm])
	for _, f := range x.byName[name] {
		if f.vm != vm || vm == "" {
			list = append(list, f)
		}
	}
	return list
}

// sharesPlace reports whether the worker is an incarnation of the same VM or name, so
// that it runs nothing unless the former incarnation is over.
func (f *former) sharesPlace(w *worker) bool {
	return f.vm != "" && f.vm == w.vm || f.id.Name() == w.id.Name()
}

// newFormer returns the record of a worker that is about to be removed.
func (d *Dispatcher) newFormer(now tackclock.Time, w *worker) *former {
	return &former{
		id: w.id, vm: w.vm, service: w.service, joinedAt: w.joinedAt, at: now, heardAt: w.heardAt,
		overdueAt:  w.heardAt.Add(d.cfg.RetryBusy + w.silenceAllowance),
		leaseUntil: w.leaseUntil, leaseOverAt: w.leaseOverAt(),
		sequence: max(w.sequence, w.refusedSequence), lastRun: d.lastRun(), left: w.left,
	}
}

// replaceWorker removes a worker because another incarnation, by, reported from its VM, or
// under its name. Until that one proves to be the later one, or the lease of the replaced one
// ends, what ran there may start only on an incarnation of the same VM: if the report was
// delayed, its sender is over and such a start has no effect.
func (d *Dispatcher) replaceWorker(now tackclock.Time, w *worker, by WorkerID, reason string) {
	if !w.unconfirmed || d.formers.byID[by] == nil {
		d.doubtRuns(now, w)
		d.excuseRuns(now, w)
	} // else the one that it had replaced goes on, so nothing that was ordered here began
	f := d.newFormer(now, w)
	for _, r := range w.runsInOrder() {
		if r.copyReason == "" && !r.step.Speculative {
			d.holdItem(f, r)
		}
	}
	d.remove(now, w, reason)
	d.formers.add(f)
}

// holdItem keeps the item of a run from starting elsewhere, and counts the run against its
// workspace until it is certain to be over.
func (d *Dispatcher) holdItem(f *former, r *run) {
	s := r.step
	if s.held == nil {
		s.held = make(map[int32][]*former)
	}
	s.held[r.item.Index] = append(s.held[r.item.Index], f)
	f.held = append(f.held, r.item)
	f.charge(orphanRun{account: s.job.account, resources: s.Resources, byEarlierLeader: r.byEarlierLeader})
}

// charge counts a run against its workspace until the items are released.
func (f *former) charge(x orphanRun) {
	x.account.Start(x.resources, x.byEarlierLeader)
	f.charges = append(f.charges, x)
}

// releaseItems lets the items that a former incarnation holds start anywhere.
func (d *Dispatcher) releaseItems(now tackclock.Time, f *former) {
	for _, item := range f.held {
		s := d.openStepOf(item)
		if s == nil || len(s.held[item.Index]) == 0 {
			continue
		}
		s.held[item.Index] = slices.DeleteFunc(s.held[item.Index], func(o *former) bool { return o == f })
		if len(s.held[item.Index]) == 0 {
			delete(s.held, item.Index)
			if at := s.position(item.Index); at >= 0 && s.restraints[item.Index].isolated {
				s.waiting[at].since = now // from now on it can be tried on other workers
			}
		}
		if s.queued && len(s.held) == 0 { // it belongs to another partition now
			p := d.pool(s.job.Service)
			p.dequeue(s)
			d.enqueue(now, p, s)
		}
	}
	for _, x := range f.charges {
		x.account.End(x.resources, x.byEarlierLeader)
	}
	f.held, f.charges = nil, nil
	d.formers.holding = slices.DeleteFunc(d.formers.holding, func(o *former) bool { return o == f })
}

// confirm ends the former incarnations of a worker's VM and name that its report shows to
// be over. A run that it lists was ordered after they were heard, so it is the later one.
func (d *Dispatcher) confirm(now tackclock.Time, w *worker, r *Report) {
	if !w.unconfirmed {
		return
	}
	last := r.lastRun()
	w.unconfirmed = false
	waits := false
	for _, f := range d.formers.of(w.vm, w.id.Name()) {
		if f.lastRun >= last {
			w.unconfirmed = true
			waits = waits || now <= f.overdueAt
			continue
		}
		d.noteFormer(now, EventReleased, f, "a later incarnation lists a run")
		d.endFormer(now, f)
	}
	if !waits && w.vm != "" {
		d.resolveDoubts(now, w.vm, w.id)
	}
}

// lastRun returns the highest run number that the report lists, or zero.
func (r *Report) lastRun() RunNumber {
	var n RunNumber
	for i := range r.Running {
		n = max(n, r.Running[i].Run)
	}
	for i := range r.Ended {
		n = max(n, r.Ended[i].Run)
	}
	return n
}

// mayReport reports whether the next heartbeat of a former incarnation on the VM may be
// under way.
func (d *Dispatcher) mayReport(now tackclock.Time, vm tackid.VM) bool {
	return slices.ContainsFunc(d.formers.byVM[vm], func(f *former) bool { return now <= f.overdueAt })
}

// unchargedFor returns the result of check while the former incarnations that hold an item
// do not count against its workspace: its next run replaces theirs.
func (s *openStep) unchargedFor(item tackjob.Item, check func() bool) bool {
	for _, f := range s.held[item.Index] {
		x := f.charges[slices.Index(f.held, item)]
		x.account.End(x.resources, x.byEarlierLeader)
		defer x.account.Start(x.resources, x.byEarlierLeader)
	}
	return check()
}

// startHeld starts on the worker the items that former incarnations of its VM hold.
func (d *Dispatcher) startHeld(now tackclock.Time, p *pool, w *worker, sequence uint64, o *Orders) {
	if !w.unconfirmed {
		return
	}
	for _, f := range d.formers.of(w.vm, w.id.Name()) {
		for _, item := range f.held {
			s := d.openStepOf(item)
			if s == nil || !d.mayStartHeld(now, p, w, s, item.Index) || len(o.Start) >= maxStartsInAnswer {
				continue
			}
			at := s.position(item.Index)
			if x := s.restraints[item.Index]; x.isolated {
				// An item that is no likely cause need not wait for another VM, unless this one
				// crashes again and again.
				soon := !x.alone && s.crashesOn(item.Index, w.vm) <= 1
				if next := s.waiting[at]; w.idle() && (soon || d.mayStartTrial(now, p, w, s, &next)) &&
					s.unchargedFor(item, func() bool { return d.withinCap(now, s, 1) }) {
					s.dropWaiting(next.index)
					d.planTrial(now, w, s, next)
				}
				continue
			}
			if w.hasTrial() || w.unlisted() >= p.maxUnlisted(now) || w.steps[s.key()] >= d.maxOnWorker(now, w, s) {
				continue
			}
			if !s.unchargedFor(item, func() bool { return d.withinCap(now, s, 1) }) {
				continue
			}
			next := s.waiting[at]
			s.waiting = slices.Delete(s.waiting, at, at+1)
			d.startItem(now, w, s, next, sequence, o)
		}
	}
}

// crashesOn returns how many workers on the VM crashed under the item.
func (s *openStep) crashesOn(index int32, vm tackid.VM) int {
	n := 0
	for _, c := range s.crashRecord(index).Crashes {
		if c.VM == vm {
			n++
		}
	}
	return n
}

// asksSoon reports whether the worker should send its next heartbeat soon, so that what
// former incarnations hold starts.
func (d *Dispatcher) asksSoon(w *worker) bool {
	if !w.unconfirmed || w.reports > maxSoonReports {
		return false
	}
	return w.unlisted() > 0 ||
		slices.ContainsFunc(d.formers.of(w.vm, w.id.Name()), func(f *former) bool { return len(f.held) > 0 })
}

// mayStartHeld reports whether an item that is held waits, and may start on the worker by
// itself.
func (d *Dispatcher) mayStartHeld(now tackclock.Time, p *pool, w *worker, s *openStep, index int32) bool {
	if s.Gang || s.job.Service != w.service || w.runs[s.item(index)] != nil || s.position(index) < 0 || !s.startableOn(now, w, index) {
		return false
	}
	return !d.needsCanary(s) && w.room().Fits(s.Reserved()) && d.mayStart(now, w, s) && (!d.cordon[w.vm] || d.stranded(now, p, s))
}

// placeOf returns the registered worker on which an item that is held may start, or nil.
func (d *Dispatcher) placeOf(s *openStep, index int32) *worker {
	f := s.held[index][0]
	w := d.workersByVM[f.vm]
	if w == nil {
		w = d.workersByName[f.id.Name()]
	}
	if w == nil || slices.ContainsFunc(s.held[index], func(f *former) bool { return !f.sharesPlace(w) }) {
		return nil
	}
	return w
}

// hostsWithHeld returns one of the workers for each waiting item of a gang, or nil if their
// room by the given measure is not enough. The items that are held get the workers on which
// they may start.
func (d *Dispatcher) hostsWithHeld(s *openStep, workers []*worker, room func(*worker) tackroom.Resources) []*worker {
	hosts := make([]*worker, len(s.waiting))
	taken := make(map[*worker]int)
	need := s.Reserved()
	take := func(w *worker) bool {
		n := taken[w] + 1
		if w == nil || !slices.Contains(workers, w) || !room(w).Fits(need.Times(n)) || s.MaxPerWorker > 0 && w.steps[s.key()]+n > s.MaxPerWorker {
			return false
		}
		taken[w] = n
		return true
	}
	for i, item := range s.waiting {
		if len(s.held[item.index]) == 0 {
			continue
		}
		if hosts[i] = d.placeOf(s, item.index); !take(hosts[i]) {
			return nil
		}
	}
	next := 0
	for i := range hosts {
		if hosts[i] != nil {
			continue
		}
		for next < len(workers) && !take(workers[next]) {
			next++
		}
		if next == len(workers) {
			return nil
		}
		hosts[i] = workers[next]
	}
	return hosts
}

// position returns the position of an item among those that wait, or -1.
func (s *openStep) position(index int32) int {
	return slices.IndexFunc(s.waiting, func(i waitingItem) bool { return i.index == index })
}
