package tackreplica

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// transfer is a hand-over of leadership that waits for its target to have the
// whole log.
type transfer struct {
	to    tackid.Peer
	until tackclock.Time
}

// resetElection puts off the next election by as long as a leader that is
// alive may stay silent, and by a random part so that one VM comes first.
func (n *Node) resetElection() {
	n.electionAt = n.now.Add(n.cfg.Election + n.spread(n.cfg.Election/2))
}

// retryElection sets when to try again. Asking is harmless, since it raises no
// term; a whole timeout after each split vote would cost seconds.
func (n *Node) retryElection() {
	n.electionAt = n.now.Add(n.cfg.Election/4 + n.spread(n.cfg.Election/4))
}

func (n *Node) spread(d tackclock.Duration) tackclock.Duration {
	return tackclock.Duration(n.rand.Int64N(int64(d) + 1))
}

// promise is how long a voter that heard a leader votes for nobody. It is
// longer than the leader's lease by what the two clocks may drift apart; if it
// were shorter, a new leader could be elected while the old one still answers.
func (n *Node) promise() tackclock.Duration {
	return n.cfg.Lease + n.cfg.Lease/driftParts
}

func (n *Node) becomeFollower(term Term, leader tackid.Peer) {
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
		n.verified = n.commit
		n.echo = 0
	}
	if n.role == Leader {
		n.resetElection()
	}
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.votes = nil
	n.transfer = transfer{}
}

// mayCampaign also lets a voter stand that a change removes which is not known
// to be committed. A leader that began its own removal may hold the longest log
// of all that are left; if it did not stand, nobody could be elected.
func (n *Node) mayCampaign() bool {
	return n.hard.Eligible && (n.votesIn(n.Members()) || n.votesIn(n.membersAt(n.commit)))
}

func (n *Node) votesIn(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Peer == n.cfg.Self && m.Voter })
}

// preCampaign asks whether an election could be won, without raising the term:
// a VM that was cut off would otherwise come back with a higher term and
// depose a leader that serves well.
func (n *Node) preCampaign() {
	if !n.mayCampaign() || n.now < n.voteFrom {
		n.role = Follower
		return
	}
	n.role = PreCandidate
	n.votes = map[tackid.Peer]bool{n.cfg.Self: true}
	n.askVotes(MessagePreVote, n.hard.Term+1, false)
	n.countPreVotes()
}

func (n *Node) campaign(transfer bool) {
	n.role = Candidate
	n.leader = ""
	n.hard.Term++
	n.hard.Vote = n.cfg.Self
	n.verified = n.commit
	n.echo = 0
	n.votes = map[tackid.Peer]bool{n.cfg.Self: true}
	n.retryElection()
	n.askVotes(MessageVote, n.hard.Term, transfer)
	n.countVotes()
}

func (n *Node) askVotes(kind MessageKind, term Term, transfer bool) {
	for _, m := range n.Members() {
		if !m.Voter || m.Peer == n.cfg.Self {
			continue
		}
		n.send(Message{
			Kind: kind, To: m.Peer, Term: term,
			Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer,
		})
	}
}

// sticky reports whether this node must vote for nobody: it heard a leader,
// or started, less than a lease ago, or it holds the lease itself.
func (n *Node) sticky() bool {
	return n.now < n.voteFrom || n.role == Leader && n.leaderLeaseUntil() > n.now
}

func (n *Node) onPreVote(m Message) {
	if !n.hard.Eligible || n.sticky() {
		return
	}
	granted := m.Term > n.hard.Term && n.log.upToDate(m.Index, m.LogTerm)
	answer := Message{Kind: MessagePreVoteAnswer, To: m.From, Term: m.Term}
	if !granted {
		answer.Term, answer.Reject = n.hard.Term, true
	}
	n.send(answer)
}

func (n *Node) onVote(m Message) {
	// The term is not even looked at while a leader is known to live, so a
	// removed or returning VM can't depose it by a higher term.
	if !n.hard.Eligible || n.sticky() && !m.Transfer {
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
	}
	granted := m.Term == n.hard.Term && (n.hard.Vote == "" || n.hard.Vote == m.From) &&
		n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.hard.Vote = m.From
		n.resetElection()
	}
	n.send(Message{Kind: MessageVoteAnswer, To: m.From, Term: n.hard.Term, Reject: !granted})
}

func (n *Node) onPreVoteAnswer(m Message) {
	if n.role != PreCandidate || m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	n.countPreVotes()
}

func (n *Node) onVoteAnswer(m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

func (n *Node) countPreVotes() {
	if quorumOf(n.Members(), n.votes) {
		n.campaign(false)
	}
}

func (n *Node) countVotes() {
	if quorumOf(n.Members(), n.votes) {
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.Self
	n.votes = nil
	n.electedAt = n.now
	n.heartbeatAt = n.now
	n.progress = make(map[tackid.Peer]*progress)
	for _, m := range n.Members() {
		n.track(m.Peer)
		// The leader before may have granted a lease a moment ago.
		n.progress[m.Peer].grants = []grant{{until: n.now.Add(n.promise())}}
	}
	n.termStart = n.appendFirst()
}

// appendFirst appends the entry by whose commitment a leader learns what is
// committed. The very first leader's also brings the configured members into
// the log, so that from then on every VM has them from there.
func (n *Node) appendFirst() tackid.Revision {
	if n.configs[len(n.configs)-1].index == 0 {
		return n.appendEntry(EntryMembership, encodeMembers(n.Members()))
	}
	return n.appendEntry(EntryEmpty, nil)
}

// Transfer hands leadership over to a voter, or to the one that has most of
// the log if to is empty. Proposals are refused from here on.
func (n *Node) Transfer(now tackclock.Time, to tackid.Peer) {
	n.see(now)
	if n.role != Leader {
		return
	}
	if to == "" {
		to = n.bestFollower()
	}
	if m := n.member(to); m == nil || !m.Voter || to == n.cfg.Self {
		return
	}
	n.transfer = transfer{to: to, until: n.now.Add(n.cfg.Election)}
	n.tickTransfer()
}

// tickTransfer sends the order as soon as the target has everything. The
// leader steps down before the order can leave: voters will disregard their
// promise to it, so it must not count on its lease any more in this term.
func (n *Node) tickTransfer() {
	if n.transfer.to == "" {
		return
	}
	p := n.progress[n.transfer.to]
	if p == nil || n.now > n.transfer.until {
		n.transfer = transfer{}
		return
	}
	if p.match < n.log.last() || p.ineligible {
		return
	}
	n.send(Message{Kind: MessageTransfer, To: n.transfer.to, Term: n.hard.Term})
	n.becomeFollower(n.hard.Term, "")
}

func (n *Node) onTransfer(Message) {
	if n.role != Follower || !n.mayCampaign() {
		return
	}
	n.campaign(true)
}

func (n *Node) bestFollower() tackid.Peer {
	var best tackid.Peer
	for _, m := range n.Members() {
		p := n.progress[m.Peer]
		if !m.Voter || m.Peer == n.cfg.Self || p.ineligible || n.now.Sub(p.heard) > n.cfg.Lease {
			continue
		}
		if best == "" || p.match > n.progress[best].match {
			best = m.Peer
		}
	}
	return best
}
