package tackcontrol_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackroom"
	"auburntack/core/tackwork"
	"auburntack/io/tackcontrol"
)

// handOverBeforeApply hands leadership over and returns the former leader, which applies
// nothing until unlock is called. Each attempt is made with the VM that leads then.
func (c *cluster) handOverBeforeApply() (former *tackcontrol.Control, unlock func()) {
	c.t.Helper()
	var leader tackid.Peer
	c.await("a hand-over", func() (ok bool) {
		leader = c.leader()
		former = c.running[leader].control
		unlock, ok = former.HandOverBeforeApply()
		return ok
	})
	c.await("another VM leads", func() bool {
		for p, vm := range c.running {
			if p != leader && !vm.control.LeaderStatus().NotLeader {
				return true
			}
		}
		return false
	})
	return former, unlock
}

// Guards against items that run twice: a VM that had handed leadership over answered
// heartbeats by the lease that it had given up, until it had applied its log.
func TestNoHeartbeatIsAnsweredAfterAHandOver(t *testing.T) {
	c := newRunningCluster(t)
	former, unlock := c.handOverBeforeApply()
	if !former.LeaderStatus().NotLeader {
		t.Error("the former leader says that it leads while another does")
	}
	answered := make(chan error)
	go func() {
		_, err := former.Heartbeat(context.Background(), &tackdispatch.Report{
			Worker: "i-1", VM: "m-1", Service: "names-api", Sequence: 1, Capacity: tackroom.Resources{MilliCores: 4000, MemoryMB: 4000},
		})
		answered <- err
	}()
	unlock()
	if err := <-answered; !errors.As(err, new(*tackcontrol.NotLeaderError)) {
		t.Errorf("the former leader answers a heartbeat, error %v", err)
	}
}

// Guards against a planned stop that drops the message which names the next leader: the stop
// went on once the status said that this VM no longer leads.
func TestHandOverReturnsAfterTheTransferHasLeft(t *testing.T) {
	c := newRunningCluster(t)
	former, unlock := c.handOverBeforeApply()
	var unlocked atomic.Bool
	early := make(chan bool)
	go func() {
		former.HandOver(context.Background())
		early <- !unlocked.Load()
	}()
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	unlocked.Store(true)
	unlock()
	if <-early {
		t.Error("HandOver returned before the round that sends the transfer was over")
	}
}
