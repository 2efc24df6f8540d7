package tackshare

import (
	"maps"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

const (
	// silence is how long a peer may be unheard before its groups pass
	// to another owner.
	silence = 1500 * tackclock.Millisecond
	// lease is how long a share may be used after the holder last wrote to
	// the owner and was answered. It outlasts silence, so that the shares of
	// an owner that died are claimed from the next one without a gap.
	lease = 3 * tackclock.Second
	// margin is how much longer the owner counts a lease than its holder.
	margin = tackclock.Second / 2
	// heartbeat is the longest time between two frames to a peer.
	heartbeat = tackclock.Second / 2
	// resend is how long an answer is awaited before a frame goes out again.
	resend = 250 * tackclock.Millisecond
)

type (
	// Sharer divides the slots of all services and the quotas of all teams
	// among the peers. Every group of slots has one owner, which every
	// peer works out alike from those it can hear; the owner grants slots
	// by what the others report to need, and takes idle ones back.
	//
	// When its owner does not answer, a peer fills a fixed part of the slots,
	// so that one which is cut off goes on serving. One that starts gives the
	// owner some time to answer, since others may hold every slot.
	//
	// The zero value with Self, Home, Epoch and User set is ready to use. It
	// is not safe for concurrent use.
	Sharer struct {
		Self tackid.Peer
		Home tackid.DataCentre
		// Epoch tells the lives of this peer apart, for example by the
		// time of its start.
		Epoch uint64
		User  User

		links map[tackid.Peer]*link
		// retired keeps the links of peers that went, since the numbers
		// of their frames must not start again.
		retired map[tackid.Peer]*link
		peers   []Neighbour
		live    []Neighbour
		groups  map[Group]*group
		order   []Group
		all     []*group
		only    bool
		stepped tackclock.Time
		// began is when the peers were first set.
		began tackclock.Time
	}

	// link is what a Sharer knows of another peer.
	link struct {
		Neighbour
		heard    tackclock.Time
		epoch    uint64
		seen     uint64
		stamp    tackclock.Time
		seq      uint64
		acked    uint64
		sentAt   tackclock.Time
		oweAck   bool
		leasedTo tackclock.Time
		// knowsMe says that it has answered in this life of ours.
		knowsMe bool
	}
)

// SetPeers sets all peers, this one included or not.
func (s *Sharer) SetPeers(now tackclock.Time, peers []Neighbour) {
	if s.retired == nil {
		s.began = now
		s.retired = make(map[tackid.Peer]*link)
	}
	maps.Copy(s.retired, s.links)
	s.links = make(map[tackid.Peer]*link, len(peers))
	s.peers = []Neighbour{{Peer: s.Self, DataCentre: s.Home}}
	for _, p := range peers {
		if p.Peer == s.Self {
			continue
		}
		l := s.retired[p.Peer]
		if l == nil {
			l = new(link)
		}
		delete(s.retired, p.Peer)
		l.Neighbour, l.heard = p, now
		s.links[p.Peer] = l
		s.peers = append(s.peers, p)
	}
	slices.SortFunc(s.peers, compareNeighbours)
	s.refreshLive(now)
}

// SetTable sets the slots to share. Groups that stay keep their shares.
func (s *Sharer) SetTable(now tackclock.Time, table *tackroute.Table) {
	old := s.groups
	s.groups = make(map[Group]*group, len(old))
	s.only = table.HomeOnly
	for service, candidates := range table.Services {
		for _, c := range candidates {
			key := Group{Subject: Subject{Service: service}, DataCentre: c.DataCentre}
			s.addLot(key, old, tackroute.Lot{BackendServer: c.BackendServer, Incarnation: c.Incarnation}, c.Slots)
		}
	}
	for team, slots := range table.Quotas {
		if slots > 0 {
			s.addLot(Group{Subject: Subject{Team: team}}, old, tackroute.Lot{}, slots)
		}
	}
	for key, g := range old {
		if s.groups[key] == nil && g.busy() {
			g.lots, g.slots = nil, nil
			s.groups[key] = g
		}
	}
	s.sortGroups()
	s.refreshOwners(now)
	s.exchangeWithSelf(now, s.all)
}

// Tick returns the frames that are due. It is called every 100 ms, and at
// once, though not more than every 10 ms, when requests begin to wait.
func (s *Sharer) Tick(now tackclock.Time) []Outgoing {
	s.refreshLive(now)
	s.dropSilentSessions(now)
	s.observe(now)
	s.exchangeWithSelf(now, s.all)
	var out []Outgoing
	for _, p := range s.peers {
		if l := s.links[p.Peer]; l != nil && s.due(now, l) {
			out = append(out, s.frame(now, l))
		}
	}
	return out
}

// Receive takes in a frame and returns the frames that should not wait for the
// next Tick.
func (s *Sharer) Receive(now tackclock.Time, from tackid.Peer, f Frame) []Outgoing {
	l := s.links[from]
	if l == nil || (f.Epoch == l.epoch && f.Seq <= l.seen) {
		return nil
	}
	s.note(now, l, f)
	s.refreshLive(now)
	for i := range f.Reports {
		s.report(now, from, &f.Reports[i])
	}
	for i := range f.Grants {
		s.grant(from, &f.Grants[i])
	}
	touched := s.groupsOf(f)
	s.settle(now, touched)
	s.exchangeWithSelf(now, touched)
	return s.news(now, touched)
}

// groupsOf returns the groups that a frame is about. What it changes elsewhere
// can wait for the next Tick, which looks at all.
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

// settle puts grants into force.
func (s *Sharer) settle(now tackclock.Time, groups []*group) {
	for _, g := range groups {
		s.apply(now, g)
		if g.holding.held() > g.holding.bound {
			s.giveBack(now, g, s.usage(now, g.Subject))
		}
	}
}

// note takes in the envelope of a frame.
func (s *Sharer) note(now tackclock.Time, l *link, f Frame) {
	if f.Epoch != l.epoch {
		l.epoch = f.Epoch
		l.oweAck = true
		s.forgetPeer(now, l.Peer)
	}
	l.seen = f.Seq
	l.heard = now
	l.stamp = f.Stamp
	l.oweAck = l.oweAck || len(f.Reports)+len(f.Grants) > 0
	if f.AckEpoch != s.Epoch {
		return
	}
	l.knowsMe = true
	l.acked = max(l.acked, f.Ack)
	if f.Echo != 0 {
		l.leasedTo = max(l.leasedTo, f.Echo.Add(lease))
	}
}

// news returns frames for the peers that must be told something new about
// the groups.
func (s *Sharer) news(now tackclock.Time, groups []*group) []Outgoing {
	var out []Outgoing
	for _, p := range s.peers {
		if l := s.links[p.Peer]; l != nil && s.alive(now, l) && l.pending(groups, 0) {
			out = append(out, s.frame(now, l))
		}
	}
	return out
}

func (s *Sharer) due(now tackclock.Time, l *link) bool {
	if now.Sub(l.sentAt) >= heartbeat || l.seq == 0 {
		return true
	}
	if !s.alive(now, l) {
		return false
	}
	return l.oweAck || l.pending(s.all, 0) || (l.acked < l.seq && now.Sub(l.sentAt) >= resend && l.pending(s.all, l.seq))
}

// frame builds the next frame to a peer. It carries all that was not yet
// acknowledged, so the newest frame alone brings the receiver up to date.
func (s *Sharer) frame(now tackclock.Time, l *link) Outgoing {
	l.seq++
	l.sentAt = now
	l.oweAck = false
	f := Frame{Epoch: s.Epoch, Seq: l.seq, AckEpoch: l.epoch, Ack: l.seen, Stamp: now, Echo: l.stamp}
	for _, g := range s.all {
		if g.holding.owner == l.Peer {
			f.Reports = g.appendReport(f.Reports, l)
		}
		f.Grants = g.appendGrant(f.Grants, l)
	}
	return Outgoing{To: l.Peer, Frame: f}
}

// pending reports whether something about the groups was never sent to the
// peer or, up to the given frame, was not acknowledged.
func (l *link) pending(groups []*group, upTo uint64) bool {
	due := func(sent uint64) bool { return sent == 0 || (sent > l.acked && sent <= upTo) }
	for _, g := range groups {
		if g.holding.owner == l.Peer && g.holding.pending(due) {
			return true
		}
		if g.owning.pending(l.Peer, due) {
			return true
		}
	}
	return false
}

func (s *Sharer) alive(now tackclock.Time, l *link) bool {
	return now.Sub(l.heard) < silence
}

// refreshLive works out which peers can be heard, and the owners if that
// changed.
func (s *Sharer) refreshLive(now tackclock.Time) {
	live := make([]Neighbour, 0, len(s.peers))
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

func (s *Sharer) addLot(key Group, old map[Group]*group, lot tackroute.Lot, slots int) {
	g := s.groups[key]
	if g == nil {
		g = old[key]
		if g == nil {
			g = &group{Group: key}
		}
		g.lots, g.slots = nil, make(map[tackroute.Lot]int)
		s.groups[key] = g
	}
	g.lots = append(g.lots, lot)
	g.slots[lot] = slots
}

func (s *Sharer) sortGroups() {
	s.order = s.order[:0]
	for key, g := range s.groups {
		s.order = append(s.order, key)
		slices.SortFunc(g.lots, compareLots)
	}
	slices.SortFunc(s.order, compareGroups)
	s.all = s.all[:0]
	for _, key := range s.order {
		s.all = append(s.all, s.groups[key])
	}
}
