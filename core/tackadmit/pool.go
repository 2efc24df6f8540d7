package tackadmit

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackoutlook"
)

const (
	// Accepted accepts a job that can end in time beside all promises.
	Accepted Outcome = iota
	// PromiseKept accepts a job whose caller returned at its time.
	PromiseKept
	// Promised refuses a job, and reserves room for its caller.
	Promised
	// PromiseStands refuses a caller that returned before its time.
	PromiseStands
	// PromiseBroken refuses a caller that returned at its time, since capacity was lost.
	// It gets the first room that there is.
	PromiseBroken
	// Refused refuses a job without reserving room.
	Refused
)

const (
	// minRetryAfter is the shortest delay after which a refused caller is asked to return,
	// and maxRetryAfter the longest.
	minRetryAfter = 500 * tackclock.Millisecond
	maxRetryAfter = tackclock.Minute
	// promisePercent is the part of its allowed time in which a job should end, by the
	// estimate, if its caller returns when told. Estimates are off by up to a factor of two;
	// without a margin every other caller would return to a pool without room.
	promisePercent = 80
	// keepPercent is the part of its allowed time in which a job must end, by the estimate,
	// when its caller has returned. An error of the estimate should not turn the caller away
	// a second time, so it is keepLossPercent only after the pool has lost capacity, or
	// where that is not known.
	keepPercent     = 130
	keepLossPercent = 110
	// lossPercent is the part of the cores at the time of the promise below which capacity
	// counts as lost. VMs that start an upkeep or return from one change it by less.
	lossPercent = 95
	// lowest is below all priorities.
	lowest = math.MaxInt
	// expireInterval is the interval between searches for promises that have expired.
	expireInterval = 250 * tackclock.Millisecond
)

type (
	// Outcome is the kind of a decision.
	Outcome uint8

	// Decision is the decision on a job and what it is based on.
	Decision struct {
		Outcome Outcome
		// RetryAfter is the delay after which the caller of a refused job should return.
		RetryAfter tackclock.Duration
		// Ends is when the job would be done, from now on, and Committed and Promised are
		// the work ahead of it in millicore-milliseconds.
		Ends                tackclock.Duration
		Committed, Promised int64
		// Age is the time since the caller was told to return, zero if it was not.
		Age tackclock.Duration
	}

	// Pool is the committed work of one pool and the promises to its callers. Its zero
	// value is empty. It is not safe for concurrent use.
	Pool struct {
		committed, promised levels
		byJob               map[tackjob.ID]*held
		unlogged            []Promise
		habit               habit
		// broken is the work of promises that replace a broken one. They come before the
		// others.
		broken int64
		// told is the work of all callers that were told a time.
		told     int64
		expireAt tackclock.Time
	}

	// levels are backlogs by priority.
	levels map[int]*tackoutlook.Backlog
)

// Ok reports whether the job is accepted.
func (o Outcome) Ok() bool {
	return o == Accepted || o == PromiseKept
}

func (x *levels) of(priority int) *tackoutlook.Backlog {
	if *x == nil {
		*x = make(levels)
	}
	b := (*x)[priority]
	if b == nil {
		b = new(tackoutlook.Backlog)
		(*x)[priority] = b
	}
	return b
}

// total returns the work of the given priority and better ones.
func (x levels) total(priority int) int64 {
	var sum int64
	for q, b := range x {
		if q <= priority {
			sum += b.Total()
		}
	}
	return sum
}

// addTo adds the work of one priority to a backlog.
func (x levels) addTo(now tackclock.Time, b *tackoutlook.Backlog, priority int) {
	if o := x[priority]; o != nil {
		b.AddAll(now, o)
	}
}

// Commit adds the work of an accepted job.
func (p *Pool) Commit(priority int, deadline tackclock.Time, parts []Part) {
	for _, x := range parts {
		p.committed.of(priority).Add(deadline.Add(-x.Before), x.Work)
	}
}

// Release removes what Commit has added.
func (p *Pool) Release(priority int, deadline tackclock.Time, parts []Part) {
	for _, x := range parts {
		p.committed.of(priority).Remove(deadline.Add(-x.Before), x.Work)
	}
}

// Committed returns the work of all accepted jobs.
func (p *Pool) Committed() int64 {
	return p.committed.total(lowest)
}

// Promises returns the number of promises.
func (p *Pool) Promises() int {
	return len(p.byJob)
}

// Disregards reports whether most callers return before their times, so that no room is
// reserved for those that are refused from now on.
func (p *Pool) Disregards() bool {
	return p.habit.disregards()
}

// Decide decides on a job that is submitted now.
func (p *Pool) Decide(now tackclock.Time, s *tackoutlook.Supply, service tackid.Service, j *Job) Decision {
	before := p.byJob[j.ID]
	p.Drop(j.ID) // the room that is reserved for the job counts for it
	d := Decision{Committed: p.committed.total(j.Priority), Promised: p.promised.total(j.Priority)}
	if before != nil {
		p.habit.observe(now, before)
		d.Age = now.Sub(before.At.Add(-before.told))
	}
	d.Ends = max(j.Path, p.finish(now, s, j, 0).Sub(now))
	promised := before != nil && before.promised
	switch {
	case promised && now >= before.At && p.keeps(now, s, j, before):
		d.Outcome = PromiseKept
	case p.fits(now, s, j):
		d.Outcome = Accepted
	case !fitsAlone(now, s, j):
		d.Outcome, d.RetryAfter = Refused, maxRetryAfter
	case promised && now < before.At:
		before.early, before.earlyAt = before.early+1, now
		before.unreserved = p.habit.disregards()
		p.hold(before)
		d.Outcome, d.RetryAfter = PromiseStands, before.At.Sub(now)
	case promised:
		d.Outcome = PromiseBroken
		p.promise(now, s, service, j, p.committed.total(lowest)+p.broken, &d)
	default:
		d.Outcome = Promised
		p.promise(now, s, service, j, p.committed.total(lowest)+p.told, &d)
	}
	return d
}

// promise tells the caller of a job when there is room for it after the given work, and
// reserves that room unless callers disregard such times.
func (p *Pool) promise(now tackclock.Time, s *tackoutlook.Supply, service tackid.Service, j *Job, ahead int64, d *Decision) {
	within := j.returnsWithin(now, s) - j.rest() // of the return, for the first part
	end := tackoutlook.FinishTime(now, new(tackoutlook.Backlog), s, now, ahead+j.work())
	at := max(end.Add(-within), now.Add(minRetryAfter))
	d.RetryAfter = min(at.Sub(now), maxRetryAfter)
	if at.Sub(now) > maxRetryAfter || len(p.byJob) >= MaxPromises {
		d.unpromised()
		return
	}
	next := &held{
		Promise: Promise{Job: j.ID, Service: service, At: at, Priority: j.Priority, Due: at.Add(within), Work: j.work()},
		told:    d.RetryAfter, again: d.Outcome == PromiseBroken, cores: s.Sum(),
	}
	next.promised = !p.habit.disregards()
	next.unreserved = !next.promised
	p.hold(next)
	if !next.promised {
		d.unpromised()
		return
	}
	if len(p.unlogged) < MaxPromises {
		p.unlogged = append(p.unlogged, next.Promise)
	}
}

// unpromised records that no room is reserved for the caller.
func (d *Decision) unpromised() {
	if d.Outcome == Promised {
		d.Outcome = Refused
	}
}

// fitsAlone reports whether the job could end in time if the pool had nothing else to do,
// with all VMs that will be there. No promise could be kept otherwise.
func fitsAlone(now tackclock.Time, s *tackoutlook.Supply, j *Job) bool {
	cores := s.Cores(now.Add(tackoutlook.Horizon))
	return cores > 0 && tackclock.Duration(j.work()/int64(cores))+j.rest() <= j.Allowed
}

// returnsWithin returns the time in which the job should end after its caller has returned,
// at least what it needs in an empty pool.
func (j *Job) returnsWithin(now tackclock.Time, s *tackoutlook.Supply) tackclock.Duration {
	alone := tackoutlook.FinishTime(now, new(tackoutlook.Backlog), s, now, j.work()).Add(j.rest()).Sub(now)
	return min(j.Allowed, max(j.Path, alone, j.Allowed*promisePercent/100))
}

// keeps reports whether a promise is kept whose caller returned at its time. After a loss of
// capacity, callers whose promises were broken before come first.
func (p *Pool) keeps(now tackclock.Time, s *tackoutlook.Supply, j *Job, h *held) bool {
	if h.lost(s) {
		return p.finish(now, s, j, p.broken).Sub(now) <= j.Allowed*keepLossPercent/100
	}
	return p.finish(now, s, j, 0).Sub(now) <= j.Allowed*keepPercent/100
}

// finish returns when the job would end beside the accepted work that is due earlier, and
// more work. The steps after its first part then still run for a while.
func (p *Pool) finish(now tackclock.Time, s *tackoutlook.Supply, j *Job, more int64) tackclock.Time {
	var b tackoutlook.Backlog
	for q := range p.committed {
		if q <= j.Priority {
			p.committed.addTo(now, &b, q)
		}
	}
	return tackoutlook.FinishTime(now, &b, s, now.Add(j.Allowed-j.rest()), more+j.work()).Add(j.rest())
}

// fits reports whether a job can end in time beside the accepted work and all promises,
// without making work of any priority late. It waits for work of its own and of better
// priorities that is due earlier.
func (p *Pool) fits(now tackclock.Time, s *tackoutlook.Supply, j *Job) bool {
	deadline := now.Add(j.Allowed)
	var b tackoutlook.Backlog
	var worse []int
	for _, q := range p.priorities() {
		if q > j.Priority {
			worse = append(worse, q)
			continue
		}
		p.addLevel(now, &b, q)
	}
	for _, x := range j.Parts {
		due := deadline.Add(-x.Before)
		if !tackoutlook.Fits(now, &b, s, due, x.Work) {
			return false
		}
		b.Add(due, x.Work)
	}
	for _, x := range j.Parts {
		b.Remove(deadline.Add(-x.Before), x.Work)
	}
	for _, q := range worse {
		p.addLevel(now, &b, q)
		if tackoutlook.MakesLate(now, &b, s, j.work()) {
			return false
		}
	}
	return true
}

func (p *Pool) addLevel(now tackclock.Time, b *tackoutlook.Backlog, priority int) {
	p.committed.addTo(now, b, priority)
	p.promised.addTo(now, b, priority)
}

// priorities returns the priorities of all work, the best first.
func (p *Pool) priorities() []int {
	list := slices.AppendSeq(slices.Collect(maps.Keys(p.committed)), maps.Keys(p.promised))
	slices.SortFunc(list, cmp.Compare[int])
	return slices.Compact(list)
}
