package tackreplica

import "auburntack/core/tackid"

// Applied tells the node that the state machine has applied entries or a snapshot up to i,
// and that nothing uses an older state any more. The next Ready reports this to the leader,
// which waits for it.
func (n *Node) Applied(i tackid.Revision) {
	if i <= n.applied {
		return
	}
	n.applied = i
	n.responseDue = n.leader != "" && n.role != Leader
}

// Fail tells the node that its disk has failed. The node stops: anything it acknowledged
// could be lost after a restart.
func (n *Node) Fail() {
	n.failed = true
	if n.role == Leader {
		n.resigned = Resignation{Term: n.hard.Term, At: n.now, Reason: ResignedFailed}
	}
	n.role = Follower
	n.leader = ""
	n.messages = nil
	n.grants = nil
}

// Ready returns the work that the owner must do next, and false if there is none.
func (n *Node) Ready() (Ready, bool) {
	if n.failed {
		return Ready{}, false
	}
	n.flush()
	r := Ready{
		Snapshot:  n.install,
		Entries:   n.log.between(n.log.stable, n.log.last()),
		Messages:  n.messages,
		Committed: n.log.between(max(n.delivered, n.log.base), n.commit),
	}
	if n.hard != n.savedHard {
		h := n.hard
		r.Hard = &h
	}
	ok := r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 || len(r.Messages) > 0 || len(r.Committed) > 0
	return r, ok
}

// Advance tells the node that all work in r is done.
func (n *Node) Advance(r Ready) {
	if n.failed {
		return
	}
	if r.Hard != nil {
		n.savedHard = *r.Hard
	}
	if r.Snapshot != nil && r.Snapshot == n.install {
		n.install = nil
	}
	n.advanceStable(r.Entries)
	n.messages = append([]Message(nil), n.messages[len(r.Messages):]...)
	if len(r.Committed) > 0 {
		n.delivered = max(n.delivered, r.Committed[len(r.Committed)-1].Index)
	}
}

func (n *Node) advanceStable(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	last := entries[len(entries)-1]
	if t, ok := n.log.term(last.Index); !ok || t != last.Term {
		return
	}
	n.log.stable = max(n.log.stable, last.Index)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// flush creates the messages that are due, so that everything proposed or received since
// the last Ready is sent together.
func (n *Node) flush() {
	if n.role == Leader {
		for _, p := range n.others() {
			n.replicate(p)
			n.announceCommit(p)
		}
		return
	}
	if n.responseDue {
		n.responseDue = false
		n.sendResponse()
	}
}
