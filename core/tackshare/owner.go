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
	// ownership is the state of a group on the side of the owner. The sessions
	// are kept when the ownership is lost: if it is regained before the
	// holders notice, they continue.
	ownership struct {
		active   bool
		since    tackclock.Time
		sessions map[tackid.Peer]*session
		// nextSource is the index of the source from which the next free slot
		// is granted.
		nextSource int
	}

	// session is what one holder has been granted, as recorded by the owner.
	session struct {
		id      uint32
		want    int
		bound   int
		sent    uint64
		sources map[tackroute.SlotSource]*count
	}
)

// receiveReport applies a report of a holder.
func (s *Sharer) receiveReport(now tackclock.Time, from tackid.Peer, r *Report) {
	g := s.groups[r.Group]
	if g == nil {
		return
	}
	o := &g.ownership
	h := o.sessions[from]
	if h != nil && r.Session < h.id {
		return
	}
	if h == nil || r.Session > h.id {
		h = g.beginSession(from, r)
	}
	h.want = r.Want
	for _, n := range r.Returned {
		if c := h.sources[n.SlotSource]; c != nil {
			c.returned = max(c.returned, n.Slots)
		}
	}
	s.allocate(now, g)
}

// beginSession begins a session with the slots that the holder claims, as far as
// those are free.
func (g *group) beginSession(from tackid.Peer, r *Report) *session {
	o := &g.ownership
	if o.sessions == nil {
		o.sessions = make(map[tackid.Peer]*session)
	}
	delete(o.sessions, from)
	h := &session{id: r.Session, sources: make(map[tackroute.SlotSource]*count)}
	for _, n := range r.Claimed {
		if free := min(n.Slots, g.free(n.SlotSource)); free > 0 {
			h.sources[n.SlotSource] = &count{granted: free}
		}
	}
	h.bound = h.held()
	o.sessions[from] = h
	return h
}

func (h *session) held() int {
	n := 0
	for _, c := range h.sources {
		n += c.held()
	}
	return n
}

func (h *session) setBound(bound int) {
	if bound != h.bound {
		h.bound, h.sent = bound, 0
	}
}

// free returns how many slots of a source are granted to no holder.
func (g *group) free(source tackroute.SlotSource) int {
	n := g.slots[source]
	for _, h := range g.ownership.sessions {
		if c := h.sources[source]; c != nil {
			n -= c.held()
		}
	}
	return n
}

// pending reports whether there is something to send to the holder.
func (o *ownership) pending(peer tackid.Peer, due func(uint64) bool) bool {
	h := o.sessions[peer]
	if !o.active || h == nil {
		return false
	}
	if due(h.sent) {
		return true
	}
	for _, c := range h.sources {
		if due(c.sent) {
			return true
		}
	}
	return false
}

// appendGrant appends the grant of the group to a holder, if it is needed.
func (g *group) appendGrant(grants []Grant, l *link) []Grant {
	h := g.ownership.sessions[l.Peer]
	if !g.ownership.active || h == nil {
		return grants
	}
	gr := Grant{Group: g.Group, Session: h.id, Bound: h.bound}
	needed := h.sent == 0 || h.sent > l.ackedSeq
	if h.sent == 0 {
		h.sent = l.sentSeq
	}
	for _, source := range sortedSources(h.sources) {
		c := h.sources[source]
		if c.sent != 0 && c.sent <= l.ackedSeq {
			continue
		}
		if c.sent == 0 {
			c.sent = l.sentSeq
		}
		gr.Granted = append(gr.Granted, Count{SlotSource: source, Slots: c.granted})
		needed = true
	}
	if !needed {
		return grants
	}
	return append(grants, gr)
}

// exchangeWithSelf exchanges reports and grants between the two sides of this
// peer, for the groups that it owns, as frames do between peers.
func (s *Sharer) exchangeWithSelf(now tackclock.Time, groups []*group) {
	for _, g := range groups {
		if !g.ownership.active {
			continue
		}
		s.exchange(now, g)
		if g.holding.granted && g.holding.held() > g.holding.bound {
			s.returnIdle(now, g, s.usage(now, g.Subject))
			s.exchange(now, g)
		}
	}
}

func (s *Sharer) exchange(now tackclock.Time, g *group) {
	self := &link{PeerLocation: PeerLocation{Peer: s.Self}, sentSeq: 1}
	if g.holding.owner == s.Self {
		for _, r := range g.appendReport(nil, self) {
			s.receiveReport(now, s.Self, &r)
		}
	}
	s.allocate(now, g)
	for _, gr := range g.appendGrant(nil, self) {
		s.receiveGrant(s.Self, &gr)
	}
	s.apply(now, g)
}

// forgetPeer drops the sessions with a peer that was restarted.
func (s *Sharer) forgetPeer(now tackclock.Time, peer tackid.Peer) {
	for _, g := range s.allGroups {
		delete(g.ownership.sessions, peer)
		if g.holding.owner == peer {
			g.holding.restart(now, peer)
			s.apply(now, g)
		}
	}
}

// dropExpiredSessions frees the slots held by peers whose lease has expired.
func (s *Sharer) dropExpiredSessions(now tackclock.Time) {
	for _, g := range s.allGroups {
		o := &g.ownership
		for peer := range o.sessions {
			l := s.links[peer]
			if peer != s.Self && (l == nil || now.Sub(l.lastHeard) >= lease+leaseMargin) {
				delete(o.sessions, peer)
			}
		}
	}
}

// refreshOwners recomputes the owner of each group. When the owner changes, the
// holders claim their slots from the new one.
func (s *Sharer) refreshOwners(now tackclock.Time) {
	for _, g := range s.allGroups {
		g.holding.member = slices.Contains(g.members(s.live), s.Self)
		owner := s.ownerOf(g)
		if owner != g.holding.owner {
			g.holding.restart(now, owner)
		}
		if active := owner == s.Self; active != g.ownership.active {
			g.ownership.active, g.ownership.since = active, now
		}
		s.apply(now, g)
	}
}

// ownerOf returns the owner of the group by rendezvous hashing: the live member
// with the highest hash of both names. So the groups are spread evenly, few
// change owners when a peer is added or removed, and a data centre that is cut
// off divides its own slots.
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

// mix mixes the bits of h, since FNV gives similar upper bits for names that
// differ only at their end.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func comparePeers(a, b PeerLocation) int {
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
