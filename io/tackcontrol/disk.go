package tackcontrol

import (
	"errors"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
	"auburntack/io/tackdisk"
)

// reopenInterval is the interval between attempts to reopen a data folder that failed. A full
// disk may have space again within seconds, or only after hours.
const reopenInterval = 500 * tackclock.Millisecond

func (c *Control) openDisk() (tackreplica.Stored, error) {
	disk, stored, err := tackdisk.Open(c.cfg.Folder, tackdisk.Options{Peer: c.cfg.Self, Logger: c.cfg.Logger, Files: c.cfg.Files})
	if err == nil {
		c.disk = disk
	}
	return stored, err
}

// suspend keeps this VM running after a disk error; errors of other kinds are returned.
//
// A full disk rejects every write. If the process exited, it would start, fail and exit again
// for as long as there is no space, and its ports would be closed. A suspended VM does not
// lead, vote or acknowledge anything, since it could persist none of that, and it redirects
// callers to the other control VMs.
func (c *Control) suspend(now tackclock.Time, err error) error {
	if !errors.As(err, new(*tackdisk.FailedError)) {
		return err
	}
	c.log.WithError(err).Error("data folder failed; this VM is suspended until it can write again")
	c.reopenAt = now.Add(reopenInterval)
	c.refreshStatus(now)
	c.updateLeadership(now)
	waiters := c.waiters
	c.waiters = make(map[tackid.Revision]waiter)
	for _, w := range waiters {
		w.notify(undecided, tackwork.Outcome{})
	}
	return nil
}

// resume reopens the data folder when this is due and continues with its content, as after a
// restart. It reports whether the folder is usable. Opening writes to the folder, so it fails
// while there is no space. The error is a *StoppedError if the content of the folder cannot
// be read.
func (c *Control) resume(now tackclock.Time) (bool, error) {
	if c.reopenAt == 0 || now < c.reopenAt {
		return c.reopenAt == 0, nil
	}
	c.reopenAt = now.Add(reopenInterval)
	if err := c.disk.Close(); err != nil {
		c.log.WithError(err).Warn("closing the data folder failed")
	}
	stored, err := c.openDisk()
	if permanent(err) {
		return false, &StoppedError{What: "reopen the data folder", Err: err}
	}
	if err != nil {
		c.log.WithError(err).Warn("reopening the data folder failed; it will be retried")
		return false, nil
	}
	if err := c.restoreAgain(stored); err != nil {
		return false, err
	}
	c.reopenAt = 0
	c.relink()
	c.log.Info("data folder reopened")
	return true, nil
}

// restoreAgain replaces the state by what is stored.
func (c *Control) restoreAgain(stored tackreplica.Stored) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = tackwork.State{ClosedRetention: c.cfg.ClosedRetention}
	c.snapshotAt = 0
	return c.restore(stored)
}

// permanent reports whether a later attempt to open the folder would fail in the same way.
func permanent(err error) bool {
	return errors.As(err, new(*tackdisk.CorruptError)) || errors.As(err, new(*tackdisk.VersionError)) ||
		errors.As(err, new(*tackdisk.IdentityError))
}
