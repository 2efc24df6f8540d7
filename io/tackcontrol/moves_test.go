package tackcontrol

import (
	"testing"

	"auburntack/core/tackpool"
)

// Guards against a queue whose burst waits seven seconds for VMs while hundreds are idle. Its pool has a tenth of a fleet of 542 VMs and needs half of it. The fault was that
// each round moved at most twelve VMs, whatever the size of the fleet.
func TestMoveLimitGrowsWithFleet(t *testing.T) {
	for _, test := range []struct{ vms, want int }{{0, 12}, {49, 12}, {144, 18}, {542, 67}} {
		pools := []tackpool.Pool{{VMs: make([]tackpool.VM, test.vms/2)}, {VMs: make([]tackpool.VM, test.vms-test.vms/2)}}
		if got := moveLimit(pools); got != test.want {
			t.Errorf("%d moves per round with %d VMs, want %d", got, test.vms, test.want)
		}
	}
}
