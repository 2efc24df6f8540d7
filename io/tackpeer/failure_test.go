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

// shortHeartbeat lets tests of silence end soon; nothing depends on it.
const shortHeartbeat = 25 * tackclock.Millisecond

// arrives sends numbered texts until one that was sent through the present
// connection is received.
func arrives(t testing.TB, from, to *node) {
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

// Symptom: two VMs take each other for lost although both can be reached.
// Sequence: something between them forgets their connection, both ways or one
// way; writes go on succeeding; a new connection would work.
// Cause: a connection on which nothing arrives is not closed by anybody.
func TestSilentConnection(t *testing.T) {
	noLeaks(t)
	for name, way := range map[string][2]bool{
		"both ways": {true, true}, "towards the peer": {true, false}, "answers": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			Convey("It is found, counted and replaced", t, func() {
				la, lb := listen(t), listen(t)
				r := newRelay(t, lb.Addr().String())
				defer r.stop()
				a := serve(Config{Self: "a", Listener: la, Heartbeat: shortHeartbeat,
					Peers: []Peer{{ID: "b", Address: r.Addr().String()}}})
				defer a.stop()
				b := serve(Config{Self: "b", Listener: lb, Heartbeat: shortHeartbeat,
					Peers: []Peer{{ID: "a", Address: la.Addr().String()}}})
				defer b.stop()
				arrives(t, a, b)
				found := func() uint64 { return a.status("b").FoundSilent + b.status("a").FoundSilent }
				before := found() // either end may be the first to find it
				r.forget(way[0], way[1])
				eventually(t, "found silent", func() bool { return found() > before })
				for len(b.got) > 0 {
					<-b.got
				}
				arrives(t, a, b)
			})
		})
	}
}

// Symptom: a VM counts its own pause as the silence of all others, and drops
// every link at once when it wakes.
// Sequence: it is stopped for a minute; its timers fire late, and once.
// Cause: the time since the last byte says nothing about a time in which the
// VM did not look. Its counterpart: a large message on a slow line keeps the
// heartbeats waiting, and the link is not silent.
func TestSilenceIsCountedInHeartbeats(t *testing.T) {
	Convey("Only heartbeats in a row with nothing moved count", t, func() {
		var s silence
		So([]bool{s.beat(5), s.beat(5), s.beat(9), s.beat(9), s.beat(9)}, ShouldResemble,
			[]bool{false, false, false, false, true})
	})
	Convey("A large message that moves is a sign of life, a small one is not", t, func() {
		near, far := net.Pipe()
		c := &countedConn{Conn: near, clock: new(tackclock.Clock)}
		go io.Copy(io.Discard, far)
		_, _ = c.Write(make([]byte, 100))
		So(c.moved(), ShouldEqual, 0)
		c.sendingLarge.Store(true)
		_, _ = c.Write(make([]byte, 100))
		So(c.moved(), ShouldEqual, 100)
		So(near.Close(), ShouldBeNil)
	})
}

// Symptom: a VM acts on a message that was sent to its former life, or its
// peers never reach the new one.
// Sequence: a VM ends and comes back under the same id and address.
// Cause: a queue that outlives the connection, or a check of identities that
// holds on to the former life.
func TestPeerRestarts(t *testing.T) {
	noLeaks(t)
	Convey("Links come back both ways, with nothing left over", t, func() {
		nodes := mesh(t, 2, shortHeartbeat)
		a, b := nodes[0], nodes[1]
		defer a.stop()
		address := a.links.cfg.Peers[1].Address
		b.stop()
		eventually(t, "down", func() bool { return !a.up("vm-1") })
		var down *DownError
		So(errors.As(a.links.Send("vm-1", "text", "to the former life"), &down), ShouldBeTrue)

		cfg := b.links.cfg
		listener, err := net.Listen("tcp", address)
		So(err, ShouldBeNil)
		cfg.Listener = listener
		b = serve(cfg)
		defer b.stop()
		arrives(t, b, a)
		eventually(t, "up", func() bool { return a.up("vm-1") })
		So(a.links.Send("vm-1", "text", "to the new life"), ShouldBeNil)
		So(<-b.got, ShouldEqual, "vm-0: to the new life")
	})
}

// Symptom: a planned stop of the leader costs an election.
// Sequence: it hands leadership over and stops; the message is still queued.
// Cause: connections that are closed with messages waiting.
func TestStopSendsWhatWaits(t *testing.T) {
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, _, err := ws.Read(ctx)
	So(err, ShouldNotBeNil)
	So(ctx.Err(), ShouldBeNil)
}

// stranger connects by hand, says h and returns the connection and the answer.
func stranger(address string, h map[int]any) (*websocket.Conn, hello, error) {
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

// Symptom: a VM counts the vote of one that is not there.
// Sequence: a process claims an unknown id, the id of a VM that is up, or
// sends under another id later; or the settings name a wrong address.
// Cause: ids that are believed because they are said.
func TestIdentityIsChecked(t *testing.T) {
	noLeaks(t)
	Convey("Of those that connect", t, func() {
		nodes := mesh(t, 2, shortHeartbeat)
		a := nodes[0]
		defer nodes[0].stop()
		defer nodes[1].stop()
		address := a.links.cfg.Listener.Addr().String()
		for reason, h := range map[string]map[int]any{
			"unknown peer": {1: 1, 2: "vm-9", 3: "vm-0", 4: 1},
			"another life": {1: 1, 2: "vm-1", 3: "vm-0", 4: 1},
			"another VM":   {1: 1, 2: "vm-1", 3: "vm-2", 4: nodes[1].links.nonce},
			"version":      {1: 9, 2: "vm-1", 3: "vm-0", 4: nodes[1].links.nonce, 5: 9},
		} {
			ws, _, err := stranger(address, h)
			var refused *RefusedError
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Reason, ShouldContainSubstring, reason)
			_ = ws.CloseNow()
		}
		So(a.links.total.refused.Count(), ShouldEqual, 4)
		arrives(t, nodes[1], a)
	})
	Convey("Of the one that answers at a peer's address", t, func() {
		var ready atomic.Bool
		ready.Store(true)
		address := answering(t, hello{Version: 1, From: "b", Nonce: 5}, &ready)
		k := newLink(New(Config{Self: "a"}), Peer{ID: "c", Address: address})
		_, _, err := k.dial(context.Background())
		var identity *IdentityError
		So(errors.As(err, &identity), ShouldBeTrue)
		So(identity.Got, ShouldEqual, tackid.Peer("b"))
	})
	Convey("Of one that came while the peer was down", t, func() {
		var ready atomic.Bool
		address := answering(t, hello{Version: 1, From: "b", Nonce: 5}, &ready)
		la := listen(t)
		a := serve(Config{Self: "a", Listener: la, Peers: []Peer{{ID: "b", Address: address}, {ID: "c", Address: "127.0.0.2:1"}}})
		defer a.stop()
		_, _, err := stranger(la.Addr().String(), map[int]any{1: 1, 2: "c", 3: "a", 4: 1})
		So(err.Error(), ShouldContainSubstring, "comes from 127.0.0.1")
		ws, _, err := stranger(la.Addr().String(), map[int]any{1: 1, 2: "b", 3: "a", 4: 1, 6: 30_000})
		So(err, ShouldBeNil)
		ready.Store(true)
		assertEnded(ws)
	})
}

// answering answers every connection with h, once ready is set, and returns its
// address.
func answering(t *testing.T, h hello, ready *atomic.Bool) string {
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

// Symptom: after an upgrade of one VM the others drop its connections.
// Sequence: the newer release adds fields and kinds of messages.
// Cause: a decoder that refuses what it does not know. What breaks the bounds
// or is no message still ends the connection.
func TestWhatIsUnknownIsPassedOver(t *testing.T) {
	noLeaks(t)
	text, _ := cbor.Marshal("hello")
	unknown, _ := cbor.Marshal(map[int]any{3: "kind of tomorrow", 4: 1, 99: "x"})
	known, _ := cbor.Marshal(map[int]any{3: "text", 4: cbor.RawMessage(text), 98: []int{1}})
	long, _ := encode("text", strings.Repeat("x", batchBytes))
	forged, _ := cbor.Marshal(Envelope{From: "c", Kind: "text", Body: text})
	cases := map[string]struct {
		batch   []byte
		arrives int
		stands  bool
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
				ws, _, err := stranger(la.Addr().String(), map[int]any{1: 2, 2: "b", 3: "a", 4: 7, 6: 30_000, 77: "new"})
				So(err, ShouldBeNil)
				defer ws.CloseNow()
				So(ws.Write(context.Background(), websocket.MessageBinary, c.batch), ShouldBeNil)
				for range c.arrives {
					So(<-a.got, ShouldEqual, "b: hello")
				}
				if c.stands {
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

// Symptom: a VM grows until it is killed while one peer is slow.
// Sequence: the peer takes nothing for a while, messages go on being sent.
// Cause: a queue without bounds. The oldest messages go, and are counted.
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
		So(k.queued, ShouldBeLessThanOrEqualTo, 1000)
		_, n := k.take()
		So(n, ShouldEqual, 2)
		var tooLarge *TooLargeError
		So(errors.As(l.Send("b", "text", make([]byte, 600)), &tooLarge), ShouldBeTrue)
		var unknown *UnknownPeerError
		So(errors.As(l.Send("c", "text", 1), &unknown), ShouldBeTrue)
	})
}

// Symptom: a VM that was taken out of the system goes on being heard.
// Sequence: the set of peers changes while connections stand.
// Cause: connections that are only checked when they are made.
func TestPeersChange(t *testing.T) {
	noLeaks(t)
	Convey("A peer is taken out and comes back", t, func() {
		nodes := mesh(t, 3, shortHeartbeat)
		for _, n := range nodes {
			defer n.stop()
		}
		all := nodes[0].links.cfg.Peers
		nodes[0].links.SetPeers(all[:2])
		eventually(t, "cut off", func() bool { return !nodes[2].up("vm-0") })
		eventually(t, "refused", func() bool { return nodes[0].links.total.refused.Count() > 0 })
		So(nodes[0].up("vm-1"), ShouldBeTrue)
		nodes[0].links.SetPeers(all)
		arrives(t, nodes[2], nodes[0])
		arrives(t, nodes[0], nodes[2])
	})
}
