package tacklimit

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// minReserveDivisor gives the least part of the slots in each reserve.
	minReserveDivisor = 64
	// maxReserveDivisor gives the part of the slots that the reserve for
	// urgent requests never exceeds.
	maxReserveDivisor = 8
	// peakWindow is the shortest time for which a value counts in a peak.
	peakWindow = tackclock.Minute
)

// peak is the largest recent value. It is kept in two windows, so that old
// values expire.
type peak struct {
	since             tackclock.Time
	current, previous int
}

// hasSlotFor reports whether a slot is free that the request may take.
//
// Short requests may use any slot. Requests that may hold their slot for long
// must leave some slots in reserve: otherwise a flood of slow requests takes
// every slot at once, and the next urgent request waits until the first of them
// ends, however long that takes. One reserve is for urgent requests. A second
// one, which urgent requests must leave too, is for urgent requests of teams
// that run none, so that a flood of urgent requests from one team doesn't delay
// those of another.
func (g *Gate) hasSlotFor(now tackclock.Time, t *team, r Request) bool {
	free := g.capacity - g.Running()
	if free <= 0 {
		return false
	}
	if g.stats.isShort(now, r) {
		return true
	}
	first := g.firstUrgentReserve()
	if r.Class == tackid.ClassUrgent {
		return free > first || t.subqueues[r.Class].running == 0
	}
	return free > first && g.lowerRunning() < g.capacity-first-g.urgentReserve(now)
}

// firstUrgentReserve returns the number of slots reserved for urgent requests of
// teams that run none.
func (g *Gate) firstUrgentReserve() int {
	if g.capacity < 4 {
		return 0
	}
	return max(1, g.capacity/minReserveDivisor)
}

// urgentReserve returns the number of slots reserved for urgent requests: the
// largest number that recently ran at once, within bounds.
func (g *Gate) urgentReserve(now tackclock.Time) int {
	if g.capacity < 2 {
		return 0
	}
	least := max(1, g.capacity/minReserveDivisor)
	most := max(1, g.capacity/maxReserveDivisor)
	return min(max(g.urgentPeak.largest(now), least), most)
}

func (p *peak) add(now tackclock.Time, n int) {
	if now.Sub(p.since) >= peakWindow {
		p.previous, p.current, p.since = p.current, 0, now
	}
	p.current = max(p.current, n)
}

func (p *peak) largest(now tackclock.Time) int {
	if now.Sub(p.since) >= 2*peakWindow {
		return 0
	}
	return max(p.current, p.previous)
}
