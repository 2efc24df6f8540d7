package tackdispatch

import (
	"auburntack/core/tackcatalog"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

type (
	// owedWork is the accepted work that ends and is not done, in milliseconds of
	// thousandths of a core, by its estimates. It is kept up with each job, so that a
	// request does not look at all of them. Its zero value owes nothing.
	owedWork struct {
		services   map[tackid.Service]int64
		workspaces map[tackid.Workspace]int64
		both       map[owner]int64
	}

	// owner is whose work it is.
	owner struct {
		service   tackid.Service
		workspace tackid.Workspace
	}

	// proposal is the work of a job that is being handed to the log, and whose it is.
	proposal struct {
		owner owner
		work  int64
	}

	// owed is the work that stands before a request.
	owed struct {
		pool      int64 // of the pool
		workspace int64 // of the workspace, in all pools
		both      int64 // of the workspace, in this pool
	}
)

// add takes in what a job is owed now.
func (x *owedWork) add(o *openJob) {
	if !o.ends() {
		return
	}
	o.owedTo, o.owedWork = owner{service: o.Service, workspace: o.Workspace}, o.workLeft()
	x.change(o.owedTo, o.owedWork)
}

// take takes out what add has taken in of a job.
func (x *owedWork) take(o *openJob) {
	x.change(o.owedTo, -o.owedWork)
	o.owedWork = 0
}

func (x *owedWork) change(of owner, work int64) {
	if x.services == nil {
		x.services, x.workspaces, x.both = make(map[tackid.Service]int64), make(map[tackid.Workspace]int64), make(map[owner]int64)
	}
	x.services[of.service] += work
	if of.workspace != "" {
		x.workspaces[of.workspace] += work
		x.both[of] += work
	}
}

func (x *owedWork) of(who owner) owed {
	return owed{pool: x.services[who.service], workspace: x.workspaces[who.workspace], both: x.both[who]}
}

// Proposed takes in that a job is being handed to the log. Until Decided it counts as
// accepted work, so that a burst is not accepted as a whole before any of it is committed.
func (d *Dispatcher) Proposed(q *tackcatalog.Queue, spec *tackjob.Spec, workspace tackid.Workspace) {
	if _, known := d.proposals[spec.ID]; known || spec.LongRunning() || spec.Repeats > 0 {
		return
	}
	p := proposal{owner: owner{service: q.Service, workspace: workspace}, work: spec.Work()}
	d.proposals[spec.ID] = p
	d.proposed.change(p.owner, p.work)
}

// Decided takes in that the log has accepted a proposed job, or never will.
func (d *Dispatcher) Decided(id tackjob.ID) {
	if p, known := d.proposals[id]; known {
		delete(d.proposals, id)
		d.proposed.change(p.owner, -p.work)
	}
}

// plus adds up work.
func (o owed) plus(x owed) owed {
	return owed{pool: o.pool + x.pool, workspace: o.workspace + x.workspace, both: o.both + x.both}
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
