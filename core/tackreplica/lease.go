package tackreplica

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// grant is a lease: the right to rely on what was applied, until a moment, if
// at least required has been applied. A VM holds several that overlap, since a
// newer one may ask for a revision that it is just about to apply.
type grant struct {
	required tackid.Revision
	until    tackclock.Time
}

// stampAt returns now in a form that a later life of this VM refuses: after a
// restart the clock may have been set back, and an echo of the former life
// would seem to grant a lease far into the future.
func (n *Node) stampAt(now tackclock.Time) Stamp {
	return Stamp(n.salt + uint64(now.Sub(n.started)) + 1)
}

// timeOf turns an echo of this node's own stamp back into its time.
func (n *Node) timeOf(s Stamp) (tackclock.Time, bool) {
	t := n.started.Add(tackclock.Duration(uint64(s) - n.salt - 1))
	return t, t >= n.started && t <= n.now
}

// leaderLeaseUntil is when the promises of a quorum of voters end, counted
// from when the leader sent what they answered.
func (n *Node) leaderLeaseUntil() tackclock.Time {
	if n.role != Leader {
		return 0
	}
	return n.quorumAcked().Add(n.cfg.Lease)
}

// quorumAcked is the newest time such that a quorum answered a message sent
// then or later.
func (n *Node) quorumAcked() tackclock.Time {
	var acked []tackclock.Time
	for _, m := range n.Members() {
		if m.Voter {
			acked = append(acked, n.ackedBy(m.Peer))
		}
	}
	slices.Sort(acked)
	return acked[(len(acked)-1)/2]
}

func (n *Node) ackedBy(peer tackid.Peer) tackclock.Time {
	if peer == n.cfg.Self {
		return n.now
	}
	p := n.progress[peer]
	if p.ineligible {
		return 0
	}
	return p.acked
}

// quorumLost reports whether a leader has been without a quorum for so long
// that another one may be there.
func (n *Node) quorumLost() bool {
	return n.now.Sub(max(n.quorumAcked(), n.electedAt)) > n.cfg.Election
}

// LeaderLease reports whether this node leads and a quorum has confirmed it
// within the lease, by its own clock, and it has applied everything that
// earlier leaders committed. Reads that decide anything may then be answered.
func (n *Node) LeaderLease(now tackclock.Time) bool {
	n.see(now)
	return n.role == Leader && n.now < n.leaderLeaseUntil() && n.applied >= n.termStart
}

// grantLease puts a lease for p into m. Only a leader that holds its own lease
// grants any: so all leases of one leader begin before the next is elected. And
// only members by a committed entry get one: the next leader knows of no other,
// and would not wait for their leases to run out.
//
// The member counts its lease from when it sent the stamp, which is before it
// came here. Counted from now instead, the lease of a member that fell silent
// would never seem to end, and every command would wait for it anew.
func (n *Node) grantLease(p *progress, m *Message) {
	if p.stamp == 0 || n.commit < n.termStart || n.now >= n.leaderLeaseUntil() || !n.committedMember(p.peer) {
		return
	}
	until := p.stamped.Add(n.promise())
	if until <= n.now {
		return
	}
	m.Echo, m.Required = p.stamp, n.commit
	g := grant{required: n.commit, until: until}
	p.grants = addGrant(p.grants, g, n.now)
}

// takeLease counts a granted lease from when this node sent the stamp that
// came back with it, which is earlier than when the leader granted it.
func (n *Node) takeLease(m Message) {
	if m.Required == 0 {
		return
	}
	sent, ok := n.timeOf(m.Echo)
	if !ok {
		return
	}
	g := grant{required: m.Required, until: sent.Add(n.cfg.Lease)}
	n.grants = addGrant(n.grants, g, n.now)
}

// addGrant adds g and drops what has run out or is implied by g. There are at
// most as many as heartbeats in a lease.
func addGrant(grants []grant, g grant, now tackclock.Time) []grant {
	grants = slices.DeleteFunc(grants, func(h grant) bool {
		return h.until <= now || h.required >= g.required && h.until <= g.until
	})
	return append(grants, g)
}

// Leased reports whether this VM may rely on what it has applied: it holds a
// lease and has applied the revision that the lease asks for.
func (n *Node) Leased(now tackclock.Time) bool {
	n.see(now)
	return n.leasedUntil() > n.now
}

func (n *Node) leasedUntil() tackclock.Time {
	if n.failed {
		return 0
	}
	var until tackclock.Time
	if n.role == Leader && n.applied >= n.termStart {
		until = n.leaderLeaseUntil()
	}
	for _, g := range n.grants {
		if g.required <= n.applied {
			until = max(until, g.until)
		}
	}
	return until
}

// InForce reports, on the leader, whether no VM can still rely on a state
// before i: each member has applied i, or every lease that did not ask for i
// has run out. Missing are the members that have not applied i and hold no
// such lease.
func (n *Node) InForce(now tackclock.Time, i tackid.Revision) (done bool, missing []tackid.Peer) {
	if !n.LeaderLease(now) || i > n.commit || i > n.applied {
		return false, nil
	}
	done = !n.removedLeased()
	for _, p := range n.others() {
		if p.applied >= i {
			continue
		}
		if p.leasedBefore(i, n.now) {
			done = false
			continue
		}
		missing = append(missing, p.peer)
	}
	return done, missing
}

// leasedBefore reports whether the member may hold a lease that is valid
// without having applied i.
func (p *progress) leasedBefore(i tackid.Revision, now tackclock.Time) bool {
	for _, g := range p.grants {
		if g.required < i && g.until > now {
			return true
		}
	}
	return false
}
