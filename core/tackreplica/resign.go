package tackreplica

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// ResignedHigherTerm means that another node has a higher term.
	ResignedHigherTerm ResignationReason = iota
	// ResignedTransfer means that leadership was transferred.
	ResignedTransfer
	// ResignedNoQuorum means that no quorum responded.
	ResignedNoQuorum
	// ResignedFailed means that the node's disk failed.
	ResignedFailed
)

type (
	// ResignationReason is why a node ceased to lead.
	ResignationReason uint8

	// Resignation is when a node ceased to lead in a term, and why. To is the member to
	// which a leader transferred its leadership. The zero value means that the node has not
	// led since it started.
	Resignation struct {
		Term   Term
		At     tackclock.Time
		Reason ResignationReason
		To     tackid.Peer
	}
)

var resignationReasons = [...]string{
	ResignedHigherTerm: "another VM has a higher term", ResignedTransfer: "handed over",
	ResignedNoQuorum: "no majority responded", ResignedFailed: "data folder failed",
}

// String returns the reason in words.
func (r ResignationReason) String() string {
	if int(r) < len(resignationReasons) {
		return resignationReasons[r]
	}
	return "unknown"
}

// resign makes the leader a follower in its own term.
func (n *Node) resign(reason ResignationReason, to tackid.Peer) {
	n.becomeFollower(n.hard.Term, "")
	n.resigned.Reason, n.resigned.To = reason, to
}
