package tackshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
)

// assertWithinSlots checks that no request was sent to an executor with all slots
// in use.
func assertWithinSlots(r result) {
	convey.So(r.requests, convey.ShouldBeGreaterThan, 1000)
	convey.So(r.overloaded, convey.ShouldEqual, 0)
}

// TestSharingBounds checks the bounds that the design states and that do not
// depend on the machine.
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

// An executor must not get more requests than it has slots while frames between
// the peers are lost, duplicated and reordered. It would if an old frame were
// taken for a newer one, or if a slot were granted again before its holder is
// known to have returned it.
func TestNoSlotIsGrantedTwice(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			convey.Convey("With a network that loses, duplicates and reorders frames", t, func() {
				l := load{vms: 6, executors: 4, part: 0.9, hot: 0.6, hotFor: tackclock.Second}
				shares := newLeasedShares(l)
				shares.random = rand.New(rand.NewPCG(seed, 9))
				healed := &healedNetwork{leasedShares: shares, at: tackclock.Time(tackclock.Hour).Add(22 * tackclock.Second)}
				assertWithinSlots(runModel(l, healed, seed, 20*tackclock.Second))
				convey.Convey("and no slot is lost permanently", func() {
					convey.So(healed.most, convey.ShouldEqual, 32)
				})
			})
		})
	}
}

// healedNetwork makes the network reliable at a given time, and records the
// largest number of slots that may be in use at once after that. It takes the
// largest number since some slots are always in transit.
type healedNetwork struct {
	*leasedShares
	at   tackclock.Time
	most int
}

func (c *healedNetwork) tick(now tackclock.Time, waiting []int) {
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

// hotVM is the peer at which most requests arrive in TestOwnerIsLost.
const hotVM = 1

// outage stops a peer, or cuts it off, at a given time.
type outage struct {
	*leasedShares
	vm     int
	at     tackclock.Time
	cut    bool
	lowest int
	// busiest is the least capacity of the peer at which most requests
	// arrive, and after the last capacity of all remaining peers.
	busiest int
	after   int
}

func (o *outage) tick(now tackclock.Time, waiting []int) {
	if now == o.at && !o.cut {
		o.vms[o.vm].down = true
	}
	if now >= o.at && o.cut {
		var kept []envelope
		for _, e := range o.inTransit {
			if e.from != o.vm && e.to != o.vm {
				kept = append(kept, e)
			}
		}
		o.inTransit = kept
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

// After the peer that divides the slots of a service dies or is cut off, the
// others must neither refuse requests for seconds nor leave its slots unused.
// They did when the shares that it granted ended with it, or when no other peer
// took them over.
func TestOwnerIsLost(t *testing.T) {
	start := tackclock.Time(tackclock.Hour)
	for vm := range 4 {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprint("peer ", vm, " cut ", cut), func(t *testing.T) {
				convey.Convey("After the loss", t, func() {
					l := load{vms: 4, executors: 4, part: 0.6, hot: 0.8, hotFor: 80 * tackclock.Second}
					shares := &outage{leasedShares: newLeasedShares(l), vm: vm, at: start.Add(8 * tackclock.Second),
						cut: cut, lowest: 100, busiest: 100}
					r := runModel(l, shares, 1, 15*tackclock.Second)
					if !cut {
						assertWithinSlots(r)
					}
					if vm != hotVM {
						convey.So(shares.busiest, convey.ShouldBeGreaterThan, 11)
					}
					convey.So(shares.lowest, convey.ShouldBeGreaterThan, 0)
					convey.So(shares.after, convey.ShouldBeGreaterThanOrEqualTo, 30)
				})
			})
		}
	}
}
