package tackcontrol_test

import (
	"testing"

	"auburntack/core/tackid"
	"auburntack/core/tackwork"
)

// newRelayingCluster returns control VMs whose workers all report to relays.
func newRelayingCluster(t *testing.T) *cluster {
	c := newCluster(t)
	c.relayThreshold = 1
	for _, p := range c.seeds {
		c.start(p, true)
	}
	c.putCatalog()
	return c
}

// redirected makes a worker report to the leader until the leader redirects it to a relay,
// and to the relay from then on.
func (c *cluster) redirected(w *worker) tackid.Peer {
	c.t.Helper()
	leader := c.leader()
	w.control = c.running[leader].control
	c.await("the worker is redirected to a relay", func() bool {
		w.heartbeat()
		return w.nextPeer != "" && w.nextPeer != leader
	})
	w.control = c.running[w.nextPeer].control
	c.await("the relay accepts its reports", w.relayed)
	return w.nextPeer
}

func TestWorkersReportToRelays(t *testing.T) {
	c := newRelayingCluster(t)
	w := &worker{id: "i-1"}
	relay := c.redirected(w)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	c.await("the job complete", func() bool {
		w.heartbeat()
		return c.request(tackwork.Lookup, jobA).Progress == tackwork.Complete
	})
	if w.nextPeer != relay {
		t.Errorf("redirected to %s, want to stay with %s", w.nextPeer, relay)
	}
}

// Guards against workers that must search for the next leader: when the leader is lost, their
// relay gets the answers from the next one.
func TestRelayFollowsTheLeader(t *testing.T) {
	c := newRelayingCluster(t)
	w := &worker{id: "i-1"}
	relay := c.redirected(w)
	c.stop(c.leader())
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	c.await("the job complete", func() bool {
		w.heartbeat()
		return c.request(tackwork.Lookup, jobA).Progress == tackwork.Complete
	})
	// The relay itself may have become the leader.
	if _, leads := c.running[relay].control.Catalog(); !leads && w.nextPeer != relay {
		t.Errorf("redirected to %s, want to stay with %s", w.nextPeer, relay)
	}
}

// Guards against relays that keep their workers behind a partition: a relay that has not
// heard from a leader for a while must redirect them.
func TestRelayWithoutALeaderGivesUp(t *testing.T) {
	c := newRelayingCluster(t)
	w := &worker{id: "i-1"}
	relay := c.redirected(w)
	for _, p := range c.seeds {
		if p != relay {
			c.stop(p)
		}
	}
	c.await("the worker is redirected", func() bool { return !w.relayed() })
}
