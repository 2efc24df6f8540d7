package tackburn

import (
	"runtime"
	"testing"

	"auburntack/core/tackclock"

	"github.com/fxamacker/cbor/v2"
)

// fullState is a month of samples every ten minutes at 45 teams, 50 services.
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

// Symptom: snapshots and samples take the links of small VMs for themselves.
// Sequence: 45 teams and 50 services have traffic through 12 peers.
// Cause: the account grew with teams times services, or with time.
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
	t.Logf("a sample is %d bytes, a snapshot %d", len(sample), len(snapshot))
	if len(sample) > 4<<10 || len(snapshot) > 256<<10 {
		t.Errorf("want at most 4 KB a sample and 256 KB a snapshot")
	}
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
