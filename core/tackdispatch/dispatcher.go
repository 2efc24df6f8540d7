// Package tackdispatch decides on the leader which item starts on which
// worker, and when. Workers get their orders in the answers to their own
// heartbeats. Nothing here is durable: a new leader learns what runs from the
// workers' lists.
package tackdispatch

import (
	"cmp"
	"math"
	"slices"

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
	// runBits is how many runs one leader can number within its term: a
	// million, over an hour at the 300 starts a second of the largest site.
	runBits = 20
	// driftDivisor is the share of a lease by which a worker's clock may be
	// slow: one part in fifty by the platform's contract.
	driftDivisor = 50
	// leaseSlack covers the rounding of both clocks to milliseconds and late
	// timers on the worker.
	leaseSlack = 100 * tackclock.Millisecond
	// notSent stands for the heartbeat that was answered with a start which
	// has not been sent yet: no heartbeat is later.
	notSent = math.MaxUint64
	// lateFor is for how long late heartbeats of a life are told from new ones. What
	// a partition holds up arrives within seconds of its end.
	lateFor = tackclock.Minute
	// forgetEvery spaces out the looks for lives that are to be forgotten.
	forgetEvery = tackclock.Second
	// measureEvery spaces out the sums over all workers.
	measureEvery = 250 * tackclock.Millisecond
	// endsInReport is how many ends a worker lists at a time. A list of this
	// length may leave some out.
	endsInReport = 500

	// defaultHold outlasts the loss of a leader: a second until another leads,
	// one until a worker gives up its call to the former one, and one for a
	// second try. All that is longer is time for which the work of a worker
	// that fell silent, and of an earlier leader, waits.
	defaultHold      = 3500 * tackclock.Millisecond
	defaultUpkeep    = 2 * tackclock.Second
	defaultMove      = 1500 * tackclock.Millisecond
	defaultGangWait  = 3 * tackclock.Second
	defaultRetry     = 150 * tackclock.Millisecond
	defaultRetryBusy = 400 * tackclock.Millisecond
)

type (
	// Config is what dispatch goes by. Zero durations take the defaults.
	Config struct {
		// Hold is the lease that a heartbeat's answer gives.
		Hold tackclock.Duration
		// Retry is when a worker with room is to ask again, RetryBusy when
		// one without room is.
		Retry     tackclock.Duration
		RetryBusy tackclock.Duration
		// Upkeep is how long a VM is down for its upkeep.
		Upkeep tackclock.Duration
		// Move is how long a VM is on its way to another pool.
		Move tackclock.Duration
		// GangWait is how long a worker waits for the other members of a gang.
		GangWait tackclock.Duration
		// AdmitPercent is up to which part of its objective a job may take by
		// the cores that its pool has now.
		AdmitPercent int
		// CopyAfter is after which silence of a worker items that may run in
		// copies start elsewhere as well.
		CopyAfter tackclock.Duration
		// Listed says that the platform lists the VMs of workers, so that a new leader
		// will soon know how many there are.
		Listed bool
	}

	// Dispatcher is one leader's view of the workers and what runs on them.
	// It is not safe for concurrent use.
	Dispatcher struct {
		cfg Config
		// quota is what workspaces have running.
		quota     tackquota.Book
		measureAt tackclock.Time // when the room of all workers is added up again
		term      tackreplica.Term
		runs      uint64
		// fresh is the term of jobs that were accepted before Reset and that nobody
		// can have started; zero if there is none.
		fresh tackreplica.Term
		began tackclock.Time // the leadership
		// sure is when nothing runs any more that an earlier leader started
		// and no worker has listed.
		sure tackclock.Time

		// table holds all jobs that the log knows, open and closed.
		table   *tackjob.Table
		workers map[WorkerID]*worker
		lives   map[tackid.VM]*worker
		names   map[string]*worker // by WorkerID.Name
		over    map[WorkerID]tackclock.Time
		// lapsed are workers whose lease ran out and whose life may go on.
		lapsed  map[WorkerID]lapse
		claims  map[WorkerID]claim
		pools   map[tackid.Service]*pool
		jobs    map[tackjob.ID]*openJob
		running map[tackjob.Item]*run
		// proposals are the jobs that are being handed to the log, proposed their work.
		proposals map[tackjob.ID]proposal
		proposed  owedWork
		// owed is the work of jobs, unbegun how many of each queue have not begun.
		owed    owedWork
		unbegun map[tackcatalog.QueueKey]int
		// checks says when a worker may have fallen silent.
		checks checks
		// fellSilent is how many workers are silent.
		fellSilent int
		forgetAt   tackclock.Time
		// looked counts the workers and jobs that decisions have passed.
		looked uint64
		// timed are jobs with occurrences that are not due yet.
		timed   map[tackjob.ID]*openJob
		cordon  map[tackid.VM]bool
		upkeeps map[tackid.VM]*upkeepState

		// standby are VMs that send no heartbeats, moves those on their way. listed is the
		// room of the former by the pool in which the platform has them.
		standby map[tackid.VM]Machine
		listed  map[tackid.Service]tackroom.Room
		// unlisted says that the list has not been read since Reset.
		unlisted bool
		moves    map[tackid.VM]*moving

		// findings wait for the log. orderedBefore tells whether a new life on a VM may
		// follow from an earlier leader's order; nil if none can.
		findings      tackjob.Findings
		orderedBefore func(tackclock.Time, tackid.VM) bool
		silences      tacksilence.Watch

		events     []Event
		eventsLeft int
	}

	// Inherited is what a leader finds in its log.
	Inherited struct {
		// Jobs may be nil: nobody leads then.
		Jobs       *tackjob.Table
		Workspaces []tackworkspace.Workspace
		Grants     tackquota.Grants
	}

	// lapse is when a worker's lease ran out, its VM, and its last heartbeat.
	lapse struct {
		at       tackclock.Time
		vm       tackid.VM
		sequence uint64
	}

	// run is one start of an item.
	run struct {
		item   tackjob.Item
		number RunNumber
		worker *worker
		step   *openStep
		takes  tackroom.Room
		// earlier says that another leader started it.
		earlier    bool
		started    tackclock.Time
		sentIn     uint64 // the heartbeat that was answered with the start
		listed     bool
		listedAt   tackclock.Time // when it was first listed, at percent from
		from       int
		percent    int
		movedAt    tackclock.Time // when percent last changed
		checkpoint string
		tail       int
		pace       int
		stopping   bool
		// copied says why the item waits, or runs, elsewhere as well; empty if it
		// does not.
		copied string
		// trial is for how long the worker must list the run before anything else may
		// start there; suspected says that the log holds crashes under its item.
		trial     tackclock.Duration
		suspected bool
		// doubted says that the log is to hold a doubt about the run, or holds it.
		doubted bool
	}
)

// New returns a dispatcher that leads nothing yet.
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

// leaseEnd is when a lease has surely run out on a worker whose heartbeat was
// received at now.
func (d *Dispatcher) leaseEnd(now tackclock.Time) tackclock.Time {
	return now.Add(d.cfg.Hold + d.cfg.Hold/driftDivisor + leaseSlack)
}

// Reset begins a leadership at now with what the log holds. What
// earlier leaders started may run until their last answers' leases are over,
// so until then only items of jobs start that nobody can have started: those
// accepted in this term. A reset within a term has started some of those.
func (d *Dispatcher) Reset(now tackclock.Time, term tackreplica.Term, log Inherited) {
	// A worker counts its lease from when it sent the heartbeat, which was
	// before the earlier leader's own lease ended.
	d.began, d.sure, d.measureAt, d.forgetAt = now, d.leaseEnd(now), now, now
	if term != d.term {
		d.term, d.runs, d.fresh = term, 0, term
		d.quota.Begin(d.sure, log.Workspaces, log.Grants)
	} else {
		d.fresh = 0
		d.quota.BeginAgain(d.sure, log.Workspaces, log.Grants)
	}
	d.table = log.Jobs
	d.workers = make(map[WorkerID]*worker)
	d.lives = make(map[tackid.VM]*worker)
	d.names = make(map[string]*worker)
	d.over = make(map[WorkerID]tackclock.Time)
	d.lapsed = make(map[WorkerID]lapse)
	d.claims = make(map[WorkerID]claim)
	d.pools = make(map[tackid.Service]*pool)
	d.jobs = make(map[tackjob.ID]*openJob)
	d.running = make(map[tackjob.Item]*run)
	d.owed, d.unbegun, d.checks, d.fellSilent = owedWork{}, make(map[tackcatalog.QueueKey]int), nil, 0
	d.proposals, d.proposed = make(map[tackjob.ID]proposal), owedWork{}
	d.timed = make(map[tackjob.ID]*openJob)
	d.cordon = make(map[tackid.VM]bool)
	d.upkeeps = make(map[tackid.VM]*upkeepState)
	d.standby, d.listed = make(map[tackid.VM]Machine), make(map[tackid.Service]tackroom.Room)
	d.unlisted = d.cfg.Listed
	d.moves = make(map[tackid.VM]*moving)
	d.findings, d.orderedBefore = tackjob.Findings{}, nil
	d.silences = tacksilence.Watch{}
	if log.Jobs == nil {
		return
	}
	log.Jobs.Each(func(j *tackjob.Job) {
		d.accept(now, j, j.Term == d.fresh)
		d.recall(now, j)
	})
}

// Knows reports whether the worker has sent heartbeats that were taken in.
func (d *Dispatcher) Knows(id WorkerID) bool {
	return d.workers[id] != nil
}

// Workers is how many workers report.
func (d *Dispatcher) Workers() int {
	return len(d.workers)
}

// Grants returns what the log is to let workspaces have running, since the last call.
func (d *Dispatcher) Grants(now tackclock.Time) []tackquota.Grant {
	return d.quota.Wanted(now)
}

// Granted takes in that the log holds grants.
func (d *Dispatcher) Granted(list []tackquota.Grant) {
	d.quota.Granted(list)
}

// Looked counts the steps, workers and jobs that decisions have passed since the start. It
// shows what a heartbeat or a request costs, whatever the machine.
func (d *Dispatcher) Looked() uint64 {
	looked := d.looked
	for _, p := range d.pools {
		looked += p.steps.Looked
	}
	return looked
}

// Owes reports whether a job is owed by the service.
func (d *Dispatcher) Owes(service tackid.Service) bool {
	for _, o := range d.jobs {
		if o.Service == service {
			return true
		}
	}
	return false
}

// Sure reports whether nothing can run that no worker has listed.
func (d *Dispatcher) Sure(now tackclock.Time) bool {
	return now >= d.sure
}

func (d *Dispatcher) nextRun() RunNumber {
	d.runs++
	return RunNumber(uint64(d.term)<<runBits + d.runs)
}

// Tick moves time on: leases that ran out, occurrences that are due.
func (d *Dispatcher) Tick(now tackclock.Time) {
	silent := d.unheard(now)
	// If most workers are silent, this VM was held up, or its network. Doubts about
	// thousands of runs would follow, and as many dismissals.
	most := 2*d.fellSilent > len(d.workers)
	for _, w := range silent {
		if now >= w.leaseUntil {
			d.doubt(now, w)
			d.lapse(now, w)
			continue
		}
		d.recount(now, w)
		d.copySilent(now, w)
		if !most && now.Sub(w.heardAt) >= doubtAfter {
			d.doubt(now, w)
		}
	}
	for _, j := range d.timed {
		d.openDue(now, j)
	}
	d.forget(now)
	d.measure(now)
}

// measure takes in the room of all workers together.
func (d *Dispatcher) measure(now tackclock.Time) {
	if now < d.measureAt {
		return
	}
	d.measureAt = now.Add(measureEvery)
	var all tackroom.Room
	for _, p := range d.pools {
		all = all.Plus(p.sums.capacity)
	}
	d.quota.SetRoom(all)
}

// free takes a run off its worker.
func (d *Dispatcher) free(now tackclock.Time, r *run) {
	w := r.worker
	r.step.job.account.End(r.step.Room, r.earlier)
	delete(w.runs, r.item)
	w.idleFrom = now
	w.used = w.used.Minus(r.takes)
	if r.step.LongRunning {
		w.lasting = w.lasting.Minus(r.takes)
	}
	w.steps[r.step.key()]--
	if w.steps[r.step.key()] <= 0 {
		delete(w.steps, r.step.key())
	}
	if d.running[r.item] == r {
		delete(d.running, r.item)
		r.step.running--
	}
	if r.copied != "" {
		r.step.copies = slices.DeleteFunc(r.step.copies, func(o *run) bool { return o == r })
	}
	d.recount(now, w)
}

// requeue makes the item of a run that is over wait again.
func (d *Dispatcher) requeue(now tackclock.Time, r *run) {
	s := r.step
	if r.copied != "" || s.job.closed || s.job.Done(r.item) {
		return
	}
	s.wait(now, r.item.Index, r.checkpoint)
	d.open(now, d.pool(s.job.Service), s)
}

func (d *Dispatcher) pool(name tackid.Service) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{service: name}
		d.pools[name] = p
	}
	return p
}
