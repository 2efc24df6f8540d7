package tackpeer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// testTimeout is the maximum time that a test waits for a condition. It is reached only if the
// code is wrong.
const testTimeout = 20 * time.Second

// node is one VM of a test's mesh.
type node struct {
	links  *Links
	cancel context.CancelFunc
	done   chan error
	got    chan string
}

// noLeaks checks after the test and its cleanups that no goroutine is still running.
func noLeaks(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func serve(cfg Config) *node {
	n := &node{links: New(cfg), done: make(chan error, 1), got: make(chan string, 1000)}
	n.links.Handle("text", func(from tackid.Peer, body []byte) {
		var text string
		if err := cbor.Unmarshal(body, &text); err == nil {
			n.got <- fmt.Sprintf("%s: %s", from, text)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.done <- n.links.Serve(ctx) }()
	return n
}

func (n *node) stop() {
	n.cancel()
	<-n.done
}

// eventually waits until ok returns true.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", what)
		}
	}
}

func (n *node) up(peer tackid.Peer) bool { return n.status(peer).Up }

func (n *node) status(peer tackid.Peer) LinkStatus {
	for _, s := range n.links.Status() {
		if s.Peer == peer {
			return s
		}
	}
	return LinkStatus{}
}

// mesh starts n VMs that are peers of each other.
func mesh(t testing.TB, n int, heartbeat tackclock.Duration) []*node {
	t.Helper()
	var peers []Peer
	var listeners []net.Listener
	for i := range n {
		listeners = append(listeners, listen(t))
		peers = append(peers, Peer{ID: tackid.Peer(fmt.Sprintf("vm-%d", i)), Address: listeners[i].Addr().String()})
	}
	var nodes []*node
	for i := range n {
		nodes = append(nodes, serve(Config{Self: peers[i].ID, Listener: listeners[i], Peers: peers, Heartbeat: heartbeat}))
	}
	for _, a := range nodes {
		for _, p := range peers {
			if p.ID != a.links.cfg.Self {
				eventually(t, "mesh up", func() bool { return a.up(p.ID) })
			}
		}
	}
	return nodes
}

func TestMessagesArrive(t *testing.T) {
	noLeaks(t)
	Convey("Messages arrive unchanged, in order and under the ID of the sender", t, func() {
		nodes := mesh(t, 2, 0)
		defer nodes[0].stop()
		defer nodes[1].stop()
		for i := range 100 {
			So(nodes[0].links.Send("vm-1", "text", fmt.Sprint(i)), ShouldBeNil)
		}
		for i := range 100 {
			So(<-nodes[1].got, ShouldEqual, fmt.Sprintf("vm-0: %d", i))
		}
	})
}

// Guards against peers that connect to each other unnecessarily, and against a peer that
// accepts a connection and cannot send its answers.
func TestAnsweringPeers(t *testing.T) {
	noLeaks(t)
	pair := func(t *testing.T, answering ...bool) []*node {
		listeners := []net.Listener{listen(t), listen(t)}
		var nodes []*node
		for i, answers := range answering {
			other := Peer{ID: tackid.Peer(fmt.Sprintf("vm-%d", 1-i)), Address: listeners[1-i].Addr().String(), DialBack: answers}
			n := serve(Config{Self: tackid.Peer(fmt.Sprintf("vm-%d", i)), Listener: listeners[i], Peers: []Peer{other}})
			t.Cleanup(n.stop)
			nodes = append(nodes, n)
		}
		return nodes
	}
	t.Run("one connects, the other answers", func(t *testing.T) {
		nodes := pair(t, false, true)
		eventually(t, "both are up", func() bool { return nodes[0].up("vm-1") && nodes[1].up("vm-0") })
	})
	t.Run("neither connects", func(t *testing.T) {
		nodes := pair(t, true, true)
		time.Sleep(4 * minBackoff.Std())
		if nodes[0].up("vm-1") || nodes[1].up("vm-0") {
			t.Error("one of two peers that only answer has connected")
		}
	})
}
