package tackreplica

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
)

// Symptom: while one VM is down every change takes as long as a lease, that VM
// is shown as leased for as long as it is down, and no wave goes on, since its
// last lease never seems to have run out.
// Sequence: a VM that held a lease falls silent for good; changes follow, each
// long after the one before.
// Cause: the leader counts a new lease with each heartbeat that it sends to the
// silent VM, though each echoes the same old stamp and so grants nothing.
func TestLeaseOfSilentMemberRunsOut(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	leader := c.settled()
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
	convey.Convey("Its lease has run out, and nothing waits for it", t, func() {
		convey.So(err, convey.ShouldBeNil)
		convey.So(until, convey.ShouldBeLessThan, leader.now())
		convey.So(done, convey.ShouldBeTrue)
		convey.So(missing, convey.ShouldContain, silent.peer)
	})
}
