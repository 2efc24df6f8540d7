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
			got, ok := c.Pick(0, tackroute.Ask{Home: here})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.DataCentre, convey.ShouldEqual, here)
		}
		convey.Convey("the ninth goes elsewhere, and stays if home only is asked", func() {
			_, ok := c.Pick(0, tackroute.Ask{Home: here, HomeOnly: true})
			convey.So(ok, convey.ShouldBeFalse)
			got, ok := c.Pick(0, tackroute.Ask{Home: here})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.DataCentre, convey.ShouldEqual, there)
		})
	})
}

// Symptom: a VM is rebooted while a request still runs on it.
// Sequence: a request is in flight; the backend server leaves the table and
// announces itself again with a later incarnation, on another VM; a request to
// the new life ends first.
// Cause: work in flight was counted by name alone, so the end of the newer
// request was taken for that of the older one.
func TestInFlightCountsByLife(t *testing.T) {
	convey.Convey("After a backend server moved with a request in flight", t, func() {
		var c tackroute.Chooser
		table := candidates(here, 1)
		c.SetCandidates(table)
		older, _ := c.Pick(0, tackroute.Ask{Home: here})
		c.SetCandidates(nil)
		table[0].VM, table[0].Incarnation = "vm-new", 2
		c.SetCandidates(table)
		newer, _ := c.Pick(0, tackroute.Ask{Home: here})
		c.Done(1, newer, tackroute.Outcome{})
		convey.So(c.InFlight(older.VM), convey.ShouldEqual, 1)
		convey.So(c.InFlight("vm-new"), convey.ShouldEqual, 0)
		c.Done(2, older, tackroute.Outcome{})
		convey.So(c.InFlight(older.VM), convey.ShouldEqual, 0)
	})
}
