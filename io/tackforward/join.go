package tackforward

import (
	"context"
	"slices"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// joinInterval is the interval at which a control VM without a leader asks the others to
	// add it as a member.
	joinInterval = 500 * time.Millisecond
	// joinLogInterval is the interval at which such a VM logs that it is not a member.
	joinLogInterval = 5 * tackclock.Second
)

// Joiner is a control VM that is to be a member.
type Joiner interface {
	// Member reports whether the VM is a member and knows of a leader.
	Member() bool
	// JoinTargets returns the control VMs that may be asked.
	JoinTargets() []tackid.Peer
	// AddPeers tells the VM of other control VMs.
	AddPeers(peers []tackid.Peer)
}

// KeepMember asks the other control VMs to add vm, whose name is self, whenever it is not a
// member, until ctx ends.
func (c *Client) KeepMember(ctx context.Context, vm Joiner, self tackid.Peer, dc tackid.DataCentre) error {
	var since, logged tackclock.Time
	for ctx.Err() == nil {
		now := c.clock.Now()
		if vm.Member() {
			if logged != 0 {
				c.log.WithField("waited_ms", int64(now.Sub(since))).Info("member, and a leader is known")
			}
			since, logged = 0, 0
		} else {
			if since == 0 {
				since = now
			}
			answered := c.askToJoin(ctx, vm, self, dc)
			if now.Sub(max(since, logged)) >= joinLogInterval {
				logged = now
				c.log.WithField("waited_ms", int64(now.Sub(since))).WithField("asked", vm.JoinTargets()).
					WithField("answered", answered).Warn("not a member, or no leader is known")
			}
		}
		select {
		case <-time.After(joinInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// askToJoin asks the targets, and the VMs named in their answers, until the leader was asked:
// no other VM can add a member. It returns those that answered.
func (c *Client) askToJoin(ctx context.Context, vm Joiner, self tackid.Peer, dc tackid.DataCentre) []tackid.Peer {
	var answered []tackid.Peer
	asked := map[tackid.Peer]bool{self: true, "": true}
	for queue := vm.JoinTargets(); len(queue) > 0 && ctx.Err() == nil; {
		p := queue[0]
		queue = queue[1:]
		if asked[p] {
			continue
		}
		asked[p] = true
		j, err := c.join(ctx, p, self, dc)
		if err != nil {
			c.log.WithError(err).WithField("peer", p).Debug("join request failed")
			continue
		}
		answered = append(answered, p)
		vm.AddPeers(j.Control)
		if j.Leader == p {
			break
		}
		queue = slices.Concat([]tackid.Peer{j.Leader}, queue, j.Control)
	}
	return answered
}
