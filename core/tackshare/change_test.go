package tackshare_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
)

// scriptedChanges runs steps at given times, and records the largest number of
// slots that may be in use from a given time on.
type scriptedChanges struct {
	*leasedShares
	steps map[tackclock.Time]func(now tackclock.Time)
	from  tackclock.Time
	most  int
}

func (c *scriptedChanges) tick(now tackclock.Time, waiting []int) {
	if step := c.steps[now]; step != nil {
		step(now)
	}
	c.leasedShares.tick(now, waiting)
	total := 0
	for vm, v := range c.vms {
		if !v.down {
			total += c.capacity(now, vm)
		}
	}
	if now >= c.from {
		c.most = max(c.most, total)
	}
}

// restart replaces a peer by a new one without state.
func (c *scriptedChanges) restart(now tackclock.Time, vm int) {
	c.vms[vm] = newSimPeer(now, vm, len(c.vms), 2)
	c.vms[vm].setTable(now, 4)
}

// No slot may be lost permanently or used twice after a peer restarts without
// state, or after backend servers leave the tables of the peers and come back, at
// each peer a little later than at the previous one. Either happened when the two
// sides of a grant no longer counted from the same state.
func TestChangesLoseNoSlot(t *testing.T) {
	start := tackclock.Time(tackclock.Hour)
	for vm := range 4 {
		c := &scriptedChanges{from: start + 19000}
		changes := map[string]map[tackclock.Time]func(tackclock.Time){
			"restart": {
				start + 6000: func(tackclock.Time) { c.vms[vm].down = true },
				start + 8000: func(now tackclock.Time) { c.restart(now, vm) },
			},
			"quick restart": {
				start + 6000: func(tackclock.Time) { c.vms[vm].down = true },
				start + 6900: func(now tackclock.Time) { c.restart(now, vm) },
			},
			"table":       {},
			"whole table": {},
		}
		for i := range 4 {
			other := (vm + i) % 4
			at := start + 7000 + tackclock.Time(30*i)
			changes["table"][at] = func(now tackclock.Time) { c.vms[other].setTable(now, 3) }
			changes["table"][at+1500] = func(now tackclock.Time) { c.vms[other].setTable(now, 4) }
			changes["whole table"][at] = func(now tackclock.Time) { c.vms[other].setTable(now, 0) }
			changes["whole table"][at+200] = func(now tackclock.Time) { c.vms[other].setTable(now, 4) }
		}
		for name, steps := range changes {
			t.Run(fmt.Sprint(name, " ", vm), func(t *testing.T) {
				convey.Convey("After the change", t, func() {
					c.leasedShares, c.steps, c.most = newLeasedShares(load{vms: 4, executors: 4}), steps, 0
					l := load{vms: 4, executors: 4, part: 0.7, hot: 0.5, hotFor: 2 * tackclock.Second}
					assertWithinSlots(runModel(l, c, 1, 15*tackclock.Second))
					convey.So(c.most, convey.ShouldEqual, 32)
				})
			})
		}
	}
}

// A peer that starts while no other peer answers must not wait for the owner for
// ever and serve no requests. Nor may it use every slot at once, since the peers
// on the other side of the partition use them too.
func TestStartsCutOff(t *testing.T) {
	convey.Convey("When no other of four peers answers", t, func() {
		start := tackclock.Time(tackclock.Hour)
		w := &leasedShares{vms: []*simPeer{newSimPeer(start, 0, 4, 1)}}
		w.vms[0].setTable(start, 4)
		wants := map[tackclock.Time]int{start + 1000: 0, start + 2000: 8, start + 5000: 32}
		for now := start; now <= start+5000; now += 100 {
			w.vms[0].sharer.Tick(now)
			if want, ok := wants[now]; ok {
				convey.So(w.capacity(now, 0), convey.ShouldEqual, want)
			}
		}
	})
}
