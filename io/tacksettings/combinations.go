package tacksettings

import (
	"fmt"
	"net/netip"

	"auburntack/core/tackid"
)

// checkCombinations reports settings that are valid individually but not in combination.
// Settings with problems of their own are skipped, since those are already reported.
func (r *reader) checkCombinations() {
	r.checkReplica()
	r.checkPeers()
	r.checkListen()
	r.checkTimes()
	r.checkStop()
}

// checkReplica rejects a voter without a data folder. It would forget its vote at a
// restart and could vote twice in one term, which could give two leaders.
func (r *reader) checkReplica() {
	if r.valid("state", "folder", "replica") && r.settings.State.Replica && r.settings.State.Folder == "" {
		r.add("state", "replica", "a replica needs a folder", "allowed is false, or a state.folder")
	}
}

func (r *reader) checkPeers() {
	addresses := map[string]tackid.Peer{r.settings.Listen.Peer: r.settings.VM.ID}
	for _, p := range r.settings.Peers {
		section := familyPeer + "." + string(p.ID)
		if p.ID == r.settings.VM.ID {
			r.add(section, "", "the VM itself is listed as a peer", "allowed are the other VMs only")
			continue
		}
		if p.Address == "" {
			continue
		}
		if other, used := addresses[p.Address]; used {
			r.add(section, "address", fmt.Sprintf("%s is also the address of %s", p.Address, other), "allowed is an address of its own")
		}
		addresses[p.Address] = p.ID
	}
}

func (r *reader) checkListen() {
	l := r.settings.Listen
	type port struct{ key, address string }
	ports := []port{{"caller", l.Caller}, {"operator", l.Operator}, {"peer", l.Peer}}
	for i, p := range ports {
		for _, q := range ports[:i] {
			if overlap(p.address, q.address) {
				r.add("listen", p.key, fmt.Sprintf("%s is already used by listen.%s", p.address, q.key), "allowed is another port")
			}
		}
	}
}

// overlap reports whether one process cannot listen on both addresses.
func overlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// checkTimes rejects a lease that is not shorter than the election timeout: a leader on
// the wrong side of a network partition could still answer reads under its lease after
// another leader was elected, and operators would see a setting revert.
func (r *reader) checkTimes() {
	t := r.settings.Replica
	if !r.valid("replica", "lease_ms", "election_ms", "heartbeat_ms") {
		return
	}
	if t.Lease >= t.Election {
		r.add("replica", "lease_ms", fmt.Sprintf("%d is not below election_ms, which is %d", t.Lease, t.Election),
			"allowed is less than election_ms")
	}
	if t.Heartbeat*2 > t.Lease {
		r.add("replica", "heartbeat_ms", fmt.Sprintf("%d leaves no second heartbeat within lease_ms, which is %d", t.Heartbeat, t.Lease),
			"allowed is at most half of lease_ms")
	}
}

func (r *reader) checkStop() {
	s := r.settings.Stop
	if r.valid("stop", "linger_ms", "deadline_ms") && s.Linger >= s.Deadline {
		r.add("stop", "linger_ms", fmt.Sprintf("%d is not below deadline_ms, which is %d", s.Linger, s.Deadline),
			"allowed is less than deadline_ms")
	}
}
