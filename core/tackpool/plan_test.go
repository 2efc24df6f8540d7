package tackpool

import (
	"slices"
	"testing"

	"auburntack/core/tackid"
)

const cores16 = 16000

func idle(names ...tackid.VM) []VM {
	var vms []VM
	for _, n := range names {
		vms = append(vms, VM{Name: n, MilliCores: cores16, Idle: 1000})
	}
	return vms
}

func busy(names ...tackid.VM) []VM {
	vms := idle(names...)
	for i := range vms {
		vms[i].Idle, vms[i].Fixed = 0, true
	}
	return vms
}

func assertMoves(t *testing.T, pools []Pool, want ...Move) {
	t.Helper()
	if got := Plan(pools, 10); !slices.Equal(got, want) {
		t.Errorf("moves %v, want %v", got, want)
	}
}

// seconds is work in milliseconds of thousandths of a core.
func seconds(cores, s int64) int64 {
	return cores * 1000 * s * 1000
}

func TestPlan(t *testing.T) {
	t.Run("sends idle VMs to the pool that is behind", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: idle("a", "b", "c")},
			{Service: "names-api", VMs: busy("d", "e"), Backlog: seconds(48, 3)},
		}, Move{"a", "communes", "names-api"}, Move{"b", "communes", "names-api"})
	})
	t.Run("counts those on their way", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: idle("a", "b", "c")},
			{Service: "names-api", VMs: busy("d", "e"), Coming: 2 * cores16, Backlog: seconds(48, 3)},
		})
	})
	t.Run("takes what runs something from nobody", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: busy("a", "b", "c")},
			{Service: "names-api", VMs: busy("d"), Backlog: seconds(48, 3)},
		})
	})
	t.Run("wakes the standby pool", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "backoffice", Standby: true, VMs: []VM{{Name: "s", MilliCores: cores16}}},
			{Service: "names-api", VMs: busy("d"), Backlog: seconds(48, 3)},
		}, Move{"s", "backoffice", "names-api"})
	})
	t.Run("parks what has been idle for long, but for a part", func(t *testing.T) {
		vms := idle("a", "b", "c")
		for i := range vms {
			vms[i].Idle = parkAfter
		}
		assertMoves(t, []Pool{
			{Service: "backoffice", Standby: true},
			{Service: "names-api", VMs: vms},
		}, Move{"a", "names-api", "backoffice"}, Move{"b", "names-api", "backoffice"})
	})
	// Symptom: an item that lasts found no worker for tens of seconds. Sequence:
	// the pool's idle VMs were parked, then one that ran the item was emptied for
	// its upkeep. Cause: items that last are no backlog, so no VM came back.
	t.Run("sends VMs for items that last and find no worker", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "backoffice", Standby: true, VMs: []VM{{Name: "s", MilliCores: cores16}}},
			{Service: "names-api", VMs: busy("d"), Unplaced: 1500},
		}, Move{"s", "backoffice", "names-api"})
	})
}
