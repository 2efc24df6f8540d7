package tackreplica

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackid"
)

var threeVoters = []Member{{Peer: "a", Voter: true}, {Peer: "b", Voter: true}, {Peer: "c", Voter: true}}

// drain does the work of the owner of n and returns the messages to send.
func drain(n *Node) []Message {
	var sent []Message
	for r, ok := n.Ready(); ok; r, ok = n.Ready() {
		sent = append(sent, r.Messages...)
		n.Advance(r)
	}
	return sent
}

// elected returns node a of three voters as the leader of term 3, with an entry of term 2
// in its log, and the messages it sent since its election.
func elected() (*Node, []Message) {
	stored := Stored{Hard: HardState{Term: 2, Eligible: true}, Entries: []Entry{{Index: 1, Term: 2}}}
	n := New(Config{Self: "a", Members: threeVoters}, stored, 0)
	n.Tick(2000)
	drain(n)
	n.Step(2001, Message{Kind: MessagePreVoteResponse, From: "b", To: "a", Term: 3})
	drain(n)
	n.Step(2002, Message{Kind: MessageVoteResponse, From: "b", To: "a", Term: 3})
	return n, drain(n)
}

// Guards against the replacement of an entry that was reported committed. A new leader
// finds an entry of an earlier term on a quorum; it must not commit it by counting
// replicas, because a third VM with a later term could still win and replace it. Fails if
// advanceCommit accepts any term.
func TestEarlierTermsEntryIsNotCommittedByCount(t *testing.T) {
	convey.Convey("Only an entry of the leader's own term commits", t, func() {
		n, sent := elected()
		response := Message{Kind: MessageResponse, From: "b", To: "a", Term: 3, Index: 1, Echo: sent[0].Stamp}
		n.Step(2003, response)
		convey.So(n.commit, convey.ShouldEqual, 0)
		response.Index = 2
		n.Step(2004, response)
		convey.So(n.commit, convey.ShouldEqual, 2)
	})
}

// Guards against a VM that applies an entry that no other has. It holds entries of a
// deposed leader and receives a heartbeat of the new one with a commit index before any
// append has verified them. Fails if commitTo is bounded by the end of the log.
func TestUnverifiedEntriesAreNotCommitted(t *testing.T) {
	convey.Convey("A heartbeat does not commit unverified entries", t, func() {
		stored := Stored{Hard: HardState{Term: 1, Eligible: true}, Entries: []Entry{{Index: 1, Term: 1}}}
		n := New(Config{Self: "b", Members: threeVoters}, stored, 0)
		n.Step(1, Message{Kind: MessageHeartbeat, From: "a", To: "b", Term: 3, Commit: 1, Stamp: 1})
		convey.So(n.commit, convey.ShouldEqual, 0)
	})
}

// Guards against a lease granted to an earlier instance: the response of the leader arrives
// after the VM has restarted, and its stamp could be taken for one of the new instance.
// Fails if every instance has the same salt.
func TestLeaseOfEarlierInstanceIsRejected(t *testing.T) {
	convey.Convey("A lease granted to an earlier instance is rejected", t, func() {
		before := New(Config{Self: "b", Members: threeVoters, Seed: 1}, Stored{}, 0)
		stamp := before.stampAt(100)
		n := New(Config{Self: "b", Members: threeVoters, Seed: 2}, Stored{}, 0)
		n.Step(500, Message{Kind: MessageHeartbeat, From: "a", To: "b", Term: 1, Stamp: 1, Echo: stamp, Required: 1})
		n.applied = 1
		convey.So(n.Leased(500), convey.ShouldBeFalse)
		n.Step(500, Message{Kind: MessageHeartbeat, From: "a", To: "b", Term: 1, Stamp: 2, Echo: n.stampAt(450), Required: 1})
		convey.So(n.Leased(500), convey.ShouldBeTrue)
	})
}

// Guards against a new log that replaces an existing one. Two of three voters lose their
// folders while the third, which holds acknowledged entries, is cut off; the two must not
// take themselves for a new cluster. Fails if tryBootstrap ignores voters that have not
// responded.
func TestTwoEmptyVotersDoNotBootstrap(t *testing.T) {
	convey.Convey("Two empty voters of three elect nobody", t, func() {
		c := newCluster(t, 9, "a", "b", "c")
		leader := c.waitForLeader()
		c.cutOff(leader, true)
		for _, v := range c.without(leader) {
			v.wipe()
		}
		c.run(10 * second)
		convey.So(c.leaderName(), convey.ShouldBeEmpty)
	})
	// Fails without the comparison of latestFirst and earliestLast: the
	// responses then need not be valid at the same moment.
	convey.Convey("One response of each voter is not enough", t, func() {
		n := New(Config{Self: "a", Members: threeVoters}, Stored{}, 0)
		for i, want := range []bool{false, true} {
			now := n.now + 300
			n.Tick(now)
			for _, m := range drain(n) {
				n.Step(now+1, Message{Kind: MessageProbeResponse, From: m.To, To: "a", Echo: m.Stamp, Instance: 7})
			}
			convey.So(n.hard.Eligible, convey.ShouldEqual, want)
			convey.So(i, convey.ShouldBeLessThan, 2)
		}
	})
}

// Guards against an acknowledged entry on too few disks, or a vote by a voter that lost its
// disk: messages to or from an earlier instance of an emptied voter were attributed to the
// current one. Fails if acceptAdoption accepts any instance, and if acceptResponse accepts
// old responses.
func TestEarlierInstancesDoNotCount(t *testing.T) {
	convey.Convey("Adoption is valid for one instance", t, func() {
		n := New(Config{Self: "b", Members: threeVoters}, Stored{}, 0)
		n.Step(1, Message{Kind: MessageHeartbeat, From: "a", To: "b", Term: 1, Stamp: 1, Adopt: n.instance + 1})
		convey.So(n.hard.Eligible, convey.ShouldBeFalse)
		n.Step(1, Message{Kind: MessageHeartbeat, From: "a", To: "b", Term: 1, Stamp: 1, Adopt: n.instance})
		convey.So(n.hard.Eligible, convey.ShouldBeTrue)
	})
	convey.Convey("An acknowledgement of the previous instance does not count", t, func() {
		n, sent := elected()
		now := Message{Kind: MessageResponse, From: "b", To: "a", Term: 3, Echo: sent[0].Stamp, Ineligible: true, Instance: 5}
		before := Message{Kind: MessageResponse, From: "b", To: "a", Term: 3, Echo: sent[0].Stamp, Index: 2}
		n.Step(2003, now)
		n.Step(2004, before)
		convey.So(n.commit, convey.ShouldEqual, 0)
	})
}

// Guards against a VM that routes by a state that the leader has reported as past: a VM
// restores a snapshot and updates its routes only later, so the snapshot must not be
// reported as applied before the owner says so. Fails if Advance marks the snapshot as
// applied.
func TestSnapshotIsAppliedByOwner(t *testing.T) {
	convey.Convey("The applied index is set by the owner only", t, func() {
		n := New(Config{Self: "b", Members: threeVoters}, Stored{}, 0)
		n.Step(1, Message{Kind: MessageChunk, From: "a", To: "b", Term: 1, Stamp: 1,
			Chunk: &Chunk{Index: 5, Term: 1, Members: threeVoters}})
		sent := drain(n)
		convey.So(sent, convey.ShouldHaveLength, 1)
		convey.So(sent[0].Index, convey.ShouldEqual, 5)
		convey.So(sent[0].Applied, convey.ShouldEqual, 0)
		n.Applied(5)
		convey.So(drain(n)[0].Applied, convey.ShouldEqual, 5)
	})
}

// Guards against a leader that steps down needlessly, which stops service for a second: a
// VM that is not a member responds with a higher term, or a member sends a message of a
// kind that this version does not know. Fails without the check in stepInTerm, and without
// the check of the kind in Step.
func TestNonMemberDoesNotDeposeLeader(t *testing.T) {
	convey.Convey("A VM that is not a member does not change the term", t, func() {
		n, _ := elected()
		n.Step(2003, Message{Kind: MessageResponse, From: "x", To: "a", Term: 9, Reject: true})
		n.Step(2003, Message{Kind: 99, From: "b", To: "a", Term: 9})
		convey.So(n.role, convey.ShouldEqual, Leader)
	})
}

// Guards against a vote or an acknowledgement that is forgotten after a restart, because
// the node went on after its disk had failed. Fails if Fail does nothing.
func TestFailedDiskIsSilent(t *testing.T) {
	convey.Convey("A node whose disk failed sends nothing", t, func() {
		n, _ := elected()
		n.Fail()
		n.Step(9000, Message{Kind: MessageVote, From: "b", To: "a", Term: 9, Index: 9, LogTerm: 9})
		convey.So(drain(n), convey.ShouldBeEmpty)
		_, _, err := n.Propose(9000, nil)
		convey.So(err, convey.ShouldHaveSameTypeAs, &NotLeaderError{})
	})
}

// Guards against an acknowledged entry on too few disks: a delayed snapshot arrives after
// later entries were acknowledged and must not replace them. Fails if coveredByLog compares
// the commit index only.
func TestLateSnapshotKeepsLaterEntries(t *testing.T) {
	convey.Convey("Entries after a late snapshot are kept", t, func() {
		n := New(Config{Self: "b", Members: threeVoters}, Stored{}, 0)
		entries := []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
		n.Step(1, Message{Kind: MessageAppend, From: "a", To: "b", Term: 1, Entries: entries, Stamp: 1})
		n.Step(2, Message{Kind: MessageChunk, From: "a", To: "b", Term: 1, Stamp: 1,
			Chunk: &Chunk{Index: 2, Term: 1, Members: threeVoters}})
		convey.So(n.log.last(), convey.ShouldEqual, 3)
		convey.So(n.commit, convey.ShouldEqual, 2)
	})
}

// Guards against a VM that never catches up under load, because sending it a snapshot takes
// longer than the interval between snapshots and each new one makes the leader start over.
// Fails if sendChunk always uses the newest snapshot.
func TestSnapshotTransferCompletesUnderLoad(t *testing.T) {
	convey.Convey("The snapshot transfer completes", t, func() {
		c := newClusterOf(t, 15, Config{Members: threeVoters, MaxBatchBytes: 1, KeepEntries: 200}, "a", "b", "c")
		leader := c.waitForLeader()
		away := c.without(leader)[0]
		c.cutOff(away, true)
		for i := range 600 {
			if i == 300 {
				c.cutOff(away, false)
			}
			_, _, _ = leader.propose()
			c.run(5)
		}
		convey.So(away.applied, convey.ShouldBeGreaterThan, 250)
	})
}

// Guards against a leader whose memory grows without bound, and a suspended follower that
// never catches up: a follower is frozen while many entries are proposed. Fails if
// replicate ignores the window; the catching up fails if sendChunk does nothing.
func TestSlowFollowerIsNotFlooded(t *testing.T) {
	convey.Convey("The data in flight to one member is bounded", t, func() {
		c := newClusterOf(t, 12, Config{Members: threeVoters, MaxBatchBytes: 100, KeepEntries: 10}, "a", "b", "c")
		leader := c.waitForLeader()
		slow := c.without(leader)[0]
		slow.freeze(60 * second)
		for range 300 {
			_, _, _ = leader.propose()
			c.run(3)
		}
		sent := 0
		for _, m := range slow.inbox {
			for _, e := range m.Entries {
				sent += len(e.Data)
			}
		}
		convey.So(sent, convey.ShouldBeLessThan, 3*maxInflightBatches*100)
		slow.frozen = 0
		c.run(second)
		convey.So(slow.applied, convey.ShouldEqual, tackid.Revision(len(c.log)))
		convey.So(slow.disk.Snapshot.Index, convey.ShouldBeGreaterThan, 250)
	})
}
