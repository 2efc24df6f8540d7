package tackport

import "golang.org/x/sys/unix"

// setBuffers bounds a socket's buffers. If this fails, more may wait in them.
func setBuffers(fd uintptr, receive, send int) {
	_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
	_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
}
