package tackshare

import (
	"math"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

const (
	// decay is the part of a need that is left after decayStep without it.
	decay     = 0.5
	decayStep = 100 * tackclock.Millisecond
	// unanswered is how long a report waits for the first grant before it is
	// sent again.
	unanswered = tackclock.Second / 2
	// persistent is how many decay steps a group must have been short before
	// other data centres are asked for slots.
	persistent = 2
)

// holding is what this peer holds of a group.
type holding struct {
	owner   tackid.Peer
	session uint32
	// since is when the session began, or an earlier one that was not
	// answered and held nothing either.
	since tackclock.Time
	// member says that this peer is one of those that share the group while
	// nobody asks. It reports to the owner even if it needs nothing.
	member bool
	// granted says that the owner has answered in this session.
	granted bool
	// fixed says that what is held is the fixed part, not a claim.
	fixed bool
	bound int
	lots  map[tackroute.Lot]*count
	// need is the largest recent need, short for how many steps it was more
	// than what is held.
	need  float64
	short int
	// want is the need as last reported at wantAt, sent the frame that first
	// carried it, or zero if none did.
	want   int
	wantAt tackclock.Time
	sent   uint64
}

// restart begins a session with an owner, from which all that is held is
// claimed. One that holds nothing goes on waiting for an answer.
func (h *holding) restart(now tackclock.Time, owner tackid.Peer) {
	lots := make(map[tackroute.Lot]*count, len(h.lots))
	for lot, c := range h.lots {
		if held := c.held(); held > 0 {
			lots[lot] = &count{granted: held}
		}
	}
	since := now
	if h.session > 0 && !h.granted && len(lots) == 0 {
		since = h.since
	}
	*h = holding{owner: owner, session: h.session + 1, since: since, member: h.member, need: h.need,
		want: h.want, bound: math.MaxInt, lots: lots}
}

// open reports whether there is anything to tell the owner.
func (h *holding) open() bool {
	return h.granted || h.member || h.want > 0 || len(h.lots) > 0
}

func (h *holding) held() int {
	n := 0
	for _, c := range h.lots {
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
	for _, c := range h.lots {
		if c.returned > 0 && due(c.sent) {
			return true
		}
	}
	return false
}

// wanted takes in the need of the moment and decides whether the owner must
// hear of it: at once if more is needed than is held, now and then if much
// less is needed than before.
func (h *holding) wanted(now tackclock.Time, need int, step bool) {
	if step {
		h.need = decay*h.need + (1-decay)*float64(need)
		h.short++
	}
	held := h.held()
	if need > held {
		h.need = max(h.need, float64(need))
	} else {
		h.short = 0
	}
	want := int(math.Ceil(h.need - 0.5))
	more := want > h.want && (want > held || h.want == 0)
	less := want < h.want-max(1, h.want/4) || (want == 0 && h.want > 0)
	if more || (less && now.Sub(h.wantAt) >= 2*decayStep) {
		h.want, h.wantAt, h.sent = want, now, 0
	}
}

// appendReport adds the part of a frame that tells the owner of the group.
func (g *group) appendReport(reports []Report, l *link) []Report {
	h := &g.holding
	if !h.open() {
		return reports
	}
	r := Report{Group: g.Group, Session: h.session, Want: h.want}
	needed := h.sent == 0 || h.sent > l.acked
	if h.sent == 0 {
		h.sent = l.seq
	}
	for _, lot := range sortedLots(h.lots) {
		c := h.lots[lot]
		if !h.granted && c.granted > 0 {
			r.Claimed = append(r.Claimed, Count{Lot: lot, Slots: c.granted})
		}
		if c.returned > 0 && (c.sent == 0 || c.sent > l.acked) {
			r.Returned = append(r.Returned, Count{Lot: lot, Slots: c.returned})
			if c.sent == 0 {
				c.sent = l.seq
			}
			c.told = c.returned
			needed = true
		}
	}
	if !needed {
		return reports
	}
	return append(reports, r)
}

// grant takes in what the owner grants.
func (s *Sharer) grant(from tackid.Peer, gr *Grant) {
	g := s.groups[gr.Group]
	if g == nil || g.holding.owner != from || g.holding.session != gr.Session {
		return
	}
	h := &g.holding
	if !h.granted {
		for _, c := range h.lots {
			c.granted = 0
		}
	}
	h.granted = true
	h.fixed = false
	h.bound = gr.Bound
	for _, n := range gr.Granted {
		c := h.lots[n.Lot]
		if c == nil {
			c = new(count)
			h.lots[n.Lot] = c
		}
		c.granted = max(c.granted, n.Slots)
	}
}

// observe works out what is needed of each group, gives back what the owners
// ask for and drops what is not leased any more.
func (s *Sharer) observe(now tackclock.Time) {
	step := now.Sub(s.stepped) >= decayStep
	if step {
		s.stepped = now
	}
	for i := 0; i < len(s.order); {
		end := i + 1
		for end < len(s.order) && s.order[end].Subject == s.order[i].Subject {
			end++
		}
		s.observeSubject(now, s.order[i:end], step)
		i = end
	}
}

func (s *Sharer) observeSubject(now tackclock.Time, keys []Group, step bool) {
	usage := s.usage(now, keys[0].Subject)
	foreign := 0
	for _, key := range keys {
		if key.DataCentre != s.Home {
			foreign += s.groups[key].total()
		}
	}
	first := s.groups[Group{Subject: keys[0].Subject, DataCentre: s.Home}]
	if keys[0].Team != "" {
		first = s.groups[keys[0]]
	}
	spill := usage.Waiting
	if first != nil {
		first.holding.wanted(now, first.inUse(usage)+usage.Admitted+usage.Waiting, step)
		if first.holding.short < persistent {
			spill = 0
		}
	}
	for _, key := range keys {
		g := s.groups[key]
		if g != first {
			part := 0
			if spill > 0 && foreign > 0 && !s.only {
				part = (spill*g.total() + foreign - 1) / foreign
			}
			g.holding.wanted(now, g.inUse(usage)+part, step)
		}
		s.checkLease(now, g)
		s.giveBack(now, g, usage)
	}
}

// checkLease falls back to the fixed part when the owner has not answered for
// a lease. Without it a peer that the owner took for dead would go on filling
// slots that were granted to others since, and one that nobody answers would
// serve nothing.
func (s *Sharer) checkLease(now tackclock.Time, g *group) {
	h := &g.holding
	l := s.links[h.owner]
	if !h.granted && now.Sub(h.wantAt) >= unanswered {
		h.wantAt, h.sent = now, 0
	}
	waited := now.Sub(h.since)
	lost := l != nil && h.granted && !now.Before(l.leasedTo)
	unclaimed := !h.granted && !h.fixed && len(h.lots) > 0 && waited >= lease
	unheard := len(h.lots) == 0 && !h.fixed && waited >= silence && (!h.granted || s.inheritsSelf(now, g))
	if lost || unclaimed || unheard {
		h.restart(now, h.owner)
		s.claimFixedPart(g)
		s.apply(now, g)
	}
}

// inheritsSelf reports whether this peer owns the group and may not grant yet.
func (s *Sharer) inheritsSelf(now tackclock.Time, g *group) bool {
	return g.owning.active && s.inherits(now, &g.owning)
}

// claimFixedPart claims the fixed part in place of all that was held.
func (s *Sharer) claimFixedPart(g *group) {
	h := &g.holding
	h.fixed = true
	clear(h.lots)
	for _, lot := range g.lots {
		if n := s.fixedPart(g, lot); n > 0 {
			h.lots[lot] = &count{granted: n}
		}
	}
}

// giveBack returns idle slots: those beyond the bound, of lots that are gone,
// and beyond the slots of a lot.
func (s *Sharer) giveBack(now tackclock.Time, g *group, usage Usage) {
	h := &g.holding
	if !h.granted {
		return
	}
	excess := h.held() - h.bound
	spare := h.held() - g.inUse(usage) - usage.Admitted
	returned := false
	for _, lot := range sortedLots(h.lots) {
		c := h.lots[lot]
		idle := c.held() - usage.of(lot)
		n := min(idle, spare, max(excess, c.held()-g.slots[lot]))
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
		s.takeBack(now, g)
	}
}

// takeBack undoes the return of slots that were filled between the look at the
// usage and the new shares. Nobody has heard of the return yet. Without it
// the owner would grant a slot that still works.
func (s *Sharer) takeBack(now tackclock.Time, g *group) {
	usage := s.usage(now, g.Subject)
	undone := false
	for lot, c := range g.holding.lots {
		if n := min(usage.of(lot)-c.held(), c.returned-c.told); n > 0 {
			c.returned -= n
			undone = true
		}
	}
	if undone {
		s.apply(now, g)
	}
}

// apply tells the user the shares of a group, if they changed.
func (s *Sharer) apply(now tackclock.Time, g *group) {
	h := &g.holding
	shares := make([]tackroute.Share, len(g.lots))
	for i, lot := range g.lots {
		shares[i] = tackroute.Share{Lot: lot}
		if c := h.lots[lot]; c != nil {
			shares[i].Slots = min(c.held(), g.slots[lot])
		}
	}
	if s.User != nil && !g.sameAsApplied(h.bound, shares) {
		g.applied, g.appliedBound = shares, h.bound
		s.User.SetShares(now, g.Group, h.bound, shares)
	}
}

func (s *Sharer) usage(now tackclock.Time, subject Subject) Usage {
	if s.User == nil {
		return Usage{}
	}
	return s.User.Usage(now, subject)
}

func (u *Usage) of(lot tackroute.Lot) int {
	for _, n := range u.InUse {
		if n.Lot == lot {
			return n.Slots
		}
	}
	return 0
}
