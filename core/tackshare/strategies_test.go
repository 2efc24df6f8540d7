package tackshare_test

import (
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackclock"
	"auburntack/core/tackshare"
)

// fixedShares is a strategy that divides the slots once.
type fixedShares struct {
	part [][]int
	used [][]int
}

func newFixedShares(l load) strategy {
	f := &fixedShares{part: grid(l.vms, l.executors), used: grid(l.vms, l.executors)}
	for e := range l.executors {
		for slot := range executorSlots {
			f.part[(e*executorSlots+slot)%l.vms][e]++
		}
	}
	return f
}

func (f *fixedShares) pick(_ tackclock.Time, vm int) (int, bool) {
	best := -1
	for e, used := range f.used[vm] {
		if used < f.part[vm][e] && (best < 0 || used < f.used[vm][best]) {
			best = e
		}
	}
	if best < 0 {
		return 0, false
	}
	f.used[vm][best]++
	return best, true
}

func (f *fixedShares) done(_ tackclock.Time, vm, executor int) { f.used[vm][executor]-- }
func (f *fixedShares) tick(tackclock.Time, []int)              {}
func (f *fixedShares) traffic() (int, int)                     { return 0, 0 }

// reportedLoads is a strategy in which each peer reports its requests in flight to
// the others at intervals, and chooses the less loaded of two executors.
type reportedLoads struct {
	own      [][]int
	known    [][]int // by VM: what all others reported
	random   *rand.Rand
	interval tackclock.Duration
	messages int
	bytes    int
}

func newReportedLoads(l load, interval tackclock.Duration) strategy {
	return &reportedLoads{own: grid(l.vms, l.executors), known: grid(l.vms, l.executors),
		random: rand.New(rand.NewPCG(7, 7)), interval: interval}
}

func (r *reportedLoads) pick(_ tackclock.Time, vm int) (int, bool) {
	n := len(r.own[vm])
	a, b := r.random.IntN(n), r.random.IntN(n)
	load := func(e int) int { return r.own[vm][e] + r.known[vm][e] }
	if load(b) < load(a) {
		a = b
	}
	if load(a) >= executorSlots {
		return 0, false
	}
	r.own[vm][a]++
	return a, true
}

func (r *reportedLoads) done(_ tackclock.Time, vm, executor int) { r.own[vm][executor]-- }

func (r *reportedLoads) tick(now tackclock.Time, _ []int) {
	if now%tackclock.Time(r.interval) != 0 {
		return
	}
	for vm := range r.known {
		clear(r.known[vm])
	}
	for from, own := range r.own {
		var loads []tackshare.Count
		for e, n := range own {
			if n > 0 {
				loads = append(loads, tackshare.Count{SlotSource: sourceOf(e), Slots: n})
			}
		}
		encoded, _ := cbor.Marshal(loads)
		for to := range r.known {
			if to == from {
				continue
			}
			r.messages++
			r.bytes += len(encoded)
			for e, n := range own {
				r.known[to][e] += n
			}
		}
	}
}

func (r *reportedLoads) traffic() (int, int) { return r.messages, r.bytes }

func grid(rows, columns int) [][]int {
	g := make([][]int, rows)
	for i := range g {
		g[i] = make([]int, columns)
	}
	return g
}
