package tackreplica

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// EntryNormal carries a command for the state machine.
	EntryNormal EntryKind = iota
	// EntryEmpty carries nothing. A new leader appends one to commit the entries of earlier
	// terms.
	EntryEmpty
	// EntryMembership carries the complete new set of members, encoded in CBOR.
	EntryMembership
)

const (
	// MessageAppend carries entries that follow Index and LogTerm.
	MessageAppend MessageKind = iota + 1
	// MessageHeartbeat renews the leader lease and the receiver's lease.
	MessageHeartbeat
	// MessageResponse is the response to MessageAppend, MessageHeartbeat and MessageChunk.
	MessageResponse
	// MessagePreVote asks whether the receiver would grant a vote in Term.
	MessagePreVote
	// MessagePreVoteResponse is the response to MessagePreVote.
	MessagePreVoteResponse
	// MessageVote requests a vote in Term.
	MessageVote
	// MessageVoteResponse is the response to MessageVote.
	MessageVoteResponse
	// MessageTransfer tells a follower to start an election at once, because the sender has
	// stepped down.
	MessageTransfer
	// MessageChunk carries a part of a snapshot.
	MessageChunk
	// MessageProbe asks a voter whether its data folder is empty.
	MessageProbe
	// MessageProbeResponse is the response to MessageProbe.
	MessageProbeResponse
)

// known reports whether this version supports the kind. Messages of unknown kinds are
// ignored entirely: even their term must not depose a leader.
func (k MessageKind) known() bool {
	return k >= MessageAppend && k <= MessageProbeResponse
}

type (
	// Term is the number of an election term. Each term has at most one leader.
	Term uint64

	// EntryKind is the kind of a log entry.
	EntryKind uint8

	// MessageKind is the kind of a message.
	MessageKind uint8

	// Stamp is a reading of the sender's clock that only the sender can decode. The sender
	// rejects stamps made before it restarted.
	Stamp uint64

	// InstanceID is a random number that identifies one run of a node's process.
	InstanceID uint64

	// Member is one VM of the system. A member that is not a voter is a learner: it
	// receives every entry and holds a lease like the others.
	Member struct {
		Peer       tackid.Peer       `cbor:"1,keyasint"`
		DataCentre tackid.DataCentre `cbor:"2,keyasint,omitempty"`
		Voter      bool              `cbor:"3,keyasint,omitempty"`
		Address    string            `cbor:"4,keyasint,omitempty"`
	}

	// Entry is one entry of the log. Time is the leader's clock when it appended the entry
	// and never decreases along the log.
	Entry struct {
		Index tackid.Revision `cbor:"1,keyasint"`
		Term  Term            `cbor:"2,keyasint"`
		Kind  EntryKind       `cbor:"3,keyasint,omitempty"`
		Time  tackclock.Time  `cbor:"4,keyasint,omitempty"`
		Data  []byte          `cbor:"5,keyasint,omitempty"`
	}

	// HardState is what a node must have stored before it responds. Eligible is set once
	// its copy of the log may count towards a quorum; a node that lost its data folder
	// restarts without it. Commit is a revision that is known to be committed, not
	// necessarily the newest.
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

	// Stored is what a node reads from its data folder when it starts. The zero value is an
	// empty folder.
	Stored struct {
		Hard     HardState
		Snapshot Snapshot
		Entries  []Entry
	}

	// Message is a message between nodes. Fields that a kind does not use are zero and are
	// not encoded. From and To are half of a heartbeat's size, so an owner whose
	// connections identify both ends clears them before encoding and restores them after
	// decoding.
	Message struct {
		Kind MessageKind `cbor:"1,keyasint"`
		From tackid.Peer `cbor:"2,keyasint,omitempty"`
		To   tackid.Peer `cbor:"3,keyasint,omitempty"`
		Term Term        `cbor:"4,keyasint"`

		// Index and LogTerm are the position before Entries; in a vote request, the end of
		// the candidate's log; in a response, the last index known to match the leader's
		// log; in a rejection, where to continue from.
		Index   tackid.Revision `cbor:"5,keyasint,omitempty"`
		LogTerm Term            `cbor:"6,keyasint,omitempty"`
		Entries []Entry         `cbor:"7,keyasint,omitempty"`
		Commit  tackid.Revision `cbor:"8,keyasint,omitempty"`
		Applied tackid.Revision `cbor:"9,keyasint,omitempty"`
		Reject  bool            `cbor:"10,keyasint,omitempty"`

		// Stamp is the sender's clock; Echo is the newest stamp received from the receiver.
		Stamp Stamp `cbor:"11,keyasint,omitempty"`
		Echo  Stamp `cbor:"12,keyasint,omitempty"`
		// Required, if not zero, grants the receiver a lease that starts at Echo and is
		// valid while the receiver has applied at least Required.
		Required tackid.Revision `cbor:"13,keyasint,omitempty"`

		// Transfer marks a vote request that the leader itself asked for.
		Transfer bool `cbor:"14,keyasint,omitempty"`
		// Chunk is a part of a snapshot; in a response, how much of it has arrived.
		Chunk *Chunk `cbor:"15,keyasint,omitempty"`

		// Ineligible marks a response of a node whose copy of the log must not count.
		Ineligible bool `cbor:"16,keyasint,omitempty"`
		// Instance is the sender's, set together with Ineligible and in probe responses.
		Instance InstanceID `cbor:"17,keyasint,omitempty"`
		// Adopt is the instance of the receiver that is eligible again.
		Adopt InstanceID `cbor:"18,keyasint,omitempty"`
		// Last is the end of the sender's log, set in rejections.
		Last tackid.Revision `cbor:"20,keyasint,omitempty"`
		// Lost tells the receiver that it lacks entries it has acknowledged.
		Lost bool `cbor:"19,keyasint,omitempty"`
	}

	// Chunk is the part of a snapshot that starts at Offset. In a response, Data is empty
	// and Offset is the number of bytes received.
	Chunk struct {
		Index   tackid.Revision `cbor:"1,keyasint"`
		Term    Term            `cbor:"2,keyasint,omitempty"`
		Time    tackclock.Time  `cbor:"3,keyasint,omitempty"`
		Members []Member        `cbor:"4,keyasint,omitempty"`
		Size    int             `cbor:"5,keyasint,omitempty"`
		Offset  int             `cbor:"6,keyasint,omitempty"`
		Data    []byte          `cbor:"7,keyasint,omitempty"`
	}

	// Ready is the work that the owner of a Node must do next, in this order: restore
	// Snapshot into the state machine if it is not nil; make Hard, Snapshot and Entries
	// durable; send Messages; apply Committed; call Advance. Entries that overlap stored
	// ones replace them and all that follow.
	Ready struct {
		Hard      *HardState
		Snapshot  *Snapshot
		Entries   []Entry
		Messages  []Message
		Committed []Entry
	}
)
