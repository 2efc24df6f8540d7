package tackmeasure

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func assertNear(got, want float64) {
	So(math.Abs(got-want), ShouldBeLessThan, 1e-9)
}

func TestFit(t *testing.T) {
	Convey("Points on a line give that line and no residual", t, func() {
		f := NewFit([]Point{{100, 25}, {500, 45}, {2300, 135}})
		assertNear(f.Slope, 0.05)
		assertNear(f.Intercept, 20)
		assertNear(f.Residual, 0)
	})
	Convey("The residual is that of the most distant point", t, func() {
		f := NewFit([]Point{{0, 0}, {1, 3}, {2, 0}})
		assertNear(f.Slope, 0)
		assertNear(f.Residual, 2)
	})
	Convey("One size gives a flat line", t, func() {
		assertNear(NewFit([]Point{{8, 4}, {8, 6}}).At(100), 5)
	})
}

// Guards against negative resource usage of a daemon that was restarted during the measurement:
// its counters start again at zero, and the earlier values must not be subtracted.
func TestUseOverARestart(t *testing.T) {
	began := time.Unix(1000, 0)
	from := reading{at: began, pid: 1, sent: 9000, cpuMS: 700, operator: 100}
	to := reading{at: began.Add(10 * time.Second), pid: 2, sent: 500, cpuMS: 50, operator: 300, memory: 1000}
	u := usageBetween(from, to)
	Convey("Only the usage of the new process counts", t, func() {
		assertNear(u.Sent, 50)
		assertNear(u.CPU, 5)
		assertNear(u.Operator, 20)
		assertNear(u.Memory, 1.024)
	})
}

// Guards against a fitted slope that includes samples of another kind or cluster, such as a slope
// by changes that is affected by the restart of a daemon.
func TestTablesOfARun(t *testing.T) {
	var out strings.Builder
	r := &run{Plan: Plan{Daemons: []int{3, 5}, VMs: []int{100, 200}, Out: &out}}
	r.steady.Columns = []string{"phase", "daemons"}
	r.minute.Columns = []string{"worst minute"}
	for _, s := range []sample{
		{daemons: 3, vms: 200, Usage: Usage{CPU: 7}},
		{daemons: 5, vms: 100, Usage: Usage{CPU: 10}},
		{daemons: 5, vms: 200, Usage: Usage{CPU: 11}},
		{daemons: 5, vms: 200, changes: 4, Usage: Usage{CPU: 19}},
		{daemons: 5, vms: 200, changes: worstMinute, Usage: Usage{CPU: 500}},
	} {
		s.Role = RoleLeader
		r.samples = append(r.samples, s)
	}
	err := r.write()
	Convey("Each line is fitted to its own samples", t, func() {
		So(err, ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "| leader | CPU ms/s | VMs | 9.00 | 0.01 | 0.00 | 2 |")
		So(out.String(), ShouldContainSubstring, "| leader | CPU ms/s | daemons | 1.00 | 2 | 0.00 | 2 |")
		So(out.String(), ShouldContainSubstring, "| leader | CPU ms/s | changes/s | 11.0 | 2 | 0.00 | 2 |")
	})
}
