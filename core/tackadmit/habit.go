package tackadmit

import "auburntack/core/tackclock"

const (
	// minHabit is the number of returns from which on the habit of callers is known, and
	// maxHabit the number at which older returns lose weight.
	minHabit = 8
	maxHabit = 64
)

// habit is whether the refused callers of a pool return when they were told to.
//
// Load pattern: the callers of a queue return after a second whatever they are told, and
// give up after some tries. Room that is reserved for them until a later time serves
// nobody, while those that return meanwhile, and could be in time, are refused for it.
type habit struct {
	early, heeded int
}

// observe records the return of a caller. A caller that returns in the second half of its
// time shows no habit, since a second may be about what it was told.
func (x *habit) observe(now tackclock.Time, h *held) {
	switch {
	case h.told == 0 || h.early > 0:
		return
	case now >= h.At:
		x.heeded++
	case h.At.Sub(now) > h.told/2:
		x.early++
	}
	if x.early+x.heeded > maxHabit {
		x.early, x.heeded = x.early/2, x.heeded/2
	}
}

// missed records that a caller did not return at all.
func (x *habit) missed() {
	x.early++
}

// disregards reports whether three quarters of the callers return before their times, or
// never.
func (x *habit) disregards() bool {
	n := x.early + x.heeded
	return n >= minHabit && 4*x.early >= 3*n
}
