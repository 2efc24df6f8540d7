package tackreplica

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// progress is the leader's view of one member.
	progress struct {
		peer          tackid.Peer
		match         tackid.Revision // the member's log matches the leader's up to here
		matchAt       tackclock.Time
		next          tackid.Revision
		applied       tackid.Revision
		commit        tackid.Revision // the highest commit index sent to it
		probing       bool            // the last matching index is not known yet
		inflight      []inflightBatch
		inflightBytes int
		sentAt        tackclock.Time
		sentAll       bool // the whole log as of sentAt has been sent

		heard tackclock.Time
		acked tackclock.Time // newest of the leader's stamps that it echoed
		stamp Stamp
		// stamped is when stamp arrived.
		stamped tackclock.Time
		grants  []grant

		chunk outgoingSnapshot

		ineligible   bool
		lost         bool
		instance     InstanceID
		ineligibleAt tackclock.Time // when the member was found ineligible
		adopt        tackid.Revision
	}

	// inflightBatch is a batch that was sent and not yet acknowledged.
	inflightBatch struct {
		last tackid.Revision
		size int
	}
)

// track adds a member to the leader's progress map.
func (n *Node) track(peer tackid.Peer) {
	if n.progress[peer] == nil {
		n.progress[peer] = &progress{peer: peer, next: n.log.last() + 1, probing: true}
	}
}

func (p *progress) addInflight(entries []Entry, size int) {
	last := entries[len(entries)-1].Index
	p.inflight = append(p.inflight, inflightBatch{last: last, size: size})
	p.inflightBytes += size
	p.next = last + 1
}

func (p *progress) freeInflight(match tackid.Revision) {
	i := 0
	for i < len(p.inflight) && p.inflight[i].last <= match {
		p.inflightBytes -= p.inflight[i].size
		i++
	}
	p.inflight = append(p.inflight[:0], p.inflight[i:]...)
}

// rewind discards the batches in flight and probes again from next.
func (p *progress) rewind(next tackid.Revision) {
	p.inflight = p.inflight[:0]
	p.inflightBytes = 0
	p.probing = true
	p.sentAt = 0
	p.next = max(next, 1)
}
