package tackcontrol

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/io/tackpeer"
)

const (
	// memberCheckInterval is the interval between two checks of the membership.
	memberCheckInterval = 250 * tackclock.Millisecond
	// replaceAfter is how long a voter must be silent before an up-to-date learner replaces
	// it. A replacement must be able to vote four seconds after its start.
	replaceAfter = 3 * tackclock.Second
	// removeAfter is how long a learner must be silent before it is removed.
	removeAfter = 60 * tackclock.Second
	// maxKnown bounds the number of control VMs that one that is no member learns of.
	maxKnown = 256
)

// members is the membership state of the loop.
type members struct {
	checkAt tackclock.Time
	// joining contains the VMs that asked this one, while it led, to become members.
	joining map[tackid.Peer]tackreplica.Member
	// known contains control VMs that this one has learned of and that may not be members.
	known        map[tackid.Peer]bool
	leadingSince tackclock.Time // when this VM became the leader
	leading      bool
}

func addressOf(p tackid.Peer, port int) string {
	return net.JoinHostPort(string(p), strconv.Itoa(port))
}

// Join records that a control VM asks to become a member. Another VM than the leader ignores
// it: by the time it leads, the one that asked may be gone. Its answer names the leader.
func (c *Control) Join(p tackid.Peer, dc tackid.DataCentre) {
	c.loop.Post(context.Background(), func() {
		c.logJoin(p)
		if _, leads := c.leads(c.clock.Now()); !leads {
			return
		}
		if c.members.joining == nil {
			c.members.joining = make(map[tackid.Peer]tackreplica.Member)
		}
		c.members.joining[p] = tackreplica.Member{Peer: p, DataCentre: dc, Address: c.linkAddress(p)}
	})
}

// AddPeers links this VM with control VMs that it has learned of.
func (c *Control) AddPeers(peers []tackid.Peer) {
	c.loop.Post(context.Background(), func() {
		if c.members.known == nil {
			c.members.known = make(map[tackid.Peer]bool)
		}
		changed := false
		for _, p := range peers {
			if !c.members.known[p] && len(c.members.known) < maxKnown {
				c.members.known[p] = true
				changed = true
			}
		}
		if changed {
			c.publishKnown()
			c.relink()
		}
	})
}

// onUnknownPeer makes this VM link with a control VM that connects to it, unless it is a
// member and so knows all of them. Members connect to a VM that lost its folder; its seeds may
// be gone by then, so that it learns of nobody otherwise.
func (c *Control) onUnknownPeer(p tackid.Peer, remote net.Addr) {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil || host != string(p) || c.Member() {
		return
	}
	c.AddPeers([]tackid.Peer{p})
}

// publishKnown publishes the VMs that this one has learned of. It is called by the loop.
func (c *Control) publishKnown() {
	list := slices.Sorted(maps.Keys(c.members.known))
	c.learnedOf.Store(&list)
}

// Peers returns the members. A VM that is none of them adds those that it has learned of, since
// the members that it knows may be gone.
func (c *Control) Peers() []tackid.Peer {
	var list []tackid.Peer
	for _, m := range c.status.Load().Members {
		list = append(list, m.Peer)
	}
	if known := c.learnedOf.Load(); known != nil && !slices.Contains(list, c.cfg.Self) {
		for _, p := range *known {
			if !slices.Contains(list, p) {
				list = append(list, p)
			}
		}
	}
	return list
}

// relink links this VM with all members, with the seeds, and with the VMs that it has learned
// of.
func (c *Control) relink() {
	c.links.SetPeers(c.peers(c.node.Members()))
}

// peers returns the control VMs with which this one is linked. Two members that are both no
// voters do not connect to each other: neither can be the leader, so they exchange no
// messages, and the number of connections would grow with the square of the number of control
// VMs. If one of them became a voter and this VM does not know it yet, that one connects and
// this VM answers.
func (c *Control) peers(members []tackreplica.Member) []tackpeer.Peer {
	learners := make(map[tackid.Peer]bool)
	for _, m := range members {
		learners[m.Peer] = !m.Voter
	}
	var list []tackpeer.Peer
	added := map[tackid.Peer]bool{c.cfg.Self: true}
	add := func(p tackid.Peer, address string) {
		if !added[p] {
			added[p] = true
			list = append(list, tackpeer.Peer{ID: p, Address: address, DialBack: learners[c.cfg.Self] && learners[p]})
		}
	}
	for _, m := range members {
		add(m.Peer, m.Address)
	}
	for _, p := range c.cfg.Seeds() {
		add(p, c.linkAddress(p))
	}
	for p := range c.members.known {
		add(p, c.linkAddress(p))
	}
	return list
}

// updateMembers makes the leader take one step towards the wanted membership: every VM that
// asked is a member, the wanted number of them are voters, and a silent voter is replaced by
// an up-to-date learner.
func (c *Control) updateMembers(now tackclock.Time) {
	if now < c.members.checkAt {
		return
	}
	c.members.checkAt = now.Add(memberCheckInterval)
	s := c.status.Load()
	if s.LeaderLease && !c.members.leading {
		c.members.leadingSince = now
	}
	c.members.leading = s.LeaderLease
	c.watchRedundancy(now, s)
	if !s.LeaderLease {
		clear(c.members.joining)
		return
	}
	next, why := c.nextMembers(now, s)
	if next == nil {
		return
	}
	if _, _, err := c.node.ProposeMembership(now, next); err != nil {
		c.log.WithError(err).WithField("change", why).Debug("membership change not proposed")
		return
	}
	c.log.WithField("change", why).Info("membership change proposed")
}

// nextMembers returns an improved membership that differs from the current one in a single
// member, or nil if there is none, and a description of the change.
func (c *Control) nextMembers(now tackclock.Time, s *tackreplica.Status) ([]tackreplica.Member, string) {
	list := slices.Clone(c.node.Members())
	for p, m := range c.members.joining {
		delete(c.members.joining, p)
		if !slices.ContainsFunc(list, func(o tackreplica.Member) bool { return o.Peer == p }) {
			return append(list, m), "add " + string(p)
		}
	}
	voters, silent, learner := c.inspectMembers(now, s)
	switch {
	case learner >= 0 && (voters < c.cfg.Voters || silent >= 0 && voters == c.cfg.Voters):
		list[learner].Voter = true
		return list, "promote " + string(list[learner].Peer)
	case silent >= 0 && voters > c.cfg.Voters:
		return slices.Delete(list, silent, silent+1), "remove " + string(s.Members[silent].Peer)
	}
	for i, m := range s.Members {
		// A voter that was silent may be back after another VM became a voter. An even number
		// of voters tolerates no more failures than the odd number below it.
		if m.Voter && voters > c.cfg.Voters && m.Peer != c.cfg.Self {
			list[i].Voter = false
			return list, "demote " + string(m.Peer)
		}
		if !m.Voter && c.silentFor(now, m) > removeAfter {
			return slices.Delete(list, i, i+1), "forget " + string(m.Peer)
		}
	}
	return nil, ""
}

// inspectMembers counts the voters and returns the indexes of a silent voter and of an
// up-to-date learner, each -1 if there is none.
func (c *Control) inspectMembers(now tackclock.Time, s *tackreplica.Status) (voters, silent, learner int) {
	silent, learner = -1, -1
	for i, m := range s.Members {
		silence := c.silentFor(now, m)
		switch {
		case m.Voter:
			voters++
			if silence > replaceAfter {
				silent = i
			}
		case m.Eligible && silence < tackclock.Second:
			learner = i
		}
	}
	return voters, silent, learner
}

func (c *Control) silentFor(now tackclock.Time, m tackreplica.MemberStatus) tackclock.Duration {
	if m.Peer == c.cfg.Self {
		return 0
	}
	return now.Sub(max(m.LastHeard, c.members.leadingSince))
}

// Member reports whether this VM is a member and knows of a leader.
func (c *Control) Member() bool {
	s := c.status.Load()
	return s.Leader != "" && slices.ContainsFunc(s.Members, func(m tackreplica.MemberStatus) bool {
		return m.Peer == c.cfg.Self
	})
}

// JoinTargets returns the control VMs that this one may ask to add it as a member.
func (c *Control) JoinTargets() []tackid.Peer {
	list := c.cfg.Seeds()
	for _, p := range c.Peers() {
		if !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return slices.DeleteFunc(list, func(p tackid.Peer) bool { return p == c.cfg.Self })
}

// MemberStatuses returns what this VM knows of the members. Only the leader knows more than
// their names.
func (c *Control) MemberStatuses() []tackreplica.MemberStatus {
	return c.status.Load().Members
}
