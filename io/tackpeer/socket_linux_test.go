package tackpeer

import (
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// Guards against a link to a VM that lost power and stays up for a quarter of an hour, the
// default timeout of the kernel: data is sent and not acknowledged, and the heartbeats of this
// process do not run. Both ends set a shorter timeout.
func TestUserTimeoutIsSet(t *testing.T) {
	Convey("On outgoing and accepted connections", t, func() {
		l := New(Config{Self: "a"})
		listener := &countedListener{Listener: listen(t), owner: l}
		defer listener.Close()
		k := newLink(l, Peer{ID: "b"})
		made, err := k.dialCounted(t.Context(), "tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer made.Close()
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		defer accepted.Close()
		for _, conn := range []net.Conn{made, accepted} {
			raw, err := conn.(*countedConn).Conn.(syscall.Conn).SyscallConn()
			So(err, ShouldBeNil)
			ms := 0
			So(raw.Control(func(fd uintptr) {
				ms, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			}), ShouldBeNil)
			So(ms, ShouldEqual, int(userTimeoutHeartbeats*DefaultHeartbeat))
		}
	})
}

// Guards against two VMs that refuse each other from the first start on: each has several IP
// addresses and listens on one that is not its first, but the kernel has them connect from the
// first, which the other VM does not know.
func TestDialsFromListenAddress(t *testing.T) {
	noLeaks(t)
	Convey("Two VMs that each listen on their second address", t, func() {
		la, err := net.Listen("tcp", "127.0.0.2:0")
		So(err, ShouldBeNil)
		lb, err := net.Listen("tcp", "127.0.0.3:0")
		So(err, ShouldBeNil)
		a := serve(Config{Self: "a", Listener: la, Peers: []Peer{{ID: "b", Address: lb.Addr().String()}}})
		defer a.stop()
		b := serve(Config{Self: "b", Listener: lb, Peers: []Peer{{ID: "a", Address: la.Addr().String()}}})
		defer b.stop()
		assertArrives(t, a, b)
		assertArrives(t, b, a)
	})
}
