package tackshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
	"auburntack/core/tackshare"
)

// multiConsumer is a Consumer with many services, whose load changes every
// second.
type multiConsumer struct {
	random *rand.Rand
	shares map[tackshare.Group][]tackroute.Share
	demand map[tackshare.Subject]int
}

func (c *multiConsumer) SetShares(_ tackclock.Time, g tackshare.Group, bound int, shares []tackroute.Share) {
	c.shares[g] = shares
}

func (c *multiConsumer) Usage(_ tackclock.Time, subject tackshare.Subject) tackshare.Usage {
	u := tackshare.Usage{Waiting: c.demand[subject]}
	for g, shares := range c.shares {
		if g.Subject != subject {
			continue
		}
		for _, share := range shares {
			n := min(share.Slots, u.Waiting)
			u.Waiting -= n
			if n > 0 {
				u.InUse = append(u.InUse, tackroute.Share{SlotSource: share.SlotSource, Slots: n})
			}
		}
	}
	return u
}

// sizes are the present size and the one planned for two years.
var sizes = []struct {
	name                           string
	vms, centres, services, server int
}{
	{"today", 8, 4, 5, 48},
	{"planned", 12, 10, 36, 2300},
}

// BenchmarkSize reports the bytes, messages and time of sharing at two sizes, with
// loads that change by a tenth every second. The time is per peer and second, on
// one core, and includes the encoding of frames and the simulation of the load.
func BenchmarkSize(b *testing.B) {
	const seconds = 20
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				bytes, frames := runSize(size.vms, size.centres, size.services, size.server, seconds)
				b.ReportMetric(float64(bytes)/seconds/float64(size.vms), "bytes/vm/s")
				b.ReportMetric(float64(frames)/seconds/float64(size.vms), "messages/vm/s")
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/(2*seconds)/float64(size.vms), "µs/vm/s")
		})
	}
}

func sizedTable(centres, services, servers int) *tackroute.Table {
	table := &tackroute.Table{Services: make(map[tackid.Service][]tackroute.Candidate)}
	for i := range servers {
		name := tackid.Service(fmt.Sprint("service-", i%services))
		table.Services[name] = append(table.Services[name], tackroute.Candidate{
			BackendServer: tackid.BackendServer(fmt.Sprintf("%s-%d", name, i)), Incarnation: 1, Slots: executorSlots,
			DataCentre: tackid.DataCentre(fmt.Sprint("centre-", i/services%centres))})
	}
	return table
}

// runSize runs for the given seconds after a warm-up of as many.
func runSize(vms, centres, services, servers, seconds int) (bytes, frames int) {
	table := sizedTable(centres, services, servers)
	sharers, consumers := sizedSharers(vms, centres, table)
	var deliver func(now tackclock.Time, from int, out []tackshare.Outgoing)
	deliver = func(now tackclock.Time, from int, out []tackshare.Outgoing) {
		for _, o := range out {
			encoded, _ := cbor.Marshal(o.Frame)
			bytes += len(encoded)
			frames++
			to := slices.IndexFunc(sharers, func(s *tackshare.Sharer) bool { return s.Self == o.To })
			deliver(now, to, sharers[to].Receive(now, sharers[from].Self, o.Frame))
		}
	}
	for tick := range 20 * seconds {
		if tick == 10*seconds {
			bytes, frames = 0, 0
		}
		now := tackclock.Time(100 * tick)
		for vm, s := range sharers {
			if tick%10 == 0 {
				consumers[vm].change(table, servers*executorSlots/vms/services)
			}
			deliver(now, vm, s.Tick(now))
		}
	}
	return bytes, frames
}

func sizedSharers(vms, centres int, table *tackroute.Table) ([]*tackshare.Sharer, []*multiConsumer) {
	var peers []tackshare.PeerLocation
	for vm := range vms {
		peers = append(peers, tackshare.PeerLocation{Peer: peerOf(vm), DataCentre: tackid.DataCentre(fmt.Sprint("centre-", vm%centres))})
	}
	var sharers []*tackshare.Sharer
	var consumers []*multiConsumer
	for vm, peer := range peers {
		c := &multiConsumer{random: rand.New(rand.NewPCG(uint64(vm), 1)), shares: make(map[tackshare.Group][]tackroute.Share),
			demand: make(map[tackshare.Subject]int)}
		s := &tackshare.Sharer{Self: peer.Peer, Home: peer.DataCentre, Epoch: 1, Consumer: c}
		s.SetPeers(0, peers)
		s.SetTable(0, table)
		sharers, consumers = append(sharers, s), append(consumers, c)
	}
	return sharers, consumers
}

// change changes the load of every service at random around half of its part.
func (c *multiConsumer) change(table *tackroute.Table, part int) {
	for service := range table.Services {
		subject := tackshare.Subject{Service: service}
		n := c.demand[subject]
		if n == 0 {
			n = part / 2
		}
		c.demand[subject] = max(1, min(part, n+c.random.IntN(max(part/5, 3))-max(part/5, 3)/2))
	}
}
