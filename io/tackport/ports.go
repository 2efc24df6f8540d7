// Package tackport serves ports to clients that may misbehave. It bounds what they can make a
// process hold: connections, the bytes of headers and bodies, bytes that wait unread in sockets,
// and the time that a body or an answer takes. All ports of a process share one budget, which is
// a part of the memory and the descriptors of its machine.
package tackport

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackintake"
	"auburntack/io/tacklog"
	"auburntack/io/tacksettings"
)

const (
	// connBytes is the memory of one connection without its request: a goroutine and the buffers
	// of net/http.
	connBytes = 24 << 10
	// connPercent is the part of the clients' memory, in percent, that connections without their
	// requests may take.
	connPercent = 60
	// descriptorPercent is the part of the machine's descriptors, in percent, for clients. The
	// others are for files and for connections that the process opens itself.
	descriptorPercent = 80
	// lingerTimeout is how long the rest of a request that is not read is waited for, so that the
	// client can read why. Closing the connection at once could reset it before.
	lingerTimeout = 250 * time.Millisecond
	percent       = 100
	// minReceiveBuffer and the others bound the buffers of a connection's socket.
	minReceiveBuffer = 4 << 10
	maxReceiveBuffer = 64 << 10
	minSendBuffer    = 16 << 10
	maxSendBuffer    = 256 << 10
)

// Defaults of Limits.
const (
	defaultMemoryPercent = 50
	defaultBodyTimeout   = 10 * tackclock.Second
	defaultBodyRate      = 4 << 10
	defaultWriteTimeout  = 20 * tackclock.Second
	defaultHeaderBytes   = 32 << 10
)

type (
	// Limits are the limits of the clients of a process. A zero field has its default.
	Limits struct {
		MemoryPercent int                // part of the machine's memory that clients may hold; 50
		BodyTimeout   tackclock.Duration // for a body, beside the time that BodyRate allows; 10 s
		BodyRate      int64              // bytes per second that a body must have after that; 4 KiB
		WriteTimeout  tackclock.Duration // for a client to take the next part of an answer; 20 s
		HeaderBytes   int64              // bytes of a request's header; 32 KiB
		ReceiveBuffer int64              // of a connection's socket, in bytes; what fits the machine
		SendBuffer    int64              // the same for what waits to be sent
	}

	// Ports are the ports of one process. They must be created by New.
	Ports struct {
		limits    Limits
		budget    tackintake.Budget
		clock     *tackclock.Clock
		log       logrus.FieldLogger
		registry  metrics.Registry
		lines     tacklog.LineLimit
		decodings chan struct{}
	}

	// Port is one port. It must be created by Ports.Port. A nil *Port bounds only the size of a
	// body.
	Port struct {
		owner *Ports
		name  string
		share *tackintake.Port
		// Limits are the limits of the process. They may be changed before the port is served.
		Limits Limits
	}

	// Share is the part of the process's budget that a port has in reserve, in percent, and how
	// many connections and bytes it may have at most. A maximum of zero means that it may have
	// all that is not in reserve for other ports.
	Share struct {
		Percent        int
		MaxConnections int
		MaxBytes       int64
	}

	// Config says what the ports of a process may use.
	Config struct {
		Limits   Limits
		Machine  Machine
		Clock    *tackclock.Clock
		Logger   logrus.FieldLogger
		Registry metrics.Registry
	}
)

// New returns the ports of a process. The zero Config has no limits on connections and bytes.
func New(cfg Config) *Ports {
	if cfg.Clock == nil {
		cfg.Clock = new(tackclock.Clock)
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	if cfg.Logger == nil {
		quiet := logrus.New()
		quiet.SetLevel(logrus.PanicLevel)
		cfg.Logger = quiet
	}
	s := &Ports{
		limits: cfg.Limits.withDefaults(), clock: cfg.Clock, log: cfg.Logger, registry: cfg.Registry,
		decodings: make(chan struct{}, runtime.GOMAXPROCS(0)),
	}
	s.budget.Limit = cfg.Machine.share(s.limits.MemoryPercent)
	buffer := cfg.Machine.socketBuffer(s.budget.Limit.Connections)
	orDefault(&s.limits.ReceiveBuffer, min(max(buffer, minReceiveBuffer), maxReceiveBuffer))
	orDefault(&s.limits.SendBuffer, min(max(buffer, minSendBuffer), maxSendBuffer))
	s.register()
	return s
}

// share returns what clients may hold on the machine.
func (m Machine) share(memoryPercent int) tackintake.Share {
	var s tackintake.Share
	if m.Descriptors > 0 {
		s.Connections = max(1, m.Descriptors*descriptorPercent/percent)
	}
	if m.MemoryBytes > 0 {
		all := m.usable() / percent * int64(memoryPercent)
		byMemory := max(1, int(min(all/percent*connPercent/connBytes, math.MaxInt32)))
		if s.Connections == 0 || s.Connections > byMemory {
			s.Connections = byMemory
		}
		s.Bytes = max(1, all-int64(s.Connections)*connBytes)
	}
	return s
}

// socketBuffer returns the size of the sockets' buffers with which what waits unread, or unsent, on
// all connections takes an eighth of the memory. The kernel takes up to twice the size.
func (m Machine) socketBuffer(connections int) int64 {
	const part, kernelFactor = 8, 2
	if m.MemoryBytes == 0 || connections == 0 {
		return math.MaxInt64
	}
	return m.MemoryBytes / part / kernelFactor / int64(connections)
}

// LimitsOf returns the limits that the settings hold.
func LimitsOf(c *tacksettings.Clients) Limits {
	return Limits{
		MemoryPercent: c.MemoryPercent, BodyTimeout: c.BodyTimeout, BodyRate: c.BodyRate,
		WriteTimeout: c.WriteTimeout, HeaderBytes: c.HeaderLimit, ReceiveBuffer: c.ReceiveBuffer, SendBuffer: c.SendBuffer,
	}
}

// withDefaults returns the limits with their defaults in place of zeros. Those of the buffers depend
// on the machine.
func (l Limits) withDefaults() Limits {
	orDefault(&l.MemoryPercent, defaultMemoryPercent)
	orDefault(&l.BodyTimeout, defaultBodyTimeout)
	orDefault(&l.BodyRate, defaultBodyRate)
	orDefault(&l.WriteTimeout, defaultWriteTimeout)
	orDefault(&l.HeaderBytes, defaultHeaderBytes)
	return l
}

func orDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Port adds a port. Its name appears in logs and metrics.
func (s *Ports) Port(name string, share Share) *Port {
	total := s.budget.Limit
	reserve := tackintake.Share{
		Connections: total.Connections * share.Percent / percent, Bytes: total.Bytes / percent * int64(share.Percent),
	}
	limit := tackintake.Share{Connections: share.MaxConnections, Bytes: share.MaxBytes}
	return &Port{owner: s, name: name, share: s.budget.Port(reserve, limit), Limits: s.limits}
}

// Listen listens on an address. The clients' connections are bounded.
func (p *Port) Listen(ctx context.Context, address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return p.SetBuffers(raw)
	}}
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return p.Bound(l), nil
}

// SetBuffers bounds what may wait unread, or unsent, in the sockets that a listener accepts. It must
// be called before the listener listens.
func (p *Port) SetBuffers(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { setBuffers(fd, int(p.Limits.ReceiveBuffer), int(p.Limits.SendBuffer)) })
}

// Bound returns a listener with the bounds of the port.
func (p *Port) Bound(l net.Listener) net.Listener {
	return &listener{Listener: l, port: p}
}

// NewServer returns a server with the limits of the port. It must be served on a listener of
// the port.
func (p *Port) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: p.Handler(closeUnread(handler)), MaxHeaderBytes: int(p.Limits.HeaderBytes), ConnState: ConnState, ConnContext: ConnContext,
	}
}

// Handler returns a handler for requests whose body next may leave unread. Without it net/http
// would wait for the rest of the body for as long as the client likes.
func (p *Port) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		c.bodyRead.Store(false)
		r = r.WithContext(r.Context()) // net/http uses the body of the original
		r.Body = endReader{ReadCloser: r.Body, end: &c.bodyRead}
		defer c.abandonBody()
		next.ServeHTTP(w, r)
	})
}

// BodyDeadline returns until when the next bytes of a body must arrive. Each byte that was received
// since began adds to the time for all of the body.
func (p *Port) BodyDeadline(began time.Time, received int64) time.Time {
	allowed := p.Limits.BodyTimeout + tackclock.Duration(received*int64(tackclock.Second)/p.Limits.BodyRate)
	return began.Add(allowed.Std())
}

// closeUnread returns a handler that does not use the bodies of GET, HEAD and DELETE requests. The
// connection is closed after such a request: net/http would read the body before it writes an
// answer.
func closeUnread(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.ContentLength == 0:
		case r.Method == http.MethodGet, r.Method == http.MethodHead, r.Method == http.MethodDelete:
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Decode calls f, which decodes a body of n bytes. Large bodies are decoded one at a time on
// each processor, since a body takes several times its size while it is decoded.
func (p *Port) Decode(n int, f func()) {
	const largeBody = 64 << 10
	if p != nil && n > largeBody {
		p.owner.decodings <- struct{}{}
		defer func() { <-p.owner.decodings }()
	}
	f()
}

// Hold sets how many bytes the request holds until it is answered. It returns a *RefusedError,
// and the request must be refused, if there is no room for them.
func (p *Port) Hold(r *http.Request, n int64) error {
	c := connOf(r.Context())
	if c == nil || c.holder.Resize(c.now(), c.headerHeld+n) {
		return nil
	}
	p.refuse(c, reasonMemory, n)
	return &RefusedError{Port: p.name}
}

// Fits reports whether n more bytes can be held if clients with unfinished requests make room.
func (p *Port) Fits(n int64) bool {
	return p.share.Fits(n)
}

// IsRefused reports whether err says that a request was refused for want of memory.
func IsRefused(err error) bool {
	return errors.As(err, new(*RefusedError))
}
