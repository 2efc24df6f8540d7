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
	// watchInterval is the interval between two checks for whether the leader must be probed,
	// which is when no leader has answered for probeAfter. With traffic most probes are
	// unnecessary.
	watchInterval = 200 * time.Millisecond
	probeAfter    = 400 * tackclock.Millisecond
	// maxProbes bounds the number of control VMs that one probe calls while the leader is not
	// known. Each one that is reachable names it.
	maxProbes = 5
	// hedgeDelay is how long the leader may take to answer a probe before others are called
	// as well. A leader that lost power does not answer at all.
	hedgeDelay = 100 * time.Millisecond
	// cutOffAfter is how long a VM must be without a leader to be cut off. An election takes
	// one to two seconds, and waiting for its end is better for callers than a refusal.
	cutOffAfter = 2 * tackclock.Second
	// probeTimeout bounds one call of a probe.
	probeTimeout = 400 * time.Millisecond
	// maxMinorityProbes is the number of consecutive probes with most control VMs unreachable
	// after which a VM is cut off: the reachable ones cannot elect a leader.
	maxMinorityProbes = 2
)

// CutOff reports that no leader has been reachable for a while although control VMs were
// asked for it, or that there is no leader and most control VMs are unreachable. Requests are
// then refused at once: a caller that waits here loses time in which another VM could serve
// it. Readiness depends on it, so that the load balancer sends new connections elsewhere.
func (c *Client) CutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff
}

// Ready reports whether this VM may receive new connections. After its start a VM must first
// have reached half of the control VMs: one that starts behind a partition would attract the
// callers of its data centre to VMs that cannot serve them.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready && !c.cutOff
}

// Watch probes for the leader while there are no requests, until ctx ends.
func (c *Client) Watch(ctx context.Context) error {
	c.mu.Lock()
	c.lastHeard = c.clock.Now()
	c.mu.Unlock()
	c.probe(ctx, 0)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if silence := c.sinceHeard(); silence > probeAfter {
			c.probe(ctx, silence)
		}
	}
}

// sinceHeard returns the time since a leader answered last.
func (c *Client) sinceHeard() tackclock.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.lastHeard)
}

// probe asks the leader whether it still is, and other control VMs which one is if it does
// not answer or is not known. silence is the time without an answer before the probe. A VM
// whose process was paused during the probe must probe again before it counts as cut off.
func (c *Client) probe(ctx context.Context, silence tackclock.Duration) {
	majority := true
	if !c.probeLeader(ctx) {
		majority = c.probeSome(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if majority {
		c.minority = 0
		c.markReady()
	} else {
		c.minority++
	}
	silent := c.clock.Now().Sub(c.lastHeard) >= silence // no answer during the probe either
	if silent && (silence > cutOffAfter || c.minority >= maxMinorityProbes) {
		c.setCutOff(true)
	}
}

// Leader returns the control VM that this client considers the leader; empty if there is
// none.
func (c *Client) Leader() tackid.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// probeLeader reports whether the leader, if one is known, confirms within hedgeDelay that it
// is the leader.
func (c *Client) probeLeader(ctx context.Context) bool {
	leader := c.Leader()
	if leader == "" {
		return false
	}
	leads := make(chan bool, 1)
	go func() {
		_, yes := c.probePeer(ctx, leader)
		leads <- yes
	}()
	select {
	case yes := <-leads:
		return yes
	case <-time.After(hedgeDelay):
		return false
	}
}

// probeSome asks several control VMs concurrently which one is the leader, and reports
// whether at least half of them answered; false if none is known. A partitioned VM does not
// answer before the call times out, so calling them one after the other would find a leader
// seconds late.
//
// Load pattern: the leader is lost, and hundreds of entry VMs search for the next one at the
// same time. If each called all control VMs, the number of calls would grow with the product
// of both.
func (c *Client) probeSome(ctx context.Context) bool {
	peers := c.callOrder()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !c.inMinority() { // a sample may miss the majority, so then all are called
		peers = peers[:min(len(peers), maxProbes)]
	}
	var group sync.WaitGroup
	var reached atomic.Int32
	for _, p := range peers {
		group.Go(func() {
			if answered, _ := c.probePeer(ctx, p); answered {
				reached.Add(1)
			}
		})
	}
	group.Wait()
	return len(peers) > 0 && 2*int(reached.Load()) >= len(peers)
}

// inMinority reports that most control VMs were unreachable in the last probe.
func (c *Client) inMinority() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.minority > 0
}

// probePeer asks a control VM which one is the leader. It reports whether the VM answered and
// whether it is the leader itself.
func (c *Client) probePeer(ctx context.Context, p tackid.Peer) (answered, leads bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var a tackwork.Answer
	if err := c.post(ctx, p, leaderPath, nil, &a); err != nil {
		c.log.WithField("peer", p).WithError(err).Debug("control VM not reached")
		return false, false
	}
	if a.NotLeader {
		p = a.Leader
	}
	c.recordAnswer(p, a)
	return true, !a.NotLeader
}

// markReady records that the VM has become ready. The caller holds mu.
func (c *Client) markReady() {
	if !c.ready {
		c.ready = true
		c.log.WithField("known", len(c.known)).Info("control VMs reached")
	}
}

// setCutOff sets cutOff and logs a change. The caller holds mu.
func (c *Client) setCutOff(cutOff bool) {
	if c.cutOff == cutOff {
		return
	}
	c.cutOff = cutOff
	line := c.log.WithField("known", len(c.known))
	if cutOff {
		line.WithField("silent_ms", int64(c.clock.Now().Sub(c.lastHeard))).Warn("cut off from the leader")
		return
	}
	line.Info("leader reachable again")
}
