package tackpeer

import (
	"syscall"

	"golang.org/x/sys/unix"

	"auburntack/core/tackclock"
)

// setUserTimeout has the kernel give up a connection whose sent bytes stay
// unacknowledged for d. Without it a connection to a VM that lost its power
// is kept for a quarter of an hour.
func setUserTimeout(raw syscall.RawConn, d tackclock.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d))
	})
	if err != nil {
		return err
	}
	return failed
}
