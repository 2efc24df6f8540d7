package tackreplica

import (
	"errors"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against two memberships with disjoint quorums: changes of several members at once,
// concurrent changes, promotion of VMs that lag, and changes without a reachable quorum
// must be refused. Each case fails without its check.
func TestMembershipIsChangedInSafeSteps(t *testing.T) {
	d := Member{Peer: "d"}
	cases := map[MembershipProblem][]Member{
		ProblemSeveral: {threeVoters[0], threeVoters[1], d},
		ProblemBehind:  {threeVoters[0], threeVoters[1], threeVoters[2], {Peer: "d", Voter: true}},
		ProblemNoVoter: {{Peer: "a"}},
		ProblemName:    {threeVoters[0], threeVoters[0]},
		ProblemQuorum:  {threeVoters[0], threeVoters[2]},
		ProblemPending: append([]Member{d}, threeVoters...),
	}
	for problem, members := range cases {
		t.Run(string(problem), func(t *testing.T) {
			convey.Convey("The change is refused", t, func() {
				c := newCluster(t, 10, "a", "b", "c")
				leader := c.waitForLeader()
				switch problem {
				case ProblemPending:
					leader.node.appendEntry(EntryMembership, encodeMembers(threeVoters))
				case ProblemQuorum:
					for _, v := range c.without(leader) {
						v.kill()
					}
					c.run(950)
				}
				_, _, err := leader.node.ProposeMembership(leader.now(), members)
				var refused *MembershipError
				convey.So(errors.As(err, &refused), convey.ShouldBeTrue)
				convey.So(refused.Problem, convey.ShouldEqual, problem)
			})
		})
	}
}

// Guards against a cluster without a leader, or led by a removed VM: the leader is removed,
// and keeps running or crashes just after it proposed that. Fails if transferIfRemoved does
// nothing.
func TestLeaderIsRemoved(t *testing.T) {
	for name, crashes := range map[string]bool{"and keeps running": false, "and crashes": true} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Another leads, with one membership", t, func() {
				c := newCluster(t, 11, "a", "b", "c")
				old := c.waitForLeader()
				convey.So(old.removeMember(old.peer), convey.ShouldBeNil)
				if crashes {
					c.run(1)
					old.kill()
				}
				next := c.waitForLeader()
				convey.So(next.peer, convey.ShouldNotEqual, old.peer)
				if crashes {
					old.start()
				}
				c.run(second)
				other := c.without(next)[0]
				if other == old {
					other = c.without(next)[1]
				}
				convey.So(other.node.Members(), convey.ShouldResemble, next.node.Members())
			})
		})
	}
}

// Guards against a cluster that elects no leader although three of four voters are up. The
// leader proposes its own removal and is cut off, another voter dies, and the partition
// heals: only the old leader has the longest log. Fails if mayCampaign checks only the
// newest membership.
func TestLeaderThatProposedItsRemovalCanCampaign(t *testing.T) {
	convey.Convey("The old leader is elected and transfers leadership", t, func() {
		c := newCluster(t, 17, "a", "b", "c", "d")
		old := c.waitForLeader()
		c.cutOff(old, true)
		c.without(old)[0].kill()
		convey.So(old.removeMember(old.peer), convey.ShouldBeNil)
		c.run(5 * second)
		convey.So(c.leaderName(), convey.ShouldBeEmpty)
		clear(c.cut)
		next := c.waitForLeader()
		convey.So(next.node.Members(), convey.ShouldHaveLength, 3)
		c.run(second)
		convey.So(c.leaderName(), convey.ShouldNotEqual, old.peer)
	})
}

// Guards against a VM that uses a membership that was never committed: a leader that is cut
// off proposes one and the others elect another leader, which replaces the entry. Fails
// without revertMembership.
func TestReplacedMembershipIsReverted(t *testing.T) {
	convey.Convey("The membership is reverted with its entry", t, func() {
		c := newCluster(t, 13, "a", "b", "c")
		old := c.waitForLeader()
		c.cutOff(old, true)
		convey.So(old.removeMember(c.without(old)[0].peer), convey.ShouldBeNil)
		c.waitForLeader()
		clear(c.cut)
		c.run(second)
		convey.So(old.node.Members(), convey.ShouldResemble, threeVoters)
	})
}

// Guards against a change that is reported in force while a VM that was just removed still
// serves the state before it. A learner is removed, and leadership is transferred to a VM
// that restarted or learned of the removal from a snapshot only, so that it does not know
// of the learner's lease. Fails, by cluster.check, if New and installSnapshot do not call
// recordRemoval.
func TestRemovedMembersLeaseIsWaitedFor(t *testing.T) {
	for name, restart := range map[string]bool{"restarted": true, "by snapshot": false} {
		t.Run(name, func(t *testing.T) {
			c := newClusterOf(t, 14, Config{Members: threeVoters, KeepEntries: 5, Heartbeat: 50}, "a", "b", "c", "d")
			leader := c.waitForLeader()
			next := c.without(leader)[0]
			c.cutOff(next, !restart)
			_, _, err := leader.node.ProposeMembership(leader.now(), append([]Member{{Peer: "d"}}, threeVoters...))
			c.run(500)
			removed := leader.removeMember("d")
			for range 30 {
				_, _, _ = leader.propose()
				c.run(3)
			}
			if restart {
				next.kill()
				next.start()
			}
			c.cutOff(next, false)
			c.run(30)
			leader.node.Transfer(leader.now(), next.peer)
			leader.work()
			for deadline := c.now + 300; c.leader() != next && c.now < deadline; {
				c.run(5)
			}
			convey.Convey("The new leader waits", t, func() {
				convey.So(err, convey.ShouldBeNil)
				convey.So(removed, convey.ShouldBeNil)
				convey.So(c.leaderName(), convey.ShouldEqual, next.peer)
				i, _, _ := next.propose()
				c.run(20)
				convey.So(c.vm("d").node.Leased(c.vm("d").now()), convey.ShouldBeTrue)
				convey.So(c.inForce, convey.ShouldBeLessThan, i)
				c.run(second)
				convey.So(c.inForce, convey.ShouldBeGreaterThanOrEqualTo, i)
			})
		})
	}
}

// Guards against a change that is reported in force while a VM that is in no committed
// membership serves the state before it. A leader adds a learner and is cut off together
// with it; the others, which do not know the learner, elect another leader. Fails, by
// cluster.check, if grantLease does not check the committed members.
func TestUncommittedMemberHoldsNoLease(t *testing.T) {
	convey.Convey("A learner gets no lease before its membership is committed", t, func() {
		for seed := range uint64(20) {
			c := newClusterOf(t, seed, Config{Members: threeVoters}, "a", "b", "c", "d")
			old := c.waitForLeader()
			_, _, err := old.node.ProposeMembership(old.now(), append([]Member{{Peer: "d"}}, threeVoters...))
			convey.So(err, convey.ShouldBeNil)
			for _, v := range c.without(old) {
				c.cutLinkBothWays(old.peer, v.peer, v.peer != "d")
			}
			for range 400 {
				c.run(5)
				if v := c.leader(); v != nil && v != old {
					clear(c.cut)
					_, _, _ = v.propose()
				}
			}
			convey.So(c.leaderName(), convey.ShouldNotEqual, old.peer)
			convey.So(c.inForce, convey.ShouldBeGreaterThan, 20)
		}
	})
}
