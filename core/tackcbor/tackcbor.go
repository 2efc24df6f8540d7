// Package tackcbor encodes log entries, snapshots and messages between processes in CBOR.
//
// Unmarshal accepts everything that Marshal writes. The default options of the CBOR library
// do not: they encode strings of any bytes but refuse to decode those that are not valid
// UTF-8, and they refuse long lists. A log entry of that kind would be committed, and then
// end every replica that applies it.
package tackcbor

import (
	"io"
	"math"

	"github.com/fxamacker/cbor/v2"
)

var (
	encoding      = mustEncMode(cbor.EncOptions{})
	deterministic = mustEncMode(cbor.CoreDetEncOptions())
	decoding      = mustDecMode(cbor.DecOptions{
		UTF8:             cbor.UTF8DecodeInvalid,
		MaxArrayElements: math.MaxInt32,
		MaxMapPairs:      math.MaxInt32,
	})
)

// Marshal returns the encoding of v.
func Marshal(v any) ([]byte, error) {
	return encoding.Marshal(v)
}

// MarshalDeterministic is like Marshal, but encodes equal maps equally.
func MarshalDeterministic(v any) ([]byte, error) {
	return deterministic.Marshal(v)
}

// Unmarshal decodes data, which must be one value, into v.
func Unmarshal(data []byte, v any) error {
	return decoding.Unmarshal(data, v)
}

// UnmarshalFirst decodes the first value of data into v and returns the rest of data.
func UnmarshalFirst(data []byte, v any) (rest []byte, err error) {
	return decoding.UnmarshalFirst(data, v)
}

// Encode writes the encoding of v to w.
func Encode(w io.Writer, v any) error {
	return encoding.NewEncoder(w).Encode(v)
}

// Decode decodes the next value of r into v.
func Decode(r io.Reader, v any) error {
	return decoding.NewDecoder(r).Decode(v)
}

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	mode, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
