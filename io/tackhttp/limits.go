package tackhttp

import "auburntack/core/tackclock"

const (
	// bufferSize is the part of an answer that is read before the first byte
	// of it is passed on, and the unit in which the rest is copied.
	bufferSize = 32 << 10

	// defaultTries is the default of tackretry.Settings.Tries.
	defaultTries = 3

	// maxTimeout bounds what a caller may ask for.
	maxTimeout = tackclock.Hour
)

// Limits bounds what one request may take. A zero field takes its default.
type Limits struct {
	MaxBody     int64              // bytes of a request's body; 1 GiB
	BufferBody  int64              // bytes up to which a body is held, so that it can be sent again; 1 MiB
	BufferTotal int64              // bytes of bodies held at once; 64 MiB
	RecordBody  int                // bytes of an answer's body that are kept under a key; 64 KiB
	HeaderBytes int                // bytes of a header, either way; 64 KiB
	Idle        int                // idle connections kept to one backend server; 7
	Timeout     tackclock.Duration // until the answer begins, if the caller doesn't say; 30 s
	HeaderWait  tackclock.Duration // for a caller's header; 10 s
	BodyWait    tackclock.Duration // for the next bytes of a body, either way; 10 s
	CallerWait  tackclock.Duration // for a caller to take the next bytes; 20 s
	CallerIdle  tackclock.Duration // a caller's connection is kept between requests; 60 s
	DialWait    tackclock.Duration // for a connection to a backend server; 1 s
	FirstByte   tackclock.Duration // for an answer to begin, while the request could be sent elsewhere; 5 s
	IdleWait    tackclock.Duration // an idle connection to a backend server is kept; 4 s
	FinishWait  tackclock.Duration // an answer waits for its record; 2 s
	FinishRetry tackclock.Duration // a record is tried again in the background; 1 min
	UserTimeout tackclock.Duration // sent bytes may stay unacknowledged; 5 s
}

// withDefaults returns the limits with the zero fields filled in.
func (l Limits) withDefaults() Limits {
	orDefault(&l.MaxBody, 1<<30)
	orDefault(&l.BufferBody, 1<<20)
	orDefault(&l.BufferTotal, 64<<20)
	orDefault(&l.RecordBody, 64<<10)
	orDefault(&l.HeaderBytes, 64<<10)
	// Eight entry VMs that keep 7 each, and 8 in use, stay within the 64
	// connections that a backend server accepts.
	orDefault(&l.Idle, 7)
	orDefault(&l.Timeout, 30*tackclock.Second)
	orDefault(&l.HeaderWait, 10*tackclock.Second)
	orDefault(&l.BodyWait, 10*tackclock.Second)
	orDefault(&l.CallerWait, 20*tackclock.Second)
	orDefault(&l.CallerIdle, tackclock.Minute)
	orDefault(&l.DialWait, tackclock.Second)
	orDefault(&l.FirstByte, 5*tackclock.Second)
	// Shorter than the 5 s after which many servers close an idle connection,
	// so that a request rarely meets a connection that is just being closed.
	orDefault(&l.IdleWait, 4*tackclock.Second)
	orDefault(&l.FinishWait, 2*tackclock.Second)
	orDefault(&l.FinishRetry, tackclock.Minute)
	orDefault(&l.UserTimeout, 5*tackclock.Second)
	return l
}

func orDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
