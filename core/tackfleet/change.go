package tackfleet

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

type (
	// Change is what one log entry asks of the fleet: exactly one of Command,
	// which an operator gave, and the others, which the leader proposes from
	// what it sees. A WaveStep takes all of its VMs or none. Of the lists,
	// each item stands for itself: one that no longer fits, because a command
	// came first, is passed over and counted by Result.PassedOver, and the
	// change is refused only if none took effect.
	Change struct {
		ID      tackid.CommandID     `cbor:"1,keyasint,omitempty"`
		Expect  tackid.Revision      `cbor:"2,keyasint,omitempty"`
		Command *tackcommand.Command `cbor:"3,keyasint,omitempty"`

		Observe    []Observation `cbor:"4,keyasint,omitempty"`
		WaveStep   *WaveStep     `cbor:"5,keyasint,omitempty"`
		WavePhases []WavePhase   `cbor:"6,keyasint,omitempty"`
		WaveEnd    *WaveEnd      `cbor:"7,keyasint,omitempty"`
		Drained    []tackid.VM   `cbor:"8,keyasint,omitempty"`
		Joined     []tackid.VM   `cbor:"9,keyasint,omitempty"`
		Tasks      []TaskChange  `cbor:"10,keyasint,omitempty"`
	}

	// Result is what applying a change came to. Revision is where the change
	// stands; for a command that was sent before, it is the first one's.
	// Refused is nil for an accepted change.
	Result struct {
		Revision   tackid.Revision
		Repeated   bool
		Refused    *RefusedError
		PassedOver int
	}

	// Setting is one configured value and the revision that set it.
	Setting struct {
		Key      string          `cbor:"1,keyasint"`
		Value    string          `cbor:"2,keyasint"`
		Revision tackid.Revision `cbor:"3,keyasint"`
	}

	// Event is one line of the history.
	Event struct {
		Revision tackid.Revision  `cbor:"1,keyasint"`
		Time     tackclock.Time   `cbor:"2,keyasint"`
		ID       tackid.CommandID `cbor:"3,keyasint,omitempty"`
		Text     string           `cbor:"4,keyasint"`
		VMs      []tackid.VM      `cbor:"5,keyasint,omitempty"`
		Key      string           `cbor:"6,keyasint,omitempty"`
	}
)
