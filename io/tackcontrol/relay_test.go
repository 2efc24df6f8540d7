package tackcontrol_test

import (
	"testing"

	"auburntack/core/tackid"
	"auburntack/core/tackwork"
)

// newRelaying is control VMs whose workers all report to relays.
func newRelaying(t *testing.T) *cluster {
	c := newCluster(t)
	c.relayFrom = 1
	for _, p := range c.seeds {
		c.start(p, true)
	}
	c.putCatalog()
	return c
}

// sentAway has a worker report to the leader until it is told to ask a relay, which it
// does from then on.
func (c *cluster) sentAway(w *worker) tackid.Peer {
	c.t.Helper()
	leader := c.leader()
	w.control = c.running[leader].control
	c.await("the worker is sent to a relay", func() bool {
		w.beat()
		return w.ask != "" && w.ask != leader
	})
	w.control = c.running[w.ask].control
	c.await("the relay takes its reports", w.relayed)
	return w.ask
}

func TestWorkersReportToRelays(t *testing.T) {
	c := newRelaying(t)
	w := &worker{id: "i-1"}
	relay := c.sentAway(w)
	c.assertAsk(tackwork.Submit, jobA, tackwork.Done)
	c.await("the job complete", func() bool {
		w.beat()
		return c.ask(tackwork.Lookup, jobA).Progress == tackwork.Complete
	})
	if w.ask != relay {
		t.Errorf("told to ask %s, want to stay with %s", w.ask, relay)
	}
}

// Guards against workers that must look for the next leader: the leader is lost, and their
// relay has the next one answer.
func TestRelayFollowsTheLeader(t *testing.T) {
	c := newRelaying(t)
	w := &worker{id: "i-1"}
	relay := c.sentAway(w)
	c.stop(c.leader())
	c.assertAsk(tackwork.Submit, jobA, tackwork.Done)
	c.await("the job complete", func() bool {
		w.beat()
		return c.ask(tackwork.Lookup, jobA).Progress == tackwork.Complete
	})
	// The relay itself may have come to lead.
	if _, leads := c.running[relay].control.Catalog(); !leads && w.ask != relay {
		t.Errorf("told to ask %s, want to stay with %s", w.ask, relay)
	}
}

// Guards against relays that keep workers to themselves behind a partition: one that has
// not heard a leader for a while sends them away.
func TestRelayWithoutALeaderGivesUp(t *testing.T) {
	c := newRelaying(t)
	w := &worker{id: "i-1"}
	relay := c.sentAway(w)
	for _, p := range c.seeds {
		if p != relay {
			c.stop(p)
		}
	}
	c.await("the worker is sent away", func() bool { return !w.relayed() })
}
