package tackburn

import (
	"fmt"
	"runtime"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"

	"github.com/fxamacker/cbor/v2"
)

// fullState returns a state with samples every ten minutes for 28 days, of 45
// teams and 50 services.
func fullState() (*State, tackclock.Time) {
	s := new(State)
	now := noon
	for range 28 * 24 * 6 {
		now = now.Add(10 * tackclock.Minute)
		s.Apply(now, fullSample())
	}
	for range 60 {
		now = now.Add(tackclock.Minute)
		s.Apply(now, fullSample())
	}
	return s, now
}

// Snapshots and samples must stay small, so that they don't use up the network
// links of small VMs when 45 teams and 50 services have traffic through 12 peers.
// They did when the state grew with the product of teams and services, or over
// time.
func TestSizesAreBounded(t *testing.T) {
	s, _ := fullState()
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	sample, err := cbor.Marshal(fullSample())
	if err != nil {
		t.Fatal(err)
	}
	quiet := quietBytes()
	t.Logf("a sample is %d bytes, %d a minute while nothing is bad, a snapshot %d", len(sample), quiet, len(snapshot))
	if quiet > 700 || len(sample) > 4<<10 || len(snapshot) > 256<<10 {
		t.Errorf("want at most 700 bytes per minute without bad requests, 4 KB per sample and 256 KB per snapshot")
	}
}

// quietBytes returns the size per minute of the samples of one peer while all
// requests of 50 services and 45 teams are good.
func quietBytes() int {
	const minutes = 20
	var m Meter
	total := 0
	for n := range minutes {
		for i := range 50 * 45 {
			r := Request{Latency: 31, Service: tackid.Service(fmt.Sprintf("service-%02d", i%50)), Team: tackid.Team(fmt.Sprintf("team-%02d", i%45))}
			m.Count(r, Label(fmt.Sprintf("window-%d", i%8)))
		}
		if s, ok := m.Take("rennes-a-1", uint64(n)); ok {
			data, err := cbor.Marshal(s)
			if err != nil {
				panic(err)
			}
			total += len(data)
		}
	}
	return total / minutes
}

func BenchmarkApply(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, now := fullState()
	runtime.GC()
	runtime.ReadMemStats(&after)
	sample := fullSample()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(tackclock.Second)
		s.Apply(now, sample)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB-state")
}

func BenchmarkReport(b *testing.B) {
	s, now := fullState()
	b.ReportAllocs()
	for b.Loop() {
		s.Report(now, Settings{})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	s, _ := fullState()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}
