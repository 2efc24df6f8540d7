package tackstandin

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// Pause stops the process with SIGSTOP and returns once all of its threads have stopped.
// The signal alone returns while they may run on for some milliseconds, in which a daemon
// can still handle a request. SIGCONT resumes the process.
func (d *Daemon) Pause() error {
	if err := d.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED, nil)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return fmt.Errorf("wait until %s has stopped: %w", d.ID, err)
		}
		return nil
	}
}
