package tackreplica

import (
	"testing"

	"auburntack/core/tackid"
)

// Guards against a VM that restarts while its data centre is cut off and serves an older
// configuration than before, here with entries up to 8 of 10 committed and saved. The
// commit index was kept in memory only, so the new process started from its snapshot. Fails
// without saveCommit: the first Ready then commits nothing.
func TestRestartContinuesFromSavedCommit(t *testing.T) {
	var entries []Entry
	for i := range 10 {
		entries = append(entries, Entry{Index: tackid.Revision(i + 1), Term: 1})
	}
	members := []Member{{Peer: "a", Voter: true}, {Peer: "b", Voter: true}, {Peer: "c", Voter: true}}
	stored := Stored{Hard: HardState{Term: 1, Eligible: true, Commit: 8}, Entries: entries}
	n := New(Config{Self: "a", Members: members, Seed: 1}, stored, 1000)
	r, ok := n.Ready()
	if !ok || len(r.Committed) != 8 || r.Committed[7].Index != 8 {
		t.Fatalf("committed %v, want the entries up to 8", r.Committed)
	}
}
