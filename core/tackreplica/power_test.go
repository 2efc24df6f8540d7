package tackreplica

import (
	"fmt"
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// Guards against the loss of an acknowledged command when some VMs lose their disks right
// after the acknowledgement, as many as the system tolerates, and all others lose power at
// the same moment, learners included. Two more voters were cut off and missed the command,
// so only one remaining disk has it and everything in memory is gone. That disk must
// prevail without the votes of the emptied voters, which must be eligible again before the
// next loss.
func TestDisksAndPowerLostTogether(t *testing.T) {
	const lossesBorne = 2 // of five voters
	voters := []tackid.Peer{"a", "b", "c", "d", "e"}
	cfg := Config{KeepEntries: 5}
	for _, p := range voters {
		cfg.Members = append(cfg.Members, Member{Peer: p, Voter: true})
	}
	cfg.Members = append(cfg.Members, Member{Peer: "f"})
	for first := range voters {
		for second := first + 1; second < len(voters); second++ {
			t.Run(fmt.Sprint(voters[first], voters[second]), func(t *testing.T) {
				c := newClusterOf(t, uint64(10*first+second), cfg, append(voters, "f")...)
				c.run(2 * recoveryTime)
				for range lossesBorne {
					c.loseDisksAndPower(t, voters[first], voters[second])
				}
			})
		}
	}
}

// recoveryTime is long enough for an election and for the emptied disks to be filled again.
const recoveryTime = 10 * tackclock.Second

// loseDisksAndPower wipes the disks of some VMs and cuts the power of all others as soon as
// a command is acknowledged, and checks that it is applied everywhere after the restart.
func (c *cluster) loseDisksAndPower(t *testing.T, emptied ...tackid.Peer) {
	t.Helper()
	leader := c.waitForLeader()
	behind := c.behind(leader, emptied)
	for _, v := range behind {
		c.cutOff(v, true)
	}
	i, _, err := leader.propose()
	if err != nil {
		t.Fatal(err)
	}
	for waited := 0; leader.applied < i; waited++ {
		c.run(1)
		if waited > 1000 {
			t.Fatalf("command %d is not acknowledged", i)
		}
	}
	for _, v := range c.vms {
		v.kill()
	}
	for _, p := range emptied {
		c.vm(p).disk = Stored{}
	}
	c.run(tackclock.Second)
	for _, v := range behind {
		c.cutOff(v, false)
	}
	for _, v := range c.vms {
		v.start()
	}
	c.run(2 * recoveryTime)
	for _, v := range c.vms {
		if v.applied < i {
			t.Errorf("%s has applied %d, but %d was acknowledged", v.peer, v.applied, i)
		}
		if !v.node.hard.Eligible {
			t.Errorf("%s is not eligible yet", v.peer)
		}
	}
}

// behind returns two voters that are neither emptied nor the leader; they miss the next
// acknowledged command.
func (c *cluster) behind(leader *fakeVM, emptied []tackid.Peer) []*fakeVM {
	var left []*fakeVM
	for _, v := range c.vms {
		if v != leader && !slices.Contains(emptied, v.peer) && v.peer != "f" {
			left = append(left, v)
		}
	}
	return left[:2]
}
