package tackdispatch

import (
	"cmp"
	"fmt"
	"slices"

	"auburntack/core/tackadmit"
	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

const (
	// promiseInterval is the least interval between two groups of promises for the log, and
	// maxPromisesLogged the size of a group. In a burst a hundred callers are refused per
	// second; an entry each would double the writes to the log.
	promiseInterval   = 100 * tackclock.Millisecond
	maxPromisesLogged = 256
)

// commitment is work that was added to the outlook of a pool.
type commitment struct {
	service  tackid.Service
	priority int
	deadline tackclock.Time
	parts    []tackadmit.Part
}

// commit adds a job's remaining work to the outlook of its pool.
func (d *Dispatcher) commit(o *openJob) {
	if !d.cfg.AdmitByOutlook || !o.isBatch() {
		return
	}
	o.commitment = commitment{
		service: o.Service, priority: o.Priority, deadline: o.deadline, parts: tackadmit.PartsOf(o.Steps, o.itemsLeft),
	}
	d.pool(o.Service).outlook.Commit(o.Priority, o.deadline, o.commitment.parts)
}

// commitProposal adds the work of a job that is being proposed.
func (d *Dispatcher) commitProposal(q *tackcatalog.Queue, spec *tackjob.Spec) commitment {
	if !d.cfg.AdmitByOutlook {
		return commitment{}
	}
	j := tackadmit.JobOf(spec, q.Priority, allowedTime(q, spec))
	c := commitment{service: q.Service, priority: q.Priority, deadline: d.now.Add(j.Allowed), parts: j.Parts}
	d.pool(q.Service).outlook.Commit(c.priority, c.deadline, c.parts)
	return c
}

// release removes work from the outlook that it was added to.
func (d *Dispatcher) release(c *commitment) {
	if len(c.parts) > 0 {
		d.pool(c.service).outlook.Release(c.priority, c.deadline, c.parts)
		c.parts = nil
	}
}

// allowedTime returns the time in which a job of the queue must end.
func allowedTime(q *tackcatalog.Queue, spec *tackjob.Spec) tackclock.Duration {
	return tackclock.Duration(q.Stretch*float64(spec.CriticalPath())) + q.Objective
}

// admitByOutlook decides on a batch job by the outlook of its pool. byShare says that the
// workspace's share of the pool can finish the job in time, and beyondCap by how much the
// job would be late by the workspace's cap.
func (d *Dispatcher) admitByOutlook(now tackclock.Time, q *tackcatalog.Queue, spec *tackjob.Spec, byShare bool, beyondCap tackclock.Duration) Admission {
	p := d.pool(q.Service)
	if beyondCap > 0 {
		return Admission{RetryAfter: max(beyondCap, minRetryAfter), Reason: "would end too late by the cap of its workspace"}
	}
	supply, known := d.supply(now, p)
	if !known || byShare {
		p.recordArrival(now, spec, false)
		p.outlook.Drop(spec.ID)
		return Admission{Accepted: true}
	}
	x := p.outlook.Decide(now, &supply, q.Service, tackadmit.JobOf(spec, q.Priority, allowedTime(q, spec)))
	d.noteHabit(now, p)
	d.noteDecision(now, spec, &x, supply.Cores(now), supply.Cores(now.Add(d.bringAfter())))
	p.recordArrival(now, spec, !x.Outcome.Ok())
	if x.Outcome.Ok() {
		return Admission{Accepted: true}
	}
	return Admission{RetryAfter: x.RetryAfter, Reason: "would end too late"}
}

// noteHabit records a change of whether the callers of a pool return when told.
func (d *Dispatcher) noteHabit(now tackclock.Time, p *pool) {
	if disregard := p.outlook.Disregards(); disregard != p.disregard {
		p.disregard = disregard
		reason := "callers return when told, room is reserved for them"
		if disregard {
			reason = "callers return before their times, no room is reserved for them"
		}
		d.note(Event{Kind: EventReturnHabit, At: now, Reason: string(p.service) + ": " + reason})
	}
}

// noteDecision records a decision that gives, keeps or breaks a promise. Other decisions
// are in the log line of the request.
func (d *Dispatcher) noteDecision(now tackclock.Time, spec *tackjob.Spec, x *tackadmit.Decision, cores, later int) {
	e := Event{At: now, Item: tackjob.Item{Job: spec.ID}, Age: x.Age}
	switch x.Outcome {
	case tackadmit.Promised:
		e.Kind = EventPromised
	case tackadmit.PromiseKept:
		e.Kind = EventPromiseKept
	case tackadmit.PromiseBroken:
		e.Kind = EventPromiseBroken
	default:
		return
	}
	e.Reason = fmt.Sprintf("return after %d ms, would end after %d ms, committed %d, promised %d core-seconds, %d millicores now, %d later",
		x.RetryAfter, x.Ends, coreSeconds(x.Committed), coreSeconds(x.Promised), cores, later)
	d.note(e)
}

// coreSeconds converts work from millicore-milliseconds.
func coreSeconds(work int64) int64 {
	return work / (1000 * int64(tackclock.Second))
}

// expirePromises drops the promises whose callers did not return.
func (d *Dispatcher) expirePromises(now tackclock.Time) {
	for service, p := range d.pools {
		if n := p.outlook.Expire(now); n > 0 {
			d.note(Event{Kind: EventPromisesExpired, At: now, Reason: string(service), Beside: n})
		}
	}
}

// restorePromises takes over the promises of earlier leaders.
func (d *Dispatcher) restorePromises(list []tackadmit.Promise) {
	if !d.cfg.AdmitByOutlook {
		return
	}
	for _, x := range list {
		if d.jobs[x.Job] == nil {
			d.pool(x.Service).outlook.Restore(x)
		}
	}
}

// Promises returns promises that are to be written to the log, a bounded number at bounded
// intervals.
func (d *Dispatcher) Promises(now tackclock.Time) []tackadmit.Promise {
	if now < d.promisesAt {
		return nil
	}
	var list []tackadmit.Promise
	for _, p := range d.pools {
		list = append(list, p.outlook.Unlogged(maxPromisesLogged-len(list))...)
	}
	if len(list) > 0 {
		d.promisesAt = now.Add(promiseInterval)
	}
	slices.SortFunc(list, func(a, b tackadmit.Promise) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Job, b.Job)) })
	return list
}
