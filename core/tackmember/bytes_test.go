package tackmember

import (
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"

	"github.com/fxamacker/cbor/v2"
)

const (
	steadyBound = 3_000 // bytes per second and peer, sent and received
	minuteBound = 6_000 // the same, in the worst minute
)

type (
	// announcers is a set of backend servers that repeatedly announce themselves, each time
	// to a random peer in their data centre.
	announcers struct {
		c        *cluster
		dcs      int
		rngState uint64
		inc      []tackid.Incarnation
		next     []tackclock.Time
		calls    int
	}

	// traffic is the number of bytes per second that the busiest peer sent and received.
	traffic struct {
		servers, peers        int
		steady, storm, healed int
		whole, ids            int     // steady, with the baseline protocols
		calls                 float64 // announcements per second and peer
	}
)

func newAnnouncers(c *cluster, n, dcs int) *announcers {
	a := &announcers{c: c, dcs: dcs, inc: make([]tackid.Incarnation, n), next: make([]tackclock.Time, n)}
	c.checked = a.announce
	return a
}

func (a *announcers) announce() {
	for n := range a.next {
		if a.c.now < a.next[n] {
			continue
		}
		p := a.peer(n)
		r := a.c.announce(p, a.c.server(n, p, a.inc[n], StateServing))
		a.next[n] = a.c.now.Add(r.NextWithin)
		a.calls++
	}
}

// peer returns a random peer in the data centre of backend server n.
func (a *announcers) peer(n int) int {
	a.rngState = a.rngState*6364136223846793005 + 1442695040888963407
	home := n % a.dcs
	peers := (len(a.c.dirs) - home + a.dcs - 1) / a.dcs
	return home + a.dcs*int((a.rngState>>33)%uint64(peers))
}

// restart has a backend server leave and return with the next incarnation.
func (a *announcers) restart(n int) {
	p := a.peer(n)
	a.c.announce(p, a.c.server(n, p, a.inc[n], StateLeaving))
	a.c.run(tackclock.Second)
	a.c.dirs[p].Withdraw(a.c.now, a.c.server(n, p, 0, StateServing).BackendServer.ID, a.inc[n])
	a.inc[n]++
}

// measure returns the bytes per second of the busiest peer while f runs.
func (a *announcers) measure(f func()) int {
	clear(a.c.bytes)
	a.c.count = true
	start := a.c.now
	f()
	a.c.count = false
	return slices.Max(a.c.bytes) * 1000 / int(a.c.now.Sub(start))
}

func measureTraffic(servers, peers, dcs int) traffic {
	c := newCluster(peers, dcs)
	a := newAnnouncers(c, servers, dcs)
	m := traffic{servers: servers, peers: peers}
	m.storm = a.measure(func() { c.run(tackclock.Minute) })
	c.run(2 * tackclock.Minute)
	a.calls = 0
	m.steady = a.measure(func() {
		a.restart(7) // 530 a day is one per 163 s
		c.run(149 * tackclock.Second)
	})
	m.calls = float64(a.calls) / 150 / float64(peers)
	m.whole, m.ids = m.baselines(c)
	c.isolate(true, 1)
	c.run(30 * tackclock.Second)
	for i := range 10 {
		a.restart(i)
	}
	c.isolate(false, 1)
	c.restart(peers - 1)
	m.healed = a.measure(func() { c.run(tackclock.Minute) })
	return m
}

// baselines returns the traffic of two simple protocols for the same announcements:
// forwarding each announcement in full to every peer, and forwarding eight bytes of each in
// one message per second.
func (m traffic) baselines(c *cluster) (whole, ids int) {
	p := Part{Space: 1 << 31, Peer: c.ids[0], Epoch: Epoch(c.now), DataCentre: c.dcs[0], From: 1 << 16, To: 1 << 16, Last: 1 << 16}
	p.Records = []Record{newRecord(c.server(7, 0, 1, StateServing))}
	data, err := cbor.Marshal(Message{Parts: []Part{p}})
	if err != nil {
		panic(err)
	}
	ways := 2 * float64(m.peers-1)
	return int(ways * m.calls * float64(len(data)+envelope)), int(ways * (m.calls*9 + envelope))
}

// Guards against control traffic that grows with the number of backend servers times the
// number of peers and saturates the links of small VMs: with up to 2,300 backend servers,
// when all announce themselves again at once, and when a peer restarts empty while a
// partition heals.
func TestBytesASecondOfAPeer(t *testing.T) {
	cases := []struct{ servers, peers, dcs int }{
		{100, 3, 3}, {500, 3, 3}, {2300, 3, 3},
		{100, 8, 4}, {500, 8, 4}, {2300, 8, 4},
		{100, 12, 10}, {500, 12, 10}, {2300, 12, 10},
	}
	if testing.Short() {
		cases = cases[len(cases)-1:]
	}
	for _, c := range cases {
		m := measureTraffic(c.servers, c.peers, c.dcs)
		t.Logf("%4d backend servers, %2d peers: steady %5d B/s, all announce again %5d B/s, restart and heal %5d B/s, %.2f announcements per second and peer; forwarded in full %5d B/s, by id %5d B/s",
			m.servers, m.peers, m.steady, m.storm, m.healed, m.calls, m.whole, m.ids)
		if m.steady > steadyBound || m.storm > minuteBound || m.healed > minuteBound {
			t.Errorf("exceeds the bound of %d B/s steady, %d B/s in the worst minute", steadyBound, minuteBound)
		}
	}
}
