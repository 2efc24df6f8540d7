package tackdispatch

import (
	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// shortestComeBack is the least time after which a refused caller is
	// asked to come back.
	shortestComeBack = 500 * tackclock.Millisecond
	// defaultAdmitPercent is above 100 since idle VMs of other pools come within
	// two seconds, so the backlog is done sooner than the pool's cores say. Net
	// gain under faults: 0.48 at 100, 0.49 at 125, 0.51 at 160 (two fleets of 49 VMs).
	defaultAdmitPercent = 160
)

// Admit decides whether a job is accepted. It returns when to come back if it
// is not.
//
// Load pattern: a queue asks five times its mean for some seconds, more than
// its pool holds. A job that waits behind more work than the pool does within
// the job's own objective would only be late and make those behind it late
// too. So the end is predicted from the work that is accepted and not done.
func (d *Dispatcher) Admit(now tackclock.Time, q *tackcatalog.Queue, spec *tackjob.Spec) (tackclock.Duration, bool) {
	if spec.LongRunning() || spec.Repeats > 0 {
		return 0, true
	}
	p := d.pool(q.Service)
	chain := spec.Chain()
	allowed := tackclock.Duration(q.Stretch*float64(chain)) + q.Objective
	wait := d.backlog(q)
	if (wait+chain)*100 <= allowed*tackclock.Duration(d.cfg.AdmitPercent) {
		p.arrived(now, spec, false)
		return 0, true
	}
	p.arrived(now, spec, true)
	return max(wait+chain-allowed, shortestComeBack), false
}

// backlog is how long the service's pool takes for the work that is accepted
// and not done.
func (d *Dispatcher) backlog(q *tackcatalog.Queue) tackclock.Duration {
	p := d.pools[q.Service]
	if p == nil {
		return 0
	}
	cores := int64(p.capacity().MilliCores)
	if cores == 0 {
		return 0
	}
	return tackclock.Duration(d.backlogWork(q.Service) / cores)
}

// workLeft is the job's work that is not done, in milliseconds of thousandths
// of a core, by its estimates.
func (o *openJob) workLeft() int64 {
	var left int64
	for i := range o.Steps {
		s := &o.Steps[i]
		n := s.Count
		if p, ok := o.Progress[0]; ok {
			n -= p.Steps[i].Count
		}
		left += s.Work(n)
	}
	return left
}
