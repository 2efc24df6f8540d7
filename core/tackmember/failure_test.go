package tackmember

import (
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
)

// Symptom: work goes to a backend server that has said it leaves.
// Sequence: it announces leaving to one peer; its older announcement, held up
// on another connection, arrives at a second peer afterwards.
// Cause: the last to arrive was taken for the last that was said.
func TestLeavingThenOlderServingArrivesLate(t *testing.T) {
	c := newCluster(4, 2)
	c.announce(0, c.server(1, 0, 3, StateServing))
	c.run(tackclock.Second)
	assertEverywhere(t, c, 1, "serving")
	c.announce(0, c.server(1, 0, 3, StateLeaving))
	c.run(tackclock.Second)
	for _, late := range []int{2, 0} {
		if c.announce(late, c.server(1, 0, 3, StateServing)).Accepted {
			t.Fatalf("peer %d accepted an announcement that leaving had overtaken", late)
		}
		if c.announce(late, c.server(1, 0, 2, StateServing)).Accepted {
			t.Fatalf("peer %d accepted a lower incarnation", late)
		}
	}
	c.run(tackclock.Second)
	assertEverywhere(t, c, 1, "leaving")
}

// Symptom: one peer goes on routing to a backend server that leaves.
// Sequence: peer 0 accepts leaving; of the links that are left, one or two in a
// row lead to each peer. They were cut long before or only now, and some carry
// only one way, so that a peer hears of what it lacks from others that never
// hear its asking for it.
// Cause: changes went straight from their owner and by no other way; or were
// passed on with the next beat only, up to a second later at each peer; or the
// first that had them was asked again and again.
func TestLeavingGetsRoundCuts(t *testing.T) {
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

// Symptom: a backend server that was withdrawn is shown again, or its next
// life is not.
// Sequence: withdraw is sent twice, to two peers; an announcement of the
// ended incarnation follows; then the next incarnation announces itself.
// Cause: the end was not remembered, or was held against later lives too.
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
			t.Fatal("a doubled withdraw ended something")
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

// Symptom: an address that no process listens on any more is routed to.
// Sequence: a backend server restarts and announces a higher incarnation to
// one peer, while its former life's last words reach another one.
// Cause: incarnations were not compared.
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

// Symptom: when one peer dies, all backend servers that announced themselves
// to it are taken as lost or unknown.
// Sequence: the peer dies; the balancer sends their next announcements to
// another one, of its own or of a far data centre, or did so already before.
// Cause: the death of who hears was taken for the death of who speaks.
func TestPeerDiesThatAllAnnouncementsCameTo(t *testing.T) {
	cases := []struct {
		name    string
		dcs     int
		servers int
		before  bool
	}{
		{"next announcement to one of the same data centre", 2, 40, false},
		{"announced to one of a far data centre before", 4, 100, true},
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

// assertAll checks that every peer that is up shows n backend servers, all
// serving.
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

// Symptom: while two peers of one data centre have lost each other, backend
// servers come and go in the tables, or the links fill up with changes.
// Sequence: the link between them is cut for minutes, one way or both, and
// the balancer sends announcements now to the one, now to the other, in turn
// or for minutes on end.
// Cause: each took the other's silence for that of the backend servers.
func TestTwoPeersLoseEachOtherForMinutes(t *testing.T) {
	for _, cut := range [][]path{{{0, 1}}, {{1, 0}}, {{0, 1}, {1, 0}}} {
		for _, turns := range []int{1, 100} {
			c := newCluster(3, 1)
			var next tackclock.Time
			n := 0
			announce := func() {
				if c.now >= next {
					n++
					next = c.now.Add(c.announce(n/turns%2, c.server(1, 0, 1, StateServing)).NextWithin)
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
				t.Fatalf("%d changes were published in 5 quiet minutes of a cut", grown)
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

// Symptom: a cut-off peer makes the others believe that a far data centre is
// lost, or gives it up itself.
// Sequence: one data centre's only peer cannot be heard for 20 minutes, then
// can.
// Cause: loss was judged by those who cannot hear.
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

// Symptom: a backend server that died is routed to for ever.
// Sequence: it falls silent; its holder gives it up.
// Cause: nothing counted silence, or the end was not spread.
func TestSilenceIsLoss(t *testing.T) {
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

// Symptom: a peer that comes back from a long cut shows a backend server that
// no other peer has, for ever.
// Sequence: the peer is cut off; the backend server is withdrawn, and the
// memory of that ends after an hour; the cut heals.
// Cause: the end was spread as a record that no longer existed, and nothing
// said that one had.
func TestEndThatWasForgottenDuringACut(t *testing.T) {
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
		t.Fatal("the record that was forgotten elsewhere is still there")
	}
}

// Symptom: a restarted peer's announcements are not seen by the others.
// Sequence: it restarts with a clock behind the one of its earlier life.
// Cause: its changes bore numbers that the others took for known.
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

// Symptom: a withdrawn backend server is shown again, minutes later.
// Sequence: it is withdrawn by way of a peer that then restarts, while another
// peer that still holds it is cut off; the cut heals.
// Cause: the memory of its end was dropped with the restarted peer's former
// life.
func TestEndOutlivesThePeerThatAcceptedIt(t *testing.T) {
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
