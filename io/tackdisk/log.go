package tackdisk

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

type (
	// snapshotMeta is the index and term of the last entry that a snapshot covers.
	snapshotMeta struct {
		Index tackid.Revision  `cbor:"1,keyasint"`
		Term  tackreplica.Term `cbor:"2,keyasint"`
	}

	// logState is the state that results from the records read or written so far. The entries
	// follow the snapshot without gaps.
	logState struct {
		snapshot snapshotMeta
		hard     tackreplica.HardState
		entries  []tackreplica.Entry
	}

	// logFile is the log file that is being written.
	logFile struct {
		name     string
		file     File
		salt     uint64
		sequence uint64
		offset   int64
	}

	// logContent is the content of a log file.
	logContent struct {
		state logState
		// torn is the offset of an incomplete last record, or -1.
		torn int64
	}
)

// check returns a *GapError if the entries of next would leave a gap.
func (p *logState) check(next record) error {
	want := p.snapshot.Index + tackid.Revision(len(p.entries)) + 1
	for _, e := range next.Entries {
		if e.Index > want || e.Index == 0 {
			return &GapError{Index: e.Index, Want: want}
		}
		want = e.Index + 1
	}
	return nil
}

// apply applies a record that passed check. Entries that the snapshot covers are skipped.
func (p *logState) apply(next record) {
	if next.Hard != nil {
		p.hard = *next.Hard
	}
	for _, e := range next.Entries {
		if e.Index <= p.snapshot.Index {
			continue
		}
		keep := int(e.Index - p.snapshot.Index - 1)
		p.entries = append(p.entries[:keep], e)
	}
}

// compact removes the entries that the snapshot at m covers. If the log conflicts with the
// snapshot or ends before it, all entries are removed, since those after the conflict were never
// committed.
func (p *logState) compact(m snapshotMeta) {
	agrees := func(e tackreplica.Entry) bool { return e.Index == m.Index && e.Term == m.Term }
	i := slices.IndexFunc(p.entries, agrees)
	p.entries = slices.Clone(p.entries[i+1:])
	if i < 0 {
		p.entries = nil
	}
	p.snapshot = m
}

// frame encodes r for the end of the file.
func (l *logFile) frame(r record, limit int) ([]byte, error) {
	return encodeRecord(r, l.location(l.offset), limit)
}

func (l *logFile) location(offset int64) recordLocation {
	return recordLocation{salt: l.salt, sequence: l.sequence, offset: offset}
}

// readLog reads the log file with the given sequence number.
func (d *Disk) readLog(sequence uint64) (logContent, error) {
	name := logName(sequence)
	data, err := d.files.ReadFile(d.path(name))
	if err != nil {
		return logContent{}, fmt.Errorf("tackdisk: read log: %w", err)
	}
	at := recordLocation{salt: d.id.salt(), sequence: sequence}
	return d.decodeLog(name, data, at)
}

// decodeLog decodes and applies the records of a log file. Only the last record can be torn, and
// only if it was written after the file got its name, since each record is synced before the
// next is written. Any other invalid record is reported as damage.
func (d *Disk) decodeLog(name string, data []byte, at recordLocation) (logContent, error) {
	content := logContent{torn: -1}
	initial, n := 1, 0
	for ; at.offset < int64(len(data)); n++ {
		payload, ok := unframe(data[at.offset:], at, d.opt.MaxRecordBytes)
		if !ok && n >= initial && !hasRecordAfter(data, at, d.opt.MaxRecordBytes) {
			content.torn = at.offset
			return content, nil
		}
		if !ok {
			return content, d.corrupt(name, at.offset, errFrame)
		}
		next, err := content.add(payload, n == 0)
		if errors.As(err, new(*VersionError)) {
			return content, err
		}
		if err != nil {
			return content, d.corrupt(name, at.offset, err)
		}
		if next.Header != nil {
			initial = next.Header.Records
		}
		at.offset += frameBytes + int64(len(payload))
	}
	if n < initial {
		return content, d.corrupt(name, at.offset, errTruncated)
	}
	return content, nil
}

// add decodes and applies one record. The first record, and no other, must have a header.
func (c *logContent) add(payload []byte, first bool) (record, error) {
	next, err := decodeRecord(payload)
	if err != nil {
		return record{}, err
	}
	if first != (next.Header != nil) {
		return record{}, errHeader
	}
	if first && next.Header.Version > formatVersion {
		return record{}, &VersionError{Version: next.Header.Version}
	}
	if first {
		c.state.snapshot = next.Header.Snapshot
	}
	if err := c.state.check(next); err != nil {
		return record{}, err
	}
	c.state.apply(next)
	return next, nil
}

// hasRecordAfter reports whether a valid record begins anywhere after at. If so, the invalid
// data at that offset was followed by a later write and is not a torn last record.
func hasRecordAfter(data []byte, at recordLocation, limit int) bool {
	for at.offset++; at.offset < int64(len(data)); at.offset++ {
		if _, ok := unframe(data[at.offset:], at, limit); ok {
			return true
		}
	}
	return false
}

func (d *Disk) corrupt(name string, offset int64, err error) error {
	return &CorruptError{File: d.path(name), Offset: offset, Err: err}
}

// rewriteLog starts a new log file with the whole state and removes the files that it replaces.
//
// After a failed sync, the kernel's cache may contain pages that can be read but are not on the
// disk. The next process would rely on them and lose them at the next power failure. Writing
// them into a new file guarantees that they are synced or that an error is reported.
func (d *Disk) rewriteLog() error {
	next := &logFile{salt: d.id.salt(), sequence: d.sequence + 1}
	next.name = logName(next.sequence)
	data, err := d.encodeState(next)
	if err != nil {
		return err
	}
	file, err := d.createFile(next.name, data)
	if err != nil {
		return err
	}
	next.file, next.offset = file, int64(len(data))
	if d.log != nil {
		_ = d.log.file.Close() // it is synced, and is removed below
	}
	d.log, d.sequence = next, next.sequence
	return d.removeOld()
}

// encodeState returns the records that a new log file begins with.
func (d *Disk) encodeState(next *logFile) ([]byte, error) {
	chunks := chunkEntries(d.state.entries, d.opt.MaxRecordBytes/2)
	head := header{
		Version:  formatVersion,
		Sequence: next.sequence,
		Snapshot: d.state.snapshot,
		Records:  1 + len(chunks),
	}
	hard := d.state.hard
	records := []record{{Header: &head, Hard: &hard}}
	for _, c := range chunks {
		records = append(records, record{Entries: c})
	}
	var data []byte
	for _, r := range records {
		framed, err := encodeRecord(r, next.location(int64(len(data))), d.opt.MaxRecordBytes)
		if err != nil {
			return nil, err
		}
		data = append(data, framed...)
	}
	return data, nil
}

// chunkEntries splits entries into chunks of at most about limit bytes of data.
func chunkEntries(entries []tackreplica.Entry, limit int) [][]tackreplica.Entry {
	const overhead = 64
	var chunks [][]tackreplica.Entry
	from, size := 0, 0
	for i, e := range entries {
		if size > 0 && size+len(e.Data)+overhead > limit {
			chunks = append(chunks, entries[from:i])
			from, size = i, 0
		}
		size += len(e.Data) + overhead
	}
	if from < len(entries) {
		chunks = append(chunks, entries[from:])
	}
	return chunks
}

// removeOld removes the files that the newest log and snapshot replace. If it is interrupted,
// the next Open removes the rest.
func (d *Disk) removeOld() error {
	names, err := d.files.List(d.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !d.obsolete(name) {
			continue
		}
		if err := d.files.Remove(d.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

func (d *Disk) obsolete(name string) bool {
	if sequence, ok := parseName(name, logPrefix); ok {
		return sequence < d.sequence
	}
	if index, ok := parseName(name, snapshotPrefix); ok {
		return tackid.Revision(index) < d.state.snapshot.Index
	}
	return isTemporary(name)
}
