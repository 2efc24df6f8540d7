// Package tackdisk stores the durable state of a voter in a data folder: its term and vote, its
// log entries, and the newest snapshot.
//
// The folder contains one log file, at most one snapshot, a lock file and an identity file.
// Opening the folder and saving a snapshot both start a new log file, so that no file is ever
// written by two processes one after the other.
package tackdisk

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

const (
	// DefaultMaxRecordBytes is the maximum size of a record of the log, and so of what one
	// call of Save can store.
	DefaultMaxRecordBytes = 64 << 20
	// DefaultMaxSnapshotBytes is the maximum size of a snapshot.
	DefaultMaxSnapshotBytes = 1 << 30
)

type (
	// Options are the options of Open. Only Peer is required.
	Options struct {
		// Peer is the VM that owns the folder.
		Peer tackid.Peer
		// Logger logs torn records and failures. If nil, nothing is logged.
		Logger logrus.FieldLogger
		// Files is the file system. If nil, it is that of the operating system.
		Files Files
		// MaxRecordBytes and MaxSnapshotBytes are size limits. If zero, the defaults are used.
		MaxRecordBytes   int
		MaxSnapshotBytes int
	}

	// Disk is an open data folder. It is safe for concurrent use, and Save does not wait while
	// a snapshot is written.
	Disk struct {
		folder string
		opt    Options
		files  Files
		lock   io.Closer
		id     identity
		syncs  atomic.Uint64
		bytes  atomic.Uint64

		// snapshots serializes SaveSnapshot. It is locked before mu, and is held without mu
		// while the snapshot file is written.
		snapshots sync.Mutex
		mu        sync.Mutex
		state     logState
		// sequence is the number of the newest log file.
		sequence uint64
		log      *logFile
		failed   *FailedError
		closed   bool
	}
)

// Open opens the data folder, creating it if necessary, and returns its contents. A torn last
// record is dropped and logged, since it was never acknowledged as durable. The error is a
// *CorruptError if anything else is damaged, an *InUseError if another process has the folder
// open, an *IdentityError if the folder belongs to another VM, or a *VersionError if a later
// release wrote it.
func Open(folder string, opt Options) (*Disk, tackreplica.Stored, error) {
	d := &Disk{folder: folder, opt: opt.withDefaults()}
	d.files = d.opt.Files
	stored, err := d.open()
	if err != nil {
		d.release()
		return nil, tackreplica.Stored{}, err
	}
	return d, stored, nil
}

// Save makes hard, unless it is nil, and entries durable with one write and one sync. Entries
// that overlap earlier ones replace them and all that follow. After a failed write or sync the
// disk is not used again: this and every later call returns a *FailedError. After a
// *TooLargeError or a *GapError nothing was written and the disk is still usable.
func (d *Disk) Save(hard *tackreplica.HardState, entries []tackreplica.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.usable(); err != nil {
		return err
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	next := record{Hard: hard, Entries: entries}
	if err := d.state.check(next); err != nil {
		return err
	}
	framed, err := d.log.frame(next, d.opt.MaxRecordBytes)
	if err != nil {
		return err
	}
	if err := d.append(framed); err != nil {
		return d.fail(err)
	}
	d.state.apply(next)
	return nil
}

// SaveSnapshot makes s durable and then removes the log entries that it covers. If s is not
// newer than the snapshot on disk, nothing is changed. Save may be called concurrently, except
// with entries that follow s if the log conflicts with s: these must be saved after
// SaveSnapshot has returned. The errors are those of Save.
func (d *Disk) SaveSnapshot(s tackreplica.Snapshot) error {
	d.snapshots.Lock()
	defer d.snapshots.Unlock()
	newer, err := d.newer(s)
	if err != nil || !newer {
		return err
	}
	data, err := encodeSnapshot(s, d.id.salt(), d.opt.MaxSnapshotBytes)
	if err != nil {
		return err
	}
	failed := d.writeFile(snapshotName(s.Index), data)
	d.mu.Lock()
	defer d.mu.Unlock()
	if failed != nil {
		return d.fail(failed)
	}
	if err := d.usable(); err != nil {
		return err
	}
	d.state.compact(snapshotMeta{Index: s.Index, Term: s.Term})
	if err := d.rewriteLog(); err != nil {
		return d.fail(err)
	}
	return nil
}

// newer reports whether s is newer than the snapshot on disk.
func (d *Disk) newer(s tackreplica.Snapshot) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.Index > d.state.snapshot.Index, d.usable()
}

// Syncs returns the number of syncs of files and folders since Open.
func (d *Disk) Syncs() uint64 {
	return d.syncs.Load()
}

// Bytes returns the number of bytes written to files since Open.
func (d *Disk) Bytes() uint64 {
	return d.bytes.Load()
}

// Err returns the *FailedError of a disk that has failed, or nil.
func (d *Disk) Err() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed == nil {
		return nil
	}
	return d.failed
}

// Close releases the folder. Saved data is already durable.
func (d *Disk) Close() error {
	d.snapshots.Lock()
	defer d.snapshots.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	return d.release()
}

func (d *Disk) usable() error {
	if d.failed != nil {
		return d.failed
	}
	if d.closed {
		return &FailedError{Folder: d.folder, Err: errClosed}
	}
	return nil
}

// fail marks the disk as failed. After a failed sync the kernel may have marked the lost pages
// as clean, so that a second sync of the same file succeeds although the data is not on the
// disk. A short write leaves a partial record, which a later record would follow. Either would
// be noticed only at the next restart, as the loss of a vote or an entry that was acknowledged.
func (d *Disk) fail(err error) error {
	if d.failed != nil {
		return d.failed
	}
	d.failed = &FailedError{Folder: d.folder, Err: err}
	d.opt.Logger.WithError(err).WithField("folder", d.folder).
		Error("data folder failed; it is not used again until it is reopened")
	return d.failed
}

func (d *Disk) release() error {
	var errs []error
	if d.log != nil {
		errs = append(errs, d.log.file.Close())
	}
	if d.lock != nil {
		errs = append(errs, d.lock.Close())
	}
	return errors.Join(errs...)
}

// append writes one framed record and syncs it.
func (d *Disk) append(framed []byte) error {
	n, err := d.log.file.Write(framed)
	d.bytes.Add(uint64(max(n, 0)))
	if err == nil && n != len(framed) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", d.log.name, err)
	}
	d.syncs.Add(1)
	if err := d.log.file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", d.log.name, err)
	}
	d.log.offset += int64(len(framed))
	return nil
}

func (d *Disk) path(name string) string {
	return filepath.Join(d.folder, name)
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		o.Logger = silent
	}
	if o.Files == nil {
		o.Files = OSFiles{}
	}
	if o.MaxRecordBytes == 0 {
		o.MaxRecordBytes = DefaultMaxRecordBytes
	}
	if o.MaxSnapshotBytes == 0 {
		o.MaxSnapshotBytes = DefaultMaxSnapshotBytes
	}
	return o
}
