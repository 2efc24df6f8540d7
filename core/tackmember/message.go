package tackmember

import (
	"hash/fnv"
	"strconv"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// Epoch tells the lives of one peer apart; a later life has a higher one.
	Epoch uint64

	// SpaceID stands for a peer and its epoch in four bytes. Two of the few
	// dozen that exist at a time are equal by chance less than once in a
	// million fleets.
	SpaceID uint32

	// Message is what peers send each other about the directory.
	Message struct {
		// Echo is the newest beat of the receiver that came to the sender
		// straight, so that the receiver knows that the link carries both ways.
		Echo  uint64 `cbor:"1,keyasint,omitempty"`
		Seen  []Seen `cbor:"2,keyasint,omitempty"`
		Wants []Want `cbor:"3,keyasint,omitempty"`
		Parts []Part `cbor:"4,keyasint,omitempty"`
		Heard *Heard `cbor:"5,keyasint,omitempty"`
		// All says that Seen has every space that the sender knows.
		All bool `cbor:"6,keyasint,omitempty"`
	}

	// Seen says how much of one space the sender has, and the newest beat of
	// its owner that it knows of.
	Seen struct {
		_       struct{} `cbor:",toarray"`
		Space   SpaceID
		Beat    uint64
		Version uint64
	}

	// Want asks for what a space holds beyond version From. Floor is the
	// asker's own floor.
	Want struct {
		Space SpaceID `cbor:"1,keyasint"`
		From  uint64  `cbor:"2,keyasint,omitempty"`
		Floor uint64  `cbor:"3,keyasint,omitempty"`
	}

	// Part is all that a space holds of the versions above From up to and
	// including To. Last is the sender's version of the space. Reset says
	// that the receiver may hold records that have ended unnoticed: what is
	// not sent again up to Last has ended.
	Part struct {
		Space      SpaceID           `cbor:"1,keyasint"`
		Peer       tackid.Peer       `cbor:"2,keyasint"`
		Epoch      Epoch             `cbor:"3,keyasint"`
		DataCentre tackid.DataCentre `cbor:"4,keyasint,omitempty"`
		From       uint64            `cbor:"5,keyasint,omitempty"`
		To         uint64            `cbor:"6,keyasint"`
		Last       uint64            `cbor:"7,keyasint"`
		Floor      uint64            `cbor:"8,keyasint,omitempty"`
		Reset      bool              `cbor:"9,keyasint,omitempty"`
		Records    []Record          `cbor:"10,keyasint,omitempty"`
		// Packed takes the place of Records when there are many: their CBOR
		// form, compressed by deflate.
		Packed []byte `cbor:"11,keyasint,omitempty"`
	}

	// Heard tells the owner of a space that the senders of the records with
	// these versions have announced themselves again to another peer, which
	// told them to come back within Within.
	Heard struct {
		Space    SpaceID            `cbor:"1,keyasint"`
		Within   tackclock.Duration `cbor:"2,keyasint"`
		Versions []uint64           `cbor:"3,keyasint"`
	}

	// Record is what one peer says of one backend server or worker. It is
	// held, as one whose announcements come to that peer, when DataCentre is
	// set; otherwise it only keeps what has ended from coming back.
	Record struct {
		Version      uint64               `cbor:"1,keyasint"`
		ID           tackid.BackendServer `cbor:"2,keyasint,omitempty"`
		Worker       tackid.VM            `cbor:"3,keyasint,omitempty"`
		Incarnation  tackid.Incarnation   `cbor:"4,keyasint,omitempty"`
		Stage        Stage                `cbor:"5,keyasint,omitempty"`
		Turn         uint64               `cbor:"6,keyasint,omitempty"`
		DataCentre   tackid.DataCentre    `cbor:"7,keyasint,omitempty"`
		Rack         tackid.Rack          `cbor:"8,keyasint,omitempty"`
		VM           tackid.VM            `cbor:"9,keyasint,omitempty"`
		Service      tackid.Service       `cbor:"10,keyasint,omitempty"`
		Address      string               `cbor:"11,keyasint,omitempty"`
		Slots        int                  `cbor:"12,keyasint,omitempty"`
		Connections  int                  `cbor:"13,keyasint,omitempty"`
		Cores        int                  `cbor:"14,keyasint,omitempty"`
		MemoryMB     int                  `cbor:"15,keyasint,omitempty"`
		Accelerators int                  `cbor:"16,keyasint,omitempty"`
	}

	// Stage is how far an incarnation has come. It only rises.
	Stage uint8

	// Outgoing is a message and the peer that it is for.
	Outgoing struct {
		To      tackid.Peer
		Message Message
	}
)

const (
	// StageServing is the stage of one that takes work.
	StageServing Stage = iota
	// StageLeaving is the stage of one that takes no new work.
	StageLeaving
	// StageWithdrawn is the stage of an incarnation that has ended.
	StageWithdrawn
)

// newSpaceID returns the id of the space of a peer's life.
func newSpaceID(p tackid.Peer, e Epoch) SpaceID {
	h := fnv.New32a()
	h.Write([]byte(p))
	h.Write([]byte{0})
	h.Write(strconv.AppendUint(nil, uint64(e), 36))
	return SpaceID(h.Sum32())
}

// empty reports whether there is nothing to send.
func (m *Message) empty() bool {
	return len(m.Seen) == 0 && len(m.Wants) == 0 && len(m.Parts) == 0 && m.Heard == nil
}
