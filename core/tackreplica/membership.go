package tackreplica

import (
	"slices"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// config is a membership and the index of the entry that contains it.
	config struct {
		index   tackid.Revision
		members []Member
	}

	// removal is a removed member that may still hold a lease. Its name is empty if the
	// node cannot know whether a member was removed.
	removal struct {
		peer  tackid.Peer
		until tackclock.Time
	}
)

// Members returns the effective members: those of the newest membership in the log,
// committed or not.
func (n *Node) Members() []Member {
	return n.configs[len(n.configs)-1].members
}

func (n *Node) member(peer tackid.Peer) *Member {
	members := n.Members()
	for i := range members {
		if members[i].Peer == peer {
			return &members[i]
		}
	}
	return nil
}

func (n *Node) committedMember(peer tackid.Peer) bool {
	return slices.ContainsFunc(n.membersAt(n.commit), func(m Member) bool { return m.Peer == peer })
}

// others returns the progress of every other member.
func (n *Node) others() []*progress {
	var ps []*progress
	for _, m := range n.Members() {
		if p := n.progress[m.Peer]; p != nil && m.Peer != n.cfg.Self {
			ps = append(ps, p)
		}
	}
	return ps
}

func quorumOf(members []Member, votes map[tackid.Peer]bool) bool {
	voters, granted := 0, 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if votes[m.Peer] {
			granted++
		}
	}
	return granted > voters/2
}

// applyMembership makes the membership in e effective as soon as the entry is in the log.
func (n *Node) applyMembership(e Entry) {
	if e.Kind != EntryMembership {
		return
	}
	members, err := decodeMembers(e.Data)
	if err != nil {
		return
	}
	n.setMembers(e.Index, members)
}

func (n *Node) setMembers(index tackid.Revision, members []Member) {
	before := n.Members()
	n.configs = append(n.configs, config{index: index, members: members})
	for _, m := range before {
		if n.member(m.Peer) == nil {
			n.recordRemoval(m.Peer)
		}
	}
	if n.role != Leader {
		return
	}
	for _, m := range members {
		n.track(m.Peer)
	}
	for peer := range n.progress {
		if n.member(peer) == nil {
			delete(n.progress, peer)
		}
	}
}

// recordRemoval records a removed member for as long as a lease granted to it may last.
// Without it, a change would be reported in force while the removed member still serves the
// state before it.
func (n *Node) recordRemoval(peer tackid.Peer) {
	n.removed = append(n.removed, removal{peer: peer, until: n.now.Add(n.voteHoldoff())})
}

func (n *Node) removedMayHoldLease() bool {
	n.removed = slices.DeleteFunc(n.removed, func(d removal) bool { return d.until <= n.now })
	return len(n.removed) > 0
}

// revertMembership restores the membership that was effective at index i.
func (n *Node) revertMembership(i tackid.Revision) {
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index > i {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// ProposeMembership appends a membership that differs from the effective one in one member.
// The error is a *NotLeaderError or a *MembershipError.
func (n *Node) ProposeMembership(now tackclock.Time, members []Member) (tackid.Revision, Term, error) {
	n.advanceClock(now)
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if err := n.checkMembership(members); err != nil {
		return 0, 0, err
	}
	return n.appendEntry(EntryMembership, encodeMembers(members)), n.hard.Term, nil
}

func (n *Node) checkMembership(members []Member) error {
	// A leader that has committed nothing in its term may not know of a change that an
	// earlier leader started, and two changes in progress can have disjoint quorums.
	if n.commit < n.termStart || n.configs[len(n.configs)-1].index > n.commit {
		return &MembershipError{Problem: ProblemPending}
	}
	changed, err := n.changedMembers(members)
	if err != nil {
		return err
	}
	if len(changed) > 1 {
		return &MembershipError{Peer: changed[1], Problem: ProblemSeveral}
	}
	if !n.quorumReachable(members) {
		return &MembershipError{Problem: ProblemQuorum}
	}
	return nil
}

// quorumReachable reports whether the voters among members could commit the change.
// Removing a healthy voter while another is down, or came back with an empty folder, would
// leave a membership that cannot commit anything, not even its own repair.
func (n *Node) quorumReachable(members []Member) bool {
	healthy := make(map[tackid.Peer]bool)
	for _, m := range members {
		p := n.progress[m.Peer]
		healthy[m.Peer] = m.Peer == n.cfg.Self || p != nil && !p.ineligible && n.now.Sub(p.heard) <= n.cfg.Lease
	}
	return quorumOf(members, healthy)
}

func (n *Node) changedMembers(members []Member) ([]tackid.Peer, error) {
	var changed []tackid.Peer
	voters := 0
	seen := make(map[tackid.Peer]bool)
	for _, m := range members {
		if seen[m.Peer] || m.Peer == "" {
			return nil, &MembershipError{Peer: m.Peer, Problem: ProblemName}
		}
		seen[m.Peer] = true
		if m.Voter {
			voters++
		}
		old := n.member(m.Peer)
		if old != nil && *old == m {
			continue
		}
		changed = append(changed, m.Peer)
		if m.Voter && (old == nil || !old.Voter) && !n.caughtUp(m.Peer) {
			return nil, &MembershipError{Peer: m.Peer, Problem: ProblemBehind}
		}
	}
	if voters == 0 {
		return nil, &MembershipError{Problem: ProblemNoVoter}
	}
	for _, m := range n.Members() {
		if !seen[m.Peer] {
			changed = append(changed, m.Peer)
		}
	}
	return changed, nil
}

// caughtUp reports whether a learner can become a voter without delaying commits.
func (n *Node) caughtUp(peer tackid.Peer) bool {
	p := n.progress[peer]
	return p != nil && !p.ineligible && (p.match >= n.commit || n.withinThrottle(p)) && n.now.Sub(p.heard) <= n.cfg.Lease
}

// withinThrottle reports whether a member lacks only entries that throttling has held back
// since it was last sent the whole log. Under steady load it has all entries only at the
// moment of its response.
func (n *Node) withinThrottle(p *progress) bool {
	return n.throttled(p) && p.sentAll && !p.probing && len(p.inflight) == 0 && n.now.Sub(p.sentAt) <= 2*n.cfg.LearnerInterval
}

// transferIfRemoved transfers leadership once a membership in which the leader is not a
// voter is committed.
func (n *Node) transferIfRemoved() {
	if n.transfer.to != "" || n.configs[len(n.configs)-1].index > n.commit {
		return
	}
	if !n.isVoterIn(n.Members()) {
		n.Transfer(n.now, "")
	}
}

func encodeMembers(members []Member) []byte {
	data, err := tackcbor.Marshal(members)
	if err != nil {
		panic("tackreplica: members cannot be encoded: " + err.Error())
	}
	return data
}

func decodeMembers(data []byte) ([]Member, error) {
	var members []Member
	err := tackcbor.Unmarshal(data, &members)
	return members, err
}
