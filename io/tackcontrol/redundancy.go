package tackcontrol

import (
	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

const (
	// redundancyLogAfter is how long a leader leads before it logs how many voters respond.
	redundancyLogAfter = tackclock.Second
	// leaderlessLogInterval is the interval at which a VM logs that it knows no leader.
	leaderlessLogInterval = 5 * tackclock.Second
	// joinLogInterval is the interval at which requests of one VM to join are logged.
	joinLogInterval = 5 * tackclock.Second
)

// redundancy is what was last logged about the membership.
type redundancy struct {
	voters, current int
	leaderlessSince tackclock.Time // zero while a leader is known
	loggedAt        tackclock.Time
	joinLogged      map[tackid.Peer]tackclock.Time
}

// watchRedundancy logs changes of the number of voters that hold the log and respond, or that
// no leader is known, and updates the gauges.
func (c *Control) watchRedundancy(now tackclock.Time, s *tackreplica.Status) {
	if !s.LeaderLease {
		c.meters.voters.Update(0)
		c.meters.currentVoters.Update(0)
		c.redundancy.voters, c.redundancy.current = 0, 0
		c.watchLeaderless(now, s)
		return
	}
	c.redundancy.leaderlessSince = 0
	voters, current := c.countVoters(now, s)
	c.meters.voters.Update(int64(voters))
	c.meters.currentVoters.Update(int64(current))
	if voters == c.redundancy.voters && current == c.redundancy.current || now.Sub(c.members.leadingSince) < redundancyLogAfter {
		return
	}
	c.redundancy.voters, c.redundancy.current = voters, current
	line := c.log.WithFields(logrus.Fields{
		"term": uint64(s.Term), "members": len(s.Members), "voters": voters, "current": current,
		"wanted": c.cfg.Voters, "losses_borne": current - (voters/2 + 1),
	})
	if current < c.cfg.Voters {
		line.Warn("fewer voters than wanted hold the log and respond")
		return
	}
	line.Info("voters hold the log and respond")
}

// countVoters counts the voters, and those that hold the log and were heard recently.
func (c *Control) countVoters(now tackclock.Time, s *tackreplica.Status) (voters, current int) {
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		voters++
		if m.Eligible && now.Sub(m.LastHeard) <= replaceAfter {
			current++
		}
	}
	return voters, current
}

// watchLeaderless logs at intervals that no leader is known, and to how many of the voters
// that this VM knows it is connected.
func (c *Control) watchLeaderless(now tackclock.Time, s *tackreplica.Status) {
	r := &c.redundancy
	if s.Leader != "" {
		r.leaderlessSince = 0
		return
	}
	if r.leaderlessSince == 0 {
		r.leaderlessSince, r.loggedAt = now, now
	}
	if now.Sub(r.loggedAt) < leaderlessLogInterval {
		return
	}
	r.loggedAt = now
	up := map[tackid.Peer]bool{c.cfg.Self: true}
	for _, l := range c.links.Status() {
		up[l.Peer] = l.Up
	}
	voters, connected := 0, 0
	for _, m := range s.Members {
		if m.Voter {
			voters++
			if up[m.Peer] {
				connected++
			}
		}
	}
	c.log.WithFields(logrus.Fields{
		"since_ms": int64(now.Sub(r.leaderlessSince)), "term": uint64(s.Term), "role": s.Role.String(),
		"may_vote": s.Eligible, "revision": uint64(s.Last), "voters": voters, "connected": connected,
	}).Warn("no leader is known")
}

// logJoin logs that a VM asks to become a member, unless it asked just before. Only a leader
// can add it.
func (c *Control) logJoin(p tackid.Peer) {
	now, s := c.clock.Now(), c.status.Load()
	if at := c.redundancy.joinLogged[p]; at != 0 && now.Sub(at) < joinLogInterval {
		return
	}
	if c.redundancy.joinLogged == nil {
		c.redundancy.joinLogged = make(map[tackid.Peer]tackclock.Time)
	}
	c.redundancy.joinLogged[p] = now
	c.log.WithField("peer", p).WithField("leads", s.LeaderLease).WithField("leader", s.Leader).Info("VM asks to become a member")
}
