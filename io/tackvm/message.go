package tackvm

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
	"auburntack/io/tackpeer"
)

const (
	kindReplica   tackpeer.Kind = "replica"
	kindMember    tackpeer.Kind = "member"
	kindForward   tackpeer.Kind = "forward"
	kindReject    tackpeer.Kind = "reject"
	kindConfirm   tackpeer.Kind = "confirm"
	kindConfirmed tackpeer.Kind = "confirmed"
	kindReport    tackpeer.Kind = "report"
	kindShare     tackpeer.Kind = "share"
)

type (
	// forward asks the leader to append a proposal.
	forward struct {
		Serial uint64 `cbor:"1,keyasint"`
		Data   []byte `cbor:"2,keyasint"`
	}

	// reject answers a forward whose proposal was definitely not appended.
	reject struct {
		Serial uint64 `cbor:"1,keyasint"`
	}

	// confirm asks the leader to confirm a revision. If Index is zero, the leader
	// answers with the revision that a linearizable read must have applied; otherwise it
	// answers once Index is in force.
	confirm struct {
		Serial uint64          `cbor:"1,keyasint"`
		Index  tackid.Revision `cbor:"2,keyasint,omitempty"`
		// If Change is set, confirm instead asks the leader to add or remove a member.
		// The leader computes the new list of members, since the sender may not know of
		// a change made just before.
		Change *tackcommand.Command `cbor:"3,keyasint,omitempty"`
	}

	// confirmed answers a confirm. Missing lists the peers that have no lease and have
	// not applied the revision.
	confirmed struct {
		Serial  uint64          `cbor:"1,keyasint"`
		Index   tackid.Revision `cbor:"2,keyasint"`
		Missing []tackid.Peer   `cbor:"3,keyasint,omitempty"`
		// Members is set in answers to reads. Refused is set if the leader rejects a
		// membership change.
		Members []memberStatus `cbor:"4,keyasint,omitempty"`
		Refused string         `cbor:"5,keyasint,omitempty"`
	}

	// memberStatus is what the leader knows about one member.
	memberStatus struct {
		Peer    tackid.Peer     `cbor:"1,keyasint"`
		Applied tackid.Revision `cbor:"2,keyasint,omitempty"`
		Leased  bool            `cbor:"3,keyasint,omitempty"`
	}

	// report tells the leader which of the VMs that may get no new work have no work in
	// flight from the sender. It is valid for every fence up to Applied. Stopped means
	// that the sender is stopping gracefully and has no work left on any VM.
	report struct {
		Applied tackid.Revision `cbor:"1,keyasint"`
		Idle    []tackid.VM     `cbor:"2,keyasint,omitempty"`
		Stopped bool            `cbor:"3,keyasint,omitempty"`
	}

	// receivedReport is a report and the time it was received.
	receivedReport struct {
		report
		receivedAt tackclock.Time
	}
)
