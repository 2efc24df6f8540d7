package tackhttp

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall lacks.
const tcpUserTimeout = 18

// peeker looks at what a socket holds. It is made once for a connection,
// since it is used for every request.
type peeker struct {
	raw  syscall.RawConn // nil where there is no socket
	look func(fd uintptr)
	n    int
	err  error
}

func newPeeker(c net.Conn) *peeker {
	p := new(peeker)
	p.look = func(fd uintptr) {
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

// pending returns an error if the socket holds bytes that were not read yet,
// or its end. It doesn't block and takes nothing out.
func (p *peeker) pending() error {
	if p.raw == nil {
		return nil
	}
	err := p.raw.Control(p.look)
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
