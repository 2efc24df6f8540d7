package tackreplica

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
)

// Guards against a VM that is down but shown as leased for as long as it is down, so that
// every change waits for a lease and no wave continues. The leader counted a new lease with
// each heartbeat that it sent to the silent VM, although each echoed the same old stamp and
// so granted nothing.
func TestLeaseOfSilentMemberExpires(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	leader := c.waitForLeader()
	silent := c.without(leader)[0]
	silent.kill()
	c.run(10 * second)
	var until tackclock.Time
	for _, m := range leader.node.Status(leader.now()).Members {
		if m.Peer == silent.peer {
			until = m.LeaseUntil
		}
	}
	_, _, err := leader.propose()
	c.run(100)
	done, missing := leader.node.InForce(leader.now(), leader.applied)
	convey.Convey("Its lease has expired, and nothing waits for it", t, func() {
		convey.So(err, convey.ShouldBeNil)
		convey.So(until, convey.ShouldBeLessThan, leader.now())
		convey.So(done, convey.ShouldBeTrue)
		convey.So(missing, convey.ShouldContain, silent.peer)
	})
}
