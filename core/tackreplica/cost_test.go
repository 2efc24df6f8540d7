package tackreplica

import (
	"fmt"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	killTrials    = 200
	changesPerDay = 3300
	// idleBytes bounds what a leader may send and receive per other VM, in bytes per
	// second, at a heartbeat of 200 ms. Measured: 264.
	idleBytes = 300
)

// fleet returns a configuration of n VMs, the first of which are voters, and their names,
// which are as long as in production.
func fleet(n, voters int) (Config, []tackid.Peer) {
	var cfg Config
	var names []tackid.Peer
	for i := range n {
		p := tackid.Peer(fmt.Sprintf("cotabato-hall-%d", i))
		names = append(names, p)
		cfg.Members = append(cfg.Members, Member{Peer: p, DataCentre: "cotabato-hall", Voter: i < voters, Address: "127.0.0.1:7002"})
	}
	return cfg, names
}

func quantiles(of []tackclock.Duration) (median, p99 tackclock.Duration) {
	slices.Sort(of)
	return of[len(of)/2], of[len(of)*99/100]
}

func TestTimeWithoutLeader(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			var gaps []tackclock.Duration
			for seed := range uint64(killTrials) {
				cfg, names := fleet(voters, voters)
				c := newClusterOf(t, seed, cfg, names...)
				leader := c.waitForLeader()
				c.run(tackclock.Duration(c.rand.IntN(500)))
				leader.kill()
				killed := c.now
				for c.leader() == nil {
					c.run(1)
				}
				gaps = append(gaps, c.now.Sub(killed))
			}
			median, p99 := quantiles(gaps)
			t.Logf("%d kills: median %v, p99 %v, longest %v", killTrials, median, p99, gaps[len(gaps)-1])
			convey.Convey("At most 3 s, median at most 1.5 s", t, func() {
				convey.So(gaps[len(gaps)-1], convey.ShouldBeLessThanOrEqualTo, 3*second)
				convey.So(median, convey.ShouldBeLessThanOrEqualTo, 1500)
			})
		})
	}
}

func TestIdleTraffic(t *testing.T) {
	for _, n := range []int{3, 8, 12} {
		for _, heartbeat := range []tackclock.Duration{100, 200} {
			for _, changes := range []int{0, changesPerDay} {
				t.Run(fmt.Sprintf("%d VMs, %v, %d changes a day", n, heartbeat, changes), func(t *testing.T) {
					measureTraffic(t, n, heartbeat, changes)
				})
			}
		}
	}
}

func measureTraffic(t *testing.T, n int, heartbeat tackclock.Duration, changes int) {
	const length = 60
	cfg, names := fleet(n, min(n, 5))
	cfg.Heartbeat = heartbeat
	c := newClusterOf(t, 1, cfg, names...)
	leader := c.waitForLeader()
	clear(c.messages)
	clear(c.bytes)
	for i := range length {
		if i*changes/86400 != (i+1)*changes/86400 {
			_, _, _ = leader.propose()
		}
		c.run(second)
	}
	follower := c.without(leader)[0]
	bytes := c.bytes[leader.peer] / length
	t.Logf("a second, sent and received: leader %d messages %d bytes, other %d messages %d bytes",
		c.messages[leader.peer]/length, bytes, c.messages[follower.peer]/length, c.bytes[follower.peer]/length)
	convey.Convey("The leader stays within the bytes for each other VM", t, func() {
		convey.So(bytes, convey.ShouldBeLessThan, (n-1)*idleBytes*200/int(heartbeat))
	})
}

// timeUntilInForce returns how long a change takes until no VM can serve the state before
// it.
func timeUntilInForce(c *cluster, leader *fakeVM) tackclock.Duration {
	proposed := c.now
	i, _, _ := leader.propose()
	for c.inForce < i {
		c.run(1)
	}
	return c.now.Sub(proposed)
}

func TestTimeUntilInForce(t *testing.T) {
	cfg, names := fleet(8, 5)
	c := newClusterOf(t, 1, cfg, names...)
	leader := c.waitForLeader()
	var committed, well, frozen []tackclock.Duration
	for range 200 {
		proposed := c.now
		leader.onApply = func(*fakeVM, Entry) { committed = append(committed, c.now.Sub(proposed)) }
		well = append(well, timeUntilInForce(c, leader))
		c.run(37)
	}
	for range 50 {
		c.without(leader)[6].freeze(5 * second)
		c.run(tackclock.Duration(c.rand.IntN(200)))
		frozen = append(frozen, timeUntilInForce(c, leader))
		c.run(6 * second)
	}
	commitMedian, commitP99 := quantiles(committed[:200])
	median, p99 := quantiles(well)
	frozenMedian, frozenP99 := quantiles(frozen)
	t.Logf("8 VMs, links of 1 to 2 ms, syncs of 0 to 1 ms: committed median %v, p99 %v; in force median %v, p99 %v; "+
		"one frozen: median %v, p99 %v", commitMedian, commitP99, median, p99, frozenMedian, frozenP99)
	convey.Convey("Within 50 ms if all VMs are up, and 4 s if one is frozen", t, func() {
		convey.So(p99, convey.ShouldBeLessThan, 50)
		convey.So(frozenP99, convey.ShouldBeLessThan, 4*second)
	})
}

func TestEntriesReplayedAtRestart(t *testing.T) {
	convey.Convey("A restart after 1,000 changes replays fewer entries than a snapshot interval", t, func() {
		c := newCluster(t, 1, "a", "b", "c")
		leader := c.waitForLeader()
		for range 1000 {
			_, _, err := leader.propose()
			convey.So(err, convey.ShouldBeNil)
			c.run(5)
		}
		c.run(100)
		v := c.without(leader)[0]
		v.kill()
		v.replayed = 0
		v.start()
		c.run(2 * second)
		t.Logf("%d entries applied after the restart, snapshots each %d", v.replayed, snapshotInterval)
		convey.So(v.applied, convey.ShouldBeGreaterThan, 1000)
		convey.So(v.replayed, convey.ShouldBeLessThan, snapshotInterval)
	})
}

// messagesToLearner returns how many messages per second the leader exchanges with a
// learner, given the number of members and of changes per second.
func messagesToLearner(t *testing.T, members, changes int) int {
	const voters, length = 5, 10
	cfg, names := fleet(members, voters)
	cfg.LearnerInterval = 120
	c := newClusterOf(t, 1, cfg, names...)
	leader := c.waitForLeader()
	clear(c.messages)
	for range length * changes {
		if _, _, err := leader.propose(); err != nil {
			t.Fatal(err)
		}
		c.run(second / tackclock.Duration(changes))
	}
	c.run(second)
	learner := c.vms[members-1]
	if learner.applied < leader.applied {
		t.Errorf("the learner has applied %d of %d", learner.applied, leader.applied)
	}
	return c.messages[learner.peer] / length
}

// Guards against a leader whose message rate grows with the product of the change rate and
// the number of learners.
func TestLearnerBound(t *testing.T) {
	for _, members := range []int{8, 24} {
		few, many := messagesToLearner(t, members, 10), messagesToLearner(t, members, 200)
		t.Logf("%d members: %d messages a second with 10 changes a second, %d with 200", members, few, many)
		if many > 2*few {
			t.Errorf("%d members: %d messages a second with 200 changes, %d with 10", members, many, few)
		}
	}
}

// BenchmarkCommit proposes one entry at a time to a leader with one follower that responds
// immediately.
func BenchmarkCommit(b *testing.B) {
	b.ReportAllocs()
	n, sent := elected()
	follower := New(Config{Self: "b", Members: threeVoters, KeepEntries: 100}, Stored{Hard: HardState{Term: 3, Eligible: true}, Entries: []Entry{{Index: 1, Term: 2}}}, 0)
	now := tackclock.Time(3000)
	exchange := func(messages []Message) {
		for len(messages) > 0 {
			var back []Message
			for _, m := range messages {
				switch m.To {
				case "a":
					n.Step(now, m)
					back = append(back, drain(n)...)
				case "b":
					follower.Step(now, m)
					back = append(back, drain(follower)...)
				}
			}
			messages = back
		}
	}
	exchange(sent)
	data := make([]byte, 100)
	for b.Loop() {
		if _, _, err := n.Propose(now, data); err != nil {
			b.Fatal(err)
		}
		exchange(drain(n))
		n.Applied(n.commit)
		follower.Applied(follower.commit)
		for _, node := range []*Node{n, follower} {
			if s, ok := node.SnapshotAt(node.applied, nil); ok && s.Index%1000 == 0 {
				node.Compact(s)
			}
		}
	}
	b.ReportMetric(float64(n.commit)/float64(b.N), "commits/op")
}

// Guards against a learner that cannot become a voter under steady load, so that the loss
// of a second voter leaves no majority.
func TestThrottledLearnerCanBePromoted(t *testing.T) {
	const voters, changes, samples = 3, 150, 40
	cfg, names := fleet(voters+1, voters)
	cfg.LearnerInterval = 120
	c := newClusterOf(t, 1, cfg, names...)
	leader := c.waitForLeader()
	caughtUp := 0
	for range samples {
		for range changes / 10 {
			if _, _, err := leader.propose(); err != nil {
				t.Fatal(err)
			}
			c.run(second / changes)
		}
		if leader.node.caughtUp(names[voters]) {
			caughtUp++
		}
	}
	if caughtUp < samples/2 {
		t.Errorf("the learner had caught up in %d of %d samples", caughtUp, samples)
	}
}
