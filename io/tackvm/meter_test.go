package tackvm

import (
	"testing"

	"auburntack/core/tackburn"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/io/tackhttp"
)

func TestMeterCountsTheLabelOfTheService(t *testing.T) {
	m := meter{label: func(s tackid.Service) tackburn.Label {
		if s == "dawn-svc" {
			return "fajr"
		}
		return ""
	}}
	m.Count(tackhttp.Result{Service: "dawn-svc", Team: "marawi", Outcome: tackledger.OutcomeAnswered, Took: 5})
	m.Count(tackhttp.Result{Service: "eid-svc", Outcome: tackledger.OutcomeDidNotRun})
	sample, some := m.take("marawi-hall-1")
	if !some || len(sample.Services) != 2 || len(sample.Teams) != 1 {
		t.Fatalf("sample %+v, %v", sample, some)
	}
	want := tackburn.LabelCounts{Label: "fajr", Counts: tackburn.Counts{Good: 1, LatencyMS: 5}}
	if len(sample.Labels) != 1 || sample.Labels[0] != want {
		t.Errorf("labels %+v, want %+v alone", sample.Labels, want)
	}
	if _, some := m.take("marawi-hall-1"); some {
		t.Error("a sample was taken twice")
	}
}
