package tackshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
)

// assertWithinSlots holds that no request was sent to an executor of which all
// slots were taken.
func assertWithinSlots(r result) {
	convey.So(r.requests, convey.ShouldBeGreaterThan, 1000)
	convey.So(r.overloaded, convey.ShouldEqual, 0)
}

// TestSharingBounds holds the figures of the design note, which do not depend
// on the machine.
func TestSharingBounds(t *testing.T) {
	for _, vms := range []int{1, 4, 12} {
		t.Run(fmt.Sprint(vms, " peers"), func(t *testing.T) {
			convey.Convey("Under a load that moves between peers", t, func() {
				l := load{vms: vms, executors: 8, part: 0.8, hot: 0.5, hotFor: 5 * tackclock.Second}
				r := runModel(l, newLeasedShares(l), 1, 20*tackclock.Second)
				assertWithinSlots(r)
				convey.So(r.late, convey.ShouldEqual, 0)
				convey.So(r.bytes, convey.ShouldBeLessThan, 3000)
			})
		})
	}
}

// Symptom: an executor gets more requests than it has slots.
// Sequence: frames between the peers are lost, doubled and overtake each
// other while slots change hands.
// Cause: a frame was taken for newer than it was, or a slot was granted again
// before its holder was known to have returned it.
func TestNoSlotIsGrantedTwice(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			convey.Convey("With a network that loses, doubles and reorders", t, func() {
				l := load{vms: 6, executors: 4, part: 0.9, hot: 0.6, hotFor: tackclock.Second}
				way := newLeasedShares(l)
				way.random = rand.New(rand.NewPCG(seed, 9))
				calm := &calmEnd{leasedShares: way, at: tackclock.Time(tackclock.Hour).Add(22 * tackclock.Second)}
				assertWithinSlots(runModel(l, calm, seed, 20*tackclock.Second))
				convey.Convey("and none is lost for good", func() {
					convey.So(calm.most, convey.ShouldEqual, 32)
				})
			})
		})
	}
}

// calmEnd mends the network at a time, and counts the most slots that may be
// filled at once from then on: some are always on their way.
type calmEnd struct {
	*leasedShares
	at   tackclock.Time
	most int
}

func (c *calmEnd) tick(now tackclock.Time, waiting []int) {
	if now == c.at {
		c.random = nil
	}
	c.leasedShares.tick(now, waiting)
	if now < c.at.Add(2*tackclock.Second) {
		return
	}
	total := 0
	for vm := range c.vms {
		total += c.capacity(now, vm)
	}
	c.most = max(c.most, total)
}

// hotVM is the peer that most requests come through in TestOwnerIsLost.
const hotVM = 1

// outage takes a peer down, or cuts it off, at a time of the model.
type outage struct {
	*leasedShares
	vm     int
	at     tackclock.Time
	cut    bool
	lowest int
	// busiest is the least capacity of the peer that most requests come
	// through, and after the last capacity of all that are left.
	busiest int
	after   int
}

func (o *outage) tick(now tackclock.Time, waiting []int) {
	if now == o.at && !o.cut {
		o.vms[o.vm].down = true
	}
	if now >= o.at && o.cut {
		var kept []envelope
		for _, e := range o.flying {
			if e.from != o.vm && e.to != o.vm {
				kept = append(kept, e)
			}
		}
		o.flying = kept
	}
	o.leasedShares.tick(now, waiting)
	if now < o.at {
		return
	}
	o.after = 0
	o.busiest = min(o.busiest, o.capacity(now, hotVM))
	for vm := range o.vms {
		c := o.capacity(now, vm)
		if vm != o.vm {
			o.after += c
		}
		if vm != o.vm || o.cut {
			o.lowest = min(o.lowest, c)
		}
	}
}

// Symptom: after the loss of one peer, others refuse work for seconds, or
// its slots are never used again.
// Sequence: the peer that divides the slots of a service dies, or is cut off
// from the others.
// Cause: the shares that it granted ended with it, or nobody took them over.
func TestOwnerIsLost(t *testing.T) {
	start := tackclock.Time(tackclock.Hour)
	for vm := range 4 {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprint("peer ", vm, " cut ", cut), func(t *testing.T) {
				convey.Convey("After the loss", t, func() {
					l := load{vms: 4, executors: 4, part: 0.6, hot: 0.8, hotFor: 80 * tackclock.Second}
					way := &outage{leasedShares: newLeasedShares(l), vm: vm, at: start.Add(8 * tackclock.Second),
						cut: cut, lowest: 100, busiest: 100}
					r := runModel(l, way, 1, 15*tackclock.Second)
					if !cut {
						assertWithinSlots(r)
					}
					if vm != hotVM {
						convey.So(way.busiest, convey.ShouldBeGreaterThan, 11)
					}
					convey.So(way.lowest, convey.ShouldBeGreaterThan, 0)
					convey.So(way.after, convey.ShouldBeGreaterThanOrEqualTo, 30)
				})
			})
		}
	}
}
