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

const (
	// MessageAppend carries entries that follow Index and LogTerm.
	MessageAppend MessageKind = iota + 1
	// MessageHeartbeat keeps the leader's and the receiver's lease.
	MessageHeartbeat
	// MessageAnswer answers MessageAppend, MessageHeartbeat and MessageChunk.
	MessageAnswer
	// MessagePreVote asks whether a vote in Term would be granted.
	MessagePreVote
	// MessagePreVoteAnswer answers MessagePreVote.
	MessagePreVoteAnswer
	// MessageVote asks for the vote in Term.
	MessageVote
	// MessageVoteAnswer answers MessageVote.
	MessageVoteAnswer
	// MessageTransfer tells a follower to stand for election at once, because
	// the sender has stopped leading.
	MessageTransfer
	// MessageChunk carries a part of a snapshot.
	MessageChunk
	// MessageProbe asks a voter whether its folder is empty.
	MessageProbe
	// MessageProbeAnswer answers MessageProbe.
	MessageProbeAnswer
)

// known reports whether this version knows the kind. A later version's kinds
// are passed over whole: even their term must not depose a leader.
func (k MessageKind) known() bool {
	return k >= MessageAppend && k <= MessageProbeAnswer
}

type (
	// Term counts the leaders there have been.
	Term uint64

	// EntryKind says what an entry is for.
	EntryKind uint8

	// MessageKind says what a message is for.
	MessageKind uint8

	// Stamp is a reading of the sender's clock that only the sender can turn
	// back into a time. A stamp of an earlier life of the process is refused.
	Stamp uint64

	// Life tells apart the processes that ran under one peer's name.
	Life uint64

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

	// HardState is what a voter must have on disk before it answers. Eligible
	// is set once the folder's copy of the log may count towards a quorum; a
	// folder that was lost comes back without it. Commit is a revision that
	// is known to be committed, perhaps not the newest.
	HardState struct {
		Term     Term        `cbor:"1,keyasint"`
		Vote     tackid.Peer `cbor:"2,keyasint,omitempty"`
		Eligible bool        `cbor:"3,keyasint,omitempty"`

		Commit tackid.Revision `cbor:"4,keyasint,omitempty"`
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

	// Message is what nodes send each other. Fields that a kind does not use
	// are zero and take no bytes on the wire. An owner whose links know both
	// ends clears From and To before it encodes and sets them again after it
	// has decoded: they are half of a heartbeat.
	Message struct {
		Kind MessageKind `cbor:"1,keyasint"`
		From tackid.Peer `cbor:"2,keyasint,omitempty"`
		To   tackid.Peer `cbor:"3,keyasint,omitempty"`
		Term Term        `cbor:"4,keyasint"`

		// Index and LogTerm are the position before Entries; of a vote, the
		// end of the candidate's log; of an answer, the last index known to
		// be as the leader has it; of a rejection, where to go on from.
		Index   tackid.Revision `cbor:"5,keyasint,omitempty"`
		LogTerm Term            `cbor:"6,keyasint,omitempty"`
		Entries []Entry         `cbor:"7,keyasint,omitempty"`
		Commit  tackid.Revision `cbor:"8,keyasint,omitempty"`
		Applied tackid.Revision `cbor:"9,keyasint,omitempty"`
		Reject  bool            `cbor:"10,keyasint,omitempty"`

		// Stamp is the sender's clock, Echo the newest stamp of the receiver.
		Stamp Stamp `cbor:"11,keyasint,omitempty"`
		Echo  Stamp `cbor:"12,keyasint,omitempty"`
		// Required, if not zero, grants the receiver a lease from Echo on,
		// valid while it has applied at least Required.
		Required tackid.Revision `cbor:"13,keyasint,omitempty"`

		// Transfer marks a vote that the leader itself has asked for.
		Transfer bool `cbor:"14,keyasint,omitempty"`
		// Chunk is a part of a snapshot, or how much of it has arrived.
		Chunk *Chunk `cbor:"15,keyasint,omitempty"`

		// Ineligible marks an answer of a node whose copy must not count.
		Ineligible bool `cbor:"16,keyasint,omitempty"`
		// Life is the sender's; it goes with Ineligible and with probes.
		Life Life `cbor:"17,keyasint,omitempty"`
		// Adopt names the life of the receiver whose copy may count again.
		Adopt Life `cbor:"18,keyasint,omitempty"`
		// Last is the end of the log of a sender that rejects entries.
		Last tackid.Revision `cbor:"20,keyasint,omitempty"`
		// Lost tells the receiver that it has lost entries it acknowledged.
		Lost bool `cbor:"19,keyasint,omitempty"`
	}

	// Chunk is the part of a snapshot that starts at Offset. In an answer,
	// Data is empty and Offset is how many bytes have arrived.
	Chunk struct {
		Index   tackid.Revision `cbor:"1,keyasint"`
		Term    Term            `cbor:"2,keyasint,omitempty"`
		Time    tackclock.Time  `cbor:"3,keyasint,omitempty"`
		Members []Member        `cbor:"4,keyasint,omitempty"`
		Size    int             `cbor:"5,keyasint,omitempty"`
		Offset  int             `cbor:"6,keyasint,omitempty"`
		Data    []byte          `cbor:"7,keyasint,omitempty"`
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
