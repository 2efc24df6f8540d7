package tacklog

import (
	"sync"

	"auburntack/core/tackclock"
)

// LinesPerSecond is the maximum number of lines per second that a LineLimit allows.
const LinesPerSecond = 5

// LineLimit limits the log lines about what others cause, so that they cannot fill the log. It is
// safe for concurrent use, and its zero value is ready to use.
type LineLimit struct {
	mu    sync.Mutex
	start tackclock.Time // of the current second
	n     int
}

// Allow reports whether a line may be written now, and how many were left out in the second
// before.
func (l *LineLimit) Allow(now tackclock.Time) (write bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.start) >= tackclock.Second {
		leftOut = max(0, l.n-LinesPerSecond)
		l.start, l.n = now, 0
	}
	l.n++
	return l.n <= LinesPerSecond, leftOut
}
