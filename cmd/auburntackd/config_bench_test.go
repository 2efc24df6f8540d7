package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"auburntack/io/tackstandin"
)

// BenchmarkSetConfig measures the time from sending a command to its answer,
// which comes once the change is in force on every daemon. The command is
// sent to the leader, to a follower, and to the leader just after another
// daemon was frozen, which delays the answer until that daemon's lease expires.
func BenchmarkSetConfig(b *testing.B) {
	sites := []struct {
		name  string
		specs []tackstandin.DaemonSpec
	}{
		{"3", daemonSpecs(3, "rennes-a", "quimper", "brest")},
		{"8", daemonSpecs(5, "rennes-a", "rennes-b", "quimper", "brest", "rennes-a", "rennes-b", "quimper", "brest")},
	}
	for _, site := range sites {
		b.Run("daemons="+site.name, func(b *testing.B) {
			leader, other := newCluster(b, site.specs)
			b.Run("leader", func(b *testing.B) { benchmarkSet(b, leader, func() {}) })
			b.Run("other", func(b *testing.B) { benchmarkSet(b, other, func() {}) })
			b.Run("frozen", func(b *testing.B) {
				benchmarkSet(b, leader, func() { refreeze(b, other) })
			})
		})
	}
}

// daemonSpecs returns the spec of one daemon in each of the data centres. The
// first replicas of them are voting replicas.
func daemonSpecs(replicas int, in ...string) []tackstandin.DaemonSpec {
	var all []tackstandin.DaemonSpec
	for i, dc := range in {
		all = append(all, tackstandin.DaemonSpec{DataCentre: dc, Replica: i < replicas})
	}
	return all
}

// newCluster starts a daemon for each spec and returns the leader and the last
// of the others.
func newCluster(b *testing.B, specs []tackstandin.DaemonSpec) (leader, other *tackstandin.Daemon) {
	b.Helper()
	daemons, err := tackstandin.NewCluster(binary, b.TempDir(), "", specs)
	if err != nil {
		b.Fatal(err)
	}
	var started sync.WaitGroup
	for _, d := range daemons {
		started.Add(1)
		go func() {
			defer started.Done()
			if err := d.Start(waitTimeout); err != nil {
				b.Error(err)
			}
		}()
	}
	started.Wait()
	b.Cleanup(func() {
		for _, d := range daemons {
			d.Kill()
		}
	})
	s := site{daemons: daemons}
	reply, err := daemons[0].Ask("show peers where role = leader")
	if err != nil || len(reply.Rows) != 1 {
		b.Fatalf("no leader: %v %v", reply.Rows, err)
	}
	leader = s.named(fmt.Sprint(reply.Rows[0][0]))
	for _, d := range daemons {
		if d != leader {
			other = d
		}
	}
	return leader, other
}

// refreeze resumes a frozen daemon, waits until it has a lease again, and
// freezes it once more.
func refreeze(b *testing.B, d *tackstandin.Daemon) {
	b.Helper()
	d.Signal(syscall.SIGCONT)
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		reply, err := d.Ask("show config")
		if err == nil && reply.Confirmed {
			break
		}
		if time.Now().After(end) {
			b.Fatalf("%s has no lease after being resumed: %v %v", d.ID, reply, err)
		}
	}
	must(b, d.Pause())
}

func benchmarkSet(b *testing.B, d *tackstandin.Daemon, before func()) {
	b.ReportAllocs()
	var latencies []time.Duration
	for i := range b.N {
		before()
		began := time.Now()
		reply, err := d.Do(fmt.Sprintf("set config key-%d value-%d", i%50, i), "")
		latencies = append(latencies, time.Since(began))
		if err != nil || reply.Status != http.StatusOK {
			b.Fatalf("set config: %d %s %v", reply.Status, reply.Error.Message, err)
		}
	}
	slices.Sort(latencies)
	b.ReportMetric(milliseconds(latencies[len(latencies)/2]), "median_ms")
	b.ReportMetric(milliseconds(latencies[len(latencies)*99/100]), "p99_ms")
	b.ReportMetric(milliseconds(latencies[len(latencies)-1]), "longest_ms")
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
