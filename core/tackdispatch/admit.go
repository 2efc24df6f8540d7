package tackdispatch

import (
	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

const (
	// minRetryAfter is the shortest delay after which a refused caller is asked to retry.
	minRetryAfter = 500 * tackclock.Millisecond
	// capRetryAfter is the delay before retrying a job that the workspace's cap can never
	// hold: an operator has to raise the cap first.
	capRetryAfter = tackclock.Minute
	// defaultAdmitPercent is above 100 because idle VMs of other pools arrive within two
	// seconds, so the backlog is done sooner than the pool's present cores suggest.
	defaultAdmitPercent = 160
)

type (
	// Admission says whether a job is accepted.
	Admission struct {
		Accepted bool
		// RetryAfter is the delay after which a refused caller should retry, and Reason
		// says why the job was refused.
		RetryAfter tackclock.Duration
		Reason     string
	}
)

// Admit decides whether to accept a job that is submitted for a workspace.
//
// Load pattern: for some seconds a queue submits five times its mean rate, more than its
// pool can run, or a workspace submits more than its cap allows. A job that waits behind
// more work than can be done within the job's own objective would only finish late and
// delay the jobs behind it. Admit therefore predicts the job's end from the work that is
// accepted and not done.
func (d *Dispatcher) Admit(now tackclock.Time, q *tackcatalog.Queue, spec *tackjob.Spec, workspace tackid.Workspace) Admission {
	account := d.quota.Account(workspace)
	for i := range spec.Steps {
		// All members start together or not at all, so the gang would wait forever.
		if s := &spec.Steps[i]; s.Gang && !account.CapAllows(s.Resources.Times(s.Count)) {
			return Admission{RetryAfter: capRetryAfter, Reason: "a gang wider than the cap of its workspace"}
		}
	}
	if spec.LongRunning() || spec.Repeats > 0 {
		return Admission{Accepted: true}
	}
	d.now = now
	p := d.pool(q.Service)
	chain := spec.CriticalPath()
	allowed := allowedTime(q, spec)
	who := owner{service: q.Service, workspace: workspace}
	work := d.outstanding.ahead(who).plus(d.proposed.ahead(who))
	cores := d.poolCores(now, q.Service)
	takes := timeFor(work.pool, cores) + chain
	// Work that the workspace's share of the pool can finish in time need not wait for
	// the work of others.
	share := int(float64(cores) * account.Share())
	byShare := share > 0 && timeFor(work.both, share)+chain <= allowed
	if d.cfg.AdmitByOutlook {
		byCap := timeFor(work.workspace, account.Cap().MilliCores) + chain
		return d.admitByOutlook(now, q, spec, byShare, byCap-allowed)
	}
	if takes*100 > allowed*tackclock.Duration(d.cfg.AdmitPercent) && !byShare {
		p.recordArrival(now, spec, true)
		earliest := now.Add(max(takes-allowed, minRetryAfter))
		at := p.retryTimes.assign(now, spec, earliest, cores+p.coming)
		return Admission{RetryAfter: at.Sub(now), Reason: "would end too late"}
	}
	// A pool may gain VMs from other pools; a cap does not grow.
	if takes := timeFor(work.workspace, account.Cap().MilliCores) + chain; takes > allowed {
		return Admission{RetryAfter: max(takes-allowed, minRetryAfter), Reason: "would end too late by the cap of its workspace"}
	}
	p.recordArrival(now, spec, false)
	p.retryTimes.drop(spec.ID)
	return Admission{Accepted: true}
}

// timeFor returns how long the given millicores need for the work, in
// millicore-milliseconds. It returns 0 if there are no cores, since nothing can be
// predicted then.
func timeFor(work int64, milliCores int) tackclock.Duration {
	if milliCores == 0 {
		return 0
	}
	return tackclock.Duration(work / int64(milliCores))
}
