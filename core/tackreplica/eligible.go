package tackreplica

import "auburntack/core/tackclock"

// A voter that lost its data folder has forgotten which entries it acknowledged and whom it
// voted for. If it counted at once, it could help to elect a leader that lacks an
// acknowledged entry, or vote twice in one term. So a node is ineligible until it is
// certain that nothing is lost, in one of two ways:
//
// Adoption. A leader that learns of an ineligible member appends an entry. Once that entry
// is committed by a quorum without the member, and the member has the log up to it, the
// leader adopts that instance of the member. Everything the member had acknowledged is then
// in its log, and a candidate that still holds its forgotten vote meets a voter with a
// newer log in every quorum.
//
// Bootstrap. At the very first start there is no leader. A node becomes eligible by itself
// if all configured voters have an empty log at the same moment, without a restart in
// between; it then moves to a term above any that they know. A quorum is not enough: two of
// three voters that lost their folders would otherwise start a new log while the third,
// partitioned, holds the acknowledged one.

// probeResult is what a voter reported about its folder during bootstrap.
type probeResult struct {
	instance InstanceID
	term     Term
	first    tackclock.Time // when the first response of this instance arrived
	last     tackclock.Time // when the probe of its latest response was sent
}

func (n *Node) logEmpty() bool {
	return n.log.last() == 0
}

func (n *Node) tickBootstrap() {
	if n.hard.Eligible || !n.logEmpty() {
		return
	}
	if !n.isVoterIn(n.Members()) {
		return
	}
	n.tryBootstrap()
	if n.now < n.probeAt {
		return
	}
	n.probeAt = n.now.Add(n.cfg.Heartbeat)
	for _, m := range n.Members() {
		if m.Voter && m.Peer != n.cfg.Self {
			n.send(Message{Kind: MessageProbe, To: m.Peer, Term: n.hard.Term, Stamp: n.stampAt(n.now)})
		}
	}
}

func (n *Node) onProbe(m Message) {
	n.send(Message{
		Kind: MessageProbeResponse, To: m.From, Term: n.hard.Term,
		Echo: m.Stamp, Instance: n.instance, Index: n.log.last(),
	})
}

func (n *Node) onProbeResponse(m Message) {
	sent, ok := n.timeOf(m.Echo)
	if !ok || n.hard.Eligible || n.member(m.From) == nil {
		return
	}
	if m.Index > 0 {
		delete(n.probeResults, m.From)
		return
	}
	r := n.probeResults[m.From]
	if r == nil || r.instance != m.Instance {
		r = &probeResult{instance: m.Instance, first: n.now, last: sent}
		n.probeResults[m.From] = r
	}
	r.term = max(r.term, m.Term)
	r.last = max(r.last, sent)
	n.tryBootstrap()
}

// tryBootstrap makes the node eligible if there was a moment at which the log of every
// voter was empty: after the last voter first reported it and before the first voter was
// last probed.
func (n *Node) tryBootstrap() {
	if !n.logEmpty() || n.hard.Eligible {
		return
	}
	var latestFirst tackclock.Time
	earliestLast := n.now
	term := n.hard.Term
	for _, m := range n.Members() {
		if !m.Voter || m.Peer == n.cfg.Self {
			continue
		}
		r := n.probeResults[m.Peer]
		if r == nil {
			return
		}
		latestFirst = max(latestFirst, r.first)
		earliestLast = min(earliestLast, r.last)
		term = max(term, r.term)
	}
	if latestFirst > earliestLast {
		return
	}
	n.becomeFollower(term+1, "")
	n.hard.Eligible = true
}

// acceptResponse updates the eligibility of the sender and reports whether the response can
// be used. Responses of an earlier instance of an ineligible member may still arrive; they
// describe a folder that is gone. A response to a message sent after the instance was found
// ineligible is from that instance or a later one, which has been adopted since.
func (n *Node) acceptResponse(p *progress, m Message, sent tackclock.Time) bool {
	if !m.Ineligible {
		if p.ineligible && sent <= p.ineligibleAt {
			return false
		}
		p.ineligible, p.lost = false, false
		return true
	}
	if !p.ineligible || p.instance != m.Instance {
		n.markIneligible(p, m.Instance)
		p.rewind(p.next)
	}
	if p.adopt == 0 && n.commit >= n.termStart {
		p.adopt = n.appendEntry(EntryEmpty, nil)
	}
	return true
}

// markLost records that a member which claims to be eligible lacks entries that it
// acknowledged in this term: its folder was replaced by an older copy.
func (n *Node) markLost(p *progress) {
	n.markIneligible(p, 0)
	p.lost = true
}

func (n *Node) markIneligible(p *progress, instance InstanceID) {
	p.ineligible, p.lost = true, false
	p.instance, p.ineligibleAt = instance, n.now
	p.match, p.adopt = 0, 0
	p.chunk = outgoingSnapshot{}
}

func (n *Node) handleLost(m Message) {
	if m.Lost && n.hard.Eligible {
		n.hard.Eligible = false
	}
}

func (n *Node) offerAdoption(p *progress, m *Message) {
	if p.ineligible && p.adopt > 0 && p.match >= p.adopt && n.commit >= p.adopt {
		m.Adopt = p.instance
	}
}

func (n *Node) acceptAdoption(m Message) {
	if m.Adopt == n.instance {
		n.hard.Eligible = true
	}
}
