package tackmember

import (
	"fmt"
	"runtime"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// Symptom: the daemon's memory grows from week to week.
// Sequence: backend servers restart, names come and go, peers restart.
// Cause: what had ended was kept for ever.
func TestMemoryEndsWithWhatEnded(t *testing.T) {
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
		got := fmt.Sprint(len(d.entries), len(d.vms), len(d.spaces), len(d.nearby), len(d.wanted), len(d.unsent))
		if got != "1 1 3 0 0 0" {
			t.Errorf("peer %d keeps %s of entries, VMs, spaces, nearby, wanted, unsent; want 1 1 3 0 0 0", i, got)
		}
		for _, s := range d.spaces {
			if len(s.records) > 1 {
				t.Errorf("peer %d keeps %d records of %s", i, len(s.records), s.peer)
			}
		}
	}
}

// Symptom: a peer that comes back routes by half a directory.
// Sequence: it restarts empty among 2,300 backend servers.
// Cause: the directory came by refreshes only, a minute apart.
func TestNewPeerGetsTheWholeDirectory(t *testing.T) {
	c := newCluster(12, 10)
	newAnnouncers(c, 2300, 10)
	c.run(tackclock.Minute)
	c.restart(11)
	start := c.now
	for len(c.dirs[11].BackendServers()) < 2300 && c.now.Sub(start) < tackclock.Minute {
		c.step()
	}
	took := c.now.Sub(start)
	t.Logf("2,300 backend servers were known after %v by the model clock, 100 ms a hop", took)
	if took > 5*tackclock.Second {
		t.Fatalf("took %v, want at most 5s", took)
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 500, 2300} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newCluster(12, 10)
			newAnnouncers(c, n, 10)
			c.run(5 * tackclock.Second)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				c.now = c.now.Add(step)
				c.dirs[0].Tick(c.now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/12/1024, "KB/peer")
		})
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
