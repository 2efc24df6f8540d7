package tackcontrol

import (
	"testing"

	"auburntack/core/tackpool"
)

// Symptom: a queue in its turn waits for seven seconds for VMs beside hundreds that are
// idle. Sequence: its pool has a tenth of a fleet of 542 VMs and needs half of it; each
// round sends twelve. Cause: what a round may move did not grow with the fleet.
func TestMovesOfARoundGrowWithTheFleet(t *testing.T) {
	for _, test := range []struct{ vms, want int }{{0, 12}, {49, 12}, {144, 18}, {542, 67}} {
		pools := []tackpool.Pool{{VMs: make([]tackpool.VM, test.vms/2)}, {VMs: make([]tackpool.VM, test.vms-test.vms/2)}}
		if got := mostMoves(pools); got != test.want {
			t.Errorf("%d moves a round of %d VMs, want %d", got, test.vms, test.want)
		}
	}
}
