package tackcontrol

import (
	"fmt"
	"testing"

	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
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
