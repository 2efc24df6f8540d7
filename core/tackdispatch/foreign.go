package tackdispatch

import (
	"fmt"

	"auburntack/core/tackclock"
)

// sequenceSlack is how many more heartbeats than one per millisecond a worker may have
// sent. Each waits for the answer to the one before.
const sequenceSlack = 1000

// ForeignError reports a heartbeat that cannot come from the worker that it names.
type ForeignError struct {
	Worker  WorkerID
	Problem string
}

// Error implements error.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("worker %s: %s", e.Worker, e.Problem)
}

// checkReport returns a *ForeignError if the report cannot come from the worker that it
// names. The service and the VM of an incarnation do not change. If a report with others,
// or with a sequence number far ahead, were accepted, the worker's own heartbeats would
// be rejected as late.
func (d *Dispatcher) checkReport(now tackclock.Time, r *Report) error {
	w := d.workers[r.Worker]
	if w == nil {
		return d.checkStartTime(r.Worker)
	}
	switch {
	case w.service != r.Service:
		return &ForeignError{Worker: r.Worker, Problem: fmt.Sprintf("in pool %q, known in %q", r.Service, w.service)}
	case w.vm != r.VM:
		return &ForeignError{Worker: r.Worker, Problem: fmt.Sprintf("on VM %q, known on %q", r.VM, w.vm)}
	}
	last := max(w.sequence, w.refusedSequence)
	if r.Sequence > last && r.Sequence-last > uint64(now.Sub(w.heardAt))+sequenceSlack {
		return &ForeignError{Worker: r.Worker, Problem: fmt.Sprintf("heartbeat %d, %d ms after %d", r.Sequence, now.Sub(w.heardAt), last)}
	}
	return nil
}

// checkStartTime returns a *ForeignError if the id lacks the start time of the
// incarnation while the known worker of that name always sends one.
func (d *Dispatcher) checkStartTime(id WorkerID) error {
	if w := d.workersByName[id.Name()]; w != nil && id.StartedAt() == 0 && w.id.StartedAt() != 0 {
		return &ForeignError{Worker: id, Problem: "does not say when it began"}
	}
	return nil
}
