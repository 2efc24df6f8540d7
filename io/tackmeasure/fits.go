package tackmeasure

import "fmt"

// quantity is a value of a Usage to which lines are fitted.
type quantity struct {
	name string
	of   func(Usage) float64
}

var quantities = []quantity{
	{"peer B/s", peerBytes},
	{"messages/s", messages},
	{"operator B/s", operatorBytes},
	{"platform B/s", platformBytes},
	{"CPU ms/s", cpu},
	{"memory MB", memory},
}

// write writes the tables of measurements and of fitted lines.
func (r *run) write() error {
	fits := r.fits()
	for _, t := range []*Table{&r.steady, &r.minute, &fits} {
		if err := r.writeTable(t); err != nil {
			return fmt.Errorf("tackmeasure: %w", err)
		}
	}
	return nil
}

func (r *run) writeTable(t *Table) error {
	if len(t.Rows) == 0 {
		return nil
	}
	write := t.WriteMarkdown
	if r.Tabs {
		write = t.WriteTabs
	}
	if err := write(r.Out); err != nil {
		return err
	}
	_, err := fmt.Fprintln(r.Out)
	return err
}

// fits returns the lines fitted to each quantity and role by the number of VMs, of daemons and of
// changes per second. In each fit the other two numbers are those of the largest cluster, without
// changes for the first two.
func (r *run) fits() Table {
	t := Table{Columns: []string{"role", "quantity", "by", "at none", "slope", "residual", "points"}}
	largest := r.Daemons[len(r.Daemons)-1]
	all := r.VMs[len(r.VMs)-1]
	for _, role := range []Role{RoleLeader, RoleReplica, RoleLearner} {
		for _, q := range quantities {
			add := func(by string, points []Point) {
				if sizes(points) < 2 {
					return
				}
				f := NewFit(points)
				t.Add(role, q.name, by, f.Intercept, fmt.Sprintf("%.4g", f.Slope), f.Residual, f.Points)
			}
			add("VMs", r.points(role, q, func(s sample) (int, bool) { return s.vms, s.daemons == largest && s.changes == 0 }))
			add("daemons", r.points(role, q, func(s sample) (int, bool) { return s.daemons, s.vms == all && s.changes == 0 }))
			add("changes/s", r.points(role, q, func(s sample) (int, bool) {
				return int(s.changes), s.daemons == largest && s.vms == all && s.changes != worstMinute
			}))
		}
	}
	return t
}

// points returns the mean of the samples of a role at each size. size returns the size of a
// sample and whether to include it.
func (r *run) points(role Role, q quantity, size func(sample) (int, bool)) []Point {
	uses := make(map[int][]Usage)
	var order []int
	for _, s := range r.samples {
		n, ok := size(s)
		if !ok || s.Role != role {
			continue
		}
		if uses[n] == nil {
			order = append(order, n)
		}
		uses[n] = append(uses[n], s.Usage)
	}
	var points []Point
	for _, n := range order {
		points = append(points, Point{Size: float64(n), Value: mean(uses[n], q.of)})
	}
	return points
}

func sizes(points []Point) int {
	seen := make(map[float64]bool)
	for _, p := range points {
		seen[p.Size] = true
	}
	return len(seen)
}
