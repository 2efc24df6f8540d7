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
	bounded       = mustDecMode(cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	})
	decoding = mustDecMode(cbor.DecOptions{
		UTF8:             cbor.UTF8DecodeInvalid,
		MaxArrayElements: math.MaxInt32,
		MaxMapPairs:      math.MaxInt32,
	})
)

// maxElements bounds the lists and maps that UnmarshalBounded decodes.
const maxElements = 10_000

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

// UnmarshalBounded is like Unmarshal, but refuses lists and maps of more than 10,000 elements. A
// sender that is not trusted could otherwise send a list that takes hundreds of times its size
// when it is decoded.
func UnmarshalBounded(data []byte, v any) error {
	return bounded.Unmarshal(data, v)
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
