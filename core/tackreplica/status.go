package tackreplica

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// Status describes a node and, on the leader, its members. LeaseUntil and
	// LeaderLeaseUntil are when Leased and LeaderLease expire, or zero if they do not hold;
	// concurrent readers other than the owner compare them with the clock.
	Status struct {
		Self     tackid.Peer
		Role     Role
		Leader   tackid.Peer
		Term     Term
		Last     tackid.Revision
		Commit   tackid.Revision
		Applied  tackid.Revision
		Snapshot tackid.Revision
		Eligible bool
		Failed   bool
		Resigned Resignation
		Members  []MemberStatus

		Leased           bool
		LeaseUntil       tackclock.Time
		LeaderLease      bool
		LeaderLeaseUntil tackclock.Time
	}

	// MemberStatus is the leader's view of one member; on other nodes only Member is set.
	// LeaseUntil is when the last lease granted to the member has certainly expired.
	// LastHeard is zero if the member never responded.
	MemberStatus struct {
		Member
		Match      tackid.Revision
		Applied    tackid.Revision
		LeaseUntil tackclock.Time
		LastHeard  tackclock.Time
		Eligible   bool
	}
)

var roleNames = [...]string{
	Follower: "follower", PreCandidate: "pre_candidate", Candidate: "candidate", Leader: "leader",
}

// String returns the role's name in snake case.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "unknown"
}

// Status returns the status of the node at now.
func (n *Node) Status(now tackclock.Time) Status {
	n.advanceClock(now)
	s := Status{
		Self: n.cfg.Self, Role: n.role, Leader: n.leader, Term: n.hard.Term,
		Last: n.log.last(), Commit: n.commit, Applied: n.applied, Snapshot: n.snapshot.Index,
		Eligible: n.hard.Eligible, Failed: n.failed, Resigned: n.resigned,
	}
	if n.Leased(now) {
		s.Leased, s.LeaseUntil = true, n.leasedUntil()
	}
	if n.LeaderLease(now) {
		s.LeaderLease, s.LeaderLeaseUntil = true, n.leaderLeaseUntil()
	}
	for _, m := range n.Members() {
		s.Members = append(s.Members, n.memberStatus(m))
	}
	return s
}

func (n *Node) memberStatus(m Member) MemberStatus {
	s := MemberStatus{Member: m}
	if n.role != Leader {
		return s
	}
	if m.Peer == n.cfg.Self {
		s.Match, s.Applied, s.Eligible = n.log.stable, n.applied, true
		s.LeaseUntil, s.LastHeard = n.leasedUntil(), n.now
		return s
	}
	p := n.progress[m.Peer]
	s.Match, s.Applied, s.LastHeard, s.Eligible = p.match, p.applied, p.heard, !p.ineligible
	for _, g := range p.grants {
		s.LeaseUntil = max(s.LeaseUntil, g.until)
	}
	return s
}
