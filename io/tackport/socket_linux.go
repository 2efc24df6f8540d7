package tackport

import "golang.org/x/sys/unix"

// setReceiveBuffer bounds a socket's receive buffer. If this fails, more may wait unread.
func setReceiveBuffer(fd uintptr, n int) {
	_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
}
