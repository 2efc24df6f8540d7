package tackmember

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"auburntack/core/tackcbor"
)

const (
	// minPackedRecords is the number of records from which a part is compressed. Names
	// repeat within a fleet, so many records shrink to about a quarter.
	minPackedRecords = 6

	// maxUnpacked bounds the decompressed size of a part, so that a malformed one cannot
	// exhaust memory.
	maxUnpacked = 1 << 20
)

// PartError reports a part that cannot be decoded. It is ignored and requested again.
type PartError struct {
	Space SpaceID
	Err   error
}

// Error implements error.
func (e *PartError) Error() string {
	return fmt.Sprintf("tackmember: part of space %08x: %v", uint32(e.Space), e.Err)
}

// Unwrap returns the underlying error.
func (e *PartError) Unwrap() error {
	return e.Err
}

// pack compresses the records if there are enough of them.
func (p *Part) pack() {
	if len(p.Records) < minPackedRecords {
		return
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return
	}
	if tackcbor.Encode(w, p.Records) != nil || w.Close() != nil {
		return
	}
	p.Packed, p.Records = buf.Bytes(), nil
}

// unpack reverses pack. The error is a *PartError.
func (p *Part) unpack() error {
	if p.Packed == nil {
		return nil
	}
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p.Packed)), maxUnpacked)
	if err := tackcbor.Decode(r, &p.Records); err != nil {
		return &PartError{Space: p.Space, Err: err}
	}
	p.Packed = nil
	return nil
}
