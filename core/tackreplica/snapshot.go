package tackreplica

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// outgoingSnapshot is the progress of sending a snapshot to a member.
	outgoingSnapshot struct {
		snap   *Snapshot
		offset int
		sentAt tackclock.Time
	}

	// incomingSnapshot collects the chunks of one snapshot.
	incomingSnapshot struct {
		from tackid.Peer
		term Term
		snap Snapshot
	}
)

// SnapshotAt creates the snapshot that the owner must store before it calls Compact; data
// is the encoded state machine after applying up to i. It returns false if i is not applied
// yet or no longer in the log.
func (n *Node) SnapshotAt(i tackid.Revision, data []byte) (Snapshot, bool) {
	if i > n.applied || i <= n.snapshot.Index || i <= n.log.base {
		return Snapshot{}, false
	}
	e := n.log.at(i)
	return Snapshot{Index: i, Term: e.Term, Time: e.Time, Members: n.membersAt(i), Data: data}, true
}

func (n *Node) membersAt(i tackid.Revision) []Member {
	members := n.configs[0].members
	for _, c := range n.configs {
		if c.index <= i {
			members = c.members
		}
	}
	return members
}

// Compact tells the node that the owner has stored the snapshot s. The log up to it is
// dropped, except for the last KeepEntries entries, which slow members may still need.
func (n *Node) Compact(s Snapshot) {
	if s.Index <= n.snapshot.Index || s.Index > n.applied {
		return
	}
	n.snapshot = s
	if tail := tackid.Revision(n.cfg.KeepEntries); s.Index > n.log.base+tail {
		n.log.compact(s.Index - tail)
	}
	for len(n.configs) > 1 && n.configs[1].index <= n.log.base {
		n.configs = n.configs[1:]
	}
}

// sendChunk sends the next chunk of a snapshot to a member that needs compacted entries,
// one chunk at a time. It continues with the same snapshot as long as the log follows on
// from it: a member on a slow link would otherwise start over at each compaction and never
// finish.
func (n *Node) sendChunk(p *progress) {
	c := &p.chunk
	if c.snap == nil || c.snap.Index < n.log.base {
		s := n.snapshot
		*c = outgoingSnapshot{snap: &s}
	}
	if c.sentAt != 0 && n.now.Sub(c.sentAt) < n.resendAfter() {
		return
	}
	c.sentAt = n.now
	m := n.newMessage(MessageChunk, p)
	m.Chunk = c.next(n.cfg.MaxBatchBytes)
	n.send(m)
}

func (c *outgoingSnapshot) next(limit int) *Chunk {
	s := c.snap
	end := min(len(s.Data), c.offset+limit)
	chunk := &Chunk{Index: s.Index, Term: s.Term, Size: len(s.Data), Offset: c.offset, Data: s.Data[c.offset:end]}
	if c.offset == 0 {
		chunk.Time, chunk.Members = s.Time, s.Members
	}
	return chunk
}

func (n *Node) onChunk(m Message) {
	n.followLeader(m)
	c := m.Chunk
	if c == nil || n.coveredByLog(c) {
		return
	}
	in := &n.incoming
	if in.from != m.From || in.term != m.Term || in.snap.Index != c.Index {
		*in = incomingSnapshot{from: m.From, term: m.Term, snap: Snapshot{Index: c.Index, Term: c.Term}}
	}
	if c.Offset == len(in.snap.Data) {
		in.add(c)
	}
	if len(in.snap.Data) == c.Size && in.snap.Members != nil {
		n.installSnapshot(in.snap)
		return
	}
	n.responseDue = false
	a := n.response()
	a.Chunk = &Chunk{Index: c.Index, Offset: len(in.snap.Data)}
	n.send(a)
}

// coveredByLog reports whether the log already contains what the snapshot covers, and
// commits it if so. A delayed snapshot must not replace the log: later entries may have
// been acknowledged and would be lost.
func (n *Node) coveredByLog(c *Chunk) bool {
	if t, ok := n.log.term(c.Index); c.Index > n.commit && (!ok || t != c.Term) {
		return false
	}
	n.verified = max(n.verified, n.commit, c.Index)
	n.commitTo(c.Index)
	return true
}

func (in *incomingSnapshot) add(c *Chunk) {
	if c.Offset == 0 {
		in.snap.Time, in.snap.Members = c.Time, c.Members
	}
	in.snap.Data = append(in.snap.Data, c.Data...)
}

// installSnapshot replaces the log by s.
func (n *Node) installSnapshot(s Snapshot) {
	n.incoming = incomingSnapshot{}
	n.log.reset(&s)
	n.configs = []config{{index: s.Index, members: s.Members}}
	// Members may have been added and removed in entries that the snapshot replaces.
	n.recordRemoval("")
	n.snapshot = s
	n.install = &s
	n.commit, n.delivered, n.verified = s.Index, s.Index, s.Index
}

func (n *Node) onChunkResponse(p *progress, m Message) {
	s := p.chunk.snap
	if s == nil || m.Chunk.Index != s.Index || m.Chunk.Offset > len(s.Data) {
		return
	}
	p.chunk.offset = m.Chunk.Offset
	p.chunk.sentAt = 0
}
