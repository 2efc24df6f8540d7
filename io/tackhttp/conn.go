package tackhttp

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var (
	errSealed       = errors.New("dispatch was abandoned before a byte of it was sent")
	errSecondSend   = errors.New("dispatch has already used another connection")
	errNoOwner      = errors.New("write on a connection without a dispatch")
	errUnsolicited  = errors.New("backend server sent unsolicited data")
	errClosedOnIdle = errors.New("backend server closed the idle connection")
)

type (
	// dispatch is one attempt to have a request run by a backend server. It
	// tracks whether a byte of the request may have been sent.
	dispatch struct {
		mu     sync.Mutex
		conn   *backendConn // the only connection that may be written to; nil until the first write
		sealed bool
	}

	// backendConn is a connection to a backend server. Every byte that
	// http.Transport sends is written through it, so that it can prevent three
	// kinds of writes:
	//
	// The transport writes in its own goroutine, which may still run after
	// RoundTrip has returned an error. A request that was reported as not run
	// would then be sent nevertheless. A sealed dispatch can't send its first
	// byte.
	//
	// If a reused connection breaks, the transport resends the request on
	// another one if the method is idempotent, and for any method if the
	// request has an Idempotency-Key and no body. The backend server would run
	// the request twice. A dispatch that has sent a byte is bound to its
	// connection.
	//
	// The transport returns a connection to its pool before it checks whether
	// the backend server sent more than one answer. A request that reuses the
	// connection in between would receive the second answer, which belongs to
	// another caller. The first byte of a dispatch is therefore held until the
	// transport's reader blocks in Read, which it does only when its buffer is
	// empty, and is sent only if the socket has no unread data either.
	backendConn struct {
		net.Conn
		peeker *peeker // used only by the goroutine that writes
		owner  atomic.Pointer[dispatch]

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
	d := c.owner.Load()
	if d == nil {
		return 0, errNoOwner
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

// ready waits until the reader has consumed the previous answer. It returns an
// error if the connection can't carry another request.
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

// send requests permission to write to c. It reports whether this is the first
// write of the dispatch.
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

// unsend reverts a first write of which no byte was accepted by the kernel.
func (d *dispatch) unsend() {
	d.mu.Lock()
	d.conn = nil
	d.mu.Unlock()
}

// seal forbids a first write from now on. It reports whether a byte may already
// have been sent.
func (d *dispatch) seal() (sent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sealed = true
	return d.conn != nil
}

// sent reports whether a byte of the dispatch may have been sent.
func (d *dispatch) sent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conn != nil
}
