package tackshare

import (
	"maps"
	"slices"

	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

// group is the state of a Group: what this peer holds of it and, if this peer is
// or was the owner, what it granted.
type group struct {
	Group
	sources      []tackroute.SlotSource
	slots        map[tackroute.SlotSource]int
	holding      holding
	ownership    ownership
	applied      []tackroute.Share
	appliedBound int
}

func (g *group) total() int {
	n := 0
	for _, slots := range g.slots {
		n += slots
	}
	return n
}

// inUse returns how many slots of the group are in use.
func (g *group) inUse(usage Usage) int {
	n := 0
	for _, used := range usage.InUse {
		if _, ok := g.slots[used.SlotSource]; ok {
			n += used.Slots
		}
	}
	return n
}

// busy reports whether this peer holds slots of the group or has granted any.
func (g *group) busy() bool {
	return g.holding.held() > 0 || len(g.ownership.sessions) > 0
}

func (g *group) sameAsApplied(bound int, shares []tackroute.Share) bool {
	return bound == g.appliedBound && g.applied != nil && slices.Equal(g.applied, shares)
}

// members returns the peers among which a group is divided while there is no
// demand: those in its data centre or, if there are none, all.
func (g *group) members(all []PeerLocation) []tackid.Peer {
	var inside, every []tackid.Peer
	for _, p := range all {
		every = append(every, p.Peer)
		if g.DataCentre != "" && p.DataCentre == g.DataCentre {
			inside = append(inside, p.Peer)
		}
	}
	if len(inside) > 0 {
		return inside
	}
	return every
}

// fixedPart returns how many slots of a source this peer may use without a
// grant. The slots are divided evenly among all members, including unreachable
// ones, with the remainder starting at another member for each source, so that
// the parts of all members add up to the number of slots.
func (s *Sharer) fixedPart(g *group, source tackroute.SlotSource) int {
	members := g.members(s.peers)
	self := slices.Index(members, s.Self)
	if self < 0 {
		return 0
	}
	n := len(members)
	first := int(score(g.Group, tackid.Peer(source.BackendServer)) % uint64(n))
	rank := (self - first + n) % n
	part := g.slots[source] / n
	if rank < g.slots[source]%n {
		part++
	}
	return part
}

func sortedSources(sources map[tackroute.SlotSource]*count) []tackroute.SlotSource {
	return slices.SortedFunc(maps.Keys(sources), compareSources)
}
