package tackshare_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
	"auburntack/core/tackshare"
)

// holder is a User of one group. Between two looks at its usage it fills as
// many slots as hasty says, if its share lets it.
type holder struct {
	held, share, inUse, waiting, admitted, hasty int
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
	h.inUse += max(min(h.hasty, h.share-h.inUse), 0)
	return u
}

// team is a set of peers that share the quota of one team.
type team struct {
	holders []*holder
	sharers []*tackshare.Sharer
}

func newTeam(vms, quota int) *team {
	q := new(team)
	var peers []tackshare.Neighbour
	for vm := range vms {
		peers = append(peers, tackshare.Neighbour{Peer: peerOf(vm), DataCentre: home})
	}
	for vm := range vms {
		h := new(holder)
		s := &tackshare.Sharer{Self: peerOf(vm), Home: home, Epoch: 1, User: h}
		s.SetPeers(0, peers)
		s.SetTable(0, &tackroute.Table{Quotas: map[tackid.Team]int{"clerks": quota}})
		q.holders, q.sharers = append(q.holders, h), append(q.sharers, s)
	}
	return q
}

// run ticks all peers and delivers every frame at once, and returns the
// most slots that were in use at any moment.
func (q *team) run(from, to tackclock.Time) (most int) {
	for now := from; now < to; now += 100 {
		for vm, s := range q.sharers {
			q.deliver(now, vm, s.Tick(now))
			most = max(most, q.inUse())
		}
	}
	return most
}

func (q *team) deliver(now tackclock.Time, from int, out []tackshare.Outgoing) {
	for _, o := range out {
		for vm, s := range q.sharers {
			if s.Self == o.To {
				q.deliver(now, vm, s.Receive(now, peerOf(from), o.Frame))
			}
		}
	}
}

func (q *team) inUse() int {
	n := 0
	for _, h := range q.holders {
		n += h.inUse
	}
	return n
}

// Symptom: a team holds more slots than its quota, or only a part of it while
// the rest stands idle.
// Sequence: its requests come through one peer, then through another.
// Cause: every peer held the team to the whole quota, or to a fixed part.
func TestQuotaIsSharedAmongPeers(t *testing.T) {
	convey.Convey("With a quota of 4 slots over 6 peers", t, func() {
		q := newTeam(6, 4)
		for i, busy := range []int{2, 5, 0} {
			for _, h := range q.holders {
				h.inUse, h.waiting, h.hasty = 0, 0, 0
			}
			q.holders[busy].waiting, q.holders[busy].hasty = 10, 4
			start := tackclock.Time(i) * 10000
			most := q.run(start, start.Add(10*tackclock.Second))
			convey.So(most, convey.ShouldBeLessThanOrEqualTo, 4)
			convey.So(q.holders[busy].inUse, convey.ShouldEqual, 4)
		}
	})
}

// Symptom: a request that was admitted is refused a moment later since no backend
// server has a slot for it.
// Sequence: it is admitted and its key is being recorded; meanwhile another peer is
// short, and the slot that stands idle for it is returned.
// Cause: only slots in use were taken for needed.
func TestSlotsOfAdmittedRequestsAreKept(t *testing.T) {
	convey.Convey("With two requests admitted at one peer and many waiting at another", t, func() {
		q := newTeam(2, 6)
		q.run(0, 10000)
		q.holders[0].admitted, q.holders[1].waiting = 2, 10
		q.run(10000, 12000)
		convey.So(q.holders[0].held, convey.ShouldEqual, 2)
		convey.So(q.holders[1].held, convey.ShouldEqual, 4)
	})
}

// hasty is a User to which a request comes right after the look at its usage
// that follows on a bound below its shares.
type hasty struct {
	entryVM
	flying []tackroute.Candidate
	comes  bool
}

func (h *hasty) SetShares(now tackclock.Time, g tackshare.Group, bound int, shares []tackroute.Share) {
	h.entryVM.SetShares(now, g, bound, shares)
	sum := 0
	for _, share := range shares {
		sum += share.Slots
	}
	h.comes = bound < sum
}

func (h *hasty) Usage(now tackclock.Time, subject tackshare.Subject) tackshare.Usage {
	u := h.entryVM.Usage(now, subject)
	if !h.comes && h.waiting == 0 {
		return u
	}
	h.comes = false
	if c, ok := h.chooser.Pick(now, tackroute.Ask{Home: home}); ok {
		h.flying = append(h.flying, c)
	}
	return u
}

// end lets all requests of the peer end.
func (h *hasty) end(now tackclock.Time) {
	for _, c := range h.flying {
		h.chooser.Done(now, c, tackroute.Outcome{})
	}
	h.flying = nil
}

func newHasty(vm int, table *tackroute.Table) *hasty {
	h := new(hasty)
	h.sharer = &tackshare.Sharer{Self: peerOf(vm), Home: home, Epoch: 1, User: h}
	h.chooser.SetCandidates(table.Services[service])
	h.sharer.SetPeers(0, []tackshare.Neighbour{{Peer: peerOf(0), DataCentre: home}, {Peer: peerOf(1), DataCentre: home}})
	h.sharer.SetTable(0, table)
	return h
}

// assertOneEach holds that no lot of one slot is taken by both peers.
func assertOneEach(vms ...*hasty) {
	taken := make(map[tackid.BackendServer]int)
	for _, h := range vms {
		for _, c := range h.flying {
			taken[c.BackendServer]++
		}
	}
	for _, n := range taken {
		convey.So(n, convey.ShouldEqual, 1)
	}
}

// Symptom: a slot is filled twice.
// Sequence: a peer looks at what is in use and returns an idle slot; before
// its chooser hears of the smaller share, a request takes that slot.
// Cause: the return was sent without a second look.
func TestReturnedSlotIsNotFilled(t *testing.T) {
	convey.Convey("When requests come between the two looks", t, func() {
		table := tableOf(8)
		for i := range table.Services[service] {
			table.Services[service][i].Slots = 1
		}
		vms := []*hasty{newHasty(0, table), newHasty(1, table)}
		q := &team{sharers: []*tackshare.Sharer{vms[0].sharer, vms[1].sharer}}
		for now := tackclock.Time(0); now < 60000; now += 100 {
			busy := int(now/1000) % 2
			vms[busy].waiting, vms[1-busy].waiting = 8, 0
			vms[1-busy].end(now)
			q.run(now, now+100)
			assertOneEach(vms...)
		}
	})
}
