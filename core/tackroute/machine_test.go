package tackroute_test

import (
	"testing"

	"pgregory.net/rapid"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

// chooserMachine compares a Chooser to a list of the requests in flight.
type chooserMachine struct {
	chooser  tackroute.Chooser
	now      tackclock.Time
	table    []tackroute.Candidate
	inFlight []tackroute.Candidate
}

func (m *chooserMachine) SetCandidates(t *rapid.T) {
	all := append(candidates(here, 3), candidates(there, 2)...)
	m.table = nil
	for _, c := range all {
		if rapid.Bool().Draw(t, "serves") {
			c.Incarnation = tackid.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))
			c.Slots = 3
			m.table = append(m.table, c)
		}
	}
	m.chooser.SetCandidates(m.table)
}

func (m *chooserMachine) Pick(t *rapid.T) {
	ask := tackroute.Constraints{Home: here, HomeOnly: rapid.Bool().Draw(t, "home_only")}
	if len(m.table) > 0 && rapid.Bool().Draw(t, "excludes") {
		ask.Exclude = []tackid.BackendServer{rapid.SampledFrom(m.table).Draw(t, "excluded").BackendServer}
	}
	got, ok := m.chooser.Pick(m.now, ask)
	if !ok {
		return
	}
	if len(ask.Exclude) > 0 && got.BackendServer == ask.Exclude[0] {
		t.Fatalf("picked %s, which was excluded", got.BackendServer)
	}
	if ask.HomeOnly && got.DataCentre != here {
		t.Fatalf("picked %s in %s, want %s only", got.BackendServer, got.DataCentre, here)
	}
	m.inFlight = append(m.inFlight, got)
}

func (m *chooserMachine) Done(t *rapid.T) {
	m.now = m.now.Add(tackclock.Duration(rapid.IntRange(0, 3000).Draw(t, "later")))
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
	result := tackroute.Result(rapid.IntRange(int(tackroute.Answered), int(tackroute.Cancelled)).Draw(t, "result"))
	m.chooser.Done(m.now, m.inFlight[i], tackroute.Outcome{Result: result, Latency: 10})
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
}

// Check checks that every request in flight is counted exactly once, that no
// incarnation of a backend server has more requests in flight than slots, and
// that not all candidates are ejected.
func (m *chooserMachine) Check(t *rapid.T) {
	perVM := make(map[tackid.VM]int)
	perSource := make(map[tackroute.SlotSource]int)
	for _, c := range m.inFlight {
		perVM[c.VM]++
		perSource[tackroute.SlotSource{BackendServer: c.BackendServer, Incarnation: c.Incarnation}]++
	}
	for _, c := range append(candidates(here, 3), candidates(there, 2)...) {
		if got := m.chooser.InFlight(c.VM); got != perVM[c.VM] {
			t.Fatalf("InFlight(%s) = %d, want %d", c.VM, got, perVM[c.VM])
		}
	}
	for source, n := range perSource {
		if n > 3 {
			t.Fatalf("%v has %d in flight on 3 slots", source, n)
		}
	}
	if len(m.table) > 0 && m.chooser.Capacity(m.now, tackroute.Constraints{Home: here}) == 0 {
		t.Fatalf("all of %d candidates are ejected", len(m.table))
	}
}

func TestChooserMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(new(chooserMachine)))
	})
}
