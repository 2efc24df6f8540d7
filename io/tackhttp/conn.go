package tackhttp

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var (
	errSealed       = errors.New("the dispatch was given up before a byte of it left")
	errSecondSend   = errors.New("a dispatch may use one connection only")
	errUnheld       = errors.New("write on a connection that no dispatch holds")
	errUnsolicited  = errors.New("the backend server sent bytes that nobody asked for")
	errClosedOnIdle = errors.New("the backend server closed the idle connection")
)

type (
	// dispatch is one attempt to have a request run by a backend server. It
	// knows for sure whether a byte of the request may have left.
	dispatch struct {
		mu     sync.Mutex
		conn   *backendConn // the one connection that it wrote to
		sealed bool
	}

	// backendConn is a connection to a backend server. Every byte that
	// http.Transport writes passes through it, so that it can hold back what
	// must not leave:
	//
	// The transport writes from a goroutine of its own, which may still run
	// after RoundTrip has returned an error. A request that was reported as
	// not run would then leave after all. A sealed dispatch lets nothing
	// through.
	//
	// The transport sends a request again on another connection when a reused
	// one breaks, for methods that it takes as idempotent and for any method
	// with an Idempotency-Key and no body. The backend server would run it
	// twice. A dispatch that has sent a byte is bound to its connection.
	//
	// The transport puts a connection back into its pool before it looks
	// whether the backend server sent more than one answer. A request that
	// takes it in between is given the second answer, that of another caller.
	// The first byte of a dispatch waits until the transport's reader is
	// blocked in Read, which it is only with an empty buffer, and leaves only
	// if the socket holds nothing either.
	backendConn struct {
		net.Conn
		peeker *peeker // used by the one goroutine that writes
		held   atomic.Pointer[dispatch]

		mu      sync.Mutex
		cond    sync.Cond
		reading bool
		closed  bool
	}
)

func newBackendConn(c net.Conn) *backendConn {
	b := &backendConn{Conn: c, peeker: newPeeker(c)}
	b.cond.L = &b.mu
	return b
}

// Read implements net.Conn.
func (c *backendConn) Read(p []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(p)
	c.setReading(false)
	return n, err
}

// Write implements net.Conn.
func (c *backendConn) Write(p []byte) (int, error) {
	d := c.held.Load()
	if d == nil {
		return 0, errUnheld
	}
	first, err := d.send(c)
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		d.unsend()
	}
	return n, err
}

// Close implements net.Conn.
func (c *backendConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.cond.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *backendConn) setReading(on bool) {
	c.mu.Lock()
	c.reading = on
	if on {
		c.cond.Broadcast()
	}
	c.mu.Unlock()
}

// ready waits until the reader has nothing left of an earlier answer, and
// returns an error if the connection can't carry a request.
func (c *backendConn) ready() error {
	c.mu.Lock()
	for !c.reading && !c.closed {
		c.cond.Wait()
	}
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	return c.peeker.pending()
}

// send asks to write to c. First is true for the first write of the dispatch.
func (d *dispatch) send(c *backendConn) (first bool, err error) {
	d.mu.Lock()
	holder := d.conn
	d.mu.Unlock()
	switch holder {
	case c:
		return false, nil
	case nil:
	default:
		return false, errSecondSend
	}
	if err := c.ready(); err != nil {
		return false, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sealed {
		return false, errSealed
	}
	d.conn = c
	return true, nil
}

// unsend takes back a first write of which the system took no byte.
func (d *dispatch) unsend() {
	d.mu.Lock()
	d.conn = nil
	d.mu.Unlock()
}

// seal lets no first byte leave from now on. It reports whether one may have
// left before.
func (d *dispatch) seal() (sent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sealed = true
	return d.conn != nil
}

// sent reports whether a byte of the dispatch may have left.
func (d *dispatch) sent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conn != nil
}
