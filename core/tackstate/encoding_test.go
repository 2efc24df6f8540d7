package tackstate

import (
	"bytes"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tackreplica"
)

// Guards against entries that a replica cannot read. Header fields of callers and of backend
// servers may have bytes that are not UTF-8, and were written to the log: every replica stopped
// at that entry at every start.
func TestReplicasReadWhatALeaderWrites(t *testing.T) {
	const notUTF8 = "caf\xe9"
	key := tackledger.ID{Service: "names-api", Team: notUTF8, Key: notUTF8}
	answer := tackledger.Answer{Status: 200, Header: []tackledger.Field{{Name: "Content-Disposition", Values: []string{notUTF8}}}}
	begin := Proposal{Ledger: &tackledger.Change{Begin: &tackledger.Begin{ID: key, Request: "r", Timeout: 1000}}}
	for name, proposals := range map[string][]Proposal{
		"command id": {{Fleet: &tackfleet.Change{ID: notUTF8, Command: &tackcommand.Command{CreatePool: &tackcommand.CreatePool{Pool: "a"}}}}},
		"name in a command": {
			{Fleet: &tackfleet.Change{Command: &tackcommand.Command{CreatePool: &tackcommand.CreatePool{Pool: notUTF8}}}},
		},
		"idempotency key and team": {begin},
		"header of a recorded answer": {
			begin, {Ledger: &tackledger.Change{Finish: &tackledger.Finish{ID: key, Request: "r", Outcome: tackledger.OutcomeAnswered, Answer: answer}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := new(State)
			for i, p := range proposals {
				data, err := p.Encode()
				if err != nil {
					t.Fatal(err)
				}
				e := tackreplica.Entry{Index: tackid.Revision(i + 1), Term: 1, Time: tackclock.Time(i + 1), Data: data}
				if _, _, err := s.Apply(e); err != nil {
					t.Fatal(err)
				}
			}
			assertRestored(t, s)
		})
	}
}

// assertRestored asserts that the state can be restored from its snapshot.
func assertRestored(t *testing.T, s *State) {
	t.Helper()
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if again, err := restored.Snapshot(); err != nil || !bytes.Equal(again, data) {
		t.Errorf("the restored state differs: %v", err)
	}
}
