package tackshare

import (
	"cmp"
	"hash/fnv"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

type (
	// owning is what this peer granted of a group. The sessions outlive
	// the ownership: if it comes back before the holders noticed, they go on.
	owning struct {
		active   bool
		since    tackclock.Time
		sessions map[tackid.Peer]*session
		// turn is the lot that the next free slot is granted from.
		turn int
	}

	// session is what one holder has, as its owner knows.
	session struct {
		id    uint32
		want  int
		bound int
		sent  uint64
		lots  map[tackroute.Lot]*count
	}
)

// report takes in what a holder needs and returns.
func (s *Sharer) report(now tackclock.Time, from tackid.Peer, r *Report) {
	g := s.groups[r.Group]
	if g == nil {
		return
	}
	o := &g.owning
	held := o.sessions[from]
	if held != nil && r.Session < held.id {
		return
	}
	if held == nil || r.Session > held.id {
		held = g.begin(from, r)
	}
	held.want = r.Want
	for _, n := range r.Returned {
		if c := held.lots[n.Lot]; c != nil {
			c.returned = max(c.returned, n.Slots)
		}
	}
	s.allocate(now, g)
}

// begin opens a session with what the holder claims, as far as it is free.
func (g *group) begin(from tackid.Peer, r *Report) *session {
	o := &g.owning
	if o.sessions == nil {
		o.sessions = make(map[tackid.Peer]*session)
	}
	delete(o.sessions, from)
	fresh := &session{id: r.Session, lots: make(map[tackroute.Lot]*count)}
	for _, n := range r.Claimed {
		if free := min(n.Slots, g.free(n.Lot)); free > 0 {
			fresh.lots[n.Lot] = &count{granted: free}
		}
	}
	fresh.bound = fresh.held()
	o.sessions[from] = fresh
	return fresh
}

func (h *session) held() int {
	n := 0
	for _, c := range h.lots {
		n += c.held()
	}
	return n
}

func (h *session) setBound(bound int) {
	if bound != h.bound {
		h.bound, h.sent = bound, 0
	}
}

// free returns how many slots of a lot nobody holds.
func (g *group) free(lot tackroute.Lot) int {
	n := g.slots[lot]
	for _, h := range g.owning.sessions {
		if c := h.lots[lot]; c != nil {
			n -= c.held()
		}
	}
	return n
}

// pending reports whether the holder must be told something.
func (o *owning) pending(peer tackid.Peer, due func(uint64) bool) bool {
	h := o.sessions[peer]
	if !o.active || h == nil {
		return false
	}
	if due(h.sent) {
		return true
	}
	for _, c := range h.lots {
		if due(c.sent) {
			return true
		}
	}
	return false
}

// appendGrant adds the part of a frame that tells a holder of the group.
func (g *group) appendGrant(grants []Grant, l *link) []Grant {
	h := g.owning.sessions[l.Peer]
	if !g.owning.active || h == nil {
		return grants
	}
	gr := Grant{Group: g.Group, Session: h.id, Bound: h.bound}
	needed := h.sent == 0 || h.sent > l.acked
	if h.sent == 0 {
		h.sent = l.seq
	}
	for _, lot := range sortedLots(h.lots) {
		c := h.lots[lot]
		if c.sent != 0 && c.sent <= l.acked {
			continue
		}
		if c.sent == 0 {
			c.sent = l.seq
		}
		gr.Granted = append(gr.Granted, Count{Lot: lot, Slots: c.granted})
		needed = true
	}
	if !needed {
		return grants
	}
	return append(grants, gr)
}

// exchangeWithSelf does between this peer and the groups it owns what
// frames do with others.
func (s *Sharer) exchangeWithSelf(now tackclock.Time, groups []*group) {
	for _, g := range groups {
		if !g.owning.active {
			continue
		}
		s.exchange(now, g)
		if g.holding.granted && g.holding.held() > g.holding.bound {
			s.giveBack(now, g, s.usage(now, g.Subject))
			s.exchange(now, g)
		}
	}
}

func (s *Sharer) exchange(now tackclock.Time, g *group) {
	self := &link{Neighbour: Neighbour{Peer: s.Self}, seq: 1}
	if g.holding.owner == s.Self {
		for _, r := range g.appendReport(nil, self) {
			s.report(now, s.Self, &r)
		}
	}
	s.allocate(now, g)
	for _, gr := range g.appendGrant(nil, self) {
		s.grant(s.Self, &gr)
	}
	s.apply(now, g)
}

// forgetPeer drops what is shared with a peer that started anew.
func (s *Sharer) forgetPeer(now tackclock.Time, peer tackid.Peer) {
	for _, g := range s.all {
		delete(g.owning.sessions, peer)
		if g.holding.owner == peer {
			g.holding.restart(now, peer)
			s.apply(now, g)
		}
	}
}

// dropSilentSessions frees what is held by peers whose lease has run out.
func (s *Sharer) dropSilentSessions(now tackclock.Time) {
	for _, g := range s.all {
		o := &g.owning
		for peer := range o.sessions {
			l := s.links[peer]
			if peer != s.Self && (l == nil || now.Sub(l.heard) >= lease+margin) {
				delete(o.sessions, peer)
			}
		}
	}
}

// refreshOwners works out the owner of each group anew. A group that changes
// hands is claimed from the new owner by those that hold slots.
func (s *Sharer) refreshOwners(now tackclock.Time) {
	for _, g := range s.all {
		g.holding.member = slices.Contains(g.members(s.live), s.Self)
		owner := s.ownerOf(g)
		if owner != g.holding.owner {
			g.holding.restart(now, owner)
		}
		if active := owner == s.Self; active != g.owning.active {
			g.owning.active, g.owning.since = active, now
		}
		s.apply(now, g)
	}
}

// ownerOf returns the peer that divides the group: of its members the one
// with the highest hash of both names. So groups spread evenly, few change
// hands when a peer comes or goes, and a data centre that is cut off
// divides its own slots.
func (s *Sharer) ownerOf(g *group) tackid.Peer {
	best, bestScore := s.Self, uint64(0)
	for _, p := range g.members(s.live) {
		if score := score(g.Group, p); score > bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

func score(key Group, peer tackid.Peer) uint64 {
	h := fnv.New64a()
	for _, text := range []string{string(peer), string(key.Service), string(key.Team), string(key.DataCentre)} {
		h.Write([]byte(text))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads the bits of h, of which FNV leaves the upper ones alike for
// names that differ only at their end.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func compareNeighbours(a, b Neighbour) int {
	return cmp.Compare(a.Peer, b.Peer)
}

func sortedPeers(sessions map[tackid.Peer]*session) []tackid.Peer {
	peers := make([]tackid.Peer, 0, len(sessions))
	for peer := range sessions {
		peers = append(peers, peer)
	}
	slices.Sort(peers)
	return peers
}
