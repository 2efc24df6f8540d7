package tackmember

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"

	"github.com/fxamacker/cbor/v2"
)

const (
	step     = 100 * tackclock.Millisecond
	envelope = 48 // bytes that the link adds to a message: sender, kind, frame
)

type (
	path struct{ from, to int }

	packet struct {
		at  tackclock.Time
		way path
		m   Message
	}

	// cluster connects directories by links with a delay, which tests can cut, and advances
	// them all by one clock.
	cluster struct {
		now     tackclock.Time
		stride  tackclock.Duration
		dirs    []*Directory
		ids     []tackid.Peer
		dcs     []tackid.DataCentre
		down    []bool
		cut     map[path]bool
		flight  []packet
		bytes   []int // sent and received by each, including envelopes
		count   bool
		delay   func(way path) (delay tackclock.Duration, lost bool)
		checked func()
	}
)

// newCluster returns n connected peers spread over dcs data centres.
func newCluster(n, dcs int) *cluster {
	c := &cluster{now: 1_000_000, stride: step, cut: map[path]bool{}, bytes: make([]int, n), down: make([]bool, n)}
	c.delay = func(path) (tackclock.Duration, bool) { return 2, false }
	for i := range n {
		c.ids = append(c.ids, tackid.Peer(fmt.Sprintf("peer-%02d", i)))
		c.dcs = append(c.dcs, tackid.DataCentre(fmt.Sprintf("region-%d", i%dcs)))
	}
	for i := range n {
		c.dirs = append(c.dirs, nil)
		c.restart(i)
	}
	c.run(3 * tackclock.Second)
	return c
}

func (c *cluster) restart(i int) {
	c.dirs[i] = new(Directory)
	c.dirs[i].Configure(c.ids[i], c.dcs[i])
	c.dirs[i].SetPeers(c.ids)
	c.down[i] = false
}

// run advances the cluster by d.
func (c *cluster) run(d tackclock.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.step()
	}
}

func (c *cluster) step() {
	c.now = c.now.Add(c.stride)
	for i, d := range c.dirs {
		if !c.down[i] {
			c.send(i, d.Tick(c.now))
		}
	}
	for c.deliver() {
	}
	if c.checked != nil {
		c.checked()
	}
}

// deliver delivers the messages that are due and reports whether there were any.
func (c *cluster) deliver() bool {
	due := c.flight
	c.flight = nil
	any := false
	for _, p := range due {
		if p.at > c.now {
			c.flight = append(c.flight, p)
			continue
		}
		any = true
		if !c.down[p.way.to] && !c.cut[p.way] {
			c.send(p.way.to, c.dirs[p.way.to].Receive(c.now, c.ids[p.way.from], p.m))
		}
	}
	return any
}

func (c *cluster) send(from int, out []Outgoing) {
	for _, o := range out {
		way := path{from, c.index(o.To)}
		d, lost := c.delay(way)
		if c.count {
			data, err := cbor.Marshal(o.Message)
			if err != nil {
				panic(err)
			}
			c.bytes[way.from] += len(data) + envelope
			c.bytes[way.to] += len(data) + envelope
		}
		if !lost && !c.cut[way] && !c.down[way.to] {
			c.flight = append(c.flight, packet{at: c.now.Add(d), way: way, m: o.Message})
		}
	}
}

func (c *cluster) index(p tackid.Peer) int {
	for i, id := range c.ids {
		if id == p {
			return i
		}
	}
	panic("no such peer")
}

// part cuts or restores the link between a and b in both directions.
func (c *cluster) part(a, b int, cut bool) {
	c.cut[path{a, b}], c.cut[path{b, a}] = cut, cut
}

// isolate cuts or restores all links between the given peers and all others.
func (c *cluster) isolate(cut bool, group ...int) {
	in := map[int]bool{}
	for _, g := range group {
		in[g] = true
	}
	for i := range c.dirs {
		for _, g := range group {
			if !in[i] {
				c.part(g, i, cut)
			}
		}
	}
}

// server returns the announcement of a backend server in the region of a peer.
func (c *cluster) server(n, peer int, inc tackid.Incarnation, s State) Announcement {
	return Announcement{BackendServer: &BackendServer{
		ID: tackid.BackendServer(fmt.Sprintf("names-api-%04d", n)), VM: tackid.VM(fmt.Sprintf("w-%04d", n)),
		Service: tackid.Service(fmt.Sprintf("names-api-%02d", n%36)), DataCentre: c.dcs[peer],
		Rack: tackid.Rack(fmt.Sprintf("r%03d", n/4)), Address: fmt.Sprintf("10.%d.%d.17:9003", n/250, n%250),
		Slots: 8, Connections: 64, Incarnation: inc, State: s,
	}}
}

// announce sends an announcement to a peer, which ticks at once, and returns the reply.
func (c *cluster) announce(peer int, a Announcement) Reply {
	r, err := c.dirs[peer].Announce(c.now, a)
	if err != nil {
		panic(err)
	}
	c.send(peer, c.dirs[peer].Tick(c.now))
	return r
}

// states returns the state of a backend server that each running peer shows: its state,
// "unknown", or "" if it is not listed.
func (c *cluster) states(n int) []string {
	id := c.server(n, 0, 1, StateServing).BackendServer.ID
	var list []string
	for i, d := range c.dirs {
		if c.down[i] {
			continue
		}
		list = append(list, stateOf(d, id))
	}
	return list
}

func stateOf(d *Directory, id tackid.BackendServer) string {
	for _, b := range d.BackendServers() {
		if b.ID != id {
			continue
		}
		if b.Health == tackfleet.HealthUnknown {
			return "unknown"
		}
		return string(b.State)
	}
	return ""
}

// assertEverywhere checks that every running peer shows a backend server in the given
// state.
func assertEverywhere(t *testing.T, c *cluster, n int, want string) {
	t.Helper()
	for i, got := range c.states(n) {
		if got != want {
			t.Fatalf("at %d ms: running peer %d shows backend server %d as %q, want %q", c.now, i, n, got, want)
		}
	}
}
