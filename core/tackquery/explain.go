package tackquery

import (
	"fmt"

	"auburntack/core/tackbudget"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// explainedEvents is the number of events in an explanation, the newest ones.
const explainedEvents = 5

// explain explains the state of a VM and whether it may be taken out of
// service.
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
		t.addRow("tasks", "runs %d tasks", n)
	}
	for _, hint := range src.Hints(id) {
		t.addRow("planner", "%s", hint)
	}
	for _, e := range f.History(tackfleet.Filter{VM: id, Limit: explainedEvents}) {
		t.addRow("history", "revision %d, %s: %s", e.Revision, e.Time, e.Text)
	}
	return t, nil
}

// addRow adds a row with a formatted explanation.
func (t *Table) addRow(topic, format string, args ...any) {
	t.Rows = append(t.Rows, []any{topic, fmt.Sprintf(format, args...)})
}

func (t *Table) explainPlace(v *tackfleet.VM) {
	t.addRow("pool", "in pool %q, data centre %q, rack %q", v.Pool, v.DataCentre, v.Rack)
	t.addRow("state", "%s since %s", v.State, v.Since)
	t.addRow("health", "%s since %s", v.Health, timeText(v.HealthSince))
	switch v.State {
	case tackfleet.VMMoving:
		t.addRow("move", "joins pool %q once every peer has applied revision %d or lost its lease, and its work has ended", v.MovingTo, v.Fence)
	case tackfleet.VMDraining:
		t.addRow("drain", "gets no new work since revision %d and finishes what it has", v.Fence)
	case tackfleet.VMFailed:
		t.addRow("failure", "its maintenance failed; it stays out until it is undrained or removed")
	}
}

// explainWave adds the phase of the VM in the waves that have not ended.
func (t *Table) explainWave(f *tackfleet.State, v *tackfleet.VM) {
	for _, w := range f.Waves() {
		m, part := w.Member(v.ID)
		if !part || (w.Ended != 0 && v.Wave != w.ID) {
			continue
		}
		t.addRow("wave", "wave %q (%s) has it %s since %s", w.ID, w.Status, m.Phase, m.Since)
		if w.Reason != "" {
			t.addRow("wave", "wave %q %s: %s", w.ID, w.Status, w.Reason)
		}
	}
}

// explainBudgets adds the state of the budgets of the VM's pool, and whether
// the VM may be taken out of service now.
func (t *Table) explainBudgets(f *tackfleet.State, v *tackfleet.VM) {
	count := f.Count(v.Pool)
	for _, s := range f.ServicesOn(v.Pool) {
		t.addRow("budget", "service %q needs %d of %d VMs, %d are available, %d of them settling, %d may be taken out",
			s.ID, tackbudget.Required(s.Budget, count.Total), count.Total,
			count.Available, count.Available-count.Proven, tackbudget.Free(s.Budget, count))
	}
	if !v.Routable() {
		return
	}
	if refused := f.CheckTake([]tackid.VM{v.ID}); refused != nil {
		t.addRow("held", "may not be taken out now: %s", refused.Reason)
		return
	}
	t.addRow("held", "may be taken out now")
}
