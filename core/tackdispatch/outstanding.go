package tackdispatch

import (
	"auburntack/core/tackcatalog"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

type (
	// outstandingWork is the estimated work of batch jobs that is accepted and not done,
	// in millicore-milliseconds. It is updated with each job, so that a request need not
	// examine all of them. Its zero value is empty.
	outstandingWork struct {
		services   map[tackid.Service]int64
		workspaces map[tackid.Workspace]int64
		both       map[owner]int64
	}

	// owner identifies the service and the workspace of some work.
	owner struct {
		service   tackid.Service
		workspace tackid.Workspace
	}

	// proposal is the work of a job whose acceptance is being written to the log, and its
	// owner.
	proposal struct {
		owner      owner
		work       int64
		commitment commitment
	}

	// workAhead is the work ahead of a request.
	workAhead struct {
		pool      int64 // of the pool
		workspace int64 // of the workspace, in all pools
		both      int64 // of the workspace, in this pool
	}
)

// addWork counts the remaining work of a job.
func (d *Dispatcher) addWork(o *openJob) {
	d.outstanding.add(o)
	d.commit(o)
}

// removeWork subtracts what addWork has counted of a job.
func (d *Dispatcher) removeWork(o *openJob) {
	d.outstanding.remove(o)
	d.release(&o.commitment)
}

// add counts the job's remaining work.
func (x *outstandingWork) add(o *openJob) {
	if !o.isBatch() {
		return
	}
	o.countedOwner, o.countedWork = owner{service: o.Service, workspace: o.Workspace}, o.workLeft()
	x.adjust(o.countedOwner, o.countedWork)
}

// remove subtracts what add has counted of a job.
func (x *outstandingWork) remove(o *openJob) {
	x.adjust(o.countedOwner, -o.countedWork)
	o.countedWork = 0
}

func (x *outstandingWork) adjust(of owner, work int64) {
	if x.services == nil {
		x.services, x.workspaces, x.both = make(map[tackid.Service]int64), make(map[tackid.Workspace]int64), make(map[owner]int64)
	}
	x.services[of.service] += work
	if of.workspace != "" {
		x.workspaces[of.workspace] += work
		x.both[of] += work
	}
}

func (x *outstandingWork) ahead(who owner) workAhead {
	return workAhead{pool: x.services[who.service], workspace: x.workspaces[who.workspace], both: x.both[who]}
}

// Proposed records that the acceptance of a job is being written to the log. Until
// Decided it counts as accepted work, so that a burst is not accepted as a whole before
// any of it is committed.
func (d *Dispatcher) Proposed(q *tackcatalog.Queue, spec *tackjob.Spec, workspace tackid.Workspace) {
	if _, known := d.proposals[spec.ID]; known || spec.LongRunning() || spec.Repeats > 0 {
		return
	}
	p := proposal{owner: owner{service: q.Service, workspace: workspace}, work: spec.Work()}
	p.commitment = d.commitProposal(q, spec)
	d.proposals[spec.ID] = p
	d.proposed.adjust(p.owner, p.work)
}

// Decided records that a proposed job was accepted in the log, or will never be.
func (d *Dispatcher) Decided(id tackjob.ID) {
	if p, known := d.proposals[id]; known {
		delete(d.proposals, id)
		d.proposed.adjust(p.owner, -p.work)
		d.release(&p.commitment)
	}
}

// plus returns the sum of o and x.
func (o workAhead) plus(x workAhead) workAhead {
	return workAhead{pool: o.pool + x.pool, workspace: o.workspace + x.workspace, both: o.both + x.both}
}

// workLeft returns the job's estimated work that is not done, in millicore-milliseconds.
func (o *openJob) workLeft() int64 {
	var left int64
	for i := range o.Steps {
		left += o.Steps[i].Work(o.itemsLeft(i))
	}
	return left
}

// itemsLeft returns how many items of a step of the first occurrence are not done.
func (o *openJob) itemsLeft(step int) int {
	n := o.Steps[step].Count
	if p, ok := o.Progress[0]; ok {
		n -= p.Steps[step].Count
	}
	return n
}
