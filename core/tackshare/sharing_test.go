package tackshare_test

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
)

// BenchmarkSharing compares strategies of sharing slots in the model: fixed
// shares, the less loaded of two executors by loads that are reported every 100
// or 250 ms, and leased shares, as implemented by this package.
func BenchmarkSharing(b *testing.B) {
	strategies := []struct {
		name string
		make func(load) strategy
	}{
		{"fixed", newFixedShares},
		{"reported_100ms", func(l load) strategy { return newReportedLoads(l, 100) }},
		{"reported_250ms", func(l load) strategy { return newReportedLoads(l, 250) }},
		{"leased", func(l load) strategy { return newLeasedShares(l) }},
	}
	for _, vms := range []int{1, 4, 8, 12} {
		for _, hot := range []float64{0, 0.5} {
			for _, s := range strategies {
				l := load{vms: vms, executors: 8, part: 0.8, hot: hot, hotFor: 5 * tackclock.Second}
				b.Run(fmt.Sprintf("vms=%d/hot=%v/%s", vms, hot, s.name), func(b *testing.B) {
					for b.Loop() {
						reportResult(b, runModel(l, s.make(l), 1, 60*tackclock.Second))
					}
				})
			}
		}
	}
}

func reportResult(b *testing.B, r result) {
	b.ReportAllocs()
	b.ReportMetric(1000*float64(r.overloaded)/float64(r.requests), "overloaded/1000")
	b.ReportMetric(1000*float64(r.late)/float64(r.requests), "late/1000")
	b.ReportMetric(100*r.idle, "idle_%")
	b.ReportMetric(r.meanWait, "wait_ms")
	b.ReportMetric(r.messages, "messages/vm/s")
	b.ReportMetric(r.bytes, "bytes/vm/s")
}
