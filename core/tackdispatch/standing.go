package tackdispatch

import (
	"auburntack/core/tackid"
	"auburntack/core/tackroom"
)

// Standing is how a workspace stands with the leader.
type Standing struct {
	// Running is what it has running, Granted what it may until the log grants more.
	Running tackroom.Room
	Granted tackroom.Room
	// Share is the part of all workers that it is due when all are busy.
	Share float64
	// Jobs are those that are owed, Waiting their items that could start.
	Jobs    int
	Waiting int
}

// Standing returns how a workspace stands. It looks at all open jobs, so it is for
// people who ask.
func (d *Dispatcher) Standing(name tackid.Workspace) Standing {
	a := d.quota.Account(name)
	s := Standing{Running: a.Used(), Granted: a.Granted(), Share: a.Share()}
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
