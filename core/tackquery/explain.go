package tackquery

import (
	"fmt"

	"auburntack/core/tackbudget"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// explainedEvents is how many of the newest events an explanation shows.
const explainedEvents = 5

// explain tells why a VM is where it is and what holds it back.
func explain(id tackid.VM, src Source) (Table, error) {
	f := src.Fleet()
	v, found := f.VM(id)
	if !found {
		return Table{}, &NotFoundError{Kind: "vm", Name: string(id)}
	}
	t := Table{Columns: []string{"topic", "explanation"}}
	t.explainPlace(&v)
	t.explainWave(f, &v)
	t.explainBudgets(f, &v)
	if n := f.RunningOn(id); n > 0 {
		t.tell("tasks", "runs %d tasks", n)
	}
	for _, hint := range src.Hints(id) {
		t.tell("planner", "%s", hint)
	}
	for _, e := range f.History(tackfleet.Filter{VM: id, Limit: explainedEvents}) {
		t.tell("history", "revision %d, %s: %s", e.Revision, e.Time, e.Text)
	}
	return t, nil
}

// tell adds one row.
func (t *Table) tell(topic, format string, args ...any) {
	t.Rows = append(t.Rows, []any{topic, fmt.Sprintf(format, args...)})
}

func (t *Table) explainPlace(v *tackfleet.VM) {
	t.tell("pool", "in pool %q, data centre %q, rack %q", v.Pool, v.DataCentre, v.Rack)
	t.tell("state", "%s since %s", v.State, v.Since)
	t.tell("health", "%s since %s", v.Health, timeText(v.HealthSince))
	switch v.State {
	case tackfleet.VMMoving:
		t.tell("move", "joins pool %q once every peer has applied revision %d or lost its lease, and its work has ended", v.MovingTo, v.Fence)
	case tackfleet.VMDraining:
		t.tell("drain", "gets no new work since revision %d and finishes what it has", v.Fence)
	case tackfleet.VMFailed:
		t.tell("failure", "its maintenance failed; it stays out until it is undrained or removed")
	}
}

// explainWave tells where the VM stands in the waves that have not ended.
func (t *Table) explainWave(f *tackfleet.State, v *tackfleet.VM) {
	for _, w := range f.Waves() {
		m, part := w.Member(v.ID)
		if !part || (w.Ended != 0 && v.Wave != w.ID) {
			continue
		}
		t.tell("wave", "wave %q (%s) has it %s since %s", w.ID, w.Status, m.Phase, m.Since)
		if w.Reason != "" {
			t.tell("wave", "wave %q %s: %s", w.ID, w.Status, w.Reason)
		}
	}
}

// explainBudgets tells how the budgets of the VM's pool stand and whether the
// VM may be taken out of service now.
func (t *Table) explainBudgets(f *tackfleet.State, v *tackfleet.VM) {
	count := f.Count(v.Pool)
	for _, s := range f.ServicesOn(v.Pool) {
		t.tell("budget", "service %q needs %d of %d VMs, %d are available, %d of them settling, %d may be taken out",
			s.ID, tackbudget.Required(s.Budget, count.Total), count.Total,
			count.Available, count.Available-count.Proven, tackbudget.Free(s.Budget, count))
	}
	if !v.Routable() {
		return
	}
	if refused := f.CanTake([]tackid.VM{v.ID}); refused != nil {
		t.tell("held", "may not be taken out now: %s", refused.Reason)
		return
	}
	t.tell("held", "may be taken out now")
}
