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

// Symptom: every request of a team waits until its deadline.
// Sequence: the team is given a quota of cores and none of slots, which stands in
// the table as zero.
// Cause: a quota of zero was taken for a share of zero.
func TestQuotaOfZeroBindsNothing(t *testing.T) {
	convey.Convey("With a quota of zero slots", t, func() {
		var q quotas
		q.follow(&tackroute.Table{Quotas: map[tackid.Team]int{"clerks": 0, "imams": 1}})
		g := tacklimit.Gate{Quotas: &q.Quotas}
		g.SetCapacity(8)
		convey.So(g.Offer(0, tacklimit.Request{ID: 1, Team: "clerks"}).Decision, convey.ShouldEqual, tacklimit.Admitted)
		convey.So(g.Offer(0, tacklimit.Request{ID: 2, Team: "clerks"}).Decision, convey.ShouldEqual, tacklimit.Admitted)
		convey.So(g.Offer(0, tacklimit.Request{ID: 3, Team: "imams"}).Decision, convey.ShouldEqual, tacklimit.Admitted)
		convey.So(g.Offer(0, tacklimit.Request{ID: 4, Team: "imams"}).Decision, convey.ShouldEqual, tacklimit.Queued)
	})
}

// Symptom: a request with a key is refused for want of a slot after it was
// admitted.
// Sequence: while its key is being recorded its slot is given to another peer.
// Cause: the usage told only of requests that were sent.
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
