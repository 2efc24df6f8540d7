package tackcontrol_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"auburntack/core/tackid"
	"auburntack/core/tackwork"
)

// follower returns a VM that does not lead.
func (c *cluster) follower() tackid.Peer {
	c.t.Helper()
	leader := c.leader()
	for p := range c.running {
		if p != leader {
			return p
		}
	}
	c.t.Fatal("there is no follower")
	return ""
}

// emptyFolder stops a VM and removes its folder.
func (c *cluster) emptyFolder(p tackid.Peer) {
	c.t.Helper()
	c.stop(p)
	if err := os.RemoveAll(filepath.Join(c.folder, string(p))); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) isMember(p tackid.Peer) bool {
	for _, m := range c.running[c.leader()].control.MemberStatuses() {
		if m.Peer == p {
			return true
		}
	}
	return false
}

// Guards against a new VM that is never added because none of its seeds leads, so that the
// loss of further voters takes the majority.
func TestNewVMIsAddedThoughNoSeedLeads(t *testing.T) {
	c := newRunningCluster(t)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	added := c.peer(4)
	c.seedsOf[added] = []tackid.Peer{c.follower()}
	c.start(added, false)
	c.await("the new VM a member", func() bool { return c.isMember(added) })
	for _, p := range c.seeds {
		if p != c.leader() {
			c.stop(p)
			c.await("it replaces the lost voter", func() bool { return c.votes(added) && c.voters() == len(c.seeds) })
		}
		if len(c.running) == 2 {
			break
		}
	}
	c.assertVerdict(tackwork.Lookup, jobA, tackwork.Done)
}

// Guards against a VM that lost its folder and never takes part again because its seeds are
// gone: it refused the connections of the members, which it did not know.
func TestEmptiedVMTakesPartAgainThoughItsSeedsAreGone(t *testing.T) {
	c := newRunningCluster(t)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	emptied := c.follower()
	c.emptyFolder(emptied)
	c.seedsOf[emptied] = []tackid.Peer{emptied, c.peer(9)}
	c.start(emptied, false)
	c.await("it takes part in decisions", func() bool { return c.running[emptied].control.Member() && c.votes(emptied) })
	c.stop(c.leader())
	c.assertVerdict(tackwork.Lookup, jobA, tackwork.Done)
}

// Guards against members that are gone for good: a VM that asked a follower to be added, and
// is gone since, is added once that follower leads.
func TestVMThatIsGoneIsNotAddedByALaterLeader(t *testing.T) {
	c := newRunningCluster(t)
	first, gone := c.leader(), c.peer(8)
	for p, vm := range c.running {
		if p != first {
			vm.control.Join(gone, "")
		}
	}
	time.Sleep(3 * time.Second)
	c.stop(first)
	second := c.leader()
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if second == c.leader() && c.isMember(gone) {
			t.Fatalf("%s added %s, which asked to join before it led and is gone", second, gone)
		}
	}
}

// Guards against members that need their seeds: all VMs restart at the same time, and no
// settings file names one.
func TestMembersFindEachOtherWithoutSeeds(t *testing.T) {
	c := newRunningCluster(t)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	for _, p := range c.seeds {
		c.stop(p)
		c.seedsOf[p] = nil
	}
	for _, p := range c.seeds {
		c.start(p, false)
	}
	c.assertVerdict(tackwork.Lookup, jobA, tackwork.Done)
}
