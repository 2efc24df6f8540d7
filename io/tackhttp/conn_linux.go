package tackhttp

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall does not
// define.
const tcpUserTimeout = 18

// peeker checks a socket for unread data. Each connection has one of its own,
// since it is used for every request.
type peeker struct {
	raw  syscall.RawConn // nil if the connection is not a socket
	peek func(fd uintptr)
	n    int
	err  error
}

func newPeeker(c net.Conn) *peeker {
	p := new(peeker)
	p.peek = func(fd uintptr) {
		var buf [1]byte
		p.n, _, p.err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.raw = raw
		}
	}
	return p
}

// pending returns an error if the socket has unread data or was closed by the
// other end. It doesn't block and consumes nothing.
func (p *peeker) pending() error {
	if p.raw == nil {
		return nil
	}
	err := p.raw.Control(p.peek)
	switch {
	case err != nil:
		return err
	case p.err == syscall.EAGAIN || p.err == syscall.EINTR:
		return nil
	case p.err != nil:
		return p.err
	case p.n == 0:
		return errClosedOnIdle
	}
	return errUnsolicited
}

// setUserTimeout makes the kernel close a connection if sent data stays
// unacknowledged for d. Otherwise a connection whose state was lost by a device
// between the two ends, such as a firewall, appears to be alive until its
// retransmissions are exhausted, which takes a quarter of an hour.
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
