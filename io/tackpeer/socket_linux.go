package tackpeer

import (
	"syscall"

	"golang.org/x/sys/unix"

	"auburntack/core/tackclock"
)

// setUserTimeout sets the TCP user timeout: the kernel closes a connection whose data stays
// unacknowledged for d. Without it a connection to a VM that lost power stays open for a
// quarter of an hour.
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
