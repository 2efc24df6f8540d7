package tackshare

import (
	"math"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

const (
	// decay is the factor by which an unused need decreases per decayStep.
	decay     = 0.5
	decayStep = 100 * tackclock.Millisecond
	// grantTimeout is how long the first grant is awaited before the report is
	// sent again.
	grantTimeout = tackclock.Second / 2
	// spillAfter is the number of decay steps for which a group must have been
	// short before slots in other data centres are requested.
	spillAfter = 2
)

// holding is the state of a group on the side of the holder.
type holding struct {
	owner   tackid.Peer
	session uint32
	// since is when the session began. A session that follows on one without
	// an answer and without slots keeps its start.
	since tackclock.Time
	// member reports whether this peer is one of the group's members. A
	// member reports to the owner even if it needs nothing.
	member bool
	// granted reports whether the owner has answered in this session.
	granted bool
	// fixed reports whether the slots held are the fixed part, rather than
	// slots claimed from an earlier session.
	fixed   bool
	bound   int
	sources map[tackroute.SlotSource]*count
	// need is the decaying maximum of recent needs, shortSteps the number of
	// steps for which it has exceeded the slots held.
	need       float64
	shortSteps int
	// want is the need as last reported, wantAt the time of that report, and
	// sent the sequence number of the frame that first carried it, or zero if
	// none did.
	want   int
	wantAt tackclock.Time
	sent   uint64
}

// restart begins a session with an owner, in which all slots held are claimed.
// If there are none, the wait for an answer goes on from the previous session.
func (h *holding) restart(now tackclock.Time, owner tackid.Peer) {
	sources := make(map[tackroute.SlotSource]*count, len(h.sources))
	for source, c := range h.sources {
		if held := c.held(); held > 0 {
			sources[source] = &count{granted: held}
		}
	}
	since := now
	if h.session > 0 && !h.granted && len(sources) == 0 {
		since = h.since
	}
	*h = holding{owner: owner, session: h.session + 1, since: since, member: h.member, need: h.need,
		want: h.want, bound: math.MaxInt, sources: sources}
}

// open reports whether there is anything to report to the owner.
func (h *holding) open() bool {
	return h.granted || h.member || h.want > 0 || len(h.sources) > 0
}

func (h *holding) held() int {
	n := 0
	for _, c := range h.sources {
		n += c.held()
	}
	return n
}

func (h *holding) pending(due func(uint64) bool) bool {
	if !h.open() {
		return false
	}
	if due(h.sent) {
		return true
	}
	for _, c := range h.sources {
		if c.returned > 0 && due(c.sent) {
			return true
		}
	}
	return false
}

// updateNeed records the current need and decides whether to report it to the
// owner: at once if more is needed than is held, and at intervals if much less is
// needed than before.
func (h *holding) updateNeed(now tackclock.Time, need int, step bool) {
	if step {
		h.need = decay*h.need + (1-decay)*float64(need)
		h.shortSteps++
	}
	held := h.held()
	if need > held {
		h.need = max(h.need, float64(need))
	} else {
		h.shortSteps = 0
	}
	want := int(math.Ceil(h.need - 0.5))
	more := want > h.want && (want > held || h.want == 0)
	less := want < h.want-max(1, h.want/4) || (want == 0 && h.want > 0)
	if more || (less && now.Sub(h.wantAt) >= 2*decayStep) {
		h.want, h.wantAt, h.sent = want, now, 0
	}
}

// appendReport appends the report on the group to the owner, if it is needed.
func (g *group) appendReport(reports []Report, l *link) []Report {
	h := &g.holding
	if !h.open() {
		return reports
	}
	r := Report{Group: g.Group, Session: h.session, Want: h.want}
	needed := h.sent == 0 || h.sent > l.ackedSeq
	if h.sent == 0 {
		h.sent = l.sentSeq
	}
	for _, source := range sortedSources(h.sources) {
		c := h.sources[source]
		if !h.granted && c.granted > 0 {
			r.Claimed = append(r.Claimed, Count{SlotSource: source, Slots: c.granted})
		}
		if c.returned > 0 && (c.sent == 0 || c.sent > l.ackedSeq) {
			r.Returned = append(r.Returned, Count{SlotSource: source, Slots: c.returned})
			if c.sent == 0 {
				c.sent = l.sentSeq
			}
			c.returnedSent = c.returned
			needed = true
		}
	}
	if !needed {
		return reports
	}
	return append(reports, r)
}

// receiveGrant applies a grant from the owner.
func (s *Sharer) receiveGrant(from tackid.Peer, gr *Grant) {
	g := s.groups[gr.Group]
	if g == nil || g.holding.owner != from || g.holding.session != gr.Session {
		return
	}
	h := &g.holding
	if !h.granted {
		for _, c := range h.sources {
			c.granted = 0
		}
	}
	h.granted = true
	h.fixed = false
	h.bound = gr.Bound
	for _, n := range gr.Granted {
		c := h.sources[n.SlotSource]
		if c == nil {
			c = new(count)
			h.sources[n.SlotSource] = c
		}
		c.granted = max(c.granted, n.Slots)
	}
}

// refreshNeeds updates the need of each group, returns slots that the owners
// reclaim and drops those whose lease has expired.
func (s *Sharer) refreshNeeds(now tackclock.Time) {
	step := now.Sub(s.lastStep) >= decayStep
	if step {
		s.lastStep = now
	}
	for i := 0; i < len(s.groupOrder); {
		end := i + 1
		for end < len(s.groupOrder) && s.groupOrder[end].Subject == s.groupOrder[i].Subject {
			end++
		}
		s.refreshSubject(now, s.groupOrder[i:end], step)
		i = end
	}
}

func (s *Sharer) refreshSubject(now tackclock.Time, keys []Group, step bool) {
	usage := s.usage(now, keys[0].Subject)
	remote := 0
	for _, key := range keys {
		if key.DataCentre != s.Home {
			remote += s.groups[key].total()
		}
	}
	first := s.groups[Group{Subject: keys[0].Subject, DataCentre: s.Home}]
	if keys[0].Team != "" {
		first = s.groups[keys[0]]
	}
	spill := usage.Waiting
	if first != nil {
		first.holding.updateNeed(now, first.inUse(usage)+usage.Admitted+usage.Waiting, step)
		if first.holding.shortSteps < spillAfter {
			spill = 0
		}
	}
	for _, key := range keys {
		g := s.groups[key]
		if g != first {
			part := 0
			if spill > 0 && remote > 0 && !s.homeOnly {
				part = (spill*g.total() + remote - 1) / remote
			}
			g.holding.updateNeed(now, g.inUse(usage)+part, step)
		}
		s.checkLease(now, g)
		s.returnIdle(now, g, usage)
	}
}

// checkLease falls back to the fixed part if the owner has not answered for the
// duration of a lease. Without it, a peer that the owner considers dead would go
// on using slots that have been granted to others since, and a peer that gets no
// answer would have no slots at all.
func (s *Sharer) checkLease(now tackclock.Time, g *group) {
	h := &g.holding
	l := s.links[h.owner]
	if !h.granted && now.Sub(h.wantAt) >= grantTimeout {
		h.wantAt, h.sent = now, 0
	}
	waited := now.Sub(h.since)
	lost := l != nil && h.granted && !now.Before(l.leaseUntil)
	unclaimed := !h.granted && !h.fixed && len(h.sources) > 0 && waited >= lease
	unheard := len(h.sources) == 0 && !h.fixed && waited >= peerTimeout && (!h.granted || s.mustAwaitClaims(now, g))
	if lost || unclaimed || unheard {
		h.restart(now, h.owner)
		s.claimFixedPart(g)
		s.apply(now, g)
	}
}

// mustAwaitClaims reports whether this peer owns the group and may not grant yet.
func (s *Sharer) mustAwaitClaims(now tackclock.Time, g *group) bool {
	return g.ownership.active && s.awaitsClaims(now, &g.ownership)
}

// claimFixedPart replaces the slots held by the fixed part.
func (s *Sharer) claimFixedPart(g *group) {
	h := &g.holding
	h.fixed = true
	clear(h.sources)
	for _, source := range g.sources {
		if n := s.fixedPart(g, source); n > 0 {
			h.sources[source] = &count{granted: n}
		}
	}
}

// returnIdle returns idle slots: those beyond the bound, those of removed
// sources, and those beyond the number of slots of a source.
func (s *Sharer) returnIdle(now tackclock.Time, g *group, usage Usage) {
	h := &g.holding
	if !h.granted {
		return
	}
	excess := h.held() - h.bound
	spare := h.held() - g.inUse(usage) - usage.Admitted
	returned := false
	for _, source := range sortedSources(h.sources) {
		c := h.sources[source]
		idle := c.held() - usage.slotsOf(source)
		n := min(idle, spare, max(excess, c.held()-g.slots[source]))
		if n <= 0 {
			continue
		}
		c.returned += n
		c.sent = 0
		excess -= n
		spare -= n
		returned = true
	}
	if returned {
		s.apply(now, g)
		s.undoReturns(now, g)
	}
}

// undoReturns undoes the return of slots that were taken between the reading of
// the usage and the update of the shares. Those returns have not been sent yet.
// Without it, the owner would grant slots that are still in use.
func (s *Sharer) undoReturns(now tackclock.Time, g *group) {
	usage := s.usage(now, g.Subject)
	undone := false
	for source, c := range g.holding.sources {
		if n := min(usage.slotsOf(source)-c.held(), c.returned-c.returnedSent); n > 0 {
			c.returned -= n
			undone = true
		}
	}
	if undone {
		s.apply(now, g)
	}
}

// apply passes the shares of a group to the consumer, if they changed.
func (s *Sharer) apply(now tackclock.Time, g *group) {
	h := &g.holding
	shares := make([]tackroute.Share, len(g.sources))
	for i, source := range g.sources {
		shares[i] = tackroute.Share{SlotSource: source}
		if c := h.sources[source]; c != nil {
			shares[i].Slots = min(c.held(), g.slots[source])
		}
	}
	if s.Consumer != nil && !g.sameAsApplied(h.bound, shares) {
		g.applied, g.appliedBound = shares, h.bound
		s.Consumer.SetShares(now, g.Group, h.bound, shares)
	}
}

func (s *Sharer) usage(now tackclock.Time, subject Subject) Usage {
	if s.Consumer == nil {
		return Usage{}
	}
	return s.Consumer.Usage(now, subject)
}

func (u *Usage) slotsOf(source tackroute.SlotSource) int {
	for _, n := range u.InUse {
		if n.SlotSource == source {
			return n.Slots
		}
	}
	return 0
}
