package tackhttp

import (
	"bytes"
	"net"
	"net/http"
)

// maxHead is how much of a request's beginning is kept for singleLength.
const maxHead = 8 << 10

type (
	callerListener struct {
		net.Listener
	}

	// callerConn keeps the first bytes of the request under way as they came.
	// The server drops the Content-Length of a request with chunks before
	// anyone can see that there were two lengths, the shape by which one
	// request is smuggled inside another.
	callerConn struct {
		net.Conn
		head    []byte
		inHead  bool
		ahead   byte // read while the last request was being answered
		isAhead bool
	}
)

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, inHead: true}, nil
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case n == 1 && len(p) == 1:
		// The server's watch for a caller that hangs up has met the first
		// byte of the next request.
		c.ahead, c.isAhead = p[0], true
	case c.inHead && len(c.head) < maxHead:
		c.head = append(c.head, p[:min(n, maxHead-len(c.head))]...)
	}
	return n, err
}

// next begins the next request.
func (c *callerConn) next() {
	c.head = c.head[:0]
	c.inHead = true
	if c.isAhead {
		c.head = append(c.head, c.ahead)
		c.isAhead = false
	}
}

// connState follows the requests of a connection.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.next()
	}
}

// singleLength reports whether a request with chunks surely came without a
// Content-Length. One whose beginning wasn't seen, because it was sent before
// the last one was answered, doesn't count as such.
func singleLength(r *http.Request) bool {
	c, ok := r.Context().Value(callerKey{}).(*callerConn)
	if !ok {
		return true
	}
	line := r.Method + " " + r.RequestURI + " " + r.Proto + "\r\n"
	rest, ok := bytes.CutPrefix(c.head, []byte(line))
	if !ok {
		return false
	}
	for {
		field, after, ok := bytes.Cut(rest, []byte("\n"))
		if !ok {
			return false
		}
		field = bytes.TrimSuffix(field, []byte("\r"))
		if len(field) == 0 {
			return true
		}
		name, _, _ := bytes.Cut(field, []byte(":"))
		if bytes.EqualFold(name, []byte("Content-Length")) {
			return false
		}
		rest = after
	}
}
