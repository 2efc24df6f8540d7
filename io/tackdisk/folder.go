package tackdisk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"

	"auburntack/core/tackcbor"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

const (
	lockName        = "lock"
	identityName    = "identity"
	logPrefix       = "log_"
	snapshotPrefix  = "snapshot_"
	temporarySuffix = ".tmp"
	identityLimit   = 1 << 16
)

// identity identifies the folder and its owner. Folder is a random number, so that the records
// of one folder are not accepted in another.
type identity struct {
	Version int         `cbor:"1,keyasint"`
	Peer    tackid.Peer `cbor:"2,keyasint"`
	Folder  uint64      `cbor:"3,keyasint"`
}

func (i identity) salt() uint64 { return i.Folder }

// open locks and reads the folder, then starts a new log file.
func (d *Disk) open() (tackreplica.Stored, error) {
	if err := d.lockFolder(); err != nil {
		return tackreplica.Stored{}, err
	}
	names, err := d.files.List(d.folder)
	if err != nil {
		return tackreplica.Stored{}, fmt.Errorf("tackdisk: list %s: %w", d.folder, err)
	}
	if err := d.loadIdentity(names); err != nil {
		return tackreplica.Stored{}, err
	}
	snapshot, err := d.readSnapshot(names)
	if err != nil {
		return tackreplica.Stored{}, err
	}
	if err := d.readState(names, snapshotMeta{Index: snapshot.Index, Term: snapshot.Term}); err != nil {
		return tackreplica.Stored{}, err
	}
	if err := d.rewriteLog(); err != nil {
		return tackreplica.Stored{}, fmt.Errorf("tackdisk: start a log file: %w", err)
	}
	return d.stored(snapshot), nil
}

// lockFolder creates the folder if necessary and locks it. Without the lock, two processes
// that use the same folder would overwrite data that the other has acknowledged.
func (d *Disk) lockFolder() error {
	if err := d.files.MkdirAll(d.folder); err != nil {
		return fmt.Errorf("tackdisk: create folder: %w", err)
	}
	if err := d.files.SyncFolder(filepath.Dir(d.folder)); err != nil {
		return fmt.Errorf("tackdisk: sync parent folder: %w", err)
	}
	lock, err := d.files.Lock(d.path(lockName))
	if err != nil {
		return &InUseError{Folder: d.folder, Err: err}
	}
	d.lock = lock
	return nil
}

// loadIdentity reads the identity of the folder, or creates it if the folder is new.
func (d *Disk) loadIdentity(names []string) error {
	data, err := d.files.ReadFile(d.path(identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return d.createIdentity(names)
	}
	if err != nil {
		return fmt.Errorf("tackdisk: read identity: %w", err)
	}
	payload, ok := unframe(data, recordLocation{}, identityLimit)
	if !ok {
		return d.corrupt(identityName, 0, errFrame)
	}
	if err := tackcbor.Unmarshal(payload, &d.id); err != nil {
		return d.corrupt(identityName, 0, err)
	}
	if d.id.Version > formatVersion {
		return &VersionError{Version: d.id.Version}
	}
	if d.id.Peer != d.opt.Peer {
		return &IdentityError{Folder: d.folder, Want: d.opt.Peer, Got: d.id.Peer}
	}
	return nil
}

func (d *Disk) createIdentity(names []string) error {
	for _, name := range names {
		_, isLog := parseName(name, logPrefix)
		_, isSnapshot := parseName(name, snapshotPrefix)
		if isLog || isSnapshot {
			return d.corrupt(identityName, 0, errNoIdentity)
		}
	}
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	d.id = identity{Version: formatVersion, Peer: d.opt.Peer, Folder: binary.LittleEndian.Uint64(random[:])}
	payload, err := tackcbor.Marshal(d.id)
	if err != nil {
		return err
	}
	if err := d.writeFile(identityName, frame(payload, recordLocation{})); err != nil {
		return fmt.Errorf("tackdisk: write identity: %w", err)
	}
	return nil
}

// readSnapshot returns the newest snapshot, or the zero value.
func (d *Disk) readSnapshot(names []string) (tackreplica.Snapshot, error) {
	index, ok := highestNumber(names, snapshotPrefix)
	if !ok {
		return tackreplica.Snapshot{}, nil
	}
	name := snapshotName(tackid.Revision(index))
	data, err := d.files.ReadFile(d.path(name))
	if err != nil {
		return tackreplica.Snapshot{}, fmt.Errorf("tackdisk: read snapshot: %w", err)
	}
	payload, ok := unframe(data, recordLocation{salt: d.id.salt()}, d.opt.MaxSnapshotBytes)
	if !ok || len(data) != frameBytes+len(payload) {
		return tackreplica.Snapshot{}, d.corrupt(name, 0, errFrame)
	}
	var s tackreplica.Snapshot
	if err := tackcbor.Unmarshal(payload, &s); err != nil {
		return tackreplica.Snapshot{}, d.corrupt(name, 0, err)
	}
	return s, nil
}

func encodeSnapshot(s tackreplica.Snapshot, salt uint64, limit int) ([]byte, error) {
	payload, err := tackcbor.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(payload) > limit {
		return nil, &TooLargeError{Bytes: len(payload), Limit: limit}
	}
	return frame(payload, recordLocation{salt: salt}), nil
}

// readState reads the newest log file and combines it with the snapshot. If a process ended
// after it saved a snapshot and before it started a new log file, the snapshot is newer than the
// one in the log header. The entries that the snapshot covers are then removed here.
func (d *Disk) readState(names []string, snapshot snapshotMeta) error {
	sequence, ok := highestNumber(names, logPrefix)
	if !ok {
		d.state.snapshot = snapshot
		return nil
	}
	content, err := d.readLog(sequence)
	if err != nil {
		return err
	}
	if content.torn >= 0 {
		d.opt.Logger.WithField("file", d.path(logName(sequence))).WithField("offset", content.torn).
			Warn("dropped a torn last record, which was never acknowledged as durable")
	}
	d.state = content.state
	d.sequence = sequence
	if d.state.snapshot.Index > snapshot.Index {
		return d.corrupt(logName(sequence), 0, errNoSnapshot)
	}
	if d.state.snapshot.Index < snapshot.Index {
		d.state.compact(snapshot)
	}
	return nil
}

func (d *Disk) stored(snapshot tackreplica.Snapshot) tackreplica.Stored {
	return tackreplica.Stored{
		Hard:     d.state.hard,
		Snapshot: snapshot,
		Entries:  append([]tackreplica.Entry(nil), d.state.entries...),
	}
}

// writeFile creates a file with the given content and makes it durable.
func (d *Disk) writeFile(name string, data []byte) error {
	file, err := d.createFile(name, data)
	if err != nil {
		return err
	}
	return file.Close()
}

// createFile writes a file under a temporary name, syncs it, renames it and syncs the folder, so
// that after a crash the file either has its whole content or does not exist. The file stays
// open for appending.
func (d *Disk) createFile(name string, data []byte) (File, error) {
	temporary := d.path(name + temporarySuffix)
	file, err := d.files.Create(temporary)
	if err != nil {
		return nil, err
	}
	if err := d.writeAndSync(file, data); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	if err := d.files.Rename(temporary, d.path(name)); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	d.syncs.Add(1)
	if err := d.files.SyncFolder(d.folder); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

func (d *Disk) writeAndSync(file File, data []byte) error {
	n, err := file.Write(data)
	d.bytes.Add(uint64(max(n, 0)))
	if err == nil && n != len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return err
	}
	d.syncs.Add(1)
	return file.Sync()
}

func logName(sequence uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix, sequence)
}

func snapshotName(index tackid.Revision) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, uint64(index))
}

func parseName(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

func isTemporary(name string) bool { return strings.HasSuffix(name, temporarySuffix) }

// highestNumber returns the highest number in the names with prefix.
func highestNumber(names []string, prefix string) (uint64, bool) {
	highest, found := uint64(0), false
	for _, name := range names {
		if n, ok := parseName(name, prefix); ok && (!found || n > highest) {
			highest, found = n, true
		}
	}
	return highest, found
}
