package tackhttp

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// pipe returns a backendConn whose reader counts as blocked, and its far end.
func pipe(t *testing.T) (*backendConn, net.Conn) {
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

// Symptom: a request that was reported as not run has run after all, or one
// has run twice.
// Sequence: the transport writes a request after the dispatch was given up, to
// a second connection, or to one that the backend server has closed.
// Cause: the transport writes from a goroutine of its own, and takes it upon
// itself to send again.
func TestWritesAreHeldBack(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(d *dispatch, c *backendConn, far net.Conn)
		want    error
		sent    bool
	}{
		"free":     {func(*dispatch, *backendConn, net.Conn) {}, nil, true},
		"sealed":   {func(d *dispatch, _ *backendConn, _ net.Conn) { d.seal() }, errSealed, false},
		"not held": {func(_ *dispatch, c *backendConn, _ net.Conn) { c.held.Store(nil) }, errUnheld, false},
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
				c, far := pipe(t)
				var d dispatch
				c.held.Store(&d)
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

// awaitPending waits until what the far end did has arrived.
func awaitPending(t *testing.T, c *backendConn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); c.peeker.pending() == nil; {
		if time.Now().After(end) {
			t.Fatal("nothing arrived")
		}
		time.Sleep(time.Millisecond)
	}
}
