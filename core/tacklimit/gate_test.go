package tacklimit_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tacklimit"
)

func TestGateStartsWaitingOnRelease(t *testing.T) {
	convey.Convey("With one slot taken", t, func() {
		var g tacklimit.Gate
		g.SetCapacity(1)
		convey.So(g.Offer(0, tacklimit.Request{ID: 1, Deadline: 1000}).Decision, convey.ShouldEqual, tacklimit.Admitted)
		convey.So(g.Offer(0, tacklimit.Request{ID: 2, Deadline: 1000}).Decision, convey.ShouldEqual, tacklimit.Queued)
		convey.Convey("the next starts once it is released", func() {
			convey.So(g.Release(10, 1), convey.ShouldResemble, []uint64{2})
		})
		convey.Convey("one that was cancelled does not", func() {
			convey.So(g.Cancel(5, 2), convey.ShouldBeTrue)
			convey.So(g.Release(10, 1), convey.ShouldBeEmpty)
		})
		convey.Convey("one whose time ran out does not", func() {
			started, expired := g.Tick(1000)
			convey.So(started, convey.ShouldBeEmpty)
			convey.So(expired, convey.ShouldResemble, []uint64{2})
		})
	})
}
