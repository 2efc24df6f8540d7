package tackhttp

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// newBackendPair returns a backendConn that is ready for a request, and the
// other end of the connection.
func newBackendPair(t *testing.T) (*backendConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := newBackendConn(near)
	c.setReading(true)
	t.Cleanup(func() {
		c.Close()
		far.Close()
	})
	return c, far
}

// No byte may be sent after the dispatch was sealed, on a second connection, or
// on a connection that the backend server has closed. The transport writes from
// its own goroutine and resends requests by itself, so a request that was
// reported as not run could otherwise run, or one could run twice.
func TestWritesAreHeldBack(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(d *dispatch, c *backendConn, far net.Conn)
		want    error
		sent    bool
	}{
		"free":     {func(*dispatch, *backendConn, net.Conn) {}, nil, true},
		"sealed":   {func(d *dispatch, _ *backendConn, _ net.Conn) { d.seal() }, errSealed, false},
		"not held": {func(_ *dispatch, c *backendConn, _ net.Conn) { c.owner.Store(nil) }, errNoOwner, false},
		"second":   {func(d *dispatch, _ *backendConn, _ net.Conn) { d.conn = new(backendConn) }, errSecondSend, true},
		"closed":   {func(_ *dispatch, _ *backendConn, far net.Conn) { far.Close() }, errClosedOnIdle, false},
		"unasked":  {func(_ *dispatch, _ *backendConn, far net.Conn) { far.Write([]byte("x")) }, errUnsolicited, false},
		"reader gone": {func(_ *dispatch, c *backendConn, _ net.Conn) {
			c.setReading(false)
			c.Close()
		}, net.ErrClosed, false},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A first write", t, func() {
				c, far := newBackendPair(t)
				var d dispatch
				c.owner.Store(&d)
				test.prepare(&d, c, far)
				if test.want == errClosedOnIdle || test.want == errUnsolicited {
					awaitPending(t, c)
				}
				_, err := c.Write([]byte("GET"))
				convey.So(errors.Is(err, test.want), convey.ShouldBeTrue)
				convey.So(d.seal(), convey.ShouldEqual, test.sent)
			})
		})
	}
}

// awaitPending waits until data or the end of the connection has arrived.
func awaitPending(t *testing.T, c *backendConn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); c.peeker.pending() == nil; {
		if time.Now().After(end) {
			t.Fatal("nothing arrived")
		}
		time.Sleep(time.Millisecond)
	}
}
