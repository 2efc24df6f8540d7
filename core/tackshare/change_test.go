package tackshare_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
)

// change does something to the peers at its time, and counts the slots that may
// be filled in the last second.
type change struct {
	*leasedShares
	steps map[tackclock.Time]func(now tackclock.Time)
	from  tackclock.Time
	most  int
}

func (c *change) tick(now tackclock.Time, waiting []int) {
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

// restart starts a peer anew: it knows nothing and holds nothing.
func (c *change) restart(now tackclock.Time, vm int) {
	c.vms[vm] = newEntryVM(now, vm, len(c.vms), 2)
	c.vms[vm].setTable(now, 4)
}

// Symptom: slots are lost for good, or filled twice, after a change.
// Sequence: a peer is started anew and its counts begin at nothing; or a backend
// server leaves the tables of the peers and comes back, at each a little later
// than at the last.
// Cause: the two sides of a grant no longer counted from the same point.
func TestChangesLoseNoSlot(t *testing.T) {
	start := tackclock.Time(tackclock.Hour)
	for vm := range 4 {
		c := &change{from: start + 19000}
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

// Symptom: a peer that starts while it is cut off serves nothing, or at once
// fills every slot beside those on the other side.
// Sequence: no other peer answers.
// Cause: it waited for its owner for ever, or took the others for gone.
func TestStartsCutOff(t *testing.T) {
	convey.Convey("When no other of four peers answers", t, func() {
		start := tackclock.Time(tackclock.Hour)
		w := &leasedShares{vms: []*entryVM{newEntryVM(start, 0, 4, 1)}}
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
