package tackburn

import (
	"errors"
	"fmt"
	"testing"

	"auburntack/core/tackid"

	"github.com/smartystreets/goconvey/convey"
)

// Windows in local time and windows past midnight UTC must count the right
// requests. When the zone was ignored, the requests of a prayer were counted half
// a day off; when a window that ends after midnight was empty, not at all.
func TestLabelWindows(t *testing.T) {
	cases := []struct {
		value, at string
		service   tackid.Service
		want      string
	}{
		{"04:10-05:30", "04:10", "dawn-svc", "[fajr]"},
		{"04:10-05:30", "05:30", "dawn-svc", "[]"},
		{"04:10-05:30+08:00", "20:11", "dawn-svc", "[fajr]"},
		{"04:10-05:30+08:00", "04:11", "dawn-svc", "[]"},
		{"07:30-08:30+08:00", "00:29", "dawn-svc", "[fajr]"},
		{"07:30-08:30+08:00", "23:30", "dawn-svc", "[fajr]"},
		{"23:00-01:00 dawn-svc", "00:59", "dawn-svc", "[fajr]"},
		{"23:00-01:00 dawn-svc", "00:59", "eid-svc", "[]"},
	}
	for _, c := range cases {
		t.Run(c.value+" at "+c.at, func(t *testing.T) {
			var s Settings
			if err := s.Set("burn.label.fajr", c.value); err != nil {
				t.Fatal(err)
			}
			at, _ := parseClock(c.at)
			if got := fmt.Sprint(s.LabelsAt(noon.Add(at), c.service)); got != c.want {
				t.Errorf("labels %s, want %s", got, c.want)
			}
		})
	}
}

func TestSettingsRejectInvalidValues(t *testing.T) {
	cases := []struct{ key, value string }{
		{"burn.objective", "100"}, {"burn.objective", "NaN"}, {"burn.objective.dawn-svc", "-1"},
		{"burn.late_ms", "2s"}, {"burn.late_ms.dawn-svc", "-5"},
		{"burn.label.fajr", "4:10-5:30"}, {"burn.label.fajr", "04:10-04:10"}, {"burn.label.fajr", "04:10-05:30*08:00"},
		{"burn.label.fajr", "24:10-05:30"}, {"burn.label.fajr", "noon"},
	}
	for _, c := range cases {
		var s Settings
		var bad *SettingError
		if err := s.Set(c.key, c.value); !errors.As(err, &bad) || bad.Key != c.key {
			t.Errorf("%s = %q: got %v, want a setting error", c.key, c.value, err)
		}
	}
}

// Names with bad requests must be in every sample, and names with only good
// requests at intervals. When all names were in every sample, the samples filled
// the log; when good ones were left out, services without failures were never
// reported.
func TestMeterReportsBadAtOnceAndGoodAtIntervals(t *testing.T) {
	var m Meter
	var dawn, eid []uint64
	for n := range uint64(2*goodInterval + 1) {
		for i := range 2 * MaxNames {
			m.Count(Request{Service: "dawn-svc", Team: tackid.Team(fmt.Sprint("team-", i)), Outcome: Outcome(i % 5)}, "fajr")
		}
		m.Count(Request{Service: "eid-svc", Latency: 10})
		s, ok := m.Take("cotabato-hall-1", n)
		convey.Convey(fmt.Sprint("sample ", n), t, func() {
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(s.Services[0].Counts.Total(), convey.ShouldEqual, 2*MaxNames)
			convey.So(s.Labels[0].Counts, convey.ShouldResemble, s.Services[0].Counts)
			convey.So(len(s.Teams), convey.ShouldBeLessThanOrEqualTo, MaxNames+1)
		})
		dawn = append(dawn, s.Services[0].Counts.Good)
		if len(s.Services) > 1 {
			eid = append(eid, s.Services[1].Counts.Good)
		}
	}
	s, _ := m.TakeAll("cotabato-hall-1", 99)
	eid = append(eid, s.Services[0].Counts.Good)
	if got := fmt.Sprint(len(dawn), eid); got != "11 [1 4 5 1]" {
		t.Errorf("samples with the bad service, counts of the good one: %s, want 11 [1 4 5 1]", got)
	}
}
