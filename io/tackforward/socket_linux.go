package tackforward

import "golang.org/x/sys/unix"

// setTimeoutOption has the kernel give up a connection on which nothing was
// acknowledged for ms milliseconds. If it fails, the time limit of each call
// finds such a connection, somewhat later.
func setTimeoutOption(fd, ms int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
}
