package tackvm

import (
	"testing"

	"auburntack/core/tackburn"
	"auburntack/core/tackclock"
	"auburntack/core/tackledger"
	"auburntack/io/tackhttp"
)

func TestMeterCountsTheLabelOfTheService(t *testing.T) {
	m := meter{clock: new(tackclock.Clock)}
	m.settings.Labels = []tackburn.LabelWindow{{Label: "fajr", Service: "dawn-svc", From: 0, To: tackclock.Day}}
	m.Count(tackhttp.Result{Service: "dawn-svc", Team: "marawi", Outcome: tackledger.OutcomeAnswered, Latency: 5})
	m.Count(tackhttp.Result{Service: "eid-svc", Outcome: tackledger.OutcomeDidNotRun})
	sample := m.takeSample("marawi-hall-1", true)
	if sample == nil || len(sample.Services) != 2 || len(sample.Teams) != 1 {
		t.Fatalf("sample %+v", sample)
	}
	want := tackburn.LabelCounts{Label: "fajr", Counts: tackburn.Counts{Good: 1, LatencyMS: 5}}
	if len(sample.Labels) != 1 || sample.Labels[0] != want {
		t.Errorf("labels %+v, want %+v alone", sample.Labels, want)
	}
	m.acknowledge()
	if sample := m.takeSample("marawi-hall-1", true); sample != nil {
		t.Errorf("sampled twice: %+v", sample)
	}
}
