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

	// reject answers a forward that was surely not appended.
	reject struct {
		Serial uint64 `cbor:"1,keyasint"`
	}

	// confirm asks the leader one of two things: with Index zero, which
	// revision a deciding read must have seen; with an Index, to answer once
	// that revision is in force.
	confirm struct {
		Serial uint64          `cbor:"1,keyasint"`
		Index  tackid.Revision `cbor:"2,keyasint,omitempty"`
		// Change, if it is not nil, asks instead to add or remove a member.
		// The leader works out the new members: the sender may not know of a
		// change that was made just before.
		Change *tackcommand.Command `cbor:"3,keyasint,omitempty"`
	}

	// confirmed answers a confirm. Missing names the peers that have no lease
	// and have not applied the revision.
	confirmed struct {
		Serial  uint64          `cbor:"1,keyasint"`
		Index   tackid.Revision `cbor:"2,keyasint"`
		Missing []tackid.Peer   `cbor:"3,keyasint,omitempty"`
		// Standings come with the answer for a read, Refused with that for
		// members that the leader does not accept.
		Standings []standing `cbor:"4,keyasint,omitempty"`
		Refused   string     `cbor:"5,keyasint,omitempty"`
	}

	// standing is what the leader knows of one member.
	standing struct {
		Peer    tackid.Peer     `cbor:"1,keyasint"`
		Applied tackid.Revision `cbor:"2,keyasint,omitempty"`
		Leased  bool            `cbor:"3,keyasint,omitempty"`
	}

	// report tells the leader which of the VMs that may get no new work have
	// none left on the sender. It holds for every fence up to Applied.
	// Stopped says that the sender is stopping as planned and has nothing
	// left anywhere.
	report struct {
		Applied tackid.Revision `cbor:"1,keyasint"`
		Idle    []tackid.VM     `cbor:"2,keyasint,omitempty"`
		Stopped bool            `cbor:"3,keyasint,omitempty"`
	}

	// heardReport is a report and when it came.
	heardReport struct {
		report
		at tackclock.Time
	}
)
