package tackmember

import (
	"fmt"
	"runtime"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// Guards against memory that grows from week to week, because ended entries are kept
// forever while backend servers and peers restart and names change.
func TestEndedEntriesAreReleased(t *testing.T) {
	c := newCluster(3, 3)
	for i := range 300 {
		c.announce(i%3, c.server(1, 0, tackid.Incarnation(i+1), StateServing))
		c.announce(i%3, c.server(100+i, 0, 1, StateServing))
		c.run(tackclock.Second)
		if i%20 == 19 {
			c.restart(i / 20 % 3)
		}
	}
	live := c.server(1, 0, 1000, StateServing)
	c.stride = tackclock.Second
	c.checked = func() { c.announce(0, live) }
	c.run(3 * tackclock.Hour)
	for i, d := range c.dirs {
		got := fmt.Sprint(len(d.entries), len(d.vms), len(d.spaces), len(d.heldElsewhere), len(d.pendingWants), len(d.unsent))
		if got != "1 1 3 0 0 0" {
			t.Errorf("peer %d has %s entries, VMs, spaces, heldElsewhere, pendingWants, unsent; want 1 1 3 0 0 0", i, got)
		}
		for _, s := range d.spaces {
			if len(s.records) > 1 {
				t.Errorf("peer %d keeps %d records of %s", i, len(s.records), s.peer)
			}
		}
	}
}

// Guards against a restarted peer that routes by an incomplete directory or is not ready
// for seconds, among many backend servers or with a single other peer. It must request the
// records at once instead of waiting for the next full heartbeat, and must not take the
// first space that it learns of for the whole directory.
func TestNewPeerGetsTheWholeDirectory(t *testing.T) {
	cases := []struct {
		peers, dcs, servers int
		limit               tackclock.Duration
	}{
		{12, 10, 2300, 2 * tackclock.Second},
		{2, 1, 10, 1500 * tackclock.Millisecond},
	}
	for _, k := range cases {
		c := newCluster(k.peers, k.dcs)
		newAnnouncers(c, k.servers, k.dcs)
		c.run(tackclock.Minute)
		c.restart(k.peers - 1)
		d, start := c.dirs[k.peers-1], c.now
		for !d.CaughtUp() && c.now.Sub(start) < tackclock.Minute {
			c.step()
		}
		took, n := c.now.Sub(start), len(d.BackendServers())
		t.Logf("%d backend servers were known after %v of simulated time, 100 ms per hop", n, took)
		if n != k.servers || took > k.limit {
			t.Errorf("want %d backend servers within %v", k.servers, k.limit)
		}
	}
}

// BenchmarkSecond simulates 12 peers for a second, with announcements, ticks and messages,
// and reports the cost per peer.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{100, 500, 2300} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newCluster(12, 10)
			newAnnouncers(c, n, 10)
			c.run(2 * tackclock.Minute)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				c.run(tackclock.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/12, "us/peer-second")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/12/1024, "KB/peer")
		})
	}
}

func BenchmarkObservations(b *testing.B) {
	c := newCluster(12, 10)
	newAnnouncers(c, 2300, 10)
	c.run(5 * tackclock.Second)
	var known []tackfleet.VM
	for n := range 2300 {
		v := tackfleet.VM{ID: c.server(n, 0, 0, StateServing).BackendServer.VM, Health: tackfleet.HealthServing}
		o := c.dirs[0].VM(v.ID)
		v.DataCentre, v.Rack = o.DataCentre, o.Rack
		known = append(known, v)
	}
	b.ReportAllocs()
	for b.Loop() {
		if o := c.dirs[0].Observations(c.now, known); len(o) != 0 {
			b.Fatalf("proposed %d", len(o))
		}
	}
}

func BenchmarkAnnounce(b *testing.B) {
	c := newCluster(12, 10)
	newAnnouncers(c, 2300, 10)
	c.run(5 * tackclock.Second)
	a := c.server(12, 0, 0, StateServing)
	b.ReportAllocs()
	for b.Loop() {
		c.announce(0, a)
	}
}

func BenchmarkBackendServersAfterAChange(b *testing.B) {
	c := newCluster(12, 10)
	newAnnouncers(c, 2300, 10)
	c.run(5 * tackclock.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.announce(0, c.server(12, 0, tackid.Incarnation(i+1), StateServing))
		c.dirs[0].BackendServers()
	}
}
