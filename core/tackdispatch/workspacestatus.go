package tackdispatch

import (
	"auburntack/core/tackid"
	"auburntack/core/tackroom"
)

// WorkspaceStatus is the resource use of a workspace, as known to the leader.
type WorkspaceStatus struct {
	// Running is what the workspace has running, and Granted what it may have running
	// until the log grants more.
	Running tackroom.Resources
	Granted tackroom.Resources
	// Share is the part of all workers' room to which it is entitled when all are busy.
	Share float64
	// Jobs is the number of its open jobs, and Waiting that of their items that are ready
	// to start.
	Jobs    int
	Waiting int
}

// WorkspaceStatus returns the resource use of a workspace. It examines all open jobs, so
// it is meant for interactive use only.
func (d *Dispatcher) WorkspaceStatus(name tackid.Workspace) WorkspaceStatus {
	a := d.quota.Account(name)
	s := WorkspaceStatus{Running: a.Used(), Granted: a.Granted(), Share: a.Share()}
	for _, o := range d.jobs {
		if o.Workspace != name {
			continue
		}
		s.Jobs++
		for _, step := range o.steps {
			s.Waiting += len(step.waiting)
		}
	}
	return s
}
