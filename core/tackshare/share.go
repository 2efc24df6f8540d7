// Package tackshare divides slots among the peers, which share no memory.
//
// There are slots of backend servers and slots of the teams' quotas. Every group
// of slots has one owner among the peers. The owner leases slots to the peers
// according to the needs that they report, and reclaims idle ones when another
// peer is short, so that no slot is granted twice. A Sharer implements the
// protocol for one peer: it is driven by frames and ticks, and returns frames to
// send.
package tackshare

import (
	"cmp"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

type (
	// Subject is what slots are for: a service, or a team with a quota.
	Subject struct {
		Service tackid.Service `cbor:"1,keyasint,omitempty"`
		Team    tackid.Team    `cbor:"2,keyasint,omitempty"`
	}

	// Group is a set of slots that one peer, its owner, divides among all
	// peers: those of a service in one data centre, or those of a team's
	// quota.
	Group struct {
		Subject
		DataCentre tackid.DataCentre `cbor:"3,keyasint,omitempty"`
	}

	// Usage is a peer's current use of its shares.
	Usage struct {
		// Waiting is the number of requests that wait for a slot.
		Waiting int
		// Admitted is the number of requests that were admitted but have not
		// taken a slot yet. The same number of idle slots is kept for them.
		Admitted int
		// InUse is the number of slots in use on each source that has any.
		InUse []tackroute.Share
	}

	// Consumer uses the shares. SetShares replaces the shares of a group; the
	// total number of slots in use may not exceed bound. If a share is smaller
	// than the number of slots in use, no new requests start there and the
	// running ones continue. Usage must reflect every SetShares call that has
	// returned.
	Consumer interface {
		SetShares(now tackclock.Time, group Group, bound int, shares []tackroute.Share)
		Usage(now tackclock.Time, subject Subject) Usage
	}

	// PeerLocation is a peer and its data centre.
	PeerLocation struct {
		Peer       tackid.Peer
		DataCentre tackid.DataCentre
	}

	// Frame is a message between two Sharers. It carries reports on the
	// groups that the receiver owns and grants for those that the sender owns.
	Frame struct {
		// Epoch distinguishes the incarnations of the sender. Seq counts its
		// frames to this receiver.
		Epoch uint64 `cbor:"1,keyasint"`
		Seq   uint64 `cbor:"2,keyasint"`
		// Ack is the highest Seq received from the receiver in its epoch
		// AckEpoch.
		AckEpoch uint64 `cbor:"3,keyasint,omitempty"`
		Ack      uint64 `cbor:"4,keyasint,omitempty"`
		// Stamp is the sender's time, Echo the last Stamp received from the
		// receiver. A lease starts at its holder's own echoed stamp.
		Stamp   tackclock.Time `cbor:"5,keyasint"`
		Echo    tackclock.Time `cbor:"6,keyasint,omitempty"`
		Reports []Report       `cbor:"7,keyasint,omitempty"`
		Grants  []Grant        `cbor:"8,keyasint,omitempty"`
	}

	// Report tells the owner of a group what the sender needs and what it
	// returns.
	Report struct {
		Group
		// Session counts the sessions of the holder for the group. The first
		// report of a session claims the slots held.
		Session uint32 `cbor:"4,keyasint"`
		Want    int    `cbor:"5,keyasint,omitempty"`
		// Claimed counts by source the slots held when the session began,
		// Returned all slots returned since.
		Claimed  []Count `cbor:"6,keyasint,omitempty"`
		Returned []Count `cbor:"7,keyasint,omitempty"`
	}

	// Grant tells a holder which slots it may use.
	Grant struct {
		Group
		Session uint32 `cbor:"4,keyasint"`
		// Bound is how many slots the holder may keep in total. It returns
		// the excess.
		Bound int `cbor:"5,keyasint,omitempty"`
		// Granted counts by source all slots granted since the session began,
		// including those claimed.
		Granted []Count `cbor:"6,keyasint,omitempty"`
	}

	// Count is a number of slots of a source.
	Count struct {
		tackroute.SlotSource
		Slots int `cbor:"3,keyasint"`
	}

	// Outgoing is a frame to send.
	Outgoing struct {
		To    tackid.Peer
		Frame Frame
	}

	// count is the state of a source that owner and holder replicate. The slots
	// held are the difference of two counters, which only increase and are
	// written by one side each. So a lost, duplicated or late frame can make
	// the sides disagree only about slots in transit, and the holder never
	// sees more slots held than the owner does.
	count struct {
		granted  int
		returned int
		// returnedSent is the value of returned that was last sent.
		returnedSent int
		// sent is the sequence number of the frame that first carried the
		// counter that this side writes, or zero if none did.
		sent uint64
	}
)

func (c *count) held() int {
	return max(c.granted-c.returned, 0)
}

func compareSources(a, b tackroute.SlotSource) int {
	if c := cmp.Compare(a.BackendServer, b.BackendServer); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.DataCentre, b.DataCentre))
}
