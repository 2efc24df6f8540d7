package tackpool

import (
	"slices"
	"testing"

	"auburntack/core/tackid"
	"auburntack/core/tackroom"
)

const cores16 = 16000

var room16 = tackroom.Resources{MilliCores: cores16, MemoryMB: 32768}

func idle(names ...tackid.VM) []VM {
	var vms []VM
	for _, n := range names {
		vms = append(vms, VM{Name: n, Resources: room16, Idle: 1000})
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
	if got := (Planner{}).Plan(pools, 10).Moves; !slices.Equal(got, want) {
		t.Errorf("moves %v, want %v", got, want)
	}
}

// seconds returns the work of the given cores in s seconds, in millicore-milliseconds.
func seconds(cores, s int64) int64 {
	return cores * 1000 * s * 1000
}

// work returns a backlog that the given cores do in s seconds, to be done within two and
// a half seconds.
func work(cores, s int64) []Demand {
	return []Demand{{Backlog: seconds(cores, s), Pressing: int(seconds(cores, s) / 2500)}}
}

// labelled sets the labels of VMs to a kind and a rack.
func labelled(vms []VM, kind string) []VM {
	for i := range vms {
		vms[i].Labels = []string{kind, "r-1"}
	}
	return vms
}

func TestPlan(t *testing.T) {
	t.Run("sends idle VMs to the pool that is behind", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: idle("a", "b", "c")},
			{Service: "names-api", VMs: busy("d", "e"), Demands: work(48, 3)},
		}, Move{"a", "communes", "names-api"}, Move{"b", "communes", "names-api"})
	})
	t.Run("counts VMs on their way", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: idle("a", "b", "c")},
			{Service: "names-api", VMs: busy("d", "e"), Incoming: idle("x", "y"), Demands: work(48, 3)},
		})
	})
	t.Run("moves no VM that runs something", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: busy("a", "b", "c")},
			{Service: "names-api", VMs: busy("d"), Demands: work(48, 3)},
		})
	})
	t.Run("takes VMs from the standby pool", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "backoffice", Standby: true, VMs: []VM{{Name: "s", Resources: room16}}},
			{Service: "names-api", VMs: busy("d"), Demands: work(48, 3)},
		}, Move{"s", "backoffice", "names-api"})
	})
	t.Run("parks VMs that have been idle for long, except a part", func(t *testing.T) {
		vms := idle("a", "b", "c")
		for i := range vms {
			vms[i].Idle = defaultParkAfter
		}
		assertMoves(t, []Pool{
			{Service: "backoffice", Standby: true},
			{Service: "names-api", VMs: vms},
		}, Move{"a", "names-api", "backoffice"}, Move{"b", "names-api", "backoffice"})
	})
	// A long-running item found no worker for tens of seconds: the idle VMs of its pool
	// were parked, then the one that ran the item was emptied for maintenance.
	// Long-running items are not part of the backlog, so no VM came back.
	t.Run("sends VMs for long-running items without a worker", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "backoffice", Standby: true, VMs: []VM{{Name: "s", Resources: room16}}},
			{Service: "names-api", VMs: busy("d"), Demands: []Demand{{Unplaced: 1500}}},
		}, Move{"s", "backoffice", "names-api"})
	})
	// Load pattern: a burst begins, and within a second jobs of four times the capacity
	// of the pool are submitted. The backlog alone would call for VMs only when those
	// jobs are waiting already, one move too late.
	t.Run("sends VMs for arriving work before a backlog builds up", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: idle("a", "b", "c", "d")},
			{Service: "names-api", VMs: busy("e"), Demands: []Demand{{Backlog: seconds(8, 1), Pressing: 3200, Arriving: 3 * cores16}}},
		}, Move{"a", "communes", "names-api"}, Move{"b", "communes", "names-api"})
	})
	// Jobs that require a label waited forever in a pool with free capacity: the VMs of
	// that kind had moved to other pools while idle, and the pool was not behind by its
	// other VMs, since moves did not consider labels.
	t.Run("sends VMs of the kind that is needed", func(t *testing.T) {
		from := append(labelled(idle("a", "b"), "small"), labelled(idle("c", "d"), "large")...)
		assertMoves(t, []Pool{
			{Service: "communes", VMs: from},
			{Service: "names-api", VMs: labelled(busy("e"), "small"), Demands: []Demand{{}, {Label: "large", Unplaced: 1000}}},
		}, Move{"c", "communes", "names-api"})
	})
	t.Run("sends VMs that are large enough", func(t *testing.T) {
		from := idle("a", "b")
		from[0].Resources.MemoryMB = 1024
		assertMoves(t, []Pool{
			{Service: "communes", VMs: append(from, idle("c")...)},
			{Service: "names-api", VMs: busy("e"), Demands: []Demand{{}, {Item: tackroom.Resources{MemoryMB: 4096}, Unplaced: 1000}}},
		}, Move{"b", "communes", "names-api"})
	})
	t.Run("keeps a VM of each kind", func(t *testing.T) {
		vms := append(labelled(idle("a", "b"), "small"), labelled(idle("c"), "large")...)
		for i := range vms {
			vms[i].Idle = defaultParkAfter
		}
		assertMoves(t, []Pool{
			{Service: "backoffice", Standby: true},
			{Service: "names-api", VMs: vms},
		}, Move{"a", "names-api", "backoffice"})
	})
	// Jobs that require a label waited to the end of a day: four VMs have it, each the
	// only one of its kind in its pool, and one of them is idle in a pool that does not
	// require the label. A pool kept one VM of each kind regardless of the needs of
	// others.
	t.Run("takes the only VM of a kind for an urgent need of its label", func(t *testing.T) {
		from := append(labelled(idle("a", "b"), "small"), labelled(idle("c"), "large")...)
		pools := []Pool{
			{Service: "communes", VMs: from},
			{Service: "names-api", VMs: labelled(busy("e"), "small"), Demands: []Demand{{}, {Label: "large", Unplaced: 1000}}},
		}
		assertMoves(t, pools, Move{"c", "communes", "names-api"})
		pools[1].Demands = []Demand{{}, {Label: "large", Soon: seconds(16, 4)}}
		assertMoves(t, pools)
	})
	// A long-running item found no worker while a hundred VMs were idle: their pool had a
	// long backlog of jobs that waited for their first steps, and a pool that is behind
	// gave no VMs.
	t.Run("takes idle VMs of a pool that is behind only for urgent needs", func(t *testing.T) {
		pools := []Pool{
			{Service: "communes", VMs: idle("a", "b", "c"), Demands: work(160, 3)},
			{Service: "names-api", VMs: busy("e"), Demands: []Demand{{Unplaced: 1000}}},
		}
		assertMoves(t, pools, Move{"a", "communes", "names-api"})
		pools[1].Demands = work(16, 4)
		assertMoves(t, pools)
	})
	// The burst of a queue was refused for seven seconds while up to 25 VMs of another
	// pool were idle: the burst of that pool was over, and its remaining jobs waited for
	// earlier steps and a few slow items, by the estimates 0.8 s of all its VMs. A pool
	// with such a backlog gave no VMs, regardless of how many it needed for it.
	t.Run("takes idle VMs that a pool that is behind does not need", func(t *testing.T) {
		late := Pool{Service: "communes", VMs: append(busy("x", "y"), idle("a", "b", "c", "d", "e", "f")...), Demands: work(128, 1)}
		assertMoves(t, []Pool{late, {Service: "names-api", VMs: busy("z"), Demands: work(48, 3)}},
			Move{"a", "communes", "names-api"}, Move{"b", "communes", "names-api"}, Move{"c", "communes", "names-api"})
	})
	// After a leader was elected, 33 of 49 VMs were moved to one pool, and 181 jobs of
	// the burst of the next queue, some seconds later, were refused. The jobs of a burst
	// had waited for the new leader until they were late, and its first round called for
	// VMs for all of their work, since work that can earn little any more counted like
	// any other.
	t.Run("sends few VMs for late work", func(t *testing.T) {
		others := idle("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
		assertMoves(t, []Pool{
			{Service: "communes", VMs: others},
			{Service: "names-api", VMs: busy("z"), Demands: []Demand{{Late: seconds(48, 10)}}},
		}, Move{"a", "communes", "names-api"}, Move{"b", "communes", "names-api"})
	})
	t.Run("takes idle VMs of a pool whose work is late", func(t *testing.T) {
		late := Pool{Service: "communes", VMs: idle("a", "b", "c", "d"), Demands: []Demand{{Late: seconds(32, 10)}}}
		assertMoves(t, []Pool{late, {Service: "names-api", VMs: busy("z"), Demands: work(48, 3)}},
			Move{"a", "communes", "names-api"}, Move{"b", "communes", "names-api"})
	})
	t.Run("counts a VM towards all demands that it serves", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: labelled(idle("a", "b", "c"), "large")},
			{Service: "names-api", Demands: []Demand{{Backlog: seconds(16, 2)}, {Label: "large", Unplaced: 1000}}},
		}, Move{"a", "communes", "names-api"})
	})
}
