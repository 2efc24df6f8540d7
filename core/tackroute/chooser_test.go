package tackroute_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

const (
	here  tackid.DataCentre = "rennes-a"
	there tackid.DataCentre = "quimper"
)

func candidates(dc tackid.DataCentre, n int) []tackroute.Candidate {
	all := make([]tackroute.Candidate, n)
	for i := range all {
		name := fmt.Sprintf("%s-%d", dc, i)
		all[i] = tackroute.Candidate{BackendServer: tackid.BackendServer(name), VM: tackid.VM("vm-" + name),
			DataCentre: dc, Slots: 8, Connections: 64, Incarnation: 1}
	}
	return all
}

func TestPickPrefersHomeUntilFull(t *testing.T) {
	convey.Convey("With one backend server at home and one elsewhere", t, func() {
		var c tackroute.Chooser
		c.SetCandidates(append(candidates(here, 1), candidates(there, 1)...))
		for range 8 {
			got, ok := c.Pick(0, tackroute.Constraints{Home: here})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.DataCentre, convey.ShouldEqual, here)
		}
		convey.Convey("the ninth goes elsewhere, unless only home is allowed", func() {
			_, ok := c.Pick(0, tackroute.Constraints{Home: here, HomeOnly: true})
			convey.So(ok, convey.ShouldBeFalse)
			got, ok := c.Pick(0, tackroute.Constraints{Home: here})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.DataCentre, convey.ShouldEqual, there)
		})
	})
}

// Requests in flight must be counted by incarnation. A backend server leaves the
// table with a request in flight and announces itself again on another VM with a
// later incarnation, and a request to the new incarnation ends first. Counted by
// name alone, the older request seemed to have ended, and its VM was rebooted
// while it still ran there.
func TestInFlightCountsByIncarnation(t *testing.T) {
	convey.Convey("After a backend server moved with a request in flight", t, func() {
		var c tackroute.Chooser
		table := candidates(here, 1)
		c.SetCandidates(table)
		older, _ := c.Pick(0, tackroute.Constraints{Home: here})
		c.SetCandidates(nil)
		table[0].VM, table[0].Incarnation = "vm-new", 2
		c.SetCandidates(table)
		newer, _ := c.Pick(0, tackroute.Constraints{Home: here})
		c.Done(1, newer, tackroute.Outcome{})
		convey.So(c.InFlight(older.VM), convey.ShouldEqual, 1)
		convey.So(c.InFlight("vm-new"), convey.ShouldEqual, 0)
		c.Done(2, older, tackroute.Outcome{})
		convey.So(c.InFlight(older.VM), convey.ShouldEqual, 0)
	})
}

// With shared slots, a new backend server that appears in the table before this
// peer was granted a share of it must get no requests. It got more requests than
// it has slots when a candidate without a share counted as unshared.
func TestNewCandidateWaitsForItsShare(t *testing.T) {
	convey.Convey("With shares for one of two backend servers", t, func() {
		var c tackroute.Chooser
		both := candidates(here, 2)
		sources := []tackroute.SlotSource{{BackendServer: "rennes-a-0", Incarnation: 1}, {BackendServer: "rennes-a-1", Incarnation: 1}}
		c.SetShares(here, 100, []tackroute.Share{{SlotSource: sources[0], Slots: 3}})
		c.SetCandidates(both)
		convey.So(c.Capacity(0, tackroute.Constraints{Home: here}), convey.ShouldEqual, 3)
		c.SetShares(here, 100, []tackroute.Share{{SlotSource: sources[0], Slots: 3}, {SlotSource: sources[1], Slots: 2}})
		convey.So(c.Capacity(0, tackroute.Constraints{Home: here}), convey.ShouldEqual, 5)
	})
}

// Admitted requests must find a slot even if the bound decreases before they are
// sent. Two requests are admitted, and the bound decreases to one because the
// peer is asked to return slots. One of them was refused for lack of a slot when
// the bound, which limits the requests yet to be admitted, applied to them too.
func TestAdmittedRequestsFindTheirSlots(t *testing.T) {
	convey.Convey("With two slots held and a bound of one", t, func() {
		var c tackroute.Chooser
		c.SetCandidates(append(candidates(here, 1), candidates(there, 1)...))
		c.SetShares(here, 1, []tackroute.Share{{SlotSource: tackroute.SlotSource{BackendServer: "rennes-a-0", Incarnation: 1}, Slots: 2}})
		c.SetShares(there, 1, []tackroute.Share{{SlotSource: tackroute.SlotSource{BackendServer: "quimper-0", Incarnation: 1}, Slots: 1}})
		convey.So(c.Capacity(0, tackroute.Constraints{Home: here}), convey.ShouldEqual, 2)
		for _, want := range []tackid.DataCentre{here, there, here} {
			got, ok := c.Pick(0, tackroute.Constraints{Home: here})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.DataCentre, convey.ShouldEqual, want)
		}
	})
}
