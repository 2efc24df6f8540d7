package tackreplica

import "auburntack/core/tackclock"

// A voter whose folder was lost has forgotten which entries it acknowledged
// and for whom it voted. If its copy counted at once, it could help to elect a
// leader without an acknowledged entry, or give a second vote in one term. So
// a node is ineligible until it is shown that nothing is lost, in one of two
// ways:
//
// Adoption. A leader that hears of an ineligible member appends an entry. Once
// that entry is committed by a quorum that does not count the member, and the
// member has the log up to it, the leader adopts that life of the member.
// Whatever it had acknowledged is then in its log, and a candidate that still
// holds its forgotten vote meets a voter with a newer log in every quorum.
//
// Bootstrap. At the very first start nobody can lead. A node becomes eligible
// by itself if all configured voters, at one moment and within unchanged lives,
// have no log at all; it goes above every term that they know. All, and not a
// quorum: two voters of three that come back empty would otherwise begin a new
// log while the third, cut off, holds the acknowledged one.

// report is what a voter said of its folder during bootstrap.
type report struct {
	life  Life
	term  Term
	first tackclock.Time // when the first answer of this life arrived
	last  tackclock.Time // when the probe of its latest answer was sent
}

func (n *Node) logEmpty() bool {
	return n.log.last() == 0
}

func (n *Node) tickBootstrap() {
	if n.hard.Eligible || !n.logEmpty() {
		return
	}
	if !n.votesIn(n.Members()) {
		return
	}
	n.countReports()
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
		Kind: MessageProbeAnswer, To: m.From, Term: n.hard.Term,
		Echo: m.Stamp, Life: n.life, Index: n.log.last(),
	})
}

func (n *Node) onProbeAnswer(m Message) {
	sent, ok := n.timeOf(m.Echo)
	if !ok || n.hard.Eligible || n.member(m.From) == nil {
		return
	}
	if m.Index > 0 {
		delete(n.reports, m.From)
		return
	}
	r := n.reports[m.From]
	if r == nil || r.life != m.Life {
		r = &report{life: m.Life, first: n.now, last: sent}
		n.reports[m.From] = r
	}
	r.term = max(r.term, m.Term)
	r.last = max(r.last, sent)
	n.countReports()
}

// countReports makes the node eligible if there was a moment at which every
// voter's log was empty: after the last of them first said so, and before the
// first of them was last asked.
func (n *Node) countReports() {
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
		r := n.reports[m.Peer]
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

// countsNow notes whether the answer's sender is eligible, and reports whether
// the answer can be used. Answers that an earlier life of an ineligible member
// sent may still arrive; they say what its folder no longer holds. One that
// answers what was sent after the ineligible life was noted is of that life or
// a later one, which has been adopted since.
func (n *Node) countsNow(p *progress, m Message, sent tackclock.Time) bool {
	if !m.Ineligible {
		if p.ineligible && sent <= p.lifeAt {
			return false
		}
		p.ineligible, p.lost = false, false
		return true
	}
	if !p.ineligible || p.life != m.Life {
		n.noteIneligible(p, m.Life)
		p.rewind(p.next)
	}
	if p.adopt == 0 && n.commit >= n.termStart {
		p.adopt = n.appendEntry(EntryEmpty, nil)
	}
	return true
}

// foundLost notes that a member which claims to be eligible lacks entries that
// it acknowledged in this term: its folder is an older copy.
func (n *Node) foundLost(p *progress) {
	n.noteIneligible(p, 0)
	p.lost = true
}

func (n *Node) noteIneligible(p *progress, life Life) {
	p.ineligible, p.lost = true, false
	p.life, p.lifeAt = life, n.now
	p.match, p.adopt = 0, 0
	p.chunk = outgoingSnapshot{}
}

func (n *Node) noteLost(m Message) {
	if m.Lost && n.hard.Eligible {
		n.hard.Eligible = false
	}
}

func (n *Node) offerAdoption(p *progress, m *Message) {
	if p.ineligible && p.adopt > 0 && p.match >= p.adopt && n.commit >= p.adopt {
		m.Adopt = p.life
	}
}

func (n *Node) acceptAdoption(m Message) {
	if m.Adopt == n.life {
		n.hard.Eligible = true
	}
}
