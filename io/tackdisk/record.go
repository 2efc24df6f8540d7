package tackdisk

import (
	"encoding/binary"
	"hash/crc32"

	"auburntack/core/tackcbor"
	"auburntack/core/tackreplica"
)

const (
	formatVersion = 1
	// frameBytes is the size of the prefix of each record: its length, its checksum, and a
	// checksum of these two, four bytes each.
	frameBytes = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type (
	// record is a record of the log. The first of a file has a Header. Records that are
	// appended later contain the data of one call of Save each.
	record struct {
		Header  *header                `cbor:"1,keyasint,omitempty"`
		Hard    *tackreplica.HardState `cbor:"2,keyasint,omitempty"`
		Entries []tackreplica.Entry    `cbor:"3,keyasint,omitempty"`
	}

	// header is the header of a log file.
	header struct {
		Version  int    `cbor:"1,keyasint"`
		Sequence uint64 `cbor:"2,keyasint"`
		// Snapshot is the snapshot that the entries of the file follow.
		Snapshot snapshotMeta `cbor:"3,keyasint"`
		// Records is the number of records, including this one, that were written before the
		// file got its name. They were synced together, so an invalid one among them is never
		// a torn write.
		Records int `cbor:"4,keyasint"`
	}

	// recordLocation is the location at which a record was written. It is included in the
	// checksums, so that data of another file, or a copy of a record inside the data of an
	// entry, is not accepted as a record at this location.
	recordLocation struct {
		salt     uint64
		sequence uint64
		offset   int64
	}
)

// frame returns payload with its length and checksums prepended.
func frame(payload []byte, at recordLocation) []byte {
	framed := make([]byte, frameBytes, frameBytes+len(payload))
	seed := at.seed()
	binary.LittleEndian.PutUint32(framed, uint32(len(payload)))
	binary.LittleEndian.PutUint32(framed[4:], crc32.Update(seed, castagnoli, payload))
	binary.LittleEndian.PutUint32(framed[8:], crc32.Update(seed, castagnoli, framed[:8]))
	return append(framed, payload...)
}

// unframe returns the payload of the record at the start of data, or false if there is no
// complete record with valid checksums.
func unframe(data []byte, at recordLocation, limit int) ([]byte, bool) {
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

// seed returns the initial value of the checksums of a record at this location.
func (p recordLocation) seed() uint32 {
	var where [24]byte
	binary.LittleEndian.PutUint64(where[:], p.salt)
	binary.LittleEndian.PutUint64(where[8:], p.sequence)
	binary.LittleEndian.PutUint64(where[16:], uint64(p.offset))
	return crc32.Checksum(where[:], castagnoli)
}

// decodeRecord decodes the payload of a record. Unknown fields are ignored, so that an older
// release can read the records of a newer one.
func decodeRecord(payload []byte) (record, error) {
	var r record
	err := tackcbor.Unmarshal(payload, &r)
	return r, err
}

func encodeRecord(r record, at recordLocation, limit int) ([]byte, error) {
	payload, err := tackcbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(payload) > limit {
		return nil, &TooLargeError{Bytes: len(payload), Limit: limit}
	}
	return frame(payload, at), nil
}
