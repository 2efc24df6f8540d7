package tackreplica

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// resendAfter is how long a leader waits for a response before it sends again.
func (n *Node) resendAfter() tackclock.Duration {
	return 2 * n.cfg.Heartbeat
}

// rewindStalled restarts sending after the last acknowledged entry if a batch in flight was
// not acknowledged in time. The leader would otherwise never resend a batch that the
// network dropped.
func (n *Node) rewindStalled(p *progress) {
	if len(p.inflight) > 0 && n.now.Sub(p.sentAt) >= n.resendAfter() {
		p.rewind(p.match + 1)
	}
}

// replicate sends the entries that the member lacks, as far as the send window allows.
func (n *Node) replicate(p *progress) {
	if p.next <= n.log.base {
		n.sendChunk(p)
		return
	}
	if p.probing {
		if n.now.Sub(p.sentAt) >= n.resendAfter() {
			n.sendBatch(p)
		}
		return
	}
	if n.throttled(p) && n.now.Sub(p.sentAt) < n.cfg.LearnerInterval {
		return
	}
	for p.next <= n.log.last() && p.inflightBytes < maxInflightBatches*n.cfg.MaxBatchBytes {
		n.sendBatch(p)
	}
	p.sentAll = p.next > n.log.last()
}

func (n *Node) sendBatch(p *progress) {
	before := p.next - 1
	term, _ := n.log.term(before)
	entries, size := n.log.batch(p.next, n.cfg.MaxBatchBytes)
	m := n.newMessage(MessageAppend, p)
	m.Index, m.LogTerm, m.Entries = before, term, entries
	m.Commit = min(n.commit, before+tackid.Revision(len(entries)))
	n.send(m)
	p.sentAt = n.now
	p.commit = max(p.commit, m.Commit)
	if len(entries) > 0 && !p.probing {
		p.addInflight(entries, size)
	}
}

// sendHeartbeat sends a heartbeat, with a lease if lease is set. Commit does not exceed
// what the member is known to have, so the receiver need not check its log.
func (n *Node) sendHeartbeat(p *progress, lease bool) {
	m := n.newMessage(MessageHeartbeat, p)
	m.Commit = min(n.commit, p.match)
	if lease {
		n.grantLease(p, &m)
	}
	p.commit = max(p.commit, m.Commit)
	n.send(m)
}

// throttled reports whether entries for the member are sent in batches every
// LearnerInterval. No commit waits for a learner, and sending each change at once would
// cost the leader two messages per change and learner.
func (n *Node) throttled(p *progress) bool {
	m := n.member(p.peer)
	return n.cfg.LearnerInterval > 0 && m != nil && !m.Voter
}

// announceCommit notifies a member at once that entries it has are committed, so that a
// change takes effect after two round trips instead of at the next heartbeat.
func (n *Node) announceCommit(p *progress) {
	if min(n.commit, p.match) > p.commit && !n.throttled(p) {
		n.sendHeartbeat(p, false)
	}
}

func (n *Node) newMessage(kind MessageKind, p *progress) Message {
	m := Message{Kind: kind, To: p.peer, Term: n.hard.Term, Stamp: n.stampAt(n.now), Lost: p.lost}
	n.offerAdoption(p, &m)
	return m
}

// followLeader handles the part common to all messages from the leader of the current term.
func (n *Node) followLeader(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.resetElection()
	n.voteFrom = max(n.voteFrom, n.now.Add(n.voteHoldoff()))
	n.echo = max(n.echo, m.Stamp)
	n.responseDue = true
	n.handleLost(m)
}

func (n *Node) onAppend(m Message) {
	n.followLeader(m)
	if m.Index < n.commit {
		// Committed entries already match the leader's log.
		m = skipTo(m, n.commit, n.log)
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		n.reject(m)
		return
	}
	n.mergeEntries(m.Entries)
	n.verified = max(n.verified, m.Index+tackid.Revision(len(m.Entries)))
	n.commitTo(m.Commit)
	n.acceptAdoption(m)
}

// skipTo removes the entries up to i from m, which are already committed.
func skipTo(m Message, i tackid.Revision, l entryLog) Message {
	drop := min(int(i-m.Index), len(m.Entries))
	m.Entries = m.Entries[drop:]
	m.Index = i
	m.LogTerm, _ = l.term(i)
	return m
}

func (n *Node) reject(m Message) {
	n.responseDue = false
	a := n.response()
	a.Reject, a.Last = true, n.log.last()
	a.Index = min(m.Index-1, n.log.last())
	if t, ok := n.log.term(m.Index); ok {
		for a.Index > n.verified && a.Index > n.log.base {
			if before, _ := n.log.term(a.Index); before != t {
				break
			}
			a.Index--
		}
	}
	n.send(a)
}

// mergeEntries appends entries that the log lacks, truncating the log at the first
// conflict.
func (n *Node) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if t, ok := n.log.term(e.Index); ok {
			if t == e.Term {
				continue
			}
			n.log.truncate(e.Index - 1)
			n.revertMembership(e.Index - 1)
		}
		for _, e := range entries[i:] {
			n.log.append(e)
			n.applyMembership(e)
		}
		return
	}
}

func (n *Node) commitTo(i tackid.Revision) {
	n.commit = max(n.commit, min(i, n.verified))
}

func (n *Node) onHeartbeat(m Message) {
	n.followLeader(m)
	n.commitTo(m.Commit)
	n.acceptLease(m)
	n.acceptAdoption(m)
}

func (n *Node) response() Message {
	m := Message{
		Kind: MessageResponse, To: n.leader, Term: n.hard.Term,
		Index: n.verified, Applied: n.applied,
		Stamp: n.stampAt(n.now), Echo: n.echo,
	}
	if !n.hard.Eligible {
		m.Ineligible, m.Instance = true, n.instance
	}
	return m
}

func (n *Node) sendResponse() {
	if n.leader == "" || n.role == Leader {
		return
	}
	n.send(n.response())
}

func (n *Node) onResponse(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil || m.Echo == 0 {
		return
	}
	sent, ok := n.timeOf(m.Echo)
	if !ok || !n.acceptResponse(p, m, sent) {
		return
	}
	p.heard = n.now
	p.stamp, p.stamped = m.Stamp, n.now
	p.updateApplied(m.Applied, sent)
	switch {
	case m.Chunk != nil:
		n.onChunkResponse(p, m)
	case m.Reject:
		n.onReject(p, m, sent)
	default:
		n.onMatch(p, m, sent)
	}
	n.tickTransfer()
}

// updateApplied sets the member's applied index from the response to the newest message. A
// delayed response cannot lower it, but a response after a restart of the member can.
func (p *progress) updateApplied(applied tackid.Revision, sent tackclock.Time) {
	if sent > p.acked {
		p.acked, p.applied = sent, applied
	}
	if sent == p.acked {
		p.applied = max(p.applied, applied)
	}
}

func (n *Node) onReject(p *progress, m Message, sent tackclock.Time) {
	if m.Last < p.match && sent > p.matchAt {
		n.markLost(p)
	}
	p.rewind(max(p.match+1, min(p.next-1, m.Index+1)))
}

func (n *Node) onMatch(p *progress, m Message, sent tackclock.Time) {
	if m.Index < p.match {
		// The member restarted: it has the entries but no longer knows that they match the
		// leader's. Without a new probe it would never commit them while the log is idle.
		if sent >= p.matchAt && !p.probing {
			p.rewind(p.match + 1)
		}
		return
	}
	if m.Index > p.match {
		p.match, p.matchAt = m.Index, n.now
	}
	p.freeInflight(p.match)
	p.next = max(p.next, p.match+1)
	if p.probing && p.match+1 >= p.next {
		p.probing = false
		p.next = p.match + 1
	}
	n.advanceCommit()
}

// advanceCommit commits the entries that a quorum holds. Only an entry of the leader's own
// term can be committed by counting replicas: one of an earlier term may be on a quorum and
// still be replaced by a later leader that never had it.
func (n *Node) advanceCommit() {
	var matches []tackid.Revision
	for _, m := range n.Members() {
		if m.Voter {
			matches = append(matches, n.matchOf(m.Peer))
		}
	}
	slices.Sort(matches)
	i := matches[(len(matches)-1)/2]
	if t, ok := n.log.term(i); !ok || t != n.hard.Term || i <= n.commit {
		return
	}
	n.commit = i
}

func (n *Node) matchOf(peer tackid.Peer) tackid.Revision {
	if peer == n.cfg.Self {
		return n.log.stable
	}
	p := n.progress[peer]
	if p.ineligible {
		return 0
	}
	return p.match
}
