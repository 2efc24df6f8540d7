package tackhttp

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tacklimit"
	"auburntack/core/tackroute"
	"auburntack/core/tackshare"
)

// A quota of zero slots, as a team has that was given a quota of cores only,
// must mean no limit. When it was treated as a share of zero, every request of
// the team waited until its deadline.
func TestQuotaOfZeroBindsNothing(t *testing.T) {
	convey.Convey("With a quota of zero slots", t, func() {
		var q quotas
		q.setTable(&tackroute.Table{Quotas: map[tackid.Team]int{"clerks": 0, "imams": 1}})
		g := tacklimit.Gate{Quotas: &q.Quotas}
		g.SetCapacity(8)
		convey.So(g.Offer(0, tacklimit.Request{ID: 1, Team: "clerks"}).Decision, convey.ShouldEqual, tacklimit.Admitted)
		convey.So(g.Offer(0, tacklimit.Request{ID: 2, Team: "clerks"}).Decision, convey.ShouldEqual, tacklimit.Admitted)
		convey.So(g.Offer(0, tacklimit.Request{ID: 3, Team: "imams"}).Decision, convey.ShouldEqual, tacklimit.Admitted)
		convey.So(g.Offer(0, tacklimit.Request{ID: 4, Team: "imams"}).Decision, convey.ShouldEqual, tacklimit.Queued)
	})
}

// The usage must include requests that were admitted but not sent yet.
// Otherwise the slot of a request whose key is being recorded can be given to
// another peer, and the request is then refused for lack of a slot.
func TestUsageTellsOfAdmittedRequests(t *testing.T) {
	convey.Convey("With two requests admitted of which one was sent", t, func() {
		h := New(Config{Self: "rennes-a-1"})
		s := h.serviceNamed("names")
		s.chooser.SetCandidates([]tackroute.Candidate{{BackendServer: "names-0", Slots: 8}})
		s.gate.SetCapacity(8)
		s.gate.Offer(0, tacklimit.Request{ID: 1})
		s.gate.Offer(0, tacklimit.Request{ID: 2})
		s.chooser.Pick(0, tackroute.Constraints{})
		usage := h.Usage(tackclock.Time(0), tackshare.Subject{Service: "names"})
		convey.So(usage.Admitted, convey.ShouldEqual, 1)
		convey.So(usage.InUse, convey.ShouldHaveLength, 1)
	})
}
