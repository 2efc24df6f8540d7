// Package tackshare divides slots among the peers, which share no memory.
//
// Slots are those of the backend servers and those of the teams' quotas. Every
// group of them has one owner among the peers, which grants them by what
// each peer reports to need and takes idle ones back when another is short,
// so that no slot is granted twice. A Sharer is one peer's side of it: it
// takes frames and ticks, and returns frames.
package tackshare

import (
	"cmp"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

type (
	// Subject is what slots are shared for: a service, or a team with a
	// quota.
	Subject struct {
		Service tackid.Service `cbor:"1,keyasint,omitempty"`
		Team    tackid.Team    `cbor:"2,keyasint,omitempty"`
	}

	// Group is a set of slots that one peer, its owner, divides among
	// all: those of a service in one data centre, or those of a team's quota.
	Group struct {
		Subject
		DataCentre tackid.DataCentre `cbor:"3,keyasint,omitempty"`
	}

	// Usage is what a peer does with its shares at a moment.
	Usage struct {
		// Waiting is the number of requests that wait for a slot.
		Waiting int
		// Admitted is the number of requests that may start and have not
		// taken their slot yet. As many idle slots are kept.
		Admitted int
		// InUse is the number of slots taken on each lot that has any.
		InUse []tackroute.Share
	}

	// User fills the shares. SetShares replaces those of a group; no more
	// than bound slots of them may be filled in all. A share below what is in
	// use forbids new requests and lets the old ones end. Usage must see the
	// effect of every SetShares that returned.
	User interface {
		SetShares(now tackclock.Time, group Group, bound int, shares []tackroute.Share)
		Usage(now tackclock.Time, subject Subject) Usage
	}

	// Neighbour is another peer, or this one.
	Neighbour struct {
		Peer       tackid.Peer
		DataCentre tackid.DataCentre
	}

	// Frame is the message between two Sharers. It carries reports for the
	// groups that the receiver owns and grants for those the sender owns.
	Frame struct {
		// Epoch tells the lives of the sender apart, Seq counts its frames to
		// this receiver.
		Epoch uint64 `cbor:"1,keyasint"`
		Seq   uint64 `cbor:"2,keyasint"`
		// Ack is the highest Seq seen from the receiver in its life AckEpoch.
		AckEpoch uint64 `cbor:"3,keyasint,omitempty"`
		Ack      uint64 `cbor:"4,keyasint,omitempty"`
		// Stamp is the sender's time, Echo the last Stamp seen from the
		// receiver. A lease counts from its holder's own stamp.
		Stamp   tackclock.Time `cbor:"5,keyasint"`
		Echo    tackclock.Time `cbor:"6,keyasint,omitempty"`
		Reports []Report       `cbor:"7,keyasint,omitempty"`
		Grants  []Grant        `cbor:"8,keyasint,omitempty"`
	}

	// Report tells the owner of a group what its sender needs and returns.
	Report struct {
		Group
		// Session counts the times that the holder started anew with an
		// owner. The first report of a session claims what is held.
		Session uint32 `cbor:"4,keyasint"`
		Want    int    `cbor:"5,keyasint,omitempty"`
		// Claimed and Returned hold slots by lot: those held when the session
		// began, and the count of all that were returned since.
		Claimed  []Count `cbor:"6,keyasint,omitempty"`
		Returned []Count `cbor:"7,keyasint,omitempty"`
	}

	// Grant tells a holder what it may fill.
	Grant struct {
		Group
		Session uint32 `cbor:"4,keyasint"`
		// Bound is how many slots the holder may keep in all. It returns what
		// it holds beyond.
		Bound int `cbor:"5,keyasint,omitempty"`
		// Granted counts by lot all slots granted since the session began,
		// what was claimed included.
		Granted []Count `cbor:"6,keyasint,omitempty"`
	}

	// Count is a number of slots of a lot.
	Count struct {
		tackroute.Lot
		Slots int `cbor:"3,keyasint"`
	}

	// Outgoing is a frame to send.
	Outgoing struct {
		To    tackid.Peer
		Frame Frame
	}

	// count is what two sides agree on about a lot. Both numbers only grow,
	// and each is written by one side, so a lost, doubled or late frame cannot
	// make the two sides disagree on more than slots in transit; the slots
	// held are the difference, which the holder never sees larger than the
	// owner does.
	count struct {
		granted  int
		returned int
		// told is the number of returned slots that was sent.
		told int
		// sent is the frame that first carried the number this side writes,
		// or zero if none did.
		sent uint64
	}
)

func (c *count) held() int {
	return max(c.granted-c.returned, 0)
}

func compareLots(a, b tackroute.Lot) int {
	if c := cmp.Compare(a.BackendServer, b.BackendServer); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.DataCentre, b.DataCentre))
}
