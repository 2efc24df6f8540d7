package tackintake

import (
	"testing"

	"pgregory.net/rapid"

	"auburntack/core/tackclock"
)

// client is a connection of a test and what it was told.
type client struct {
	holder  *Holder
	evicted []Eviction
}

func open(p *Port, now tackclock.Time) *client {
	c := &client{}
	if c.holder = p.Open(now, func(e Eviction) { c.evicted = append(c.evicted, e) }); c.holder == nil {
		return nil
	}
	return c
}

// assertEvicted checks whether a connection had to make room, and whether it was closed.
func assertEvicted(t *testing.T, name string, c *client, evicted, closed bool) {
	t.Helper()
	if got := len(c.evicted) > 0; got != evicted {
		t.Errorf("%s: made room is %t, want %t", name, got, evicted)
		return
	}
	if evicted && c.evicted[0].Close != closed {
		t.Errorf("%s: closed is %t, want %t", name, c.evicted[0].Close, closed)
	}
}

func assertUsed(t *testing.T, b *Budget, want Share) {
	t.Helper()
	if got := b.Used(); got != want {
		t.Errorf("%+v are used, want %+v", got, want)
	}
}

// Guards against ordinary clients that are refused because others hold memory for bodies that
// never end.
func TestLargestUnfinishedBodyMakesRoom(t *testing.T) {
	b := &Budget{Limit: Share{Bytes: 100}}
	p := b.Port(Share{}, Share{})
	small, large, served := open(p, 1), open(p, 2), open(p, 3)
	small.holder.Enter(Body, 4)
	large.holder.Enter(Body, 4)
	for _, r := range []struct {
		c *client
		n int64
	}{{small, 20}, {large, 30}, {served, 50}} {
		if !r.c.holder.Reserve(4, r.n) {
			t.Fatalf("%d bytes do not fit", r.n)
		}
	}
	served.holder.Enter(Busy, 5)
	next := open(p, 6)
	next.holder.Enter(Body, 6)
	if !next.holder.Reserve(6, 10) {
		t.Error("a small body is refused beside a large unfinished one")
	}
	assertEvicted(t, "large body", large, true, false)
	assertEvicted(t, "small body", small, false, false)
	assertEvicted(t, "request that is served", served, false, false)
	assertUsed(t, b, Share{Connections: 4, Bytes: 80})
	if large.holder.Reserve(7, 1) || large.holder.Enter(Busy, 7) {
		t.Error("a body that made room goes on")
	}
	if next.holder.Reserve(7, 30) {
		t.Error("the largest body takes the room of smaller ones")
	}
	assertUsed(t, b, Share{Connections: 4, Bytes: 80})
}

// Guards against a header that cannot be refused, since it is incomplete, and keeps its
// connection.
func TestLargestHeaderIsClosed(t *testing.T) {
	b := &Budget{Limit: Share{Bytes: 10}}
	p := b.Port(Share{}, Share{})
	c, next := open(p, 1), open(p, 1)
	c.holder.Enter(Header, 1)
	next.holder.Enter(Header, 2)
	if !c.holder.Reserve(1, 10) || !next.holder.Reserve(2, 5) {
		t.Fatal("no room")
	}
	assertEvicted(t, "large header", c, true, true)
	assertUsed(t, b, Share{Connections: 1, Bytes: 5})
	c.holder.Close()
	assertUsed(t, b, Share{Connections: 1, Bytes: 5})
}

// Guards against connections that send nothing and keep new clients out.
func TestConnectionsMakeRoom(t *testing.T) {
	start := func() (p *Port, idle, slow, busy *client) {
		p = (&Budget{Limit: Share{Connections: 3}}).Port(Share{}, Share{})
		idle, slow, busy = open(p, 1), open(p, 2), open(p, 3)
		idle.holder.Enter(Idle, 4)
		busy.holder.Enter(Busy, 4)
		return p, idle, slow, busy
	}
	t.Run("an idle one goes before one that just connected", func(t *testing.T) {
		p, idle, slow, busy := start()
		if open(p, 10) == nil {
			t.Error("the new client is refused")
		}
		assertEvicted(t, "idle", idle, true, true)
		assertEvicted(t, "without a request", slow, false, false)
		assertEvicted(t, "busy", busy, false, false)
	})
	t.Run("one without a request for long goes first", func(t *testing.T) {
		p, idle, slow, _ := start()
		if open(p, 10+tackclock.Time(finishTime)) == nil {
			t.Error("the new client is refused")
		}
		assertEvicted(t, "idle", idle, false, false)
		assertEvicted(t, "without a request", slow, true, true)
	})
	t.Run("none goes that is served", func(t *testing.T) {
		p, idle, slow, _ := start()
		idle.holder.Enter(Busy, 5)
		slow.holder.Enter(Busy, 5)
		if open(p, 10) != nil {
			t.Error("a connection beyond the limit")
		}
	})
}

// Guards against a crowd on one port that takes the connections of another.
func TestReserveOfAnotherPort(t *testing.T) {
	b := &Budget{Limit: Share{Connections: 10, Bytes: 100}}
	crowded, own := b.Port(Share{}, Share{}), b.Port(Share{Connections: 2, Bytes: 40}, Share{Connections: 3})
	for range 20 {
		if c := open(crowded, 1); c != nil {
			c.holder.Enter(Busy, 1)
			c.holder.Reserve(1, 30)
		}
	}
	if got := crowded.Used(); got != (Share{Connections: 8, Bytes: 60}) {
		t.Errorf("the crowd holds %+v, want 8 connections and 60 bytes", got)
	}
	for range 2 {
		c := open(own, 1)
		if c == nil || !c.holder.Reserve(1, 20) {
			t.Fatal("a port is refused its reserve")
		}
		c.holder.Enter(Busy, 1)
	}
	if open(own, 1) != nil {
		t.Error("more connections than there are")
	}
}

// Guards against usage that is counted wrong over any sequence of calls, so that a process
// refuses everybody or nobody.
func TestRandomClients(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Limit: Share{Connections: 8, Bytes: 64}}
		ports := []*Port{
			b.Port(Share{Connections: 3, Bytes: 24}, Share{}), b.Port(Share{Connections: 2, Bytes: 16}, Share{Connections: 4}),
		}
		var clients []*client
		for now := tackclock.Time(1); now < 20_000; now += tackclock.Time(rapid.IntRange(1, 400).Draw(t, "step")) {
			if len(clients) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				if c := open(ports[rapid.IntRange(0, 1).Draw(t, "port")], now); c != nil {
					clients = append(clients, c)
				}
				continue
			}
			c := clients[rapid.IntRange(0, len(clients)-1).Draw(t, "client")]
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				c.holder.Reserve(now, int64(rapid.IntRange(0, 30).Draw(t, "bytes")))
			case 1:
				c.holder.Enter(Stage(rapid.IntRange(int(Header), int(Idle)).Draw(t, "stage")), now)
			case 2:
				c.holder.Resize(now, int64(rapid.IntRange(0, 30).Draw(t, "size")))
			case 3:
				c.holder.Close()
			}
			checkCounts(t, b, ports, clients)
		}
	})
}

func checkCounts(t *rapid.T, b *Budget, ports []*Port, clients []*client) {
	var total Share
	for i, p := range ports {
		var used Share
		for _, c := range clients {
			h := c.holder
			if h.port != p || h.ended {
				continue
			}
			used.Connections++
			used.Bytes += h.bytes
			if listed := h.place != nil; listed != (h.waits(h.stage) != nil) {
				t.Fatalf("port %d: a %s connection is listed: %t", i, h.stage, listed)
			}
			if h.rank > 0 && (p.largest[h.rank-1] != h || h.bytes == 0) {
				t.Fatalf("port %d: wrong rank", i)
			}
		}
		if used != p.used {
			t.Fatalf("port %d: %+v are counted, %+v held", i, p.used, used)
		}
		total.Connections += max(used.Connections, p.reserve.Connections)
		total.Bytes += max(used.Bytes, p.reserve.Bytes)
	}
	if total.Connections > b.Limit.Connections || total.Bytes > b.Limit.Bytes {
		t.Fatalf("%+v with the reserves, want at most %+v", total, b.Limit)
	}
}
