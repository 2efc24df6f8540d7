package tackvm

import (
	"fmt"
	"testing"

	"auburntack/core/tackburn"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/io/tackhttp"
	"auburntack/io/tacksettings"
)

// A sample whose answer is lost must be proposed again unchanged, while more requests
// are counted, some late by the service's own limit and some during a wave. The counts
// of a minute were lost if an unacknowledged sample was dropped, and counted twice if it
// was merged with later counts under another sequence number.
func TestUnansweredSampleIsProposedAgain(t *testing.T) {
	m := meter{clock: new(tackclock.Clock), inWave: map[tackid.Service]bool{"communes": true}}
	m.clock.Set(tackclock.Time(20_000*tackclock.Day + 30*tackclock.Minute))
	m.settings.Labels = burnLabels([]tacksettings.Window{{Label: "rebuild", From: "23:00", To: "01:00"}})
	if err := m.settings.Set("burn.late_ms.names-api", "100"); err != nil {
		t.Fatal(err)
	}
	m.Count(tackhttp.Result{Service: "names-api", Team: "post", Outcome: tackledger.OutcomeAnswered, Latency: 101})
	first := m.takeSample("rennes-a-1", false)
	m.Count(tackhttp.Result{Service: "communes", Team: "post", Outcome: tackledger.OutcomeUnknown})
	m.Count(tackhttp.Result{Service: "communes", Team: "post", CallerGone: true})
	if again := m.unanswered(); again == nil || again.Sequence != first.Sequence || len(again.Services) != 1 {
		t.Fatalf("after a lost answer proposed %+v, want %+v", again, first)
	}
	m.acknowledge()
	second := m.takeSample("rennes-a-1", false)
	got := fmt.Sprint(m.unanswered() == second, second.Sequence > first.Sequence, first.Services, second.Services, first.Labels)
	want := fmt.Sprint(true, true,
		[]tackburn.ServiceCounts{{Service: "names-api", Counts: tackburn.Counts{Late: 1, LatencyMS: 101}}},
		[]tackburn.ServiceCounts{{Service: "communes", Counts: tackburn.Counts{Wave: 1}}},
		[]tackburn.LabelCounts{{Label: "rebuild", Counts: tackburn.Counts{Late: 1, LatencyMS: 101}}})
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
