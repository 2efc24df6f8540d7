package tackwave

import "auburntack/core/tackclock"

// LowerBound returns the shortest time in which any planner could maintain n
// VMs if at most atOnce may be out of service together and each is out of
// service for away: there are ceil(n/atOnce) rounds, each at least as long as
// away. Drains, settling times, the canary and the reserve are ignored, so the
// bound is not always attainable. It is negative if atOnce is below 1, because
// the wave would never end.
func LowerBound(n, atOnce int, away tackclock.Duration) tackclock.Duration {
	if n <= 0 {
		return 0
	}
	if atOnce < 1 {
		return -1
	}
	rounds := (n + atOnce - 1) / atOnce
	return tackclock.Duration(rounds) * away
}
