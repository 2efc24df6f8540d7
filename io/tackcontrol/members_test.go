package tackcontrol

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
)

func controlVM(n int) tackid.Peer {
	return tackid.Peer(fmt.Sprintf("10.0.0.%d", n))
}

// connects returns the number of control VMs to which the control VM with number self
// connects, if the first voters of all members vote.
func connects(self, members, voters int) int {
	seeds := func() []tackid.Peer { return []tackid.Peer{controlVM(0), controlVM(1), controlVM(2)} }
	c := &Control{cfg: Config{Self: controlVM(self), Seeds: seeds}}
	var list []tackreplica.Member
	for n := range members {
		list = append(list, tackreplica.Member{Peer: controlVM(n), Voter: n < voters})
	}
	n := 0
	for _, p := range c.peers(list) {
		if !p.DialBack {
			n++
		}
	}
	return n
}

// Guards against a number of links that grows with the square of the number of control VMs:
// what a VM without a vote connects to must not depend on how many there are.
func TestLinksBoundOfVMsWithoutAVote(t *testing.T) {
	const voters = 5
	for _, members := range []int{6, 24, 96} {
		if got := connects(members-1, members, voters); got != voters {
			t.Errorf("a VM without a vote among %d connects to %d, want the %d voters", members, got, voters)
		}
		if got := connects(0, members, voters); got != members-1 {
			t.Errorf("a voter among %d connects to %d, want all others", members, got)
		}
	}
}

func TestLinksBeforeMembership(t *testing.T) {
	seeds := func() []tackid.Peer { return []tackid.Peer{controlVM(0), controlVM(1)} }
	c := &Control{cfg: Config{Self: controlVM(9), Seeds: seeds}}
	for _, p := range c.peers([]tackreplica.Member{{Peer: controlVM(0), Voter: true}, {Peer: controlVM(5)}}) {
		if p.DialBack {
			t.Errorf("a VM that is not a member yet does not connect to %s", p.ID)
		}
	}
}

// Guards against a VM that received the members with a snapshot and has no link to them, so
// that it cannot answer one of them that leads later.
func TestVMIsLinkedWithTheMembersOfASnapshot(t *testing.T) {
	c := newTestControl(t, controlVM(0))
	var state tackwork.State
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	members := []tackreplica.Member{
		{Peer: controlVM(0), Voter: true}, {Peer: controlVM(4), Voter: true}, {Peer: controlVM(5), Voter: true}, {Peer: controlVM(9)},
	}
	c.node.Step(c.clock.Now(), tackreplica.Message{
		Kind: tackreplica.MessageChunk, From: controlVM(0), To: controlVM(9), Term: 2,
		Chunk: &tackreplica.Chunk{Index: 10, Term: 1, Size: len(data), Data: data, Members: members},
	})
	if err := c.processAll(); err != nil {
		t.Fatal(err)
	}
	linked := c.linked()
	for _, m := range members[:3] {
		if !linked[m.Peer] {
			t.Errorf("no link to %s, links to %v", m.Peer, linked)
		}
	}
}

// Guards against a VM without its folder that ends its link to the leader while it reads the
// log from the beginning: the first members do not include the present leader.
func TestVMThatReadsOldMembersStaysLinkedWithTheLeader(t *testing.T) {
	c := newTestControl(t, controlVM(0))
	leader := controlVM(7)
	data, err := tackcbor.Marshal([]tackreplica.Member{{Peer: controlVM(0), Voter: true}, {Peer: controlVM(9), Voter: true}})
	if err != nil {
		t.Fatal(err)
	}
	c.members.known = map[tackid.Peer]bool{leader: true}
	c.node.Step(c.clock.Now(), tackreplica.Message{
		Kind: tackreplica.MessageAppend, From: leader, To: c.cfg.Self, Term: 2, Commit: 1,
		Entries: []tackreplica.Entry{{Index: 1, Term: 1, Kind: tackreplica.EntryMembership, Data: data}},
	})
	if err := c.processAll(); err != nil {
		t.Fatal(err)
	}
	if linked := c.linked(); !linked[leader] {
		t.Errorf("no link to the leader, links to %v", linked)
	}
}

// newTestControl returns a control VM that does not serve.
func newTestControl(t *testing.T, seeds ...tackid.Peer) *Control {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := New(Config{
		Self: controlVM(9), Seeds: func() []tackid.Peer { return seeds }, Voters: 3,
		Folder: t.TempDir(), Clock: new(tackclock.Clock), Logger: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// linked returns the VMs with which c is linked.
func (c *Control) linked() map[tackid.Peer]bool {
	linked := make(map[tackid.Peer]bool)
	for _, l := range c.links.Status() {
		linked[l.Peer] = true
	}
	return linked
}
