package tackquota

import (
	"math"

	"auburntack/core/tackroom"
)

const (
	// shareSlack is how many times its share a workspace may run before others go first.
	// What callers send comes in bursts, and an item more or less is no unfairness.
	shareSlack = 2
	// mostOver bounds how finely workspaces beyond their shares are told apart.
	mostOver = 4
)

// SetRoom takes in the room of all workers together.
func (b *Book) SetRoom(all tackroom.Room) {
	b.all = all
}

// Share is the part of all workers that the workspace is due when all are busy, by its
// weight; nothing if it has none.
func (a *Account) Share() float64 {
	if a == nil || a.weight <= 0 {
		return 0
	}
	return a.weight / a.book.weights
}

// Over tells how far the workspace is beyond its share, by the kind of room of which it
// has most: 0 if it is not, and one more each time that it has twice as much.
//
// Load pattern: one workspace sends ten times what it usually does, beside others that
// send what they always do. By their deadlines alone its jobs would be nine of ten that
// start, and the others late.
func (a *Account) Over() int {
	if a == nil || a.weight <= 0 {
		return 0
	}
	all := a.book.all
	times := max(part(a.used.MilliCores, all.MilliCores), part(a.used.MemoryMB, all.MemoryMB), part(a.used.GPUs, all.GPUs)) / a.Share()
	if times <= shareSlack {
		return 0
	}
	return min(mostOver, 1+int(math.Log2(times/shareSlack)))
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
