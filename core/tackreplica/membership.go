package tackreplica

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// config is a membership and the entry that brought it.
	config struct {
		index   tackid.Revision
		members []Member
	}

	// removal remembers that a member was removed and may hold a lease. It
	// has no name if the node can't know whether there was one.
	removal struct {
		peer  tackid.Peer
		until tackclock.Time
	}
)

// Members returns the members that count now: those of the newest membership
// in the log, committed or not.
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

// others returns what the leader knows of every other member.
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

// noteMembership takes a membership as soon as its entry is in the log.
func (n *Node) noteMembership(e Entry) {
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
			n.noteRemoval(m.Peer)
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

// noteRemoval remembers a removed member for as long as a lease that it was
// granted before can last. Without it a change would be reported in force
// while the removed VM still serves by the state before.
func (n *Node) noteRemoval(peer tackid.Peer) {
	n.removed = append(n.removed, removal{peer: peer, until: n.now.Add(n.promise())})
}

func (n *Node) removedLeased() bool {
	n.removed = slices.DeleteFunc(n.removed, func(d removal) bool { return d.until <= n.now })
	return len(n.removed) > 0
}

// forgetMembership goes back to the membership that held at i.
func (n *Node) forgetMembership(i tackid.Revision) {
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index > i {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// ProposeMembership appends a membership that differs from the present one in
// one member. The error is a *NotLeaderError or a *MembershipError.
func (n *Node) ProposeMembership(now tackclock.Time, members []Member) (tackid.Revision, Term, error) {
	n.see(now)
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if err := n.checkMembership(members); err != nil {
		return 0, 0, err
	}
	return n.appendEntry(EntryMembership, encodeMembers(members)), n.hard.Term, nil
}

func (n *Node) checkMembership(members []Member) error {
	// A leader that has committed nothing may not know of a change that an
	// earlier one began; two begun changes can have quorums that do not meet.
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
	if !n.quorumAtHand(members) {
		return &MembershipError{Problem: ProblemQuorum}
	}
	return nil
}

// quorumAtHand reports whether the voters of members could commit the change.
// Removing a sound voter while another is down, or came back empty, would
// leave a membership that can commit nothing, not even its own repair.
func (n *Node) quorumAtHand(members []Member) bool {
	sound := make(map[tackid.Peer]bool)
	for _, m := range members {
		p := n.progress[m.Peer]
		sound[m.Peer] = m.Peer == n.cfg.Self || p != nil && !p.ineligible && n.now.Sub(p.heard) <= n.cfg.Lease
	}
	return quorumOf(members, sound)
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

// caughtUp reports whether a learner can become a voter without holding up
// the commitment of entries.
func (n *Node) caughtUp(peer tackid.Peer) bool {
	p := n.progress[peer]
	return p != nil && !p.ineligible && (p.match >= n.commit || n.hasGathered(p)) && n.now.Sub(p.heard) <= n.cfg.Lease
}

// hasGathered reports whether a member lacks only what is gathered for it since it was last
// sent all that there was. Under steady load it never has all at any other moment than that
// of its answer.
func (n *Node) hasGathered(p *progress) bool {
	return n.spares(p) && p.sentAll && !p.probing && len(p.inflight) == 0 && n.now.Sub(p.sentAt) <= 2*n.cfg.LearnerEvery
}

// stepAside hands over once it is committed that the leader is no voter.
func (n *Node) stepAside() {
	if n.transfer.to != "" || n.configs[len(n.configs)-1].index > n.commit {
		return
	}
	if !n.votesIn(n.Members()) {
		n.Transfer(n.now, "")
	}
}

func encodeMembers(members []Member) []byte {
	data, err := cbor.Marshal(members)
	if err != nil {
		panic("tackreplica: members cannot be encoded: " + err.Error())
	}
	return data
}

func decodeMembers(data []byte) ([]Member, error) {
	var members []Member
	err := cbor.Unmarshal(data, &members)
	return members, err
}
