package tackmember

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
)

// Guards against work sent to a backend server that has announced that it is leaving: an
// older announcement of it is delayed and arrives at another peer later. The order of
// arrival must not decide.
func TestLeavingThenOlderServingArrivesLate(t *testing.T) {
	c := newCluster(4, 2)
	c.announce(0, c.server(1, 0, 3, StateServing))
	c.run(tackclock.Second)
	assertEverywhere(t, c, 1, "serving")
	c.announce(0, c.server(1, 0, 3, StateLeaving))
	c.run(tackclock.Second)
	for _, late := range []int{2, 0} {
		if c.announce(late, c.server(1, 0, 3, StateServing)).Accepted {
			t.Fatalf("peer %d accepted a serving announcement after leaving", late)
		}
		if c.announce(late, c.server(1, 0, 2, StateServing)).Accepted {
			t.Fatalf("peer %d accepted a lower incarnation", late)
		}
	}
	c.run(tackclock.Second)
	assertEverywhere(t, c, 1, "leaving")
}

// Guards against a peer that continues to route to a backend server that is leaving. Peer 0
// accepts the announcement; of the remaining links, one or two in a row lead to each peer.
// They were cut long before or just now, and some work in one direction only, so that a
// peer learns of records from peers that never receive its request. Changes must spread by
// way of other peers, within less than a heartbeat interval per hop, and a peer that does
// not answer must not be asked again and again.
func TestLeavingSpreadsAroundCutLinks(t *testing.T) {
	both := func(p ...path) []path {
		for _, w := range p {
			p = append(p, path{w.to, w.from})
		}
		return p
	}
	cases := []struct {
		name  string
		peers int
		cuts  []path
	}{
		{"one link of three peers", 3, both(path{0, 1})},
		{"one link of three peers, one way", 3, []path{{0, 1}}},
		{"one link of twelve peers", 12, both(path{0, 1})},
		{"four peers in a line", 4, both(path{0, 2}, path{0, 3}, path{1, 3})},
		{"only the second answers", 5, append(both(path{0, 1}), path{1, 3}, path{1, 4})},
		{"only the third answers", 5, append(both(path{0, 1}), path{1, 2}, path{1, 4})},
		{"only the fourth answers", 5, append(both(path{0, 1}), path{1, 2}, path{1, 3})},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			for phase := range tackclock.Duration(20) {
				c := newCluster(k.peers, 1)
				c.announce(0, c.server(1, 0, 1, StateServing))
				c.run(tackclock.Second + phase*step)
				for _, w := range k.cuts {
					c.cut[w] = true
				}
				c.run(phase % 2 * 9 * tackclock.Second)
				c.announce(0, c.server(1, 0, 1, StateLeaving))
				c.run(2 * tackclock.Second)
				assertEverywhere(t, c, 1, "leaving")
			}
		})
	}
}

// Guards against a withdrawn incarnation that is shown again, and against a next
// incarnation that is not shown: withdraw is sent twice, to two peers, followed by an
// announcement of the ended incarnation and one of the next.
func TestWithdrawTwice(t *testing.T) {
	c := newCluster(3, 1)
	a := c.server(1, 0, 1, StateServing)
	c.announce(0, a)
	c.run(tackclock.Second)
	if !c.dirs[1].Withdraw(c.now, a.BackendServer.ID, 1) {
		t.Fatal("the first withdraw found nothing to end")
	}
	c.run(tackclock.Second)
	for _, d := range c.dirs {
		if d.Withdraw(c.now, a.BackendServer.ID, 1) {
			t.Fatal("a repeated withdraw ended something")
		}
	}
	if c.announce(2, a).Accepted {
		t.Fatal("a withdrawn incarnation was accepted")
	}
	c.run(tackclock.Second)
	assertEverywhere(t, c, 1, "")
	c.announce(2, c.server(1, 0, 2, StateServing))
	c.dirs[0].Withdraw(c.now, a.BackendServer.ID, 1)
	c.run(tackclock.Second)
	assertEverywhere(t, c, 1, "serving")
}

// Guards against routing to an address on which no process listens any more: a backend
// server restarts and announces a higher incarnation to one peer, while the last
// announcement of the previous one reaches another peer.
func TestRestartWithLowerIncarnationArrivingLate(t *testing.T) {
	c := newCluster(3, 1)
	c.announce(0, c.server(1, 0, 7, StateServing))
	c.announce(1, c.server(1, 0, 6, StateServing))
	c.run(2 * tackclock.Second)
	for i, d := range c.dirs {
		if inc := d.BackendServers()[0].Incarnation; inc != 7 {
			t.Fatalf("peer %d shows incarnation %d, want 7", i, inc)
		}
	}
}

// Guards against backend servers taken as lost or unknown because the peer that received
// their announcements died. The balancer sends the next announcements to another peer, in
// the same or a distant data centre, or did so already before.
func TestDeathOfPeerThatReceivedAllAnnouncements(t *testing.T) {
	cases := []struct {
		name    string
		dcs     int
		servers int
		before  bool
	}{
		{"next announcement to one of the same data centre", 2, 40, false},
		{"announced to one of a distant data centre before", 4, 100, true},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCluster(4, k.dcs)
			next := make([]tackclock.Time, k.servers)
			to := 0
			announce := func() {
				for n := range next {
					if c.now >= next[n] {
						next[n] = c.now.Add(c.announce(to, c.server(n, 0, 1, StateServing)).NextWithin)
					}
				}
			}
			c.checked = announce
			c.run(40 * tackclock.Second)
			if k.before {
				to = 2
				c.run(40 * tackclock.Second)
			}
			c.down[0], to = true, 2
			c.checked = func() {
				announce()
				assertAll(t, c, k.servers)
			}
			c.run(15 * tackclock.Minute)
			for _, b := range c.dirs[1].BackendServers() {
				if b.Holder != c.ids[2] {
					t.Fatalf("%s is held by %s, want %s", b.ID, b.Holder, c.ids[2])
				}
			}
		})
	}
}

// assertAll checks that every running peer shows n backend servers, all of them serving.
func assertAll(t *testing.T, c *cluster, n int) {
	t.Helper()
	for i, d := range c.dirs {
		if c.down[i] {
			continue
		}
		list := d.BackendServers()
		if len(list) != n {
			t.Fatalf("at %d ms: peer %d shows %d backend servers, want %d", c.now, i, len(list), n)
		}
		for _, b := range list {
			if b.State != StateServing || b.Health != tackfleet.HealthServing {
				t.Fatalf("at %d ms: peer %d shows %s as %s, health %d", c.now, i, b.ID, b.State, b.Health)
			}
		}
	}
}

// Guards against backend servers that come and go in the directory, and links saturated
// with changes, while two peers of a data centre cannot reach each other. The link between
// them is cut for minutes, in one or both directions, and the balancer alternates between
// them with each announcement or every few minutes. Neither peer may take the silence of
// the other for that of the backend servers.
func TestTwoPeersLoseEachOtherForMinutes(t *testing.T) {
	for _, cut := range [][]path{{{0, 1}}, {{1, 0}}, {{0, 1}, {1, 0}}} {
		for _, perSwitch := range []int{1, 100} {
			c := newCluster(3, 1)
			var next tackclock.Time
			n := 0
			announce := func() {
				if c.now >= next {
					n++
					next = c.now.Add(c.announce(n/perSwitch%2, c.server(1, 0, 1, StateServing)).NextWithin)
				}
			}
			c.checked = announce
			c.run(5 * tackclock.Second)
			for _, w := range cut {
				c.cut[w] = true
			}
			c.checked = func() { announce(); assertAll(t, c, 1) }
			c.run(8 * tackclock.Minute)
			before := changes(c)
			c.run(5 * tackclock.Minute)
			if grown := changes(c) - before; grown > 6 {
				t.Fatalf("%d changes were published in 5 minutes of a steady cut", grown)
			}
			clear(c.cut)
			c.run(2 * tackclock.Minute)
		}
	}
}

// changes returns how many changes all peers have published.
func changes(c *cluster) uint64 {
	var n uint64
	for _, d := range c.dirs {
		n += d.own.version
	}
	return n
}

// Guards against a data centre that is shown as lost, by itself or by others, while its
// only peer is cut off for 20 minutes. Peers that cannot hear its senders must show them as
// unknown.
func TestCutOffDataCentreIsUnknownNotLost(t *testing.T) {
	c := newCluster(5, 5)
	next := make([]tackclock.Time, 5)
	c.checked = func() {
		for n := range 5 {
			if c.now >= next[n] {
				next[n] = c.now.Add(c.announce(n, c.server(n, n, 1, StateServing)).NextWithin)
			}
		}
	}
	c.run(5 * tackclock.Second)
	c.isolate(true, 4)
	c.run(20 * tackclock.Minute)
	for i, d := range c.dirs {
		for n := range 5 {
			want := "serving"
			if (i == 4) != (n == 4) {
				want = "unknown"
			}
			if got := stateOf(d, c.server(n, n, 1, StateServing).BackendServer.ID); got != want {
				t.Fatalf("peer %d shows backend server %d as %q, want %q", i, n, got, want)
			}
		}
	}
	c.isolate(false, 4)
	c.run(3 * tackclock.Second)
	for n := range 5 {
		assertEverywhere(t, c, n, "serving")
	}
}

// Guards against routing to a dead backend server forever: its holder must detect its
// silence and spread the end.
func TestSilentServerIsLost(t *testing.T) {
	c := newCluster(4, 2)
	within := c.announce(0, c.server(1, 0, 1, StateServing)).NextWithin
	c.run(within)
	assertEverywhere(t, c, 1, "serving")
	c.run(lifetime(within) - within + 2*tackclock.Second)
	assertEverywhere(t, c, 1, "")
	c.announce(1, c.server(1, 0, 1, StateServing))
	c.run(tackclock.Second)
	assertEverywhere(t, c, 1, "serving")
}

// Guards against a peer that returns from a long partition and forever shows a backend
// server that no other peer has. The backend server was withdrawn during the partition and
// its tombstone expired after an hour, before the partition healed.
func TestTombstoneExpiresDuringPartition(t *testing.T) {
	c := newCluster(3, 3)
	c.announce(0, c.server(1, 0, 1, StateServing))
	c.announce(0, c.server(2, 0, 1, StateServing))
	c.run(tackclock.Second)
	c.isolate(true, 2)
	c.dirs[0].Withdraw(c.now, "names-api-0001", 1)
	for range 60 {
		c.run(2 * tackclock.Minute)
		c.announce(0, c.server(2, 0, 1, StateServing))
	}
	c.isolate(false, 2)
	c.run(4 * tackclock.Second)
	assertEverywhere(t, c, 1, "")
	assertEverywhere(t, c, 2, "serving")
	if _, ok := c.dirs[2].entries[key{id: "names-api-0001"}]; ok {
		t.Fatal("the record that expired elsewhere is still there")
	}
}

// Guards against a restarted peer whose changes are ignored: its clock is behind that of
// its previous run, so it uses versions that the others already have.
func TestPeerRestartsWithItsClockBehind(t *testing.T) {
	c := newCluster(3, 1)
	c.announce(0, c.server(1, 0, 1, StateServing))
	c.run(tackclock.Second)
	started := c.dirs[0].own.epoch
	c.restart(0)
	c.dirs[0].start(tackclock.Time(started))
	c.announce(0, c.server(2, 0, 1, StateServing))
	c.run(5 * tackclock.Second)
	assertEverywhere(t, c, 1, "serving")
	assertEverywhere(t, c, 2, "serving")
}

// Guards against a withdrawn backend server that is shown again minutes later. It is
// withdrawn through a peer that then restarts, while another peer that still has it is cut
// off. Its tombstone must outlive the earlier epoch of the restarted peer.
func TestTombstoneOutlivesEpochOfPeer(t *testing.T) {
	c := newCluster(4, 4)
	live := true
	c.checked = func() {
		if live {
			c.announce(3, c.server(1, 0, 1, StateServing))
		}
	}
	c.run(tackclock.Second)
	c.isolate(true, 3)
	c.run(tackclock.Second)
	c.dirs[0].Withdraw(c.now, "names-api-0001", 1)
	c.run(tackclock.Second)
	c.restart(0)
	c.run(tackclock.Minute)
	live = false
	c.isolate(false, 3)
	c.run(2 * tackclock.Second)
	assertEverywhere(t, c, 1, "")
}
