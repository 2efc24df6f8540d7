package tackdispatch

import (
	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

const (
	// shortestComeBack is the least time after which a refused caller is
	// asked to come back.
	shortestComeBack = 500 * tackclock.Millisecond
	// capComeBack is when to come back with what no cap allows: an operator must have
	// raised it.
	capComeBack = tackclock.Minute
	// defaultAdmitPercent is above 100 since idle VMs of other pools come within
	// two seconds, so the backlog is done sooner than the pool's cores say.
	defaultAdmitPercent = 160
)

type (
	// Admission says whether a job is accepted.
	Admission struct {
		Accepted bool
		// ComeBack is when a refused caller should come back, Reason why he is refused.
		ComeBack tackclock.Duration
		Reason   string
	}
)

// Admit decides whether a job is accepted that is handed in for a workspace.
//
// Load pattern: a queue asks five times its mean for some seconds, more than
// its pool holds, or a workspace more than its cap allows it. A job that waits
// behind more work than is done within the job's own objective would only be
// late and make those behind it late too. So the end is predicted from the work
// that is accepted and not done.
func (d *Dispatcher) Admit(now tackclock.Time, q *tackcatalog.Queue, spec *tackjob.Spec, workspace tackid.Workspace) Admission {
	account := d.quota.Account(workspace)
	for i := range spec.Steps {
		// Its members start together or not at all, so it would wait for good.
		if s := &spec.Steps[i]; s.Gang && !account.Holds(s.Room.Times(s.Count)) {
			return Admission{ComeBack: capComeBack, Reason: "a gang wider than the cap of its workspace"}
		}
	}
	if spec.LongRunning() || spec.Repeats > 0 {
		return Admission{Accepted: true}
	}
	p := d.pool(q.Service)
	chain := spec.Chain()
	allowed := tackclock.Duration(q.Stretch*float64(chain)) + q.Objective
	who := owner{service: q.Service, workspace: workspace}
	work := d.owed.of(who).plus(d.proposed.of(who))
	cores := d.coresOf(now, q.Service)
	takes := timeFor(work.pool, cores) + chain
	// What a workspace's share of the pool does in time need not wait for what others sent.
	share := int(float64(cores) * account.Share())
	byShare := share > 0 && timeFor(work.both, share)+chain <= allowed
	if takes*100 > allowed*tackclock.Duration(d.cfg.AdmitPercent) && !byShare {
		p.arrived(now, spec, true)
		earliest := now.Add(max(takes-allowed, shortestComeBack))
		at := p.comeBack.assign(now, spec, earliest, cores+p.coming)
		return Admission{ComeBack: at.Sub(now), Reason: "would end too late"}
	}
	// A pool may get VMs of others. A cap stays what it is.
	if takes := timeFor(work.workspace, account.Cap().MilliCores) + chain; takes > allowed {
		return Admission{ComeBack: max(takes-allowed, shortestComeBack), Reason: "would end too late by the cap of its workspace"}
	}
	p.arrived(now, spec, false)
	p.comeBack.drop(spec.ID)
	return Admission{Accepted: true}
}

// timeFor is how long so many thousandths of a core take for the work; nothing where
// there are none, since nothing is known then.
func timeFor(work int64, milliCores int) tackclock.Duration {
	if milliCores == 0 {
		return 0
	}
	return tackclock.Duration(work / int64(milliCores))
}
