package tackpeer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackcbor"
	"auburntack/core/tackid"
)

// Version is the version of the protocol between peers. Messages of a later version are
// understood if that version only adds fields and kinds.
const Version = 1

type (
	// Kind is the type of a message. A peer ignores kinds that it does not know.
	Kind string

	// Envelope is one message. Version and From are omitted on the wire if they equal those
	// of the hello that opened the connection.
	Envelope struct {
		Version int             `cbor:"1,keyasint,omitempty"`
		From    tackid.Peer     `cbor:"2,keyasint,omitempty"`
		Kind    Kind            `cbor:"3,keyasint"`
		Body    cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	}

	// hello is the first frame in each direction of a connection.
	hello struct {
		Version int         `cbor:"1,keyasint"`
		From    tackid.Peer `cbor:"2,keyasint"`
		To      tackid.Peer `cbor:"3,keyasint"`
		// Instance is a random number that identifies one run of the sender's process.
		Instance uint64 `cbor:"4,keyasint"`
		// Oldest is the oldest protocol version that the sender understands.
		Oldest int `cbor:"5,keyasint"`
		// HeartbeatMS is the maximum interval between two transmissions of the sender.
		HeartbeatMS int64 `cbor:"6,keyasint,omitempty"`
		// Refused is, in an answer, the reason why the connection is refused.
		Refused string `cbor:"7,keyasint,omitempty"`
	}
)

// encode returns the encoded envelope of a message.
func encode(kind Kind, body any) ([]byte, error) {
	raw, err := tackcbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("tackpeer: encode %s: %w", kind, err)
	}
	data, err := tackcbor.Marshal(Envelope{Kind: kind, Body: raw})
	if err != nil {
		return nil, fmt.Errorf("tackpeer: encode %s: %w", kind, err)
	}
	return data, nil
}

// decode calls f for each envelope of a batch, which is a concatenation of encoded envelopes.
// It stops at the first that is malformed or names a sender other than from. The error is a
// *MalformedError or an *IdentityError.
func decode(batch []byte, from tackid.Peer, f func(Envelope)) error {
	for len(batch) > 0 {
		var e Envelope
		rest, err := tackcbor.UnmarshalFirst(batch, &e)
		if err != nil {
			return &MalformedError{Peer: from, Err: err}
		}
		if e.From != "" && e.From != from {
			return &IdentityError{Want: from, Got: e.From, Reason: "envelope under another id"}
		}
		e.From = from
		f(e)
		batch = rest
	}
	return nil
}

func decodeHello(data []byte) (hello, error) {
	var h hello
	if err := tackcbor.Unmarshal(data, &h); err != nil {
		return hello{}, &MalformedError{Err: err}
	}
	if h.Refused != "" {
		return h, &RefusedError{Peer: h.From, Reason: h.Refused}
	}
	if h.From == "" || h.Version < 1 || h.Oldest > Version {
		return h, &VersionError{Peer: h.From, Version: h.Version, Oldest: h.Oldest}
	}
	return h, nil
}
