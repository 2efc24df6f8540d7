package tackdisk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackreplica"
)

const (
	formatVersion = 1
	// frameBytes is the length of what precedes each record: its length, its
	// checksum, and a checksum of these two, four bytes each.
	frameBytes = 12
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	decoding   = mustDecMode()
)

type (
	// record is what one write puts into the log. The first of a file has a
	// Header; the others are one call of Save each.
	record struct {
		Header  *header                `cbor:"1,keyasint,omitempty"`
		Hard    *tackreplica.HardState `cbor:"2,keyasint,omitempty"`
		Entries []tackreplica.Entry    `cbor:"3,keyasint,omitempty"`
	}

	// header opens a log file.
	header struct {
		Version  int    `cbor:"1,keyasint"`
		Sequence uint64 `cbor:"2,keyasint"`
		// Mark is the snapshot that the file's entries follow.
		Mark mark `cbor:"3,keyasint"`
		// Records is how many records were written before the file got its
		// name, this one among them. They were synced as a whole, so that a
		// broken one among them is never a torn write.
		Records int `cbor:"4,keyasint"`
	}

	// place is where a record was written. It goes into the checksum, so that
	// bytes left over from another file, or a copy of a record inside an
	// entry's data, are not taken for a record of this place.
	place struct {
		salt     uint64
		sequence uint64
		offset   int64
	}
)

// frame returns payload with its length and checksums in front.
func frame(payload []byte, at place) []byte {
	framed := make([]byte, frameBytes, frameBytes+len(payload))
	seed := at.seed()
	binary.LittleEndian.PutUint32(framed, uint32(len(payload)))
	binary.LittleEndian.PutUint32(framed[4:], crc32.Update(seed, castagnoli, payload))
	binary.LittleEndian.PutUint32(framed[8:], crc32.Update(seed, castagnoli, framed[:8]))
	return append(framed, payload...)
}

// unframe returns the payload at the head of data, or false where no whole
// record with right checksums begins there.
func unframe(data []byte, at place, limit int) ([]byte, bool) {
	if len(data) < frameBytes {
		return nil, false
	}
	seed := at.seed()
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Update(seed, castagnoli, data[:8]) {
		return nil, false
	}
	size := int64(binary.LittleEndian.Uint32(data))
	if size > int64(limit) || size > int64(len(data)-frameBytes) {
		return nil, false
	}
	payload := data[frameBytes : frameBytes+size]
	return payload, binary.LittleEndian.Uint32(data[4:]) == crc32.Update(seed, castagnoli, payload)
}

// seed is what the checksums of a record at this place begin with.
func (p place) seed() uint32 {
	var where [24]byte
	binary.LittleEndian.PutUint64(where[:], p.salt)
	binary.LittleEndian.PutUint64(where[8:], p.sequence)
	binary.LittleEndian.PutUint64(where[16:], uint64(p.offset))
	return crc32.Checksum(where[:], castagnoli)
}

// decodeRecord decodes the payload of a record. Unknown fields are passed
// over, so that an older release can read what a newer one wrote.
func decodeRecord(payload []byte) (record, error) {
	var r record
	err := decoding.Unmarshal(payload, &r)
	return r, err
}

func encodeRecord(r record, at place, limit int) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(payload) > limit {
		return nil, &TooLargeError{Bytes: len(payload), Limit: limit}
	}
	return frame(payload, at), nil
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
