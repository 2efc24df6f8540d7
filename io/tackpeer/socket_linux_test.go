package tackpeer

import (
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// Symptom: a link to a VM that lost its power stands for a quarter of an hour.
// Sequence: bytes are sent, nothing acknowledges them, and the heartbeats of
// this process do not run.
// Cause: the kernel's own limit, which is that long. Both ends set another.
func TestUserTimeoutIsSet(t *testing.T) {
	Convey("On the connections that are made and on those that are accepted", t, func() {
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

// Symptom: two VMs refuse each other from the first start on.
// Sequence: each has several IP numbers and listens on one that is not its
// first; the kernel has them connect from the first.
// Cause: neither comes from the number that the other knows it by.
func TestConnectsFromWhereItListens(t *testing.T) {
	noLeaks(t)
	Convey("Two VMs that each listen on a second number", t, func() {
		la, err := net.Listen("tcp", "127.0.0.2:0")
		So(err, ShouldBeNil)
		lb, err := net.Listen("tcp", "127.0.0.3:0")
		So(err, ShouldBeNil)
		a := serve(Config{Self: "a", Listener: la, Peers: []Peer{{ID: "b", Address: lb.Addr().String()}}})
		defer a.stop()
		b := serve(Config{Self: "b", Listener: lb, Peers: []Peer{{ID: "a", Address: la.Addr().String()}}})
		defer b.stop()
		arrives(t, a, b)
		arrives(t, b, a)
	})
}
