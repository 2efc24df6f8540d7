package tackhttp

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall lacks.
const tcpUserTimeout = 18

// pending returns an error if the socket holds bytes that were not read yet,
// or its end. It doesn't block and takes nothing out.
func pending(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err
	case peekErr == syscall.EAGAIN || peekErr == syscall.EINTR:
		return nil
	case peekErr != nil:
		return peekErr
	case n == 0:
		return errClosedOnIdle
	}
	return errUnsolicited
}

// setUserTimeout makes the system break a connection on which sent bytes stay
// unacknowledged for d. Without it a connection that something between the two
// ends has lost track of looks alive until its retransmissions run out, which
// takes a quarter of an hour.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
