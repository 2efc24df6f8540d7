package tacklimit

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// leastReserve is the part of the slots of which each reserve is at
	// least one.
	leastReserve = 64
	// mostReserve is the part of the slots that the reserve for urgent
	// requests never exceeds.
	mostReserve = 8
	// peakSpan is how long a peak counts, at least.
	peakSpan = tackclock.Minute
)

// peak is the largest number of a recent time, kept in two spans so that old
// ones fade.
type peak struct {
	since    tackclock.Time
	now, old int
}

// slotFor reports whether a slot is free that the request may take.
//
// Slots that come free soon are used by anyone. Work that may hold its slot for
// long must leave some: without that, a flood of slow requests takes every slot
// at once, and an urgent request that comes next waits until the first of them
// ends, however long that is. One reserve is for urgent requests, one that
// urgent requests must leave too is for those of a team that runs none, so that
// one team's flood of urgent requests does not hold up another team's.
func (g *Gate) slotFor(now tackclock.Time, t *team, r Request) bool {
	free := g.capacity - g.Running()
	if free <= 0 {
		return false
	}
	if g.drain.short(now, r) {
		return true
	}
	first := g.firstReserve()
	if r.Class == tackid.ClassUrgent {
		return free > first || t.lanes[r.Class].running == 0
	}
	return free > first && g.lower() < g.capacity-first-g.urgentReserve(now)
}

// firstReserve is the number of slots kept for urgent requests of teams that
// run none.
func (g *Gate) firstReserve() int {
	if g.capacity < 4 {
		return 0
	}
	return max(1, g.capacity/leastReserve)
}

// urgentReserve is the number of slots kept for urgent requests: as many as
// ran at once lately, within bounds.
func (g *Gate) urgentReserve(now tackclock.Time) int {
	if g.capacity < 2 {
		return 0
	}
	least := max(1, g.capacity/leastReserve)
	most := max(1, g.capacity/mostReserve)
	return min(max(g.urgent.largest(now), least), most)
}

func (p *peak) add(now tackclock.Time, n int) {
	if now.Sub(p.since) >= peakSpan {
		p.old, p.now, p.since = p.now, 0, now
	}
	p.now = max(p.now, n)
}

func (p *peak) largest(now tackclock.Time) int {
	if now.Sub(p.since) >= 2*peakSpan {
		return 0
	}
	return max(p.now, p.old)
}
