package tackhttp

import (
	"bytes"
	"net"
	"net/http"

	"auburntack/io/tackport"
)

// maxHead is how many bytes of a request's head are kept for
// lacksContentLength.
const maxHead = 8 << 10

type (
	callerListener struct {
		net.Listener
	}

	// callerConn keeps the first bytes of the current request as they were
	// received. The server drops the Content-Length of a chunked request before
	// a handler can see that the request had both, a form that is used for
	// request smuggling.
	callerConn struct {
		net.Conn
		head        []byte
		inHead      bool
		nextByte    byte // of the next request, read while the current one was being answered
		hasNextByte bool
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

// NetConn returns the connection as it was accepted.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case n == 1 && len(p) == 1:
		// net/http, which reads one byte in the background to detect that the
		// caller closes the connection, got the first byte of the next request.
		c.nextByte, c.hasNextByte = p[0], true
	case c.inHead && len(c.head) < maxHead:
		c.head = append(c.head, p[:min(n, maxHead-len(c.head))]...)
	}
	return n, err
}

// startRequest prepares for the next request.
func (c *callerConn) startRequest() {
	c.head = c.head[:0]
	c.inHead = true
	if c.hasNextByte {
		c.head = append(c.head, c.nextByte)
		c.hasNextByte = false
	}
}

// connState is the server's ConnState hook: it detects the start of the next
// request on a connection.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.startRequest()
	}
	tackport.ConnState(conn, state)
}

// lacksContentLength reports whether a chunked request certainly had no
// Content-Length. It returns false if the start of the request was not
// captured, because it was sent before the previous request was answered.
func lacksContentLength(r *http.Request) bool {
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
