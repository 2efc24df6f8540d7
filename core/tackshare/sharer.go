package tackshare

import (
	"maps"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

const (
	// peerTimeout is how long nothing may be received from a peer before its
	// groups pass to another owner.
	peerTimeout = 1500 * tackclock.Millisecond
	// lease is how long a share may be used after the holder sent the last
	// frame that the owner answered. It is longer than peerTimeout, so that
	// the holders of an owner that died claim their shares from the next one
	// without interruption.
	lease = 3 * tackclock.Second
	// leaseMargin is how much longer a lease lasts for the owner than for its
	// holder.
	leaseMargin = tackclock.Second / 2
	// heartbeatInterval is the longest time between two frames to a peer.
	heartbeatInterval = tackclock.Second / 2
	// resendAfter is how long an acknowledgement is awaited before a frame is
	// sent again.
	resendAfter = 250 * tackclock.Millisecond
)

type (
	// Sharer divides the slots of all services and the quotas of all teams
	// among the peers. Every group of slots has one owner, which each peer
	// computes in the same way from the set of live peers. The owner grants
	// slots according to the reported needs, and reclaims idle ones.
	//
	// If the owner does not answer, a peer uses a fixed part of the slots, so
	// that a peer that is cut off continues to serve requests. After a start
	// it first gives the owner some time to answer, since other peers may hold
	// every slot.
	//
	// The zero value with Self, Home, Epoch and Consumer set is ready to use.
	// It is not safe for concurrent use.
	Sharer struct {
		Self tackid.Peer
		Home tackid.DataCentre
		// Epoch distinguishes the incarnations of this peer. It can be the
		// time of its start.
		Epoch    uint64
		Consumer Consumer

		links map[tackid.Peer]*link
		// retired keeps the links of removed peers, since the sequence
		// numbers of frames must not restart.
		retired    map[tackid.Peer]*link
		peers      []PeerLocation
		live       []PeerLocation
		groups     map[Group]*group
		groupOrder []Group
		allGroups  []*group
		homeOnly   bool
		lastStep   tackclock.Time
		// startedAt is when the peers were first set.
		startedAt tackclock.Time
	}

	// link is the state of the connection to another peer.
	link struct {
		PeerLocation
		lastHeard   tackclock.Time
		epoch       uint64
		receivedSeq uint64
		lastStamp   tackclock.Time
		sentSeq     uint64
		ackedSeq    uint64
		sentAt      tackclock.Time
		ackDue      bool
		leaseUntil  tackclock.Time
		// knowsEpoch reports whether the peer has acknowledged the current
		// epoch of this one.
		knowsEpoch bool
	}
)

// SetPeers sets the peers, which may or may not include this one.
func (s *Sharer) SetPeers(now tackclock.Time, peers []PeerLocation) {
	if s.retired == nil {
		s.startedAt = now
		s.retired = make(map[tackid.Peer]*link)
	}
	maps.Copy(s.retired, s.links)
	s.links = make(map[tackid.Peer]*link, len(peers))
	s.peers = []PeerLocation{{Peer: s.Self, DataCentre: s.Home}}
	for _, p := range peers {
		if p.Peer == s.Self {
			continue
		}
		l := s.retired[p.Peer]
		if l == nil {
			l = new(link)
		}
		delete(s.retired, p.Peer)
		l.PeerLocation, l.lastHeard = p, now
		s.links[p.Peer] = l
		s.peers = append(s.peers, p)
	}
	slices.SortFunc(s.peers, comparePeers)
	s.refreshLive(now)
}

// SetTable sets the slots to share. Groups that remain keep their shares.
func (s *Sharer) SetTable(now tackclock.Time, table *tackroute.Table) {
	old := s.groups
	s.groups = make(map[Group]*group, len(old))
	s.homeOnly = table.HomeOnly
	for service, candidates := range table.Services {
		for _, c := range candidates {
			key := Group{Subject: Subject{Service: service}, DataCentre: c.DataCentre}
			s.addSource(key, old, tackroute.SlotSource{BackendServer: c.BackendServer, Incarnation: c.Incarnation}, c.Slots)
		}
	}
	for team, slots := range table.Quotas {
		if slots > 0 {
			s.addSource(Group{Subject: Subject{Team: team}}, old, tackroute.SlotSource{}, slots)
		}
	}
	for key, g := range old {
		if s.groups[key] == nil && g.busy() {
			g.sources, g.slots = nil, nil
			s.groups[key] = g
		}
	}
	s.sortGroups()
	s.refreshOwners(now)
	s.exchangeWithSelf(now, s.allGroups)
}

// Tick returns the frames that are due. It must be called every 100 ms, and also
// when requests begin to wait, but at most every 10 ms.
func (s *Sharer) Tick(now tackclock.Time) []Outgoing {
	s.refreshLive(now)
	s.dropExpiredSessions(now)
	s.refreshNeeds(now)
	s.exchangeWithSelf(now, s.allGroups)
	var out []Outgoing
	for _, p := range s.peers {
		if l := s.links[p.Peer]; l != nil && s.due(now, l) {
			out = append(out, s.frame(now, l))
		}
	}
	return out
}

// Receive processes a frame and returns the frames to send before the next Tick.
func (s *Sharer) Receive(now tackclock.Time, from tackid.Peer, f Frame) []Outgoing {
	l := s.links[from]
	if l == nil || (f.Epoch == l.epoch && f.Seq <= l.receivedSeq) {
		return nil
	}
	s.recordHeader(now, l, f)
	s.refreshLive(now)
	for i := range f.Reports {
		s.receiveReport(now, from, &f.Reports[i])
	}
	for i := range f.Grants {
		s.receiveGrant(from, &f.Grants[i])
	}
	touched := s.groupsOf(f)
	s.applyGrants(now, touched)
	s.exchangeWithSelf(now, touched)
	return s.unsentFrames(now, touched)
}

// groupsOf returns the groups that a frame refers to. Its effects on other groups
// are handled by the next Tick, which processes all groups.
func (s *Sharer) groupsOf(f Frame) []*group {
	groups := make([]*group, 0, len(f.Reports)+len(f.Grants))
	for i := range f.Reports {
		groups = append(groups, s.groups[f.Reports[i].Group])
	}
	for i := range f.Grants {
		groups = append(groups, s.groups[f.Grants[i].Group])
	}
	return slices.DeleteFunc(groups, func(g *group) bool { return g == nil })
}

// applyGrants applies the grants of the groups and returns slots beyond their
// bounds.
func (s *Sharer) applyGrants(now tackclock.Time, groups []*group) {
	for _, g := range groups {
		s.apply(now, g)
		if g.holding.held() > g.holding.bound {
			s.returnIdle(now, g, s.usage(now, g.Subject))
		}
	}
}

// recordHeader records the header of a frame.
func (s *Sharer) recordHeader(now tackclock.Time, l *link, f Frame) {
	if f.Epoch != l.epoch {
		l.epoch = f.Epoch
		l.ackDue = true
		s.forgetPeer(now, l.Peer)
	}
	l.receivedSeq = f.Seq
	l.lastHeard = now
	l.lastStamp = f.Stamp
	l.ackDue = l.ackDue || len(f.Reports)+len(f.Grants) > 0
	if f.AckEpoch != s.Epoch {
		return
	}
	l.knowsEpoch = true
	l.ackedSeq = max(l.ackedSeq, f.Ack)
	if f.Echo != 0 {
		l.leaseUntil = max(l.leaseUntil, f.Echo.Add(lease))
	}
}

// unsentFrames returns frames for the peers to which something about the groups
// has not been sent yet.
func (s *Sharer) unsentFrames(now tackclock.Time, groups []*group) []Outgoing {
	var out []Outgoing
	for _, p := range s.peers {
		if l := s.links[p.Peer]; l != nil && s.alive(now, l) && l.pending(groups, 0) {
			out = append(out, s.frame(now, l))
		}
	}
	return out
}

func (s *Sharer) due(now tackclock.Time, l *link) bool {
	if now.Sub(l.sentAt) >= heartbeatInterval || l.sentSeq == 0 {
		return true
	}
	if !s.alive(now, l) {
		return false
	}
	return l.ackDue || l.pending(s.allGroups, 0) || (l.ackedSeq < l.sentSeq && now.Sub(l.sentAt) >= resendAfter && l.pending(s.allGroups, l.sentSeq))
}

// frame returns the next frame to a peer. It carries everything that is not
// acknowledged yet, so the newest frame alone brings the receiver up to date.
func (s *Sharer) frame(now tackclock.Time, l *link) Outgoing {
	l.sentSeq++
	l.sentAt = now
	l.ackDue = false
	f := Frame{Epoch: s.Epoch, Seq: l.sentSeq, AckEpoch: l.epoch, Ack: l.receivedSeq, Stamp: now, Echo: l.lastStamp}
	for _, g := range s.allGroups {
		if g.holding.owner == l.Peer {
			f.Reports = g.appendReport(f.Reports, l)
		}
		f.Grants = g.appendGrant(f.Grants, l)
	}
	return Outgoing{To: l.Peer, Frame: f}
}

// pending reports whether something about the groups was never sent to the peer,
// or was sent in a frame up to upTo and is not acknowledged.
func (l *link) pending(groups []*group, upTo uint64) bool {
	due := func(sent uint64) bool { return sent == 0 || (sent > l.ackedSeq && sent <= upTo) }
	for _, g := range groups {
		if g.holding.owner == l.Peer && g.holding.pending(due) {
			return true
		}
		if g.ownership.pending(l.Peer, due) {
			return true
		}
	}
	return false
}

func (s *Sharer) alive(now tackclock.Time, l *link) bool {
	return now.Sub(l.lastHeard) < peerTimeout
}

// refreshLive recomputes the set of live peers, and the owners if it changed.
func (s *Sharer) refreshLive(now tackclock.Time) {
	live := make([]PeerLocation, 0, len(s.peers))
	for _, p := range s.peers {
		if l := s.links[p.Peer]; l == nil || s.alive(now, l) {
			live = append(live, p)
		}
	}
	if !slices.Equal(live, s.live) {
		s.live = live
		s.refreshOwners(now)
	}
}

func (s *Sharer) addSource(key Group, old map[Group]*group, source tackroute.SlotSource, slots int) {
	g := s.groups[key]
	if g == nil {
		g = old[key]
		if g == nil {
			g = &group{Group: key}
		}
		g.sources, g.slots = nil, make(map[tackroute.SlotSource]int)
		s.groups[key] = g
	}
	g.sources = append(g.sources, source)
	g.slots[source] = slots
}

func (s *Sharer) sortGroups() {
	s.groupOrder = s.groupOrder[:0]
	for key, g := range s.groups {
		s.groupOrder = append(s.groupOrder, key)
		slices.SortFunc(g.sources, compareSources)
	}
	slices.SortFunc(s.groupOrder, compareGroups)
	s.allGroups = s.allGroups[:0]
	for _, key := range s.groupOrder {
		s.allGroups = append(s.allGroups, s.groups[key])
	}
}
