package tackhttp

import "auburntack/core/tackclock"

const (
	// bufferSize is the size of the part of an answer that is read before its
	// first byte is passed on, and of the buffer with which the rest is copied.
	bufferSize = 32 << 10

	// defaultTries is the default of tackretry.Settings.MaxTries.
	defaultTries = 3

	// maxTimeout limits the timeout that a caller may request.
	maxTimeout = tackclock.Hour
)

// Limits limits the resources and the time that one request may take. A zero
// field takes its default.
type Limits struct {
	MaxBody            int64              // bytes of a request's body; 1 GiB
	BufferBody         int64              // largest body, in bytes, that is buffered so that it can be sent again; 1 MiB
	BufferTotal        int64              // bytes of all buffered bodies together; 64 MiB
	RecordBody         int                // largest body of an answer, in bytes, that is recorded for a key; 64 KiB
	HeaderBytes        int                // bytes of a header, of requests and of answers; 64 KiB
	MaxIdleConns       int                // idle connections kept to each backend server; 7
	Timeout            tackclock.Duration // until the answer begins, if the caller sets no timeout; 30 s
	HeaderTimeout      tackclock.Duration // for the header of a request; 10 s
	BodyTimeout        tackclock.Duration // for the next bytes of a body, of requests and of answers; 10 s
	CallerWriteTimeout tackclock.Duration // for a caller to accept the next bytes; 20 s
	CallerIdleTimeout  tackclock.Duration // that a caller's idle connection is kept; 60 s
	DialTimeout        tackclock.Duration // for a connection to a backend server; 1 s
	FirstByteTimeout   tackclock.Duration // for an answer to begin, if the request can be retried elsewhere; 5 s
	IdleConnTimeout    tackclock.Duration // that an idle connection to a backend server is kept; 4 s
	FinishTimeout      tackclock.Duration // that an answer is delayed until its outcome is recorded; 2 s
	FinishRetryTimeout tackclock.Duration // during which recording an outcome is retried in the background; 1 min
	TCPUserTimeout     tackclock.Duration // that sent data may stay unacknowledged; 5 s
}

// withDefaults returns the limits with zero fields set to their defaults.
func (l Limits) withDefaults() Limits {
	orDefault(&l.MaxBody, 1<<30)
	orDefault(&l.BufferBody, 1<<20)
	orDefault(&l.BufferTotal, 64<<20)
	orDefault(&l.RecordBody, 64<<10)
	orDefault(&l.HeaderBytes, 64<<10)
	// Eight entry VMs with 7 idle connections each, and 8 in use, stay within
	// the 64 connections that a backend server accepts.
	orDefault(&l.MaxIdleConns, 7)
	orDefault(&l.Timeout, 30*tackclock.Second)
	orDefault(&l.HeaderTimeout, 10*tackclock.Second)
	orDefault(&l.BodyTimeout, 10*tackclock.Second)
	orDefault(&l.CallerWriteTimeout, 20*tackclock.Second)
	orDefault(&l.CallerIdleTimeout, tackclock.Minute)
	orDefault(&l.DialTimeout, tackclock.Second)
	orDefault(&l.FirstByteTimeout, 5*tackclock.Second)
	// Shorter than the 5 s after which many servers close an idle connection,
	// so that a request rarely uses a connection that is just being closed.
	orDefault(&l.IdleConnTimeout, 4*tackclock.Second)
	orDefault(&l.FinishTimeout, 2*tackclock.Second)
	orDefault(&l.FinishRetryTimeout, tackclock.Minute)
	orDefault(&l.TCPUserTimeout, 5*tackclock.Second)
	return l
}

func orDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
