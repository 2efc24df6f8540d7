package tackreplica

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// progress is what a leader knows of one member.
	progress struct {
		peer     tackid.Peer
		match    tackid.Revision // the member has the leader's log up to here
		matchAt  tackclock.Time
		next     tackid.Revision
		applied  tackid.Revision
		commit   tackid.Revision // the highest commit index sent to it
		probing  bool            // where the logs agree is not known yet
		flights  []flight
		inFlight int // bytes
		sentAt   tackclock.Time

		heard  tackclock.Time
		acked  tackclock.Time // newest of the leader's stamps it answered
		stamp  Stamp
		grants []grant

		chunk outgoingSnapshot

		ineligible bool
		lost       bool
		life       Life
		lifeAt     tackclock.Time // when the ineligible life was noted
		adopt      tackid.Revision
	}

	// flight is one batch that was sent and not yet acknowledged.
	flight struct {
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

func (p *progress) launch(entries []Entry, size int) {
	last := entries[len(entries)-1].Index
	p.flights = append(p.flights, flight{last: last, size: size})
	p.inFlight += size
	p.next = last + 1
}

func (p *progress) land(match tackid.Revision) {
	i := 0
	for i < len(p.flights) && p.flights[i].last <= match {
		p.inFlight -= p.flights[i].size
		i++
	}
	p.flights = append(p.flights[:0], p.flights[i:]...)
}

// rewind goes back to the last entry that the member is known to have.
func (p *progress) rewind(next tackid.Revision) {
	p.flights = p.flights[:0]
	p.inFlight = 0
	p.probing = true
	p.sentAt = 0
	p.next = max(next, 1)
}
