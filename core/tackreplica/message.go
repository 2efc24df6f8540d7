package tackreplica

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// EntryNormal carries a change of the state machine.
	EntryNormal EntryKind = iota
	// EntryEmpty is what a new leader appends first, to commit what earlier
	// terms left.
	EntryEmpty
	// EntryMembership carries the whole new set of members, in CBOR.
	EntryMembership
)

type (
	// Term counts the leaders there have been.
	Term uint64

	// EntryKind says what an entry is for.
	EntryKind uint8

	// Member is one VM of the system. A member that does not vote is a
	// learner: it receives every entry and holds a lease like the others.
	Member struct {
		Peer       tackid.Peer       `cbor:"1,keyasint"`
		DataCentre tackid.DataCentre `cbor:"2,keyasint,omitempty"`
		Voter      bool              `cbor:"3,keyasint,omitempty"`
		Address    string            `cbor:"4,keyasint,omitempty"`
	}

	// Entry is one position of the log. Time is the leader's clock when it
	// appended the entry and never falls along the log.
	Entry struct {
		Index tackid.Revision `cbor:"1,keyasint"`
		Term  Term            `cbor:"2,keyasint"`
		Kind  EntryKind       `cbor:"3,keyasint,omitempty"`
		Time  tackclock.Time  `cbor:"4,keyasint,omitempty"`
		Data  []byte          `cbor:"5,keyasint,omitempty"`
	}

	// HardState is what a voter must have on disk before it answers.
	HardState struct {
		Term Term        `cbor:"1,keyasint"`
		Vote tackid.Peer `cbor:"2,keyasint,omitempty"`
	}

	// Snapshot replaces the log up to and including Index. Data is the state
	// machine's own encoding.
	Snapshot struct {
		Index   tackid.Revision `cbor:"1,keyasint"`
		Term    Term            `cbor:"2,keyasint"`
		Time    tackclock.Time  `cbor:"3,keyasint,omitempty"`
		Members []Member        `cbor:"4,keyasint,omitempty"`
		Data    []byte          `cbor:"5,keyasint,omitempty"`
	}

	// Stored is what a VM finds in its data folder when it starts; the zero
	// value is an empty folder.
	Stored struct {
		Hard     HardState
		Snapshot Snapshot
		Entries  []Entry
	}

	// Ready is what the owner of a Node must do next, in this order: restore
	// Snapshot into the state machine if it is not nil, make Hard, Snapshot
	// and Entries durable, send Messages, apply Committed, call Advance.
	// Entries that overlap earlier ones replace them and all that follow.
	Ready struct {
		Hard      *HardState
		Snapshot  *Snapshot
		Entries   []Entry
		Messages  []Message
		Committed []Entry
	}
)
