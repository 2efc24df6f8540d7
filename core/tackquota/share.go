package tackquota

import (
	"math"

	"auburntack/core/tackroom"
)

const (
	// shareSlack is the multiple of its share that a workspace may run before others go
	// first. Work arrives in bursts, and an item more or less is not unfair.
	shareSlack = 2
	// maxOver limits the number of levels by which workspaces beyond their shares are
	// ranked.
	maxOver = 4
)

// SetCapacity sets the total resources of all workers.
func (b *Book) SetCapacity(all tackroom.Resources) {
	b.all = all
}

// Share returns the fraction of all workers that the workspace is due, by its weight,
// when all are busy; zero if it has no weight.
func (a *Account) Share() float64 {
	if a == nil || a.weight <= 0 {
		return 0
	}
	return a.weight / a.book.weights
}

// SharesOver returns how far the workspace is beyond its share, judged by the resource of
// which it uses the largest fraction: 0 if it is within twice its share, then 1, and one
// more for each doubling.
//
// Load pattern: one workspace submits ten times its usual load while the others submit
// what they always do. By deadlines alone, its jobs would be nine out of ten that start,
// and those of the others would be late.
func (a *Account) SharesOver() int {
	if a == nil || a.weight <= 0 {
		return 0
	}
	all := a.book.all
	times := max(part(a.used.MilliCores, all.MilliCores), part(a.used.MemoryMB, all.MemoryMB), part(a.used.GPUs, all.GPUs)) / a.Share()
	if times <= shareSlack {
		return 0
	}
	return min(maxOver, 1+int(math.Log2(times/shareSlack)))
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
