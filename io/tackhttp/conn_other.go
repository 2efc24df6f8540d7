//go:build !linux

package tackhttp

import (
	"net"
	"syscall"
	"time"
)

// peeker detects nothing on this system: a connection that the backend server
// has closed, or on which it sent unsolicited data, is detected only after the
// request was sent.
type peeker struct{}

func newPeeker(net.Conn) *peeker { return new(peeker) }

func (*peeker) pending() error { return nil }

// setUserTimeout does nothing on this system; only the progress timeouts apply.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
