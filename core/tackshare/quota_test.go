package tackshare_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
	"auburntack/core/tackshare"
)

// holder is a Consumer of one group. After each call of Usage it takes up to
// perCall more slots, as far as its share allows.
type holder struct {
	held, share, inUse, waiting, admitted, perCall int
}

func (h *holder) SetShares(_ tackclock.Time, _ tackshare.Group, bound int, shares []tackroute.Share) {
	h.held = 0
	for _, share := range shares {
		h.held += share.Slots
	}
	h.share = min(h.held, bound)
}

func (h *holder) Usage(tackclock.Time, tackshare.Subject) tackshare.Usage {
	u := tackshare.Usage{Waiting: h.waiting, Admitted: h.admitted, InUse: []tackroute.Share{{Slots: h.inUse}}}
	h.inUse += max(min(h.perCall, h.share-h.inUse), 0)
	return u
}

// quotaPeers is a set of peers that share the quota of one team.
type quotaPeers struct {
	holders []*holder
	sharers []*tackshare.Sharer
}

func newQuotaPeers(vms, quota int) *quotaPeers {
	q := new(quotaPeers)
	var peers []tackshare.PeerLocation
	for vm := range vms {
		peers = append(peers, tackshare.PeerLocation{Peer: peerOf(vm), DataCentre: home})
	}
	for vm := range vms {
		h := new(holder)
		s := &tackshare.Sharer{Self: peerOf(vm), Home: home, Epoch: 1, Consumer: h}
		s.SetPeers(0, peers)
		s.SetTable(0, &tackroute.Table{Quotas: map[tackid.Team]int{"clerks": quota}})
		q.holders, q.sharers = append(q.holders, h), append(q.sharers, s)
	}
	return q
}

// run calls Tick on all peers, delivers every frame without delay, and returns
// the largest number of slots in use at any time.
func (q *quotaPeers) run(from, to tackclock.Time) (most int) {
	for now := from; now < to; now += 100 {
		for vm, s := range q.sharers {
			q.deliver(now, vm, s.Tick(now))
			most = max(most, q.inUse())
		}
	}
	return most
}

func (q *quotaPeers) deliver(now tackclock.Time, from int, out []tackshare.Outgoing) {
	for _, o := range out {
		for vm, s := range q.sharers {
			if s.Self == o.To {
				q.deliver(now, vm, s.Receive(now, peerOf(from), o.Frame))
			}
		}
	}
}

func (q *quotaPeers) inUse() int {
	n := 0
	for _, h := range q.holders {
		n += h.inUse
	}
	return n
}

// A team whose requests arrive at one peer and then at another must be able to use
// its whole quota, and no more. It got more when every peer enforced the whole
// quota, and less when every peer enforced a fixed part.
func TestQuotaIsSharedAmongPeers(t *testing.T) {
	convey.Convey("With a quota of 4 slots over 6 peers", t, func() {
		q := newQuotaPeers(6, 4)
		for i, busy := range []int{2, 5, 0} {
			for _, h := range q.holders {
				h.inUse, h.waiting, h.perCall = 0, 0, 0
			}
			q.holders[busy].waiting, q.holders[busy].perCall = 10, 4
			start := tackclock.Time(i) * 10000
			most := q.run(start, start.Add(10*tackclock.Second))
			convey.So(most, convey.ShouldBeLessThanOrEqualTo, 4)
			convey.So(q.holders[busy].inUse, convey.ShouldEqual, 4)
		}
	})
}

// A slot must be kept for a request that was admitted and whose key is still being
// recorded, even if another peer is short. When only slots in use counted as
// needed, the idle slot was returned and the request refused for lack of one.
func TestSlotsOfAdmittedRequestsAreKept(t *testing.T) {
	convey.Convey("With two requests admitted at one peer and many waiting at another", t, func() {
		q := newQuotaPeers(2, 6)
		q.run(0, 10000)
		q.holders[0].admitted, q.holders[1].waiting = 2, 10
		q.run(10000, 12000)
		convey.So(q.holders[0].held, convey.ShouldEqual, 2)
		convey.So(q.holders[1].held, convey.ShouldEqual, 4)
	})
}

// eagerConsumer is a Consumer that takes a slot right after the call of Usage
// that follows a bound below its shares.
type eagerConsumer struct {
	simPeer
	inFlight []tackroute.Candidate
	arrives  bool
}

func (h *eagerConsumer) SetShares(now tackclock.Time, g tackshare.Group, bound int, shares []tackroute.Share) {
	h.simPeer.SetShares(now, g, bound, shares)
	sum := 0
	for _, share := range shares {
		sum += share.Slots
	}
	h.arrives = bound < sum
}

func (h *eagerConsumer) Usage(now tackclock.Time, subject tackshare.Subject) tackshare.Usage {
	u := h.simPeer.Usage(now, subject)
	if !h.arrives && h.waiting == 0 {
		return u
	}
	h.arrives = false
	if c, ok := h.chooser.Pick(now, tackroute.Constraints{Home: home}); ok {
		h.inFlight = append(h.inFlight, c)
	}
	return u
}

// end ends all requests of the peer.
func (h *eagerConsumer) end(now tackclock.Time) {
	for _, c := range h.inFlight {
		h.chooser.Done(now, c, tackroute.Outcome{})
	}
	h.inFlight = nil
}

func newEagerUser(vm int, table *tackroute.Table) *eagerConsumer {
	h := new(eagerConsumer)
	h.sharer = &tackshare.Sharer{Self: peerOf(vm), Home: home, Epoch: 1, Consumer: h}
	h.chooser.SetCandidates(table.Services[service])
	h.sharer.SetPeers(0, []tackshare.PeerLocation{{Peer: peerOf(0), DataCentre: home}, {Peer: peerOf(1), DataCentre: home}})
	h.sharer.SetTable(0, table)
	return h
}

// assertOneEach checks that no source with one slot is used by both peers.
func assertOneEach(vms ...*eagerConsumer) {
	taken := make(map[tackid.BackendServer]int)
	for _, h := range vms {
		for _, c := range h.inFlight {
			taken[c.BackendServer]++
		}
	}
	for _, n := range taken {
		convey.So(n, convey.ShouldEqual, 1)
	}
}

// A returned slot must not be used twice. A peer reads the usage and returns an
// idle slot, and a request takes that slot before the chooser gets the smaller
// share. So the usage must be read again before the return is sent.
func TestReturnedSlotIsNotFilled(t *testing.T) {
	convey.Convey("When requests arrive between the two readings of the usage", t, func() {
		table := tableOf(8)
		for i := range table.Services[service] {
			table.Services[service][i].Slots = 1
		}
		vms := []*eagerConsumer{newEagerUser(0, table), newEagerUser(1, table)}
		q := &quotaPeers{sharers: []*tackshare.Sharer{vms[0].sharer, vms[1].sharer}}
		for now := tackclock.Time(0); now < 60000; now += 100 {
			busy := int(now/1000) % 2
			vms[busy].waiting, vms[1-busy].waiting = 8, 0
			vms[1-busy].end(now)
			q.run(now, now+100)
			assertOneEach(vms...)
		}
	})
}
