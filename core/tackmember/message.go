package tackmember

import (
	"hash/fnv"
	"strconv"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// Epoch identifies one run of a peer's process; later runs have higher epochs.
	Epoch uint64

	// SpaceID is a hash of a peer and its epoch. With a few dozen spaces in existence at a
	// time, a collision occurs in less than one in a million fleets.
	SpaceID uint32

	// Message is a directory message between peers.
	Message struct {
		// Echo is the newest heartbeat that the sender received directly from the receiver.
		// It shows the receiver that the link works in both directions.
		Echo    uint64   `cbor:"1,keyasint,omitempty"`
		Seen    []Seen   `cbor:"2,keyasint,omitempty"`
		Wants   []Want   `cbor:"3,keyasint,omitempty"`
		Parts   []Part   `cbor:"4,keyasint,omitempty"`
		Refresh *Refresh `cbor:"5,keyasint,omitempty"`
		// All reports that Seen contains every space that the sender knows.
		All bool `cbor:"6,keyasint,omitempty"`
	}

	// Seen is the version that the sender has of one space, and the newest heartbeat of the
	// space's owner that it knows of.
	Seen struct {
		_       struct{} `cbor:",toarray"`
		Space   SpaceID
		Beat    uint64
		Version uint64
	}

	// Want requests the records of a space with versions above From. Floor is the floor of
	// the requester's copy.
	Want struct {
		Space SpaceID `cbor:"1,keyasint"`
		From  uint64  `cbor:"2,keyasint,omitempty"`
		Floor uint64  `cbor:"3,keyasint,omitempty"`
	}

	// Part contains all records of a space with versions above From up to and including To.
	// Last is the sender's version of the space. Reset means that the receiver may hold
	// records whose end it missed: records that are not sent again up to Last have ended.
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
		// Packed replaces Records if there are many: it is their CBOR encoding, compressed
		// by deflate.
		Packed []byte `cbor:"11,keyasint,omitempty"`
	}

	// Refresh notifies the owner of a space that the senders of the records with these
	// versions have announced themselves to another peer, which told them to do so again
	// within Within.
	Refresh struct {
		Space    SpaceID            `cbor:"1,keyasint"`
		Within   tackclock.Duration `cbor:"2,keyasint"`
		Versions []uint64           `cbor:"3,keyasint"`
	}

	// Record is a peer's record of a backend server or worker. If DataCentre is set, the
	// record is held: its sender announces itself to that peer. Otherwise it is a
	// tombstone, which keeps an ended incarnation from reappearing.
	Record struct {
		Version      uint64               `cbor:"1,keyasint"`
		ID           tackid.BackendServer `cbor:"2,keyasint,omitempty"`
		Worker       tackid.VM            `cbor:"3,keyasint,omitempty"`
		Incarnation  tackid.Incarnation   `cbor:"4,keyasint,omitempty"`
		Stage        Stage                `cbor:"5,keyasint,omitempty"`
		HolderSeq    uint64               `cbor:"6,keyasint,omitempty"`
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

	// Stage is the stage of an incarnation. It never decreases.
	Stage uint8

	// Outgoing is a message and its receiver.
	Outgoing struct {
		To      tackid.Peer
		Message Message
	}
)

const (
	// StageServing is the stage of an incarnation that accepts work.
	StageServing Stage = iota
	// StageLeaving is the stage of an incarnation that accepts no new work.
	StageLeaving
	// StageWithdrawn is the stage of an incarnation that has ended.
	StageWithdrawn
)

// newSpaceID returns the ID of the space of a peer in an epoch.
func newSpaceID(p tackid.Peer, e Epoch) SpaceID {
	h := fnv.New32a()
	h.Write([]byte(p))
	h.Write([]byte{0})
	h.Write(strconv.AppendUint(nil, uint64(e), 36))
	return SpaceID(h.Sum32())
}

// empty reports whether there is nothing to send.
func (m *Message) empty() bool {
	return len(m.Seen) == 0 && len(m.Wants) == 0 && len(m.Parts) == 0 && m.Refresh == nil
}
