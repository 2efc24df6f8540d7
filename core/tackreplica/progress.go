package tackreplica

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// progress is what a leader knows of one member.
	progress struct {
		peer          tackid.Peer
		match         tackid.Revision // the member has the leader's log up to here
		matchAt       tackclock.Time
		next          tackid.Revision
		applied       tackid.Revision
		commit        tackid.Revision // the highest commit index sent to it
		probing       bool            // where the logs agree is not known yet
		inflight      []inflightBatch
		inflightBytes int
		sentAt        tackclock.Time
		sentAll       bool // all that there was at sentAt has been sent

		heard tackclock.Time
		acked tackclock.Time // newest of the leader's stamps it answered
		stamp Stamp
		// stamped is when stamp came.
		stamped tackclock.Time
		grants  []grant

		chunk outgoingSnapshot

		ineligible bool
		lost       bool
		life       Life
		lifeAt     tackclock.Time // when the ineligible life was noted
		adopt      tackid.Revision
	}

	// inflightBatch is one batch that was sent and not yet acknowledged.
	inflightBatch struct {
		last tackid.Revision
		size int
	}
)

// track starts to follow a member that is new to the leader.
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

// rewind goes back to the last entry that the member is known to have.
func (p *progress) rewind(next tackid.Revision) {
	p.inflight = p.inflight[:0]
	p.inflightBytes = 0
	p.probing = true
	p.sentAt = 0
	p.next = max(next, 1)
}
