package tackreplica

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// grant is a lease: until the given time, a member may serve reads from its applied state
// if it has applied at least required. A member holds several overlapping leases, since a
// newer one may require a revision that it has not applied yet.
type grant struct {
	required tackid.Revision
	until    tackclock.Time
}

// stampAt encodes now in a form that other instances of this node reject. After a restart
// the clock may have been set back, and the echo of an earlier instance's stamp would seem
// to grant a lease far into the future.
func (n *Node) stampAt(now tackclock.Time) Stamp {
	return Stamp(n.salt + uint64(now.Sub(n.started)) + 1)
}

// timeOf decodes an echo of this node's own stamp into the time at which it was made.
func (n *Node) timeOf(s Stamp) (tackclock.Time, bool) {
	t := n.started.Add(tackclock.Duration(uint64(s) - n.salt - 1))
	return t, t >= n.started && t <= n.now
}

// leaderLeaseUntil is when the leader lease ends, counted from when the leader sent the
// messages that a quorum of voters acknowledged.
func (n *Node) leaderLeaseUntil() tackclock.Time {
	if n.role != Leader {
		return 0
	}
	return n.quorumAcked().Add(n.cfg.Lease)
}

// quorumAcked is the latest time such that a quorum has acknowledged a message sent at that
// time or later.
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

// quorumLost reports whether a leader has been without a quorum for so long that another
// leader may exist.
func (n *Node) quorumLost() bool {
	return n.now.Sub(max(n.quorumAcked(), n.electedAt)) > n.cfg.Election
}

// LeaderLease reports whether this node is the leader, a quorum has confirmed that within
// the lease by its own clock, and it has applied everything that earlier leaders committed.
// Only then may it serve linearizable reads.
func (n *Node) LeaderLease(now tackclock.Time) bool {
	n.advanceClock(now)
	return n.role == Leader && n.now < n.leaderLeaseUntil() && n.applied >= n.termStart
}

// grantLease adds a lease for p to m. Only a leader that holds the leader lease grants any,
// so all leases granted by one leader start before the next is elected. Only members in a
// committed membership get one: the next leader knows no others and would not wait for
// their leases to expire.
//
// The member counts its lease from when it sent the stamp, so the leader counts from when
// the stamp arrived, which is later. If it counted from now, the lease of a member that
// stopped responding would never seem to end, and every command would wait for it again.
func (n *Node) grantLease(p *progress, m *Message) {
	if p.stamp == 0 || n.commit < n.termStart || n.now >= n.leaderLeaseUntil() || !n.committedMember(p.peer) {
		return
	}
	until := p.stamped.Add(n.voteHoldoff())
	if until <= n.now {
		return
	}
	m.Echo, m.Required = p.stamp, n.commit
	g := grant{required: n.commit, until: until}
	p.grants = addGrant(p.grants, g, n.now)
}

// acceptLease records a granted lease. It counts from when this node sent the echoed stamp,
// which is earlier than when the leader granted the lease.
func (n *Node) acceptLease(m Message) {
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

// addGrant adds g and removes grants that have expired or are implied by g. At most as many
// remain as there are heartbeats in a lease.
func addGrant(grants []grant, g grant, now tackclock.Time) []grant {
	grants = slices.DeleteFunc(grants, func(h grant) bool {
		return h.until <= now || h.required >= g.required && h.until <= g.until
	})
	return append(grants, g)
}

// Leased reports whether this node may serve reads from its applied state: it holds a lease
// and has applied the revision that the lease requires.
func (n *Node) Leased(now tackclock.Time) bool {
	n.advanceClock(now)
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

// InForce reports, on the leader, whether no node can still serve a state before i: each
// member has applied i, or every lease that does not require i has expired. Missing lists
// the members that have not applied i and hold no such lease.
func (n *Node) InForce(now tackclock.Time, i tackid.Revision) (done bool, missing []tackid.Peer) {
	if !n.LeaderLease(now) || i > n.commit || i > n.applied {
		return false, nil
	}
	done = !n.removedMayHoldLease()
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

// leasedBefore reports whether the member may hold a lease that does not require i.
func (p *progress) leasedBefore(i tackid.Revision, now tackclock.Time) bool {
	for _, g := range p.grants {
		if g.required < i && g.until > now {
			return true
		}
	}
	return false
}
