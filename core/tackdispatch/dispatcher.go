// Package tackdispatch decides on the leader which item starts on which worker, and when.
// Workers get their orders in the answers to their own heartbeats. Nothing here is
// durable: a new leader learns from the workers' reports what runs.
//
// An item is the unit that a worker executes, and a run is one start of it. An
// incarnation of a worker is one run of its process. An answer grants the worker a lease,
// after whose end the worker stops everything. A run is an orphan if its worker lists it
// although its item is not needed there.
//
// A worker that stops reporting may have crashed because of an item. Until its VM reports
// again, the runs that it started recently are in doubt; see package tackcrash. An item
// that may be at fault runs on a worker of its own first: it is on trial.
//
// An upkeep is the platform's maintenance of a worker's VM, for which the VM is down for
// some seconds; see package tackupkeep. A VM can also move to the pool of another
// service, or to the standby pool; see package tackpool.
package tackdispatch

import (
	"cmp"
	"math"
	"slices"

	"auburntack/core/tackadmit"
	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackquota"
	"auburntack/core/tackreplica"
	"auburntack/core/tackroom"
	"auburntack/core/tacksilence"
	"auburntack/core/tackworkspace"
)

const (
	// runBits is the number of bits for the runs that one leader can number within its
	// term: a million, enough for over an hour at the 300 starts per second of the
	// largest site.
	runBits = 20
	// driftDivisor is the inverse of the rate by which a worker's clock may be slow: one
	// part in fifty by the platform's contract.
	driftDivisor = 50
	// leaseSlack covers the rounding of both clocks to milliseconds and late timers on
	// the worker.
	leaseSlack = 100 * tackclock.Millisecond
	// notSent stands for the heartbeat that carried a start which has not been sent yet:
	// no heartbeat has a higher sequence number.
	notSent = math.MaxUint64
	// endedIncarnationKept is how long an incarnation that is over is remembered, so that
	// its late heartbeats are told from those of a new one. What a partition delays
	// arrives within seconds of its end.
	endedIncarnationKept = tackclock.Minute
	// forgetEvery is the interval between cleanups of records of past incarnations.
	forgetEvery = tackclock.Second
	// measureEvery is the interval between summations over all workers.
	measureEvery = 250 * tackclock.Millisecond
	// maxEndsInReport is how many ends a worker lists at a time. A list of this length
	// may be incomplete.
	maxEndsInReport = 500

	// defaultHold outlasts the loss of a leader: a second until another leads, one until
	// a worker gives up its call to the former leader, and one for a second attempt. A
	// longer lease only delays the restart of work of silent workers and of earlier
	// leaders.
	defaultHold      = 3500 * tackclock.Millisecond
	defaultUpkeep    = 2 * tackclock.Second
	defaultMove      = 1500 * tackclock.Millisecond
	defaultGangWait  = 3 * tackclock.Second
	defaultRetry     = 150 * tackclock.Millisecond
	defaultRetryBusy = 400 * tackclock.Millisecond
)

type (
	// Config holds the parameters of a Dispatcher. Zero durations take the defaults.
	Config struct {
		// Hold is the duration of the lease that the answer to a heartbeat grants.
		Hold tackclock.Duration
		// Retry is the delay until the next heartbeat of a worker with room, and
		// RetryBusy that of one without room.
		Retry     tackclock.Duration
		RetryBusy tackclock.Duration
		// Upkeep is how long a VM is down for its upkeep.
		Upkeep tackclock.Duration
		// Move is how long a VM takes to move to another pool.
		Move tackclock.Duration
		// GangWait is how long a worker waits for the other members of a gang.
		GangWait tackclock.Duration
		// AdmitPercent is the part of its objective, in percent, that a job may take by
		// the cores that its pool has now.
		AdmitPercent int
		// CopyAfter is how long a worker must be silent for its speculative items to
		// start elsewhere as well.
		CopyAfter tackclock.Duration
		// Listed says that the platform lists the workers' VMs, so a new leader will soon
		// know how many there are.
		Listed bool
		// Forecast estimates the work that will arrive, for the planner of moves.
		Forecast bool
		// AdmitByOutlook decides on admission by the order in which work is served and the
		// VMs that will be there, and keeps room for refused callers until the time that
		// they were told.
		AdmitByOutlook bool
		// Confine confines queues whose items crash their workers.
		Confine bool
	}

	// Dispatcher is one leader's view of the workers and what runs on them.
	// It is not safe for concurrent use.
	Dispatcher struct {
		cfg Config
		// quota tracks what workspaces have running.
		quota     tackquota.Book
		measureAt tackclock.Time // when the room of all workers is next added up
		term      tackreplica.Term
		runs      uint64
		// freshTerm is the term of jobs that were accepted before Reset and that nobody
		// can have started yet, and of waves for which nobody can have called the platform
		// yet; zero if there is none.
		freshTerm tackreplica.Term
		began     tackclock.Time // when the leadership began
		// earlierLeasesEnd is when nothing runs any more that an earlier leader started
		// and no worker has listed.
		earlierLeasesEnd tackclock.Time

		// table holds all jobs in the log, open and closed.
		table             *tackjob.Table
		workers           map[WorkerID]*worker
		workersByVM       map[tackid.VM]*worker
		workersByName     map[string]*worker // by WorkerID.Name
		endedIncarnations map[WorkerID]tackclock.Time
		// formers are the incarnations that are not registered any more and may still go on.
		formers             formers
		pendingIncarnations map[WorkerID]pendingIncarnation
		pools               map[tackid.Service]*pool
		jobs                map[tackjob.ID]*openJob
		running             map[tackjob.Item]*run
		// proposals are the jobs whose acceptance is being written to the log, and
		// proposed is their total work.
		proposals map[tackjob.ID]proposal
		proposed  outstandingWork
		// outstanding is the work of open jobs, and unstarted the number of jobs of each
		// queue that have not started.
		outstanding outstandingWork
		unstarted   map[tackcatalog.QueueKey]int
		// silenceChecks schedules the checks whether workers have fallen silent.
		silenceChecks silenceChecks
		// ranAt is the time of the last tick or heartbeat, and listeningSince is when the
		// leader's process last went on after a stall.
		ranAt, listeningSince tackclock.Time
		// departed are workers that said goodbye and are not known, by when they did.
		departed map[WorkerID]tackclock.Time
		// silentWorkers is the number of workers that are silent.
		silentWorkers int
		expireAt      tackclock.Time
		// examined counts the workers and jobs that decisions have iterated over.
		examined uint64
		// scheduled are jobs with occurrences that are not due yet.
		scheduled map[tackjob.ID]*openJob
		cordon    map[tackid.VM]bool
		upkeeps   map[tackid.VM]*upkeepState

		// standby are VMs that send no heartbeats, and moves those on their way to
		// another pool. listed is the room of the standby VMs by the pool in which the
		// platform lists them.
		standby map[tackid.VM]Machine
		listed  map[tackid.Service]tackroom.Resources
		// unlisted says that the platform's list has not been read since Reset.
		unlisted bool
		moves    map[tackid.VM]*moving
		// spareVMs are the VMs that the planner can bring to a pool.
		spareVMs spareVMs
		// promisesAt is when promises may next be written to the log.
		promisesAt tackclock.Time
		// now is the time of the last Reset, Tick or request.
		now tackclock.Time

		// findings have yet to be written to the log. orderedBefore reports whether an
		// earlier leader's order may have ended a worker on a VM by when the worker was
		// last heard from; it is nil if none can have.
		findings      tackjob.Findings
		orderedBefore func(tackclock.Time, tackid.VM) bool
		silences      tacksilence.Watch
		// adviceRepeats says that the next call for advice is for a step for which there was
		// one before, if there are any.
		adviceRepeats bool
		// units hold the evidence about queues whose items crashed workers.
		units map[unitKey]*unit

		events     []Event
		eventsLeft int
	}

	// Inherited is the state that a new leader finds in its log.
	Inherited struct {
		// Jobs is nil if this replica does not lead.
		Jobs       *tackjob.Table
		Workspaces []tackworkspace.Workspace
		Grants     tackquota.Grants
		Promises   []tackadmit.Promise
	}

	// run is one start of an item.
	run struct {
		item     tackjob.Item
		number   RunNumber
		worker   *worker
		step     *openStep
		reserved tackroom.Resources
		// byEarlierLeader says that another leader started the run.
		byEarlierLeader bool
		started         tackclock.Time
		sentIn          uint64 // sequence number of the heartbeat whose answer carried the start
		listed          bool
		listedAt        tackclock.Time // when it was first listed, at startPercent
		startPercent    int
		percent         int
		progressAt      tackclock.Time // when percent last changed
		checkpoint      string
		tailLatency     int
		pace            int
		stopping        bool
		// former is the item's run before this one, and endProof what showed that this one
		// is over.
		former   FormerRun
		endProof string
		// copyReason says why the item waits, or runs, elsewhere as well; it is empty if
		// it does not.
		copyReason string
		// trial is how long the worker must list the run before anything else may start
		// there. isolated says that it must list the run at all before. suspected says
		// that the log holds crashes under the run's item.
		trial     tackclock.Duration
		isolated  bool
		suspected bool
		// doubted says that a doubt about the run is in the log, or on its way there, and
		// outage that its worker fell silent together with its rack.
		doubted bool
		outage  bool
		// canary says that the run is the canary of its job, or a suspect of a confined
		// unit; survived that its worker has listed it for long enough; and inconclusive
		// that a crash does not count as one that the item ran alone in.
		canary, survived, inconclusive bool
	}
)

// New returns a dispatcher that does not lead yet.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{cfg: cfg.WithDefaults()}
	d.Reset(0, 0, Inherited{})
	return d
}

// WithDefaults returns c with each zero field at its default.
func (c Config) WithDefaults() Config {
	c.Hold = cmp.Or(c.Hold, defaultHold)
	c.Retry = cmp.Or(c.Retry, defaultRetry)
	c.RetryBusy = cmp.Or(c.RetryBusy, defaultRetryBusy)
	c.Upkeep = cmp.Or(c.Upkeep, defaultUpkeep)
	c.Move = cmp.Or(c.Move, defaultMove)
	c.GangWait = cmp.Or(c.GangWait, defaultGangWait)
	c.AdmitPercent = cmp.Or(c.AdmitPercent, defaultAdmitPercent)
	c.CopyAfter = cmp.Or(c.CopyAfter, defaultCopyAfter)
	return c
}

// leaseEnd returns when a lease is certain to have run out on a worker whose heartbeat
// was received at now.
func (d *Dispatcher) leaseEnd(now tackclock.Time) tackclock.Time {
	return now.Add(d.cfg.Hold + d.cfg.Hold/driftDivisor + leaseSlack)
}

// Reset begins a leadership at now with the contents of the log. Runs of earlier leaders
// may go on until the last leases that those granted have ended. Until then only items of
// jobs accepted in this term start, since nobody else can have started them. After a
// Reset within a term some of those may have been started as well.
func (d *Dispatcher) Reset(now tackclock.Time, term tackreplica.Term, log Inherited) {
	// A worker counts its lease from when it sent the heartbeat, which was before the
	// earlier leader's own lease ended.
	d.began, d.earlierLeasesEnd, d.measureAt, d.expireAt = now, d.leaseEnd(now), now, now
	if term != d.term {
		d.term, d.runs, d.freshTerm = term, 0, term
		d.quota.Begin(d.earlierLeasesEnd, log.Workspaces, log.Grants)
	} else {
		d.freshTerm = 0
		d.quota.Restart(d.earlierLeasesEnd, log.Workspaces, log.Grants)
	}
	d.table = log.Jobs
	d.workers = make(map[WorkerID]*worker)
	d.workersByVM = make(map[tackid.VM]*worker)
	d.workersByName = make(map[string]*worker)
	d.endedIncarnations = make(map[WorkerID]tackclock.Time)
	d.formers = formers{}
	d.pendingIncarnations = make(map[WorkerID]pendingIncarnation)
	d.pools = make(map[tackid.Service]*pool)
	d.jobs = make(map[tackjob.ID]*openJob)
	d.running = make(map[tackjob.Item]*run)
	d.outstanding, d.unstarted, d.silenceChecks, d.silentWorkers = outstandingWork{}, make(map[tackcatalog.QueueKey]int), nil, 0
	d.proposals, d.proposed = make(map[tackjob.ID]proposal), outstandingWork{}
	d.scheduled = make(map[tackjob.ID]*openJob)
	d.cordon = make(map[tackid.VM]bool)
	d.upkeeps = make(map[tackid.VM]*upkeepState)
	d.standby, d.listed = make(map[tackid.VM]Machine), make(map[tackid.Service]tackroom.Resources)
	d.unlisted = d.cfg.Listed
	d.moves = make(map[tackid.VM]*moving)
	d.spareVMs, d.promisesAt, d.now = spareVMs{}, now, now
	d.ranAt, d.listeningSince = now, now
	d.departed = make(map[WorkerID]tackclock.Time)
	d.findings, d.orderedBefore = tackjob.Findings{}, nil
	d.silences = tacksilence.Watch{}
	d.units = make(map[unitKey]*unit)
	if log.Jobs == nil {
		return
	}
	log.Jobs.Each(func(j *tackjob.Job) {
		d.accept(now, j, j.Term == d.freshTerm)
		d.inheritSteps(j)
		d.restoreDoubts(now, j)
		d.inheritConfinement(now, j)
	})
	d.rebuildForecasts(now)
	d.restorePromises(log.Promises)
}

// Knows reports whether a heartbeat of the worker has been accepted.
func (d *Dispatcher) Knows(id WorkerID) bool {
	return d.workers[id] != nil
}

// Workers returns the number of workers that report.
func (d *Dispatcher) Workers() int {
	return len(d.workers)
}

// Grants returns the grants of running capacity to workspaces that are to be written to
// the log, since the last call.
func (d *Dispatcher) Grants(now tackclock.Time) []tackquota.Grant {
	return d.quota.TakeRequested(now)
}

// GrantsLogged records that the log holds grants.
func (d *Dispatcher) GrantsLogged(list []tackquota.Grant) {
	d.quota.Committed(list)
}

// Examined returns the number of steps, workers and jobs that decisions have iterated over
// since the start. It measures the cost of a heartbeat or a request independently of the
// machine.
func (d *Dispatcher) Examined() uint64 {
	examined := d.examined
	for _, p := range d.pools {
		examined += p.steps.Examined + p.restrained.Examined
	}
	return examined
}

// HasOpenJobs reports whether the service has an open job.
func (d *Dispatcher) HasOpenJobs(service tackid.Service) bool {
	for _, o := range d.jobs {
		if o.Service == service {
			return true
		}
	}
	return false
}

// EarlierLeasesEnd returns when nothing runs any more that an earlier leader started and
// that no worker has listed. A stall of this process can put it off.
func (d *Dispatcher) EarlierLeasesEnd() tackclock.Time {
	return d.earlierLeasesEnd
}

// EarlierLeasesEnded reports whether all leases of earlier leaders have ended, so that
// nothing can run that no worker has listed.
func (d *Dispatcher) EarlierLeasesEnded(now tackclock.Time) bool {
	return now >= d.earlierLeasesEnd
}

func (d *Dispatcher) nextRun() RunNumber {
	d.runs++
	return d.lastRun()
}

// lastRun returns the number of the last run that was numbered.
func (d *Dispatcher) lastRun() RunNumber {
	return RunNumber(uint64(d.term)<<runBits + d.runs)
}

// Tick handles what is due by time: leases that ran out, silent workers, and occurrences
// of repeated jobs.
func (d *Dispatcher) Tick(now tackclock.Time) {
	d.now = now
	d.noteRunning(now)
	silent := d.overdueWorkers(now)
	// If most workers are silent, the likely cause is this VM or its network. Recording
	// doubts would write thousands of them to the log, and as many dismissals later.
	mostSilent := 2*d.silentWorkers > len(d.workers)
	for _, w := range silent {
		if d.leaseOver(now, w) {
			d.doubtRuns(now, w)
			d.lapse(now, w)
			continue
		}
		d.updateTotals(now, w)
		if !mostSilent && now.Sub(w.heardAt) >= doubtAfter {
			d.doubtRuns(now, w)
		}
		d.copyIfSilent(now, w)
	}
	d.releaseLapsed(now)
	for _, j := range d.scheduled {
		d.openDue(now, j)
	}
	d.expireIncarnations(now)
	d.expirePromises(now)
	d.measure(now)
}

// measure updates the total room of all workers.
func (d *Dispatcher) measure(now tackclock.Time) {
	if now < d.measureAt {
		return
	}
	d.measureAt = now.Add(measureEvery)
	d.observeYields(now)
	var all tackroom.Resources
	for _, p := range d.pools {
		all = all.Plus(p.totals.capacity)
	}
	d.quota.SetCapacity(all)
}

// removeRun removes a run from its worker.
func (d *Dispatcher) removeRun(now tackclock.Time, r *run) {
	w := r.worker
	d.endCanary(r)
	r.step.job.account.End(r.step.Resources, r.byEarlierLeader)
	delete(w.runs, r.item)
	w.idleSince = now
	w.used = w.used.Minus(r.reserved)
	if r.step.LongRunning {
		w.longRunningUsed = w.longRunningUsed.Minus(r.reserved)
	}
	w.steps[r.step.key()]--
	if w.steps[r.step.key()] <= 0 {
		delete(w.steps, r.step.key())
	}
	if d.running[r.item] == r {
		delete(d.running, r.item)
		r.step.running--
	}
	if r.copyReason != "" {
		r.step.copies = slices.DeleteFunc(r.step.copies, func(o *run) bool { return o == r })
	}
	d.updateTotals(now, w)
}

// requeueLost queues the item of a run that may have been lost with its worker.
func (d *Dispatcher) requeueLost(now tackclock.Time, r *run) {
	if r.sentIn != notSent {
		r.step.markLost(r.item.Index)
	}
	d.requeue(now, r)
}

// requeue queues the item of a run that is over again.
func (d *Dispatcher) requeue(now tackclock.Time, r *run) {
	s := r.step
	if r.copyReason != "" || s.job.closed || s.job.Done(r.item) {
		return
	}
	s.addWaiting(now, r.item.Index, r.checkpoint)
	s.waiting[len(s.waiting)-1].former = FormerRun{Run: r.number, Proof: r.endProof, At: r.worker.heardAt}
	if r.sentIn == notSent {
		s.waiting[len(s.waiting)-1].former = r.former
	}
	d.enqueue(now, d.pool(s.job.Service), s)
}

func (d *Dispatcher) pool(name tackid.Service) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{service: name}
		if d.cfg.Forecast {
			p.forecast = &forecast{}
		}
		d.pools[name] = p
	}
	return p
}
