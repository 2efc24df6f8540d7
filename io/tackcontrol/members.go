package tackcontrol

import (
	"context"
	"net"
	"slices"
	"strconv"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/io/tackpeer"
)

const (
	// tendEvery spaces out the looks at the members.
	tendEvery = 250 * tackclock.Millisecond
	// replaceAfter is after which silence a voter gives its vote to a learner
	// that has caught up. A successor must count four seconds after its start.
	replaceAfter = 3 * tackclock.Second
	// forgetAfter is after which silence a learner is taken out.
	forgetAfter = 60 * tackclock.Second
)

// members is what the loop keeps for the membership.
type members struct {
	tendAt tackclock.Time
	// joining are VMs that asked to become members, and when.
	joining map[tackid.Peer]tackreplica.Member
	// known are control VMs that were heard of and may be no members.
	known map[tackid.Peer]bool
	since tackclock.Time // when this VM began to lead
	led   bool
}

func addressOf(p tackid.Peer, port int) string {
	return net.JoinHostPort(string(p), strconv.Itoa(port))
}

// Join notes that a control VM asks to become a member.
func (c *Control) Join(p tackid.Peer, dc tackid.DataCentre) {
	c.loop.Post(context.Background(), func() {
		if c.members.joining == nil {
			c.members.joining = make(map[tackid.Peer]tackreplica.Member)
		}
		c.members.joining[p] = tackreplica.Member{Peer: p, DataCentre: dc, Address: c.linkAddress(p)}
	})
}

// Meet has the loop link this VM with control VMs that it was told of.
func (c *Control) Meet(peers []tackid.Peer) {
	c.loop.Post(context.Background(), func() {
		if c.members.known == nil {
			c.members.known = make(map[tackid.Peer]bool)
		}
		changed := false
		for _, p := range peers {
			if !c.members.known[p] {
				c.members.known[p] = true
				changed = true
			}
		}
		if changed {
			c.relink()
		}
	})
}

// relink links this VM with all members, with the seeds, and with those that it was told
// of.
func (c *Control) relink() {
	c.links.SetPeers(c.peers(c.node.Members()))
}

// peers are the control VMs that this one is linked with. Of two members that do not vote
// neither leads, and they have nothing to tell each other: were they connected, the
// connections would grow with the square of the control VMs. One that came to vote behind
// this VM's back connects, and is answered.
func (c *Control) peers(members []tackreplica.Member) []tackpeer.Peer {
	learns := make(map[tackid.Peer]bool)
	for _, m := range members {
		learns[m.Peer] = !m.Voter
	}
	var list []tackpeer.Peer
	added := map[tackid.Peer]bool{c.cfg.Self: true}
	add := func(p tackid.Peer, address string) {
		if !added[p] {
			added[p] = true
			list = append(list, tackpeer.Peer{ID: p, Address: address, Answering: learns[c.cfg.Self] && learns[p]})
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

// tendMembers has the leader take one step towards the membership it wants:
// everyone who asks is a member, the wanted number votes, and a voter that is
// silent gives way to a learner that has caught up.
func (c *Control) tendMembers(now tackclock.Time) {
	if now < c.members.tendAt {
		return
	}
	c.members.tendAt = now.Add(tendEvery)
	s := c.status.Load()
	if !s.LeaderLease {
		c.members.led = false
		return
	}
	if !c.members.led {
		c.members.led, c.members.since = true, now
	}
	next, why := c.nextMembers(now, s)
	if next == nil {
		return
	}
	if _, _, err := c.node.ProposeMembership(now, next); err != nil {
		c.log.WithError(err).WithField("change", why).Debug("membership not changed")
		return
	}
	c.log.WithField("change", why).Info("membership changes")
}

// nextMembers returns the membership that differs in one member and is better,
// or nil.
func (c *Control) nextMembers(now tackclock.Time, s *tackreplica.Status) ([]tackreplica.Member, string) {
	list := slices.Clone(c.node.Members())
	for p, m := range c.members.joining {
		delete(c.members.joining, p)
		if !slices.ContainsFunc(list, func(o tackreplica.Member) bool { return o.Peer == p }) {
			return append(list, m), "add " + string(p)
		}
	}
	voters, silent, learner := c.survey(now, s)
	switch {
	case learner >= 0 && (voters < c.cfg.Voters || silent >= 0 && voters == c.cfg.Voters):
		list[learner].Voter = true
		return list, "promote " + string(list[learner].Peer)
	case silent >= 0 && voters > c.cfg.Voters:
		return slices.Delete(list, silent, silent+1), "remove " + string(s.Members[silent].Peer)
	}
	for i, m := range s.Members {
		// A voter that was silent may have come back after another got its
		// vote. An even number of voters bears no more losses.
		if m.Voter && voters > c.cfg.Voters && m.Peer != c.cfg.Self {
			list[i].Voter = false
			return list, "demote " + string(m.Peer)
		}
		if !m.Voter && c.silentFor(now, m) > forgetAfter {
			return slices.Delete(list, i, i+1), "forget " + string(m.Peer)
		}
	}
	return nil, ""
}

// survey counts the voters and finds one that is silent and a learner that is
// up to date; -1 where there is none.
func (c *Control) survey(now tackclock.Time, s *tackreplica.Status) (voters, silent, learner int) {
	silent, learner = -1, -1
	for i, m := range s.Members {
		quiet := c.silentFor(now, m)
		switch {
		case m.Voter:
			voters++
			if quiet > replaceAfter {
				silent = i
			}
		case m.Eligible && quiet < tackclock.Second:
			learner = i
		}
	}
	return voters, silent, learner
}

func (c *Control) silentFor(now tackclock.Time, m tackreplica.MemberStatus) tackclock.Duration {
	if m.Peer == c.cfg.Self {
		return 0
	}
	return now.Sub(max(m.LastHeard, c.members.since))
}

// Member reports whether this VM is a member and hears a leader.
func (c *Control) Member() bool {
	s := c.status.Load()
	return s.Leader != "" && slices.ContainsFunc(s.Members, func(m tackreplica.MemberStatus) bool {
		return m.Peer == c.cfg.Self
	})
}

// Others are the control VMs that this one may ask to take it in.
func (c *Control) Others() []tackid.Peer {
	list := c.cfg.Seeds()
	for _, p := range c.Peers() {
		if !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return slices.DeleteFunc(list, func(p tackid.Peer) bool { return p == c.cfg.Self })
}

// Standing returns what this VM knows of the members; only the leader knows
// more than their names.
func (c *Control) Standing() []tackreplica.MemberStatus {
	return c.status.Load().Members
}
