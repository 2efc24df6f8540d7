package tackcontrol

import (
	"errors"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
	"auburntack/io/tackdisk"
)

// reopenEvery spaces out the tries to open a data folder that failed: a disk that
// is full has room again within seconds, or hours.
const reopenEvery = 500 * tackclock.Millisecond

func (c *Control) openDisk() (tackreplica.Stored, error) {
	disk, stored, err := tackdisk.Open(c.cfg.Folder, tackdisk.Options{Peer: c.cfg.Self, Logger: c.cfg.Logger, Files: c.cfg.Files})
	if err == nil {
		c.disk = disk
	}
	return stored, err
}

// suspend has this VM go on without a disk that failed; other errors are returned.
//
// A disk that is full refuses every write. Were the process to end, as for what it
// cannot mend, it would start, fail and end again for as long as there is no room,
// and its ports would be closed meanwhile. Suspended, it leads nothing, votes for
// nobody and acknowledges nothing, since none of that could be kept, and it sends
// whoever calls on to the others.
func (c *Control) suspend(now tackclock.Time, err error) error {
	if !errors.As(err, new(*tackdisk.FailedError)) {
		return err
	}
	c.log.WithError(err).Error("data folder lost, this VM does not take part until it can write again")
	c.reopenAt = now.Add(reopenEvery)
	c.refreshStatus(now)
	c.takeLead(now)
	waiters := c.waiters
	c.waiters = make(map[tackid.Revision]waiter)
	for _, w := range waiters {
		w.tell(undecided, tackwork.Outcome{})
	}
	return nil
}

// resume opens the data folder again when it is due, and begins with what it holds
// as after a restart. It reports whether the folder is good. Opening writes to it,
// so it shows whether there is room. The error is a *StoppedError if the folder
// holds what cannot be read.
func (c *Control) resume(now tackclock.Time) (bool, error) {
	if c.reopenAt == 0 || now < c.reopenAt {
		return c.reopenAt == 0, nil
	}
	c.reopenAt = now.Add(reopenEvery)
	if err := c.disk.Close(); err != nil {
		c.log.WithError(err).Warn("data folder not closed")
	}
	stored, err := c.openDisk()
	if lasting(err) {
		return false, &StoppedError{What: "open the data folder again", Err: err}
	}
	if err != nil {
		c.log.WithError(err).Warn("data folder not opened again yet")
		return false, nil
	}
	c.mu.Lock()
	c.state = tackwork.State{ClosedRetention: c.cfg.KeepClosed}
	c.snapshotAt = 0
	err = c.restore(stored)
	c.mu.Unlock()
	if err != nil {
		return false, err
	}
	c.reopenAt = 0
	c.relink()
	c.log.Info("data folder regained")
	return true, nil
}

// lasting reports whether opening the folder again would fail alike.
func lasting(err error) bool {
	return errors.As(err, new(*tackdisk.CorruptError)) || errors.As(err, new(*tackdisk.VersionError)) ||
		errors.As(err, new(*tackdisk.IdentityError))
}
