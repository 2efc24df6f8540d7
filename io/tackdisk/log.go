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
	// mark is the place in the log that a snapshot stands for.
	mark struct {
		Index tackid.Revision  `cbor:"1,keyasint"`
		Term  tackreplica.Term `cbor:"2,keyasint"`
	}

	// replay is what the records read or written so far add up to: the
	// entries that follow mark, without gaps.
	replay struct {
		mark    mark
		hard    tackreplica.HardState
		entries []tackreplica.Entry
	}

	// logFile is the log file that is being written.
	logFile struct {
		name     string
		file     File
		salt     uint64
		sequence uint64
		offset   int64
	}

	// logContent is what was read from a log file.
	logContent struct {
		state replay
		// torn is the offset of a last record that is not whole, or -1.
		torn int64
	}
)

// check returns an error where next does not follow from the state.
func (p *replay) check(next record) error {
	want := p.mark.Index + tackid.Revision(len(p.entries)) + 1
	for _, e := range next.Entries {
		if e.Index > want || e.Index == 0 {
			return &GapError{Index: e.Index, Want: want}
		}
		want = e.Index + 1
	}
	return nil
}

// apply adds a record that passed check. Entries that the snapshot already
// covers are passed over.
func (p *replay) apply(next record) {
	if next.Hard != nil {
		p.hard = *next.Hard
	}
	for _, e := range next.Entries {
		if e.Index <= p.mark.Index {
			continue
		}
		keep := int(e.Index - p.mark.Index - 1)
		p.entries = append(p.entries[:keep], e)
	}
}

// compact drops what the snapshot at m covers. Where the log disagrees with
// the snapshot, or ends before it, none of the log may stay: what follows the
// place of disagreement was never committed.
func (p *replay) compact(m mark) {
	agrees := func(e tackreplica.Entry) bool { return e.Index == m.Index && e.Term == m.Term }
	i := slices.IndexFunc(p.entries, agrees)
	p.entries = slices.Clone(p.entries[i+1:])
	if i < 0 {
		p.entries = nil
	}
	p.mark = m
}

// frame encodes r for the end of the file.
func (l *logFile) frame(r record, limit int) ([]byte, error) {
	return encodeRecord(r, l.place(l.offset), limit)
}

func (l *logFile) place(offset int64) place {
	return place{salt: l.salt, sequence: l.sequence, offset: offset}
}

// readLog reads the log file with the given sequence number.
func (d *Disk) readLog(sequence uint64) (logContent, error) {
	name := logName(sequence)
	data, err := d.files.ReadFile(d.path(name))
	if err != nil {
		return logContent{}, fmt.Errorf("tackdisk: read log: %w", err)
	}
	at := place{salt: d.id.salt(), sequence: sequence}
	return d.decodeLog(name, data, at)
}

// decodeLog adds up the records of a log file. Only a last record that was
// written after the file got its name can be torn, since each is synced
// before the next; anything else that is broken is damage.
func (d *Disk) decodeLog(name string, data []byte, at place) (logContent, error) {
	content := logContent{torn: -1}
	whole, n := 1, 0
	for ; at.offset < int64(len(data)); n++ {
		payload, ok := unframe(data[at.offset:], at, d.opt.MaxRecordBytes)
		if !ok && n >= whole && !anyRecord(data, at, d.opt.MaxRecordBytes) {
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
			whole = next.Header.Records
		}
		at.offset += frameBytes + int64(len(payload))
	}
	if n < whole {
		return content, d.corrupt(name, at.offset, errCut)
	}
	return content, nil
}

// add decodes one record and adds it up. The first must have a header, and
// no other.
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
		c.state.mark = next.Header.Mark
	}
	if err := c.state.check(next); err != nil {
		return record{}, err
	}
	c.state.apply(next)
	return next, nil
}

// anyRecord reports whether a whole record begins anywhere after at. If one
// does, the broken bytes at that place were followed by a later write, and
// are no torn last record.
func anyRecord(data []byte, at place, limit int) bool {
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

// rewrite starts a new log file that holds the whole state, and removes the
// files that it makes superfluous.
//
// A process that met a failed sync may have left pages in the kernel's cache
// that read well and are not on the disk. Its successor would build on them
// and lose them at the next power cut. Written once more into a new file,
// they are synced for certain or the error shows.
func (d *Disk) rewrite() error {
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
		_ = d.log.file.Close() // synced, and about to be removed
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
		Mark:     d.state.mark,
		Records:  1 + len(chunks),
	}
	hard := d.state.hard
	records := []record{{Header: &head, Hard: &hard}}
	for _, c := range chunks {
		records = append(records, record{Entries: c})
	}
	var data []byte
	for _, r := range records {
		framed, err := encodeRecord(r, next.place(int64(len(data))), d.opt.MaxRecordBytes)
		if err != nil {
			return nil, err
		}
		data = append(data, framed...)
	}
	return data, nil
}

// chunkEntries splits entries so that each chunk's data is about limit bytes
// at most.
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

// removeOld removes the files that the newest log and snapshot replace. Where
// it is interrupted, the next Open removes the rest.
func (d *Disk) removeOld() error {
	names, err := d.files.List(d.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !d.superfluous(name) {
			continue
		}
		if err := d.files.Remove(d.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

func (d *Disk) superfluous(name string) bool {
	if sequence, ok := parseName(name, logPrefix); ok {
		return sequence < d.sequence
	}
	if index, ok := parseName(name, snapshotPrefix); ok {
		return tackid.Revision(index) < d.state.mark.Index
	}
	return isTemporary(name)
}
