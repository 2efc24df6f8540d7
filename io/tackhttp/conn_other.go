//go:build !linux

package tackhttp

import (
	"net"
	"syscall"
	"time"
)

// peeker finds nothing on this system: a connection that the backend server
// closed or misused is only found once the request has left.
type peeker struct{}

func newPeeker(net.Conn) *peeker { return new(peeker) }

func (*peeker) pending() error { return nil }

// setUserTimeout does nothing on this system; the waits for progress apply.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
