package tackpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// shortHeartbeat shortens the tests of silent connections. No result depends on its value.
const shortHeartbeat = 25 * tackclock.Millisecond

// assertArrives sends numbered texts until the receiver gets one.
func assertArrives(t testing.TB, from, to *node) {
	t.Helper()
	n := 0
	eventually(t, "message arrives", func() bool {
		n++
		_ = from.links.Send(to.links.cfg.Self, "text", fmt.Sprint(n))
		select {
		case <-to.got:
			return true
		default:
			return false
		}
	})
}

// Guards against two VMs that consider each other lost although both are reachable. A device
// between them drops the state of their connection, in one or both directions: writes succeed
// but nothing is delivered, and neither end closes the connection although a new one would work.
func TestSilentConnection(t *testing.T) {
	noLeaks(t)
	for name, way := range map[string][2]bool{
		"both ways": {true, true}, "towards the peer": {true, false}, "answers": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			Convey("It is detected, counted and replaced", t, func() {
				la, lb := listen(t), listen(t)
				r := newRelay(t, lb.Addr().String())
				defer r.stop()
				a := serve(Config{Self: "a", Listener: la, Heartbeat: shortHeartbeat,
					Peers: []Peer{{ID: "b", Address: r.Addr().String()}}})
				defer a.stop()
				b := serve(Config{Self: "b", Listener: lb, Heartbeat: shortHeartbeat,
					Peers: []Peer{{ID: "a", Address: la.Addr().String()}}})
				defer b.stop()
				assertArrives(t, a, b)
				found := func() uint64 { return a.status("b").FoundSilent + b.status("a").FoundSilent }
				before := found() // either end may detect it first
				r.blackhole(way[0], way[1])
				eventually(t, "silent connection detected", func() bool { return found() > before })
				for len(b.got) > 0 {
					<-b.got
				}
				assertArrives(t, a, b)
			})
		})
	}
}

// Guards against a VM that mistakes its own pause for silence of its peers and closes every
// connection when it resumes. It is suspended for a minute and its timers then fire late, and
// only once, so the time since the last received byte includes time in which it did not read.
// Also guards against a connection that is considered silent while a large message on a slow
// line delays the heartbeats.
func TestSilenceIsCountedInHeartbeats(t *testing.T) {
	Convey("Only consecutive heartbeats without progress count", t, func() {
		var s silenceDetector
		So([]bool{s.observe(5), s.observe(5), s.observe(9), s.observe(9), s.observe(9)}, ShouldResemble,
			[]bool{false, false, false, false, true})
	})
	Convey("Sent bytes of a large message are progress, those of a small one are not", t, func() {
		near, far := net.Pipe()
		c := &countedConn{Conn: near, clock: new(tackclock.Clock)}
		go io.Copy(io.Discard, far)
		_, _ = c.Write(make([]byte, 100))
		So(c.progress(), ShouldEqual, 0)
		c.sendingLarge.Store(true)
		_, _ = c.Write(make([]byte, 100))
		So(c.progress(), ShouldEqual, 100)
		So(near.Close(), ShouldBeNil)
	})
}

// Guards against a VM that acts on a message sent to its earlier instance, or that its peers
// never reach again, after it has restarted under the same ID and address: because a queue
// outlives the connection, or because the identity check still expects the earlier instance.
func TestPeerRestarts(t *testing.T) {
	noLeaks(t)
	Convey("Links are restored in both directions, without earlier messages", t, func() {
		nodes := mesh(t, 2, shortHeartbeat)
		a, b := nodes[0], nodes[1]
		defer a.stop()
		address := a.links.cfg.Peers[1].Address
		b.stop()
		eventually(t, "down", func() bool { return !a.up("vm-1") })
		var down *DownError
		So(errors.As(a.links.Send("vm-1", "text", "to the earlier instance"), &down), ShouldBeTrue)

		cfg := b.links.cfg
		listener, err := net.Listen("tcp", address)
		So(err, ShouldBeNil)
		cfg.Listener = listener
		b = serve(cfg)
		defer b.stop()
		assertArrives(t, b, a)
		eventually(t, "up", func() bool { return a.up("vm-1") })
		So(a.links.Send("vm-1", "text", "to the new instance"), ShouldBeNil)
		So(<-b.got, ShouldEqual, "vm-0: to the new instance")
	})
}

// Guards against an election caused by a planned stop of the leader: it transfers leadership
// and stops, and its connections are closed while the message that does so is still queued.
func TestStopSendsQueuedMessages(t *testing.T) {
	noLeaks(t)
	Convey("What was queued before the stop arrives", t, func() {
		nodes := mesh(t, 2, 0)
		defer nodes[1].stop()
		for i := range 50 {
			So(nodes[0].links.Send("vm-1", "text", fmt.Sprint(i)), ShouldBeNil)
		}
		nodes[0].stop()
		eventually(t, "all arrive", func() bool { return len(nodes[1].got) == 50 })
	})
}

// assertEnded waits for the other end to close the connection.
func assertEnded(ws *websocket.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, _, err := ws.Read(ctx)
	So(err, ShouldNotBeNil)
	So(ctx.Err(), ShouldBeNil)
}

// dialRaw dials address without Links, sends the hello h and returns the connection and the
// answer.
func dialRaw(address string, h map[int]any) (*websocket.Conn, hello, error) {
	ctx := context.Background()
	ws, _, err := websocket.Dial(ctx, "ws://"+address+peerPath, nil)
	if err != nil {
		return nil, hello{}, err
	}
	data, _ := cbor.Marshal(h)
	_ = ws.Write(ctx, websocket.MessageBinary, data)
	answer, err := readHello(ctx, ws)
	return ws, answer, err
}

// Guards against a VM that counts the vote of an impostor because it trusts the ID in a message.
// A process claims an unknown ID or the ID of a VM that is up, or sends under another ID later,
// or the settings contain a wrong address.
func TestIdentityIsChecked(t *testing.T) {
	noLeaks(t)
	Convey("Of processes that connect", t, func() {
		nodes := mesh(t, 2, shortHeartbeat)
		a := nodes[0]
		defer nodes[0].stop()
		defer nodes[1].stop()
		address := a.links.cfg.Listener.Addr().String()
		for reason, h := range map[string]map[int]any{
			"unknown peer": {1: 1, 2: "vm-9", 3: "vm-0", 4: 1},
			"another life": {1: 1, 2: "vm-1", 3: "vm-0", 4: 1},
			"another VM":   {1: 1, 2: "vm-1", 3: "vm-2", 4: nodes[1].links.instance},
			"version":      {1: 9, 2: "vm-1", 3: "vm-0", 4: nodes[1].links.instance, 5: 9},
		} {
			ws, _, err := dialRaw(address, h)
			var refused *RefusedError
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Reason, ShouldContainSubstring, reason)
			_ = ws.CloseNow()
		}
		So(a.links.total.refused.Count(), ShouldEqual, 4)
		assertArrives(t, nodes[1], a)
	})
	Convey("Of the process that answers at the address of a peer", t, func() {
		var ready atomic.Bool
		ready.Store(true)
		address := newFakePeer(t, hello{Version: 1, From: "b", Instance: 5}, &ready)
		k := newLink(New(Config{Self: "a"}), Peer{ID: "c", Address: address})
		_, _, err := k.dial(context.Background())
		var identity *IdentityError
		So(errors.As(err, &identity), ShouldBeTrue)
		So(identity.Got, ShouldEqual, tackid.Peer("b"))
	})
	Convey("Of a process that connected while the peer was down", t, func() {
		var ready atomic.Bool
		address := newFakePeer(t, hello{Version: 1, From: "b", Instance: 5}, &ready)
		la := listen(t)
		a := serve(Config{Self: "a", Listener: la, Peers: []Peer{{ID: "b", Address: address}, {ID: "c", Address: "127.0.0.2:1"}}})
		defer a.stop()
		_, _, err := dialRaw(la.Addr().String(), map[int]any{1: 1, 2: "c", 3: "a", 4: 1})
		So(err.Error(), ShouldContainSubstring, "comes from 127.0.0.1")
		ws, _, err := dialRaw(la.Addr().String(), map[int]any{1: 1, 2: "b", 3: "a", 4: 1, 6: 30_000})
		So(err, ShouldBeNil)
		ready.Store(true)
		assertEnded(ws)
	})
}

// newFakePeer starts a server that answers every connection with the hello h once ready is set,
// and returns its address.
func newFakePeer(t *testing.T, h hello, ready *atomic.Bool) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !ready.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer ws.CloseNow()
		_, _ = readHello(r.Context(), ws)
		_ = writeHello(r.Context(), ws, h)
		_, _, _ = ws.Read(context.Background())
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against VMs that close the connections of a VM with a newer release, which adds fields
// and kinds of messages, because the decoder refuses what it does not know. Messages that exceed
// a limit or are malformed must still end the connection.
func TestUnknownFieldsAndKindsAreIgnored(t *testing.T) {
	noLeaks(t)
	text, _ := cbor.Marshal("hello")
	unknown, _ := cbor.Marshal(map[int]any{3: "future kind", 4: 1, 99: "x"})
	known, _ := cbor.Marshal(map[int]any{3: "text", 4: cbor.RawMessage(text), 98: []int{1}})
	long, _ := encode("text", strings.Repeat("x", batchBytes))
	forged, _ := cbor.Marshal(Envelope{From: "c", Kind: "text", Body: text})
	cases := map[string]struct {
		batch     []byte
		arrives   int
		staysOpen bool
	}{
		"fields and kinds":  {append(append([]byte{}, unknown...), known...), 1, true},
		"no message":        {append(append([]byte{}, known...), 0xff, 0x00), 1, false},
		"under another id":  {forged, 0, false},
		"over the bound":    {long, 0, false},
		"an envelope alone": {known, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			Convey("A batch from a peer", t, func() {
				la := listen(t)
				a := serve(Config{Self: "a", Listener: la, MaxMessageBytes: 1000, DialTimeout: shortHeartbeat,
					Peers: []Peer{{ID: "b", Address: "127.0.0.1:1"}}})
				defer a.stop()
				ws, _, err := dialRaw(la.Addr().String(), map[int]any{1: 2, 2: "b", 3: "a", 4: 7, 6: 30_000, 77: "new"})
				So(err, ShouldBeNil)
				defer ws.CloseNow()
				So(ws.Write(context.Background(), websocket.MessageBinary, c.batch), ShouldBeNil)
				for range c.arrives {
					So(<-a.got, ShouldEqual, "b: hello")
				}
				if c.staysOpen {
					ws.CloseRead(context.Background())
					So(ws.Ping(context.Background()), ShouldBeNil)
					return
				}
				assertEnded(ws)
				So(len(a.got), ShouldEqual, 0)
			})
		})
	}
}

// Guards against an unbounded queue: while a peer reads nothing and messages are still sent to
// it, the process grows until it is killed. The oldest messages must be dropped and counted.
func TestQueueIsBounded(t *testing.T) {
	Convey("By number and by bytes", t, func() {
		l := New(Config{Self: "a", Peers: []Peer{{ID: "b"}}, MaxQueue: 10, MaxQueueBytes: 1000, MaxMessageBytes: 600})
		k := l.link("b")
		k.setUp(true)
		for i := range 25 {
			So(l.Send("b", "text", i), ShouldBeNil)
		}
		So(l.Status()[0].Dropped, ShouldEqual, 15)
		for range 3 {
			So(l.Send("b", "text", make([]byte, 400)), ShouldBeNil)
		}
		So(k.queuedBytes, ShouldBeLessThanOrEqualTo, 1000)
		_, n := k.dequeueBatch()
		So(n, ShouldEqual, 2)
		var tooLarge *TooLargeError
		So(errors.As(l.Send("b", "text", make([]byte, 600)), &tooLarge), ShouldBeTrue)
		var unknown *UnknownPeerError
		So(errors.As(l.Send("c", "text", 1), &unknown), ShouldBeTrue)
	})
}

// Guards against messages of a removed VM that are still received, because connections are
// checked only when they are established and the set of peers changes later.
func TestPeersChange(t *testing.T) {
	noLeaks(t)
	Convey("A peer is removed and added again", t, func() {
		nodes := mesh(t, 3, shortHeartbeat)
		for _, n := range nodes {
			defer n.stop()
		}
		all := nodes[0].links.cfg.Peers
		nodes[0].links.SetPeers(all[:2])
		eventually(t, "disconnected", func() bool { return !nodes[2].up("vm-0") })
		eventually(t, "refused", func() bool { return nodes[0].links.total.refused.Count() > 0 })
		So(nodes[0].up("vm-1"), ShouldBeTrue)
		nodes[0].links.SetPeers(all)
		assertArrives(t, nodes[2], nodes[0])
		assertArrives(t, nodes[0], nodes[2])
	})
}
