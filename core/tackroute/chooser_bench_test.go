package tackroute_test

import (
	"fmt"
	"testing"

	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

func BenchmarkPickDone(b *testing.B) {
	for _, servers := range []int{12, 64, 230} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			var c tackroute.Chooser
			c.SetCandidates(candidates(here, servers))
			for b.Loop() {
				pickDone(&c)
			}
		})
	}
}

func TestPickDoneAllocatesNothing(t *testing.T) {
	var c tackroute.Chooser
	c.SetCandidates(candidates(here, 12))
	if n := testing.AllocsPerRun(1000, func() { pickDone(&c) }); n > 0 {
		t.Errorf("Pick and Done allocate %v times, want 0", n)
	}
}

var triedAlready = []tackid.BackendServer{"rennes-a-1"}

func pickDone(c *tackroute.Chooser) {
	got, _ := c.Pick(1, tackroute.Constraints{Home: here, Exclude: triedAlready})
	c.Done(2, got, tackroute.Outcome{Result: tackroute.Answered, Latency: 1})
}
