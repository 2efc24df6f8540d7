package tackpool

import (
	"slices"
	"testing"

	"auburntack/core/tackid"
	"auburntack/core/tackroom"
)

const cores16 = 16000

var room16 = tackroom.Room{MilliCores: cores16, MemoryMB: 32768}

func idle(names ...tackid.VM) []VM {
	var vms []VM
	for _, n := range names {
		vms = append(vms, VM{Name: n, Room: room16, Idle: 1000})
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

// seconds is work in milliseconds of thousandths of a core.
func seconds(cores, s int64) int64 {
	return cores * 1000 * s * 1000
}

// work is a backlog that so many cores do in so many seconds, to be done within
// two and a half.
func work(cores, s int64) []Demand {
	return []Demand{{Backlog: seconds(cores, s), Pressing: int(seconds(cores, s) / 2500)}}
}

// labelled gives VMs a kind and a rack.
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
	t.Run("counts those on their way", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: idle("a", "b", "c")},
			{Service: "names-api", VMs: busy("d", "e"), Coming: idle("x", "y"), Demands: work(48, 3)},
		})
	})
	t.Run("takes what runs something from nobody", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: busy("a", "b", "c")},
			{Service: "names-api", VMs: busy("d"), Demands: work(48, 3)},
		})
	})
	t.Run("wakes the standby pool", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "backoffice", Standby: true, VMs: []VM{{Name: "s", Room: room16}}},
			{Service: "names-api", VMs: busy("d"), Demands: work(48, 3)},
		}, Move{"s", "backoffice", "names-api"})
	})
	t.Run("parks what has been idle for long, but for a part", func(t *testing.T) {
		vms := idle("a", "b", "c")
		for i := range vms {
			vms[i].Idle = defaultParkAfter
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
			{Service: "backoffice", Standby: true, VMs: []VM{{Name: "s", Room: room16}}},
			{Service: "names-api", VMs: busy("d"), Demands: []Demand{{Unplaced: 1500}}},
		}, Move{"s", "backoffice", "names-api"})
	})
	// Load pattern: a turn begins, and within a second jobs of four times what the
	// pool holds are handed in. The backlog alone calls for the VMs when those
	// jobs already wait, one move too late.
	t.Run("sends VMs for what arrives before it has piled up", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: idle("a", "b", "c", "d")},
			{Service: "names-api", VMs: busy("e"), Demands: []Demand{{Backlog: seconds(8, 1), Pressing: 3200, Arriving: 3 * cores16}}},
		}, Move{"a", "communes", "names-api"}, Move{"b", "communes", "names-api"})
	})
	// Symptom: jobs that need a label waited for good in a pool with room.
	// Sequence: VMs of that kind went to other pools while idle; jobs that need
	// the kind come; the other VMs are not behind. Cause: moves knew no labels.
	t.Run("sends VMs of the kind that is needed", func(t *testing.T) {
		from := append(labelled(idle("a", "b"), "small"), labelled(idle("c", "d"), "large")...)
		assertMoves(t, []Pool{
			{Service: "communes", VMs: from},
			{Service: "names-api", VMs: labelled(busy("e"), "small"), Demands: []Demand{{}, {Label: "large", Unplaced: 1000}}},
		}, Move{"c", "communes", "names-api"})
	})
	t.Run("sends VMs that are large enough", func(t *testing.T) {
		from := idle("a", "b")
		from[0].Room.MemoryMB = 1024
		assertMoves(t, []Pool{
			{Service: "communes", VMs: append(from, idle("c")...)},
			{Service: "names-api", VMs: busy("e"), Demands: []Demand{{}, {Item: tackroom.Room{MemoryMB: 4096}, Unplaced: 1000}}},
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
	// Symptom: jobs that require a label waited to the end of a day. Sequence: four
	// VMs have it, each the only one of its kind in its pool; one of them idles, and
	// nothing there requires the label. Cause: a pool kept one VM of each kind,
	// whatever others lacked.
	t.Run("takes the only VM of a kind where a label is lacked", func(t *testing.T) {
		from := append(labelled(idle("a", "b"), "small"), labelled(idle("c"), "large")...)
		pools := []Pool{
			{Service: "communes", VMs: from},
			{Service: "names-api", VMs: labelled(busy("e"), "small"), Demands: []Demand{{}, {Label: "large", Unplaced: 1000}}},
		}
		assertMoves(t, pools, Move{"c", "communes", "names-api"})
		pools[1].Demands = []Demand{{}, {Label: "large", Soon: seconds(16, 4)}}
		assertMoves(t, pools)
	})
	// Symptom: an item that lasts found no worker beside a hundred idle VMs.
	// Sequence: a pool's jobs wait for their first steps, so its VMs idle while its
	// backlog is long. Cause: a pool that is behind gave none.
	t.Run("takes idle VMs of a pool that is behind for what is urgent alone", func(t *testing.T) {
		pools := []Pool{
			{Service: "communes", VMs: idle("a", "b", "c"), Demands: work(160, 3)},
			{Service: "names-api", VMs: busy("e"), Demands: []Demand{{Unplaced: 1000}}},
		}
		assertMoves(t, pools, Move{"a", "communes", "names-api"})
		pools[1].Demands = work(16, 4)
		assertMoves(t, pools)
	})
	// Symptom: a queue's turn was refused for seven seconds beside up to 25 empty
	// VMs of another pool. Sequence: that pool's turn is over; its jobs wait for
	// earlier steps and a few slow items, by the estimates 0.8 s of all its VMs.
	// Cause: a pool with such a backlog gave none, however many it needed for it.
	t.Run("takes idle VMs that a late pool does not need", func(t *testing.T) {
		late := Pool{Service: "communes", VMs: append(busy("x", "y"), idle("a", "b", "c", "d", "e", "f")...), Demands: work(128, 1)}
		assertMoves(t, []Pool{late, {Service: "names-api", VMs: busy("z"), Demands: work(48, 3)}},
			Move{"a", "communes", "names-api"}, Move{"b", "communes", "names-api"}, Move{"c", "communes", "names-api"})
	})
	// Symptom: after a leader began, 33 of 49 VMs went into one pool, and of the
	// next queue's turn, some seconds later, 181 jobs were refused. Sequence: jobs
	// of a turn wait for the new leader until they are late; its first round calls
	// VMs for all of their work. Cause: work that can earn little any more counted
	// like any other.
	t.Run("calls few VMs for work that is late", func(t *testing.T) {
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
	t.Run("counts a VM for all that it can do", func(t *testing.T) {
		assertMoves(t, []Pool{
			{Service: "communes", VMs: labelled(idle("a", "b", "c"), "large")},
			{Service: "names-api", Demands: []Demand{{Backlog: seconds(16, 2)}, {Label: "large", Unplaced: 1000}}},
		}, Move{"a", "communes", "names-api"})
	})
}
