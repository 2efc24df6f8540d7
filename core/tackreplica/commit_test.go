package tackreplica

import (
	"testing"

	"auburntack/core/tackid"
)

// Symptom: a VM that restarts in a data centre that is cut off serves by a
// configuration older than the one it showed before.
// Sequence: entries up to 8 of 10 are committed and noted, the process ends,
// the new one hears from nobody.
// Cause: which entries are committed was known in memory only, so that the
// new process had nothing but its snapshot. Without noteCommit the first Ready
// commits nothing.
func TestRestartGoesOnFromWhatWasCommitted(t *testing.T) {
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
