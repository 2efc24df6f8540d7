//go:build !linux

package tackhttp

import (
	"net"
	"syscall"
	"time"
)

// pending returns nil: on this system a connection that the backend server
// closed or misused is only found once the request has left.
func pending(net.Conn) error { return nil }

// setUserTimeout does nothing on this system; the waits for progress apply.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
