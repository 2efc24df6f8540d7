package tackport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackintake"
)

const (
	// headerAllowance is how much of a header is covered by connBytes.
	headerAllowance = 4 << 10
	// fieldBytes is the memory of a header field beside its text, and textFactor how often the
	// text is held while it is parsed.
	fieldBytes = 192
	textFactor = 2
	// reserveStep is the unit in which memory for headers is reserved.
	reserveStep = 4 << 10
	// writePart is how many bytes of an answer must be taken within the write timeout.
	writePart = 64 << 10
	// deadlineSteps is how often within the timeout the deadline of a write is set anew, at most.
	deadlineSteps = 4
)

type (
	// listener accepts the connections of a port.
	listener struct {
		net.Listener
		port *Port
	}

	// conn is a client's connection.
	conn struct {
		net.Conn
		port   *Port
		holder *tackintake.Holder

		// The fields of the header are used by one goroutine at a time: net/http reads a header
		// only between requests.
		inHeader    bool
		headerBytes int
		headerLines int
		headerHeld  int64
		bodyRead    atomic.Bool // the end of the body was read

		writeDeadline atomic.Int64 // in nanoseconds since 1970; zero if there is none

		mu   sync.Mutex
		body *body // that is being read; nil if there is none
	}

	// endReader reads a body and notes its end.
	endReader struct {
		io.ReadCloser
		end *atomic.Bool
	}

	// wrapper is a connection that wraps another one.
	wrapper interface {
		NetConn() net.Conn
	}

	connKey struct{}
)

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, port: l.port, inHeader: true}
		c.holder = l.port.share.Open(l.port.owner.clock.Now(), c.evict)
		if c.holder != nil {
			return c, nil
		}
		l.port.refuse(c, reasonConnections, 0)
		reset(raw)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.inHeader && !c.countHeader(p[:n]) {
		_ = c.Close()
		return 0, &RefusedError{Port: c.port.name}
	}
	return n, err
}

// countHeader reserves memory for a part of a header that was read.
func (c *conn) countHeader(p []byte) bool {
	now := c.port.owner.clock.Now()
	if c.headerBytes == 0 && !c.holder.Enter(tackintake.Header, now) {
		return false
	}
	c.headerBytes += len(p)
	c.headerLines += bytes.Count(p, []byte{'\n'})
	need := int64(textFactor*c.headerBytes+fieldBytes*c.headerLines) - headerAllowance
	if need <= c.headerHeld {
		return true
	}
	step := (need - c.headerHeld + reserveStep - 1) / reserveStep * reserveStep
	if !c.holder.Reserve(now, step) {
		c.port.refuse(c, reasonMemory, c.headerHeld)
		return false
	}
	c.headerHeld += step
	return true
}

// Write implements net.Conn. It fails if the client does not take the next part in time.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		if c.port.Limits.WriteTimeout > 0 {
			c.renewWriteDeadline(len(p) > writePart)
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil && isTimeout(err) {
			c.port.record(c, "answer not taken in time", reasonSlowAnswer, int64(len(p)-written))
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// renewWriteDeadline gives the client the whole timeout for the next part. The deadline of short
// answers is not set anew each time.
func (c *conn) renewWriteDeadline(always bool) {
	timeout := c.port.Limits.WriteTimeout.Std()
	now := time.Now()
	if always || c.writeDeadline.Load()-now.UnixNano() < int64(timeout-timeout/deadlineSteps) {
		_ = c.SetWriteDeadline(now.Add(timeout)) // fails on a closed connection only
	}
}

// SetWriteDeadline implements net.Conn. net/http removes the deadline after each request.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeDeadline.Store(0)
	} else {
		c.writeDeadline.Store(t.UnixNano())
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.holder.Close()
	return c.Conn.Close()
}

// evict makes room. The connection is closed, or its body dropped.
func (c *conn) evict(e tackintake.Eviction) {
	c.port.recordEviction(c, e)
	c.mu.Lock()
	if c.body != nil {
		c.body.drop()
	}
	c.mu.Unlock()
	if e.Close {
		reset(c.Conn)
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read of the body
}

func (c *conn) setBody(b *body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = b
}

// abandonBody stops waiting for the rest of a body that was not read.
func (c *conn) abandonBody() {
	if !c.bodyRead.Load() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
}

// Read implements io.Reader.
func (r endReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		r.end.Store(true)
	}
	return n, err
}

// reset closes a connection without sending what waits in its socket.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ConnState must be the ConnState hook of servers that are served on a listener of a port.
func ConnState(nc net.Conn, state http.ConnState) {
	c := connIn(nc)
	if c == nil {
		return
	}
	now := c.port.owner.clock.Now()
	switch state {
	case http.StateActive, http.StateHijacked:
		c.inHeader = false
		c.holder.Enter(tackintake.Busy, now)
	case http.StateIdle:
		c.inHeader, c.headerBytes, c.headerLines, c.headerHeld = true, 0, 0, 0
		c.holder.Enter(tackintake.Idle, now)
	case http.StateClosed:
		c.holder.Close()
	}
}

// ConnContext must be the ConnContext hook of such servers.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c := connIn(nc); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connIn returns the connection of a port that nc is or wraps, or nil if there is none.
func connIn(nc net.Conn) *conn {
	for {
		switch c := nc.(type) {
		case *conn:
			return c
		case wrapper:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// Unwrap returns the connection that a listener of a port accepted without the bounds of the
// port; others are returned as they are.
func Unwrap(nc net.Conn) net.Conn {
	if c, ok := nc.(*conn); ok {
		return c.Conn
	}
	return nc
}

// connOf returns the connection of a request, or nil if it came from elsewhere.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func (c *conn) now() tackclock.Time {
	return c.port.owner.clock.Now()
}
