package tackreplica

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

func assertNotLeading(v *fakeVM) {
	convey.So(v.node.LeaderLease(v.now()), convey.ShouldBeFalse)
	convey.So(v.node.Leased(v.now()), convey.ShouldBeFalse)
	done, _ := v.node.InForce(v.now(), 1)
	convey.So(done, convey.ShouldBeFalse)
	_, _, err := v.propose()
	convey.So(err, convey.ShouldHaveSameTypeAs, &NotLeaderError{})
}

// Guards against a leader that serves stale state after being suspended. The leader stops
// for 30 s while another is elected and accepts changes, then resumes before any message
// arrives. It must check its lease against its clock. Fails if leaderLeaseUntil returns
// now+1, and if mayPropose does not check the quorum.
func TestFrozenLeaderResumes(t *testing.T) {
	convey.Convey("A leader frozen for 30 s", t, func() {
		c := newCluster(t, 2, "a", "b", "c")
		old := c.waitForLeader()
		old.freeze(30 * second)
		c.run(30*second - 1)
		convey.So(c.leaderName(), convey.ShouldNotBeEmpty)
		convey.So(c.leaderName(), convey.ShouldNotEqual, old.peer)
		old.frozen, old.inbox = 0, nil
		convey.Convey("serves nothing under its old lease after it resumes", func() {
			assertNotLeading(old)
		})
	})
}

// Guards against the loss of an acknowledged entry after a disk was replaced. A leader and
// one follower acknowledge an entry while the third VM is cut off; the follower loses its
// folder, the leader dies, and the third VM returns and asks the emptied one for its vote.
// Fails if Eligible is always set, and if bootstrap needs only the voters that respond.
func TestEmptiedVoterDoesNotVote(t *testing.T) {
	convey.Convey("A voter that lost its folder", t, func() {
		c := newCluster(t, 3, "a", "b", "c")
		leader := c.waitForLeader()
		emptied, behind := c.without(leader)[0], c.without(leader)[1]
		c.cutOff(behind, true)
		c.run(50)
		i, _, err := leader.propose()
		convey.So(err, convey.ShouldBeNil)
		c.run(50)
		convey.So(leader.applied, convey.ShouldEqual, i)

		convey.Convey("elects nobody while the leader is dead", func() {
			leader.kill()
			emptied.wipe()
			c.cutOff(behind, false)
			c.run(10 * second)
			convey.So(c.leaderName(), convey.ShouldBeEmpty)
			leader.start()
			c.run(5 * second)
			convey.So(c.leaderName(), convey.ShouldNotBeEmpty)
			convey.So(emptied.node.hard.Eligible, convey.ShouldBeTrue)
			convey.So(behind.applied, convey.ShouldBeGreaterThanOrEqualTo, i)
		})
		// Fails if matchOf and ackedBy count ineligible members.
		convey.Convey("does not count towards a quorum before it is adopted", func() {
			emptied.wipe()
			c.run(3 * second)
			assertNotLeading(leader)
			convey.So(emptied.node.hard.Eligible, convey.ShouldBeFalse)
		})
	})
}

// Guards against the loss of an acknowledged entry after an old backup of a data folder was
// restored: a follower returns without the last entries that it acknowledged. Fails if
// onReject does not compare the log with what the member had acknowledged.
func TestOlderFolderIsDetected(t *testing.T) {
	convey.Convey("A voter whose folder is an older copy is adopted again", t, func() {
		c := newCluster(t, 4, "a", "b", "c")
		leader := c.waitForLeader()
		v := c.without(leader)[0]
		backup := v.disk
		_, _, _ = leader.propose()
		c.run(100)
		v.kill()
		v.disk = backup
		v.start()
		c.run(second)
		convey.So(v.node.hard.Eligible, convey.ShouldBeTrue)
		convey.So(leader.node.progress[v.peer].ineligibleAt, convey.ShouldBeGreaterThan, 0)
	})
}

// Guards against two leaders at one time. The leader and one voter cannot reach each other
// while both reach the third, and the voter that is cut off stands for election. The third
// must not vote if it heard from the leader recently, or if it restarted and cannot know.
// Fails if mustNotVote always returns false, and if voteFrom is zero after a start.
func TestOneVoterLosesTheLeader(t *testing.T) {
	for name, restart := range map[string]bool{"all stay up": false, "the third restarts": true} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The lease is never held twice, and the leader stays", t, func() {
				c := newCluster(t, 5, "a", "b", "c")
				leader := c.waitForLeader()
				lost, third := c.without(leader)[0], c.without(leader)[1]
				term := leader.node.hard.Term
				c.cutLinkBothWays(leader.peer, lost.peer, true)
				for range 40 {
					c.run(250)
					if restart {
						third.kill()
						third.start()
					}
				}
				if !restart {
					convey.So(c.leaderName(), convey.ShouldEqual, leader.peer)
					convey.So(leader.node.hard.Term, convey.ShouldEqual, term)
				}
			})
		})
	}
}

// Guards against a voter that deposes the leader with a higher term and so interrupts
// service for a second. The voter is cut off repeatedly, receives nothing from a leader
// that it can reach, or was removed. Fails if preCampaign starts an election at once.
func TestDisruptiveVoterDoesNotDeposeLeader(t *testing.T) {
	disturbances := map[string]func(c *cluster, leader, v *fakeVM, i int){
		"flapping cut": func(c *cluster, _, v *fakeVM, i int) { c.cutOff(v, i%2 == 0) },
		"one-way cut":  func(c *cluster, leader, v *fakeVM, _ int) { c.cutLink(leader.peer, v.peer, true) },
		"removed": func(_ *cluster, leader, v *fakeVM, i int) {
			if i == 0 {
				leader.removeMember(v.peer)
			}
		},
	}
	for name, disturb := range disturbances {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The leader and its term stay", t, func() {
				c := newCluster(t, 6, "a", "b", "c")
				leader := c.waitForLeader()
				term, v := leader.node.hard.Term, c.without(leader)[1]
				for i := range 10 {
					disturb(c, leader, v, i)
					c.run(1700)
					convey.So(c.leaderName(), convey.ShouldEqual, leader.peer)
				}
				c.cutOff(v, false)
				c.run(second)
				convey.So(leader.node.hard.Term, convey.ShouldEqual, term)
			})
		})
	}
}

func (v *fakeVM) removeMember(peer tackid.Peer) error {
	var left []Member
	for _, m := range v.node.Members() {
		if m.Peer != peer {
			left = append(left, m)
		}
	}
	_, _, err := v.node.ProposeMembership(v.now(), left)
	v.work()
	return err
}

// Guards against a change that is reported in force while a data centre that is cut off
// still serves the state before it. The leader's data centre, with a learner in it, is
// partitioned from the rest, which elects a leader and accepts a change; then the partition
// heals. The new leader must wait until leases granted by the former one have expired, and
// no VM may rely on a lease for longer. Fails if leasedBefore returns false, and if
// becomeLeader sets no initial grants (both found by cluster.check).
func TestLeadersDataCentreAlone(t *testing.T) {
	convey.Convey("The leader's data centre is cut off", t, func() {
		cfg := Config{Members: []Member{
			{Peer: "a", Voter: true}, {Peer: "b", Voter: true}, {Peer: "c", Voter: true}, {Peer: "d"},
		}}
		c := newClusterOf(t, 7, cfg, "a", "b", "c", "d")
		old, learner := c.waitForLeader(), c.vm("d")
		for _, v := range c.without(old) {
			if v != learner {
				c.cutLinkBothWays(old.peer, v.peer, true)
				c.cutLinkBothWays(learner.peer, v.peer, true)
			}
		}
		cut := c.now
		var i tackid.Revision
		var proposed tackclock.Time
		for c.inForce < i || i == 0 {
			c.run(10)
			if v := c.leader(); i == 0 && v != nil && v != old {
				i, _, _ = v.propose()
				proposed = c.now
			}
			convey.So(c.now.Sub(cut), convey.ShouldBeLessThan, 4*second)
		}
		convey.So(proposed.Sub(cut), convey.ShouldBeLessThan, 3*second)
		convey.So(learner.node.Leased(learner.now()), convey.ShouldBeFalse)
		assertNotLeading(old)
		clear(c.cut)
		c.run(second)
		convey.So(learner.applied, convey.ShouldBeGreaterThanOrEqualTo, i)
		convey.So(learner.node.Leased(learner.now()), convey.ShouldBeTrue)
	})
}

// Guards against a VM that restarts while the log is idle and gets no lease until the next
// change, because the leader assumes that it knows which entries are committed. It also
// makes changes take up to 200 ms longer. Fails if onMatch does not probe again.
func TestRestartWhileIdle(t *testing.T) {
	convey.Convey("A VM that restarts while the log is idle", t, func() {
		c := newCluster(t, 8, "a", "b", "c")
		leader := c.waitForLeader()
		v := c.without(leader)[0]
		_, _, _ = leader.propose()
		c.run(100)
		v.kill()
		v.start()
		convey.Convey("holds no lease until it has applied all entries", func() {
			for v.applied < leader.applied {
				convey.So(v.node.Leased(v.now()), convey.ShouldBeFalse)
				c.run(10)
				convey.So(c.now, convey.ShouldBeLessThan, 10*second)
			}
			c.run(500)
			convey.So(v.node.Leased(v.now()), convey.ShouldBeTrue)
		})
	})
}
