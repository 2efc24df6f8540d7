package tackshare

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

// claimant is a holder among which the slots of a group are divided.
type claimant struct {
	peer    tackid.Peer
	session *session
	want    int
	held    int
	// target is its fair part of the slots.
	target int
	// takesSpare reports whether it may hold more than it wants while no
	// claimant is short.
	takesSpare bool
}

// allocate divides the slots of a group that this peer owns. Free slots go to
// the claimants below their fair part; if those don't suffice, claimants that
// hold more than their part are asked to return slots. While no claimant is
// short, the free slots are distributed among all, so that a burst of requests
// finds some.
func (s *Sharer) allocate(now tackclock.Time, g *group) {
	o := &g.ownership
	if !o.active || s.awaitsClaims(now, o) {
		return
	}
	claimants := s.claimants(g)
	setTargets(claimants, g.total())
	free := newFreeSlots(g)
	for c := furthestBelow(claimants); c != nil && free.grant(c); {
		c = furthestBelow(claimants)
	}
	missing := 0
	for i := range claimants {
		missing += max(claimants[i].target-claimants[i].held, 0)
	}
	for c := leastSpare(claimants); missing == 0 && c != nil && free.grant(c); {
		c = leastSpare(claimants)
	}
	setBounds(claimants, missing)
}

// awaitsClaims reports whether the group was taken over so recently that a holder
// of grants from the previous owner may not have claimed them yet. A grant now
// could assign a slot to two peers. A peer that has just started need not wait
// if all others have acknowledged its current epoch, since they have then claimed
// what they hold.
func (s *Sharer) awaitsClaims(now tackclock.Time, o *ownership) bool {
	if len(s.peers) == 1 || now.Sub(o.since) >= lease+leaseMargin {
		return false
	}
	if o.since != s.startedAt {
		return true
	}
	for _, l := range s.links {
		if !l.knowsEpoch {
			return true
		}
	}
	return false
}

// claimants returns the holders among which the group is divided. A member wants
// at least one slot, if there are enough, so that its first request after a pause
// starts at once and so that it keeps a slot if it is cut off.
func (s *Sharer) claimants(g *group) []claimant {
	members := g.members(s.live)
	least := min(g.total()/len(members), 1)
	var all []claimant
	for _, peer := range sortedPeers(g.ownership.sessions) {
		h := g.ownership.sessions[peer]
		c := claimant{peer: peer, session: h, want: h.want, held: h.held(), takesSpare: h.want > 0}
		if slices.Contains(members, peer) {
			c.want, c.takesSpare = max(c.want, least), true
		}
		all = append(all, c)
	}
	return all
}

// setTargets sets the target of each claimant to what it wants, if there are
// enough slots for all. Otherwise each is guaranteed half of an equal part, and
// the rest is divided in proportion to the unmet demand, so that callers wait
// about equally long at busy peers and at others, and a flood at one peer does
// not starve the others.
func setTargets(claimants []claimant, slots int) {
	guaranteed := max(slots/(2*max(len(claimants), 1)), min(slots/max(len(claimants), 1), 1))
	unmet := 0
	for i := range claimants {
		c := &claimants[i]
		c.target = min(c.want, guaranteed)
		slots -= c.target
		unmet += c.want - c.target
	}
	rest := min(slots, unmet)
	for i := range claimants {
		c := &claimants[i]
		more := c.want - c.target
		if more <= 0 {
			continue
		}
		part := rest * more / unmet
		c.target += part
		rest -= part
		unmet -= more
	}
}

// furthestBelow returns the claimant that is furthest below its target, or nil.
func furthestBelow(claimants []claimant) *claimant {
	var found *claimant
	for i := range claimants {
		c := &claimants[i]
		if c.held < c.target && (found == nil || c.target-c.held > found.target-found.held) {
			found = c
		}
	}
	return found
}

// leastSpare returns the claimant that gets the next spare slot: the one with the
// fewest slots beyond what it wants. It returns nil if no claimant takes any.
func leastSpare(claimants []claimant) *claimant {
	var found *claimant
	for i := range claimants {
		c := &claimants[i]
		if c.takesSpare && (found == nil || c.held-c.want < found.held-found.want) {
			found = c
		}
	}
	return found
}

// setBounds reduces the bounds of the claimants that hold the most beyond their
// targets, so that they return the missing slots. All others keep what they hold.
func setBounds(claimants []claimant, missing int) {
	bounds := make([]int, len(claimants))
	for i := range claimants {
		bounds[i] = claimants[i].held
	}
	for ; missing > 0; missing-- {
		most := -1
		for i := range claimants {
			over := bounds[i] - claimants[i].target
			if over > 0 && (most < 0 || over > bounds[most]-claimants[most].target) {
				most = i
			}
		}
		if most < 0 {
			break
		}
		bounds[most]--
	}
	for i := range claimants {
		claimants[i].session.setBound(bounds[i])
	}
}

// freeSlots counts by source the slots of a group that are granted to no
// holder.
type freeSlots struct {
	group *group
	free  []int
}

func newFreeSlots(g *group) *freeSlots {
	f := &freeSlots{group: g, free: make([]int, len(g.sources))}
	for i, source := range g.sources {
		f.free[i] = g.free(source)
	}
	return f
}

// grant grants one free slot. It takes the sources in turn, so that the slots
// of a holder are spread over the backend servers. It returns false if no slot
// is free.
func (f *freeSlots) grant(c *claimant) bool {
	sources := f.group.sources
	for range sources {
		i := f.group.ownership.nextSource % len(sources)
		f.group.ownership.nextSource = i + 1
		if f.free[i] <= 0 {
			continue
		}
		f.free[i]--
		c.held++
		c.session.recordGrant(sources[i])
		return true
	}
	return false
}

func (h *session) recordGrant(source tackroute.SlotSource) {
	c := h.sources[source]
	if c == nil {
		c = new(count)
		h.sources[source] = c
	}
	c.granted++
	c.sent = 0
}
