package tackforward

import "golang.org/x/sys/unix"

// setTimeoutOption makes the kernel close a connection on which nothing was acknowledged for
// ms milliseconds. If this fails, such a connection is closed somewhat later, when a call
// times out.
func setTimeoutOption(fd, ms int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
}
