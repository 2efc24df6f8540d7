package tackwave

import "auburntack/core/tackclock"

// LowerBound returns the shortest time in which any planner could take n VMs
// through maintenance, when at most atOnce may be out of service together and
// each is out for away: the VMs fill ceil(n/atOnce) rounds, and no round is
// shorter than away. It leaves out drains, settling, the canary and the
// reserve, so it cannot always be reached. It is negative where atOnce is
// below 1: then the wave never ends.
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
