package tackmember

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"

	"github.com/smartystreets/goconvey/convey"
)

func worker(vm tackid.VM, dc tackid.DataCentre) Announcement {
	return Announcement{Worker: &Worker{
		ID: vm, DataCentre: dc, Rack: "r000", Cores: 16, MemoryMB: 32768, Incarnation: 1, State: StateServing,
	}}
}

// Guards against a budget that counts a VM as up that is gone, or as down that serves: its
// worker and its backend server fall silent one after the other, and the last to announce
// must not decide the VM's health.
func TestVMServesWhileWorkerOrServerDoes(t *testing.T) {
	c := newCluster(2, 1)
	a := c.server(1, 0, 1, StateServing)
	keep := []Announcement{a, worker("w-0001", c.dcs[0])}
	c.checked = func() {
		for _, k := range keep {
			c.announce(0, k)
		}
	}
	cases := []struct {
		name string
		keep []Announcement
		want tackfleet.Health
	}{
		{"both", keep, tackfleet.HealthServing},
		{"worker only", keep[1:], tackfleet.HealthServing},
		{"backend server only", keep[:1], tackfleet.HealthServing},
		{"neither", nil, tackfleet.HealthLost},
	}
	for _, p := range cases {
		t.Run(p.name, func(t *testing.T) {
			keep = p.keep
			c.run(10 * tackclock.Second)
			convey.Convey("both peers agree", t, func() {
				for _, d := range c.dirs {
					o := d.VM("w-0001")
					convey.So(o.Health, convey.ShouldEqual, p.want)
					convey.So(o.Cores, convey.ShouldEqual, 16)
					convey.So(o.DataCentre, convey.ShouldEqual, c.dcs[0])
				}
			})
		})
	}
}

// Guards against a log that fills up with changes of one VM's health: its network fails for
// 10 s in every 20 s, for an hour.
func TestFlappingVMIsDamped(t *testing.T) {
	c := newCluster(1, 1)
	known := []tackfleet.VM{{ID: "w-0001"}}
	proposed, changes := 0, 0
	was := tackfleet.HealthUnknown
	start := c.now
	c.checked = func() {
		d := c.dirs[0]
		if c.now.Sub(start)%(20*tackclock.Second) < 10*tackclock.Second {
			c.announce(0, worker("w-0001", c.dcs[0]))
		}
		if h := d.VM("w-0001").Health; h != was {
			was = h
			changes++
		}
		for _, o := range d.Observations(c.now, known) {
			proposed++
			known[0].Health, known[0].DataCentre, known[0].Rack = o.Health, o.DataCentre, o.Rack
			known[0].Cores, known[0].MemoryMB = o.Cores, o.MemoryMB
		}
	}
	c.run(tackclock.Hour)
	t.Logf("%d changes of health in an hour, %d proposed", changes, proposed)
	if changes < 300 || proposed > 10 {
		t.Fatalf("%d proposed of %d changes, want at most 10 of at least 300", proposed, changes)
	}
	c.checked = func() { c.announce(0, worker("w-0001", c.dcs[0])) }
	c.run(flapWindow + maxUptime)
	if o := c.dirs[0].Observations(c.now, known); len(o) != 1 || o[0].Health != tackfleet.HealthServing {
		t.Fatalf("after it served for long, proposed %+v", o)
	}
}

// Guards against proposing every VM as unknown after a change of leader: the new leader has
// just restarted, its directory is empty, and it must not take that for silence.
func TestNewDirectoryWaitsBeforeReportingUnknown(t *testing.T) {
	c := newCluster(1, 1)
	known := []tackfleet.VM{{ID: "w-0001", Health: tackfleet.HealthServing}, {ID: "w-0002", Health: tackfleet.HealthLost}}
	if o := c.dirs[0].Observations(c.now, known); len(o) != 0 {
		t.Fatalf("proposed %+v at once", o)
	}
	c.run(warmUp)
	o := c.dirs[0].Observations(c.now, known)
	if len(o) != 1 || o[0].VM != "w-0001" || o[0].Health != tackfleet.HealthUnknown {
		t.Fatalf("proposed %+v, want w-0001 as unknown only", o)
	}
}
