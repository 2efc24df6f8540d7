package tackshare

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

// claimant is one holder in the division of a group.
type claimant struct {
	peer    tackid.Peer
	session *session
	want    int
	held    int
	// target is its fair part of what all want.
	target int
	// spread says that it may hold more than it wants while nobody is short.
	spread bool
}

// allocate divides the slots of a group that this peer owns: free ones go
// to those that are short of their fair part, and what is still missing is
// taken from those that hold more than theirs. While nobody is short the free
// slots are spread, so that a burst finds some at hand.
func (s *Sharer) allocate(now tackclock.Time, g *group) {
	o := &g.owning
	if !o.active || s.inherits(now, o) {
		return
	}
	claimants := s.claimants(g)
	setTargets(claimants, g.total())
	free := newFreeSlots(g)
	for c := shortest(claimants); c != nil && free.give(c); {
		c = shortest(claimants)
	}
	missing := 0
	for i := range claimants {
		missing += max(claimants[i].target-claimants[i].held, 0)
	}
	for c := roomiest(claimants); missing == 0 && c != nil && free.give(c); {
		c = roomiest(claimants)
	}
	setBounds(claimants, missing)
}

// inherits reports whether the group was taken over so recently that a holder
// of the last owner's grants may not have claimed them yet. A grant now could
// put two peers on one slot. A peer that has just started need not wait for those
// that know of its start, since they have claimed what they hold.
func (s *Sharer) inherits(now tackclock.Time, o *owning) bool {
	if len(s.peers) == 1 || now.Sub(o.since) >= lease+margin {
		return false
	}
	if o.since != s.began {
		return true
	}
	for _, l := range s.links {
		if !l.knowsMe {
			return true
		}
	}
	return false
}

// claimants returns the holders in the division. A member wants one slot at
// least, if there are enough, so that its first request after a pause starts at once, and so that it
// has something to go on with if it is cut off.
func (s *Sharer) claimants(g *group) []claimant {
	members := g.members(s.live)
	least := min(g.total()/len(members), 1)
	var all []claimant
	for _, peer := range sortedPeers(g.owning.sessions) {
		h := g.owning.sessions[peer]
		c := claimant{peer: peer, session: h, want: h.want, held: h.held(), spread: h.want > 0}
		if slices.Contains(members, peer) {
			c.want, c.spread = max(c.want, least), true
		}
		all = append(all, c)
	}
	return all
}

// setTargets gives each claimant what it wants if there is enough for all.
// Else each is sure of half an even part, and the rest goes by what is still
// wanted, so that callers wait about equally long at a busy peer as at
// others, and a flood at one does not stop the others.
func setTargets(claimants []claimant, slots int) {
	floor := max(slots/(2*max(len(claimants), 1)), min(slots/max(len(claimants), 1), 1))
	unmet := 0
	for i := range claimants {
		c := &claimants[i]
		c.target = min(c.want, floor)
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

// shortest returns the claimant that is furthest below its target, or nil.
func shortest(claimants []claimant) *claimant {
	var found *claimant
	for i := range claimants {
		c := &claimants[i]
		if c.held < c.target && (found == nil || c.target-c.held > found.target-found.held) {
			found = c
		}
	}
	return found
}

// roomiest returns the claimant to which a slot that nobody wants goes: the
// one with the fewest beyond its want.
func roomiest(claimants []claimant) *claimant {
	var found *claimant
	for i := range claimants {
		c := &claimants[i]
		if c.spread && (found == nil || c.held-c.want < found.held-found.want) {
			found = c
		}
	}
	return found
}

// setBounds asks those that hold the most beyond their targets to return what
// is missing, and lets everybody else keep what it holds.
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

// freeSlots holds the slots of a group that nobody holds.
type freeSlots struct {
	group *group
	free  []int
}

func newFreeSlots(g *group) *freeSlots {
	f := &freeSlots{group: g, free: make([]int, len(g.lots))}
	for i, lot := range g.lots {
		f.free[i] = g.free(lot)
	}
	return f
}

// give grants one free slot, from the lots in turn so that a holder's slots
// are spread over the backend servers. It returns false if there is none.
func (f *freeSlots) give(c *claimant) bool {
	lots := f.group.lots
	for range lots {
		i := f.group.owning.turn % len(lots)
		f.group.owning.turn = i + 1
		if f.free[i] <= 0 {
			continue
		}
		f.free[i]--
		c.held++
		c.session.granted(lots[i])
		return true
	}
	return false
}

func (h *session) granted(lot tackroute.Lot) {
	c := h.lots[lot]
	if c == nil {
		c = new(count)
		h.lots[lot] = c
	}
	c.granted++
	c.sent = 0
}
