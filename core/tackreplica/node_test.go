package tackreplica

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackid"
)

func TestThreeVotersAgree(t *testing.T) {
	convey.Convey("Given three voters with empty folders", t, func() {
		c := newCluster(t, 1, "a", "b", "c")
		leader := c.waitForLeader()

		convey.Convey("a proposal is applied by all and in force", func() {
			i, _, err := leader.node.Propose(leader.now(), []byte("x"))
			convey.So(err, convey.ShouldBeNil)
			c.run(100)
			for _, v := range c.vms {
				convey.So(v.applied, convey.ShouldBeGreaterThanOrEqualTo, i)
				convey.So(v.node.Leased(v.now()), convey.ShouldBeTrue)
			}
			done, missing := leader.node.InForce(leader.now(), i)
			convey.So(done, convey.ShouldBeTrue)
			convey.So(missing, convey.ShouldResemble, []tackid.Peer(nil))
		})
	})
}
