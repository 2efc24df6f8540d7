package tackreplica

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// resendAfter is how long a leader waits for an answer before it sends again.
func (n *Node) resendAfter() tackclock.Duration {
	return 2 * n.cfg.Heartbeat
}

// rewindSilent starts again from the last acknowledged entry when what was
// sent has not been answered. A batch that a link dropped would otherwise
// never arrive, because the leader takes it as being under way.
func (n *Node) rewindSilent(p *progress) {
	if len(p.inflight) > 0 && n.now.Sub(p.sentAt) >= n.resendAfter() {
		p.rewind(p.match + 1)
	}
}

// replicate sends what the member lacks, as far as the window allows.
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
	if n.spares(p) && n.now.Sub(p.sentAt) < n.cfg.LearnerEvery {
		return
	}
	for p.next <= n.log.last() && p.inflightBytes < windowBatches*n.cfg.MaxBatchBytes {
		n.sendBatch(p)
	}
	p.sentAll = p.next > n.log.last()
}

func (n *Node) sendBatch(p *progress) {
	before := p.next - 1
	term, _ := n.log.term(before)
	entries, size := n.log.batch(p.next, n.cfg.MaxBatchBytes)
	m := n.toMember(MessageAppend, p)
	m.Index, m.LogTerm, m.Entries = before, term, entries
	m.Commit = min(n.commit, before+tackid.Revision(len(entries)))
	n.send(m)
	p.sentAt = n.now
	p.commit = max(p.commit, m.Commit)
	if len(entries) > 0 && !p.probing {
		p.addInflight(entries, size)
	}
}

// sendHeartbeat keeps contact. Commit stays within what the member is known to
// have, so the message needs no check of the log.
func (n *Node) sendHeartbeat(p *progress, lease bool) {
	m := n.toMember(MessageHeartbeat, p)
	m.Commit = min(n.commit, p.match)
	if lease {
		n.grantLease(p, &m)
	}
	p.commit = max(p.commit, m.Commit)
	n.send(m)
}

// spares reports whether what the member lacks is gathered for a while, since nothing waits
// for it. Without that each change would cost the leader two messages for each control VM.
func (n *Node) spares(p *progress) bool {
	m := n.member(p.peer)
	return n.cfg.LearnerEvery > 0 && m != nil && !m.Voter
}

// announceCommit tells a member at once that entries it has are committed,
// so that a change is in force after two round trips and not a heartbeat later.
func (n *Node) announceCommit(p *progress) {
	if min(n.commit, p.match) > p.commit && !n.spares(p) {
		n.sendHeartbeat(p, false)
	}
}

func (n *Node) toMember(kind MessageKind, p *progress) Message {
	m := Message{Kind: kind, To: p.peer, Term: n.hard.Term, Stamp: n.stampAt(n.now), Lost: p.lost}
	n.offerAdoption(p, &m)
	return m
}

// follow notes that the leader of the current term is alive.
func (n *Node) follow(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.resetElection()
	n.voteFrom = max(n.voteFrom, n.now.Add(n.promise()))
	n.echo = max(n.echo, m.Stamp)
	n.answerDue = true
	n.noteLost(m)
}

func (n *Node) onAppend(m Message) {
	n.follow(m)
	if m.Index < n.commit {
		// What is committed here is as the leader has it.
		m = skipTo(m, n.commit, n.log)
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		n.reject(m)
		return
	}
	n.take(m.Entries)
	n.verified = max(n.verified, m.Index+tackid.Revision(len(m.Entries)))
	n.commitTo(m.Commit)
	n.acceptAdoption(m)
}

// skipTo drops from m the entries up to i, which are committed.
func skipTo(m Message, i tackid.Revision, l entryLog) Message {
	drop := min(int(i-m.Index), len(m.Entries))
	m.Entries = m.Entries[drop:]
	m.Index = i
	m.LogTerm, _ = l.term(i)
	return m
}

func (n *Node) reject(m Message) {
	n.answerDue = false
	a := n.answer()
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

// take appends entries, and drops those of its own that differ.
func (n *Node) take(entries []Entry) {
	for i, e := range entries {
		if t, ok := n.log.term(e.Index); ok {
			if t == e.Term {
				continue
			}
			n.log.truncate(e.Index - 1)
			n.forgetMembership(e.Index - 1)
		}
		for _, e := range entries[i:] {
			n.log.append(e)
			n.noteMembership(e)
		}
		return
	}
}

func (n *Node) commitTo(i tackid.Revision) {
	n.commit = max(n.commit, min(i, n.verified))
}

func (n *Node) onHeartbeat(m Message) {
	n.follow(m)
	n.commitTo(m.Commit)
	n.takeLease(m)
	n.acceptAdoption(m)
}

func (n *Node) answer() Message {
	m := Message{
		Kind: MessageAnswer, To: n.leader, Term: n.hard.Term,
		Index: n.verified, Applied: n.applied,
		Stamp: n.stampAt(n.now), Echo: n.echo,
	}
	if !n.hard.Eligible {
		m.Ineligible, m.Life = true, n.life
	}
	return m
}

func (n *Node) sendAnswer() {
	if n.leader == "" || n.role == Leader {
		return
	}
	n.send(n.answer())
}

func (n *Node) onAnswer(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil || m.Echo == 0 {
		return
	}
	sent, ok := n.timeOf(m.Echo)
	if !ok || !n.countsNow(p, m, sent) {
		return
	}
	p.heard = n.now
	p.stamp, p.stamped = m.Stamp, n.now
	p.noteApplied(m.Applied, sent)
	switch {
	case m.Chunk != nil:
		n.onChunkAnswer(p, m)
	case m.Reject:
		n.onReject(p, m, sent)
	default:
		n.onMatch(p, m, sent)
	}
	n.tickTransfer()
}

// noteApplied takes what a member has applied from the answer to the newest
// message, so that an answer which was overtaken does not undo it, while one of
// a member that restarted does.
func (p *progress) noteApplied(applied tackid.Revision, sent tackclock.Time) {
	if sent > p.acked {
		p.acked, p.applied = sent, applied
	}
	if sent == p.acked {
		p.applied = max(p.applied, applied)
	}
}

func (n *Node) onReject(p *progress, m Message, sent tackclock.Time) {
	if m.Last < p.match && sent > p.matchAt {
		n.foundLost(p)
	}
	p.rewind(max(p.match+1, min(p.next-1, m.Index+1)))
}

func (n *Node) onMatch(p *progress, m Message, sent tackclock.Time) {
	if m.Index < p.match {
		// The member restarted: it has the entries, but no longer knows that
		// they are as the leader's. One that must be shown anew would never
		// commit them while the log is idle.
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

// advanceCommit commits what a quorum holds. Only an entry of the leader's own
// term counts: one of an earlier term may be on a quorum and still be
// replaced by a later leader that never had it.
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
