package tackreplica

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// transfer is a leadership transfer that waits until its target has the whole log.
type transfer struct {
	to    tackid.Peer
	until tackclock.Time
}

// resetElection restarts the election timeout, with random jitter so that nodes do not all
// campaign at once.
func (n *Node) resetElection() {
	n.electionAt = n.now.Add(n.cfg.Election + n.jitter(n.cfg.Election/2))
}

// retryElection schedules the next campaign attempt. A pre-vote does not raise the term, so
// retrying early is harmless, while a full timeout after each split vote would cost
// seconds.
func (n *Node) retryElection() {
	n.electionAt = n.now.Add(n.cfg.Election/4 + n.jitter(n.cfg.Election/4))
}

func (n *Node) jitter(d tackclock.Duration) tackclock.Duration {
	return tackclock.Duration(n.rand.Int64N(int64(d) + 1))
}

// voteHoldoff is how long a voter grants no votes after hearing from a leader. It exceeds
// the leader's lease by the maximum drift between two clocks; otherwise a new leader could
// be elected while the old one still serves under its lease.
func (n *Node) voteHoldoff() tackclock.Duration {
	return n.cfg.Lease + n.cfg.Lease/driftDivisor
}

func (n *Node) becomeFollower(term Term, leader tackid.Peer) {
	resignation := Resignation{Term: n.hard.Term, At: n.now, Reason: ResignedHigherTerm}
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
		n.verified = n.commit
		n.echo = 0
	}
	if n.role == Leader {
		n.resetElection()
		n.resigned = resignation
	}
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.votes = nil
	n.transfer = transfer{}
}

// mayCampaign reports whether this node may stand for election: it is a voter in the newest
// membership or in the newest one known to be committed. A leader that proposed its own
// removal may have the longest log of all remaining voters; if it could not campaign, no
// leader could be elected.
func (n *Node) mayCampaign() bool {
	return n.hard.Eligible && (n.isVoterIn(n.Members()) || n.isVoterIn(n.membersAt(n.commit)))
}

func (n *Node) isVoterIn(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Peer == n.cfg.Self && m.Voter })
}

// preCampaign checks whether an election could be won, without raising the term. A node
// that was partitioned would otherwise return with a higher term and depose a working
// leader.
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

// mustNotVote reports whether this node may not vote: it heard from a leader, or started,
// less than voteHoldoff ago, or it holds the leader lease itself.
func (n *Node) mustNotVote() bool {
	return n.now < n.voteFrom || n.role == Leader && n.leaderLeaseUntil() > n.now
}

func (n *Node) onPreVote(m Message) {
	if !n.hard.Eligible || n.mustNotVote() {
		return
	}
	granted := m.Term > n.hard.Term && n.log.upToDate(m.Index, m.LogTerm)
	response := Message{Kind: MessagePreVoteResponse, To: m.From, Term: m.Term}
	if !granted {
		response.Term, response.Reject = n.hard.Term, true
	}
	n.send(response)
}

func (n *Node) onVote(m Message) {
	// Ignore the term as well while a leader is known to be alive, so that a removed or
	// returning node cannot depose it with a higher term.
	if !n.hard.Eligible || n.mustNotVote() && !m.Transfer {
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
	n.send(Message{Kind: MessageVoteResponse, To: m.From, Term: n.hard.Term, Reject: !granted})
}

func (n *Node) onPreVoteResponse(m Message) {
	if n.role != PreCandidate || m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	n.countPreVotes()
}

func (n *Node) onVoteResponse(m Message) {
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
		// The previous leader may have granted a lease just before.
		n.progress[m.Peer].grants = []grant{{until: n.now.Add(n.voteHoldoff())}}
	}
	n.termStart = n.appendTermStart()
}

// appendTermStart appends the first entry of the term; once it is committed, the leader
// knows what is committed. The very first leader's entry also stores the configured
// members, so that from then on every node takes them from the log.
func (n *Node) appendTermStart() tackid.Revision {
	if n.configs[len(n.configs)-1].index == 0 {
		return n.appendEntry(EntryMembership, encodeMembers(n.Members()))
	}
	return n.appendEntry(EntryEmpty, nil)
}

// Transfer starts a transfer of leadership to the given voter, or to the voter with the
// longest log if to is empty. Proposals are refused from then on.
func (n *Node) Transfer(now tackclock.Time, to tackid.Peer) {
	n.advanceClock(now)
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

// tickTransfer completes the transfer as soon as the target has the whole log. The leader
// steps down before the message can leave: voters ignore their holdoff for a transfer, so
// the leader must no longer rely on its lease in this term.
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
	n.resign(ResignedTransfer, n.transfer.to)
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
