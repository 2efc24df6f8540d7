package tackforward

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackwork"
)

const (
	// watchEvery spaces out the looks for a leader, quietAfter is after which
	// time without an answer of one a look is made. Traffic makes most needless.
	watchEvery = 200 * time.Millisecond
	quietAfter = 400 * tackclock.Millisecond
	// lookAtOnce bounds how many control VMs one look asks while the leader is not
	// known. Each that is within reach names it.
	lookAtOnce = 5
	// lookHedge is how long the leader may take to answer a look before others are asked
	// as well. One that lost its power answers nothing.
	lookHedge = 100 * time.Millisecond
	// cutOffAfter is after which time without a leader a VM is cut off. An
	// election takes one to two seconds, and callers are better off waiting for
	// its end than being sent away.
	cutOffAfter = 2 * tackclock.Second
	// lookLimit bounds one question of a look.
	lookLimit = 400 * time.Millisecond
	// minorityMeans is how many looks in a row must find most control VMs out of reach
	// for a VM to be cut off: no election among those within reach brings a leader.
	minorityMeans = 2
)

// CutOff reports that no control VM that leads has been within reach for a
// while, though they were asked for one, or that none leads and most control VMs
// are out of reach. Requests are then refused at once: a
// caller that waits here loses the time in which another VM could serve it.
// Readiness follows it, so that the balancer sends new connections elsewhere.
func (c *Client) CutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff
}

// Ready reports whether new connections may come here. A VM that has started must have
// reached half of the control VMs first: one that starts behind a partition would draw
// its data centre's callers to VMs of which none serves.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready && !c.cutOff
}

// Watch looks for the leader while no request does, until ctx ends.
func (c *Client) Watch(ctx context.Context) error {
	c.mu.Lock()
	c.heard = c.clock.Now()
	c.mu.Unlock()
	c.look(ctx, 0)
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if quiet := c.quiet(); quiet > quietAfter {
			c.look(ctx, quiet)
		}
	}
}

// quiet is how long no leader has answered.
func (c *Client) quiet() tackclock.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.heard)
}

// look asks the leader whether it leads, and others who does if none answers or none is
// known. quiet is how long none had answered before. A VM that was frozen meanwhile must
// look again before it takes itself for cut off.
func (c *Client) look(ctx context.Context, quiet tackclock.Duration) {
	most := true
	if !c.lookAtLeader(ctx) {
		most = c.lookAtSome(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if most {
		c.minority = 0
		c.markReady()
	} else {
		c.minority++
	}
	silent := c.clock.Now().Sub(c.heard) >= quiet // also after the look
	if silent && (quiet > cutOffAfter || c.minority >= minorityMeans) {
		c.setCutOff(true)
	}
}

// Leader is the control VM that is taken for the leader; empty if none is.
func (c *Client) Leader() tackid.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// lookAtLeader reports whether the leader, if one is known, soon says that it leads.
func (c *Client) lookAtLeader(ctx context.Context) bool {
	leader := c.Leader()
	if leader == "" {
		return false
	}
	leads := make(chan bool, 1)
	go func() {
		_, yes := c.lookAt(ctx, leader)
		leads <- yes
	}()
	select {
	case yes := <-leads:
		return yes
	case <-time.After(lookHedge):
		return false
	}
}

// lookAtSome asks some control VMs at the same time who leads, and reports whether half of
// them have answered; false if none is known. Those that are cut off answer nothing for as
// long as a call may take, so one after the other would find a leader seconds late.
//
// Load pattern: the leader is lost, and hundreds of entry VMs look for the next one in the
// same instant. Were each to ask all control VMs, the calls would grow with the product of
// both.
func (c *Client) lookAtSome(ctx context.Context) bool {
	peers := c.order()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !c.inMinority() { // a sample of many may miss the majority, all of them do not
		peers = peers[:min(len(peers), lookAtOnce)]
	}
	var group sync.WaitGroup
	var reached atomic.Int32
	for _, p := range peers {
		group.Go(func() {
			if answered, _ := c.lookAt(ctx, p); answered {
				reached.Add(1)
			}
		})
	}
	group.Wait()
	return len(peers) > 0 && 2*int(reached.Load()) >= len(peers)
}

// inMinority reports that the last look found most control VMs out of reach.
func (c *Client) inMinority() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.minority > 0
}

// lookAt asks a control VM who leads, and reports whether it has answered, and leads itself.
func (c *Client) lookAt(ctx context.Context, p tackid.Peer) (answered, leads bool) {
	ctx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	var a tackwork.Answer
	if err := c.post(ctx, p, leaderPath, nil, &a); err != nil {
		c.log.WithField("peer", p).WithError(err).Debug("control VM not reached")
		return false, false
	}
	if a.NotLeader {
		p = a.Leader
	}
	c.follow(p, a)
	return true, !a.NotLeader
}

// markReady notes that the VM is ready for the first time. The caller holds mu.
func (c *Client) markReady() {
	if !c.ready {
		c.ready = true
		c.log.WithField("known", len(c.known)).Info("control VMs reached")
	}
}

// setCutOff notes a change. The caller holds mu.
func (c *Client) setCutOff(cutOff bool) {
	if c.cutOff == cutOff {
		return
	}
	c.cutOff = cutOff
	line := c.log.WithField("known", len(c.known))
	if cutOff {
		line.WithField("silent_ms", int64(c.clock.Now().Sub(c.heard))).Warn("cut off from the leader")
		return
	}
	line.Info("leader within reach again")
}
