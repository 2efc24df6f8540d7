package tackburn

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const noon = tackclock.Time(20_000 * tackclock.Day)

func sampleOf(c Counts) Sample {
	return Sample{Services: []ServiceCounts{{Service: "dawn-svc", Counts: c}}}
}

func assertWindows(t *testing.T, l Summary, want ...uint64) {
	t.Helper()
	convey.Convey("bad requests by window", t, func() {
		for i, w := range l.Windows {
			convey.So(w.Counts.Bad(), convey.ShouldEqual, want[i])
		}
	})
}

// 10 requests lost in one minute must be reported in each window until it has
// passed, and no longer. An outage was reported for too long, or too short, when
// buckets of a ring were not cleared before reuse, or were counted in windows that
// they had left.
func TestWindowsForget(t *testing.T) {
	var s State
	s.Apply(noon, sampleOf(Counts{Good: 9990, Lost: 10}))
	cases := []struct {
		after tackclock.Duration
		want  []uint64
	}{
		{0, []uint64{10, 10, 10, 10}},
		{4 * tackclock.Minute, []uint64{10, 10, 10, 10}},
		{6 * tackclock.Minute, []uint64{0, 10, 10, 10}},
		{66 * tackclock.Minute, []uint64{0, 0, 10, 10}},
		{7 * tackclock.Hour, []uint64{0, 0, 0, 10}},
		{80 * tackclock.Hour, []uint64{0, 0, 0, 0}},
	}
	for _, c := range cases {
		t.Run(c.after.String(), func(t *testing.T) {
			s.Apply(noon.Add(c.after), Sample{Teams: []TeamCounts{{Team: "zamboanga", Counts: Counts{Good: 1}}}})
			assertWindows(t, s.Report(noon.Add(c.after), Settings{}).Services[0], c.want...)
		})
	}
	if n := len(s.Report(noon.Add(Period+2*tackclock.Day), Settings{}).Services); n != 0 {
		t.Errorf("%d services reported after the period", n)
	}
}

func TestReportFigures(t *testing.T) {
	cases := []struct {
		name      string
		counts    Counts
		objective float64
		budget    float64
		burn      float64
		left      tackclock.Duration
		lasting   bool
		alert     Alert
	}{
		{"nothing bad", Counts{Good: 1000}, 0, 1, 0, Period, true, AlertNone},
		{"two fifths of what is allowed", Counts{Good: 9996, Late: 4}, 0, 0.6, 0.4, Period, true, AlertNone},
		{"four fifths of what is allowed", Counts{Good: 9992, Wave: 8}, 0, 0.2, 0.8, Period / 4, false, AlertNone},
		{"twice what is allowed", Counts{Good: 9980, Refused: 20}, 0, -1, 2, 0, false, AlertTicket},
		{"an outage", Counts{Good: 90, Lost: 10}, 99, -9, 10, 0, false, AlertPage},
		{"an objective without a budget", Counts{Good: 1, Lost: 1}, 100, -49999, 50000, 0, false, AlertPage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s State
			s.Apply(noon, sampleOf(c.counts))
			l := s.Report(noon, Settings{Services: map[tackid.Service]float64{"dawn-svc": c.objective}}).Services[0]
			convey.Convey("the figures are", t, func() {
				convey.So(l.BudgetLeft, convey.ShouldAlmostEqual, c.budget, 1e-6)
				convey.So(l.Windows[ringFiveMinutes].Burn, convey.ShouldAlmostEqual, c.burn, 1e-6)
				convey.So(l.TimeLeft.Std().Minutes(), convey.ShouldAlmostEqual, c.left.Std().Minutes(), 1)
				convey.So(l.Lasting, convey.ShouldEqual, c.lasting)
				convey.So(l.Alert, convey.ShouldEqual, c.alert)
			})
		})
	}
}

// A sample that a peer proposes again because the answer was lost must count only
// once, even if the first proposal is applied after a later sample. It counted
// twice when samples had no sequence.
func TestSampleProposedTwiceCountsOnce(t *testing.T) {
	var s State
	first := sampleOf(Counts{Good: 10, Lost: 1})
	first.Peer, first.Sequence = "cotabato-hall-1", 7
	second := first
	second.Sequence = 8
	for _, sample := range []Sample{first, first, second, first} {
		s.Apply(noon, sample)
	}
	var restored State
	data, _ := s.Snapshot()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	restored.Apply(noon, second)
	assertWindows(t, restored.Report(noon, Settings{}).Services[0], 2, 2, 2, 2)
}

// Memory use must stay bounded when a caller sends each request with another team
// name. It grew without limit when every name got a series.
func TestNamesAreBounded(t *testing.T) {
	var s State
	for i := range 3 * MaxNames {
		s.Apply(noon, Sample{Teams: []TeamCounts{{Team: tackid.Team(fmt.Sprint("team-", i)), Counts: Counts{Good: 1}}}})
	}
	teams := s.Report(noon, Settings{}).Teams
	if len(teams) != MaxNames+1 || teams[0].Name != Other || teams[0].Period.Good != 2*MaxNames {
		t.Fatalf("%d teams, first %q with %d requests", len(teams), teams[0].Name, teams[0].Period.Good)
	}
	s.Apply(noon.Add(Period+2*tackclock.Day), sampleOf(Counts{Good: 1}))
	if len(s.teams) != 0 {
		t.Fatalf("%d teams are kept a period after their last request", len(s.teams))
	}
}

// A peer that restores a snapshot taken at any time and applies the remaining
// samples must have the same state as one that was never restarted. If the
// snapshot lacks part of the state, the burn rate of a service drops at a restart,
// or two peers report different figures.
func TestWindowsSurviveRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var whole, restarted State
		now := noon
		steps := rapid.IntRange(1, 30).Draw(t, "samples")
		for range steps {
			now = now.Add(tackclock.Duration(rapid.Int64Range(0, int64(4*tackclock.Day)).Draw(t, "pause") >> rapid.IntRange(0, 24).Draw(t, "shift")))
			sample := Sample{
				Sequence: rapid.Uint64Range(0, 5).Draw(t, "sequence"),
				Services: []ServiceCounts{{Service: tackid.Service(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")), Counts: Counts{
					Good: rapid.Uint64Range(0, 1e6).Draw(t, "good"), Late: rapid.Uint64Range(0, 9).Draw(t, "late"),
				}}},
				Labels: []LabelCounts{{Label: "fajr", Counts: Counts{Lost: 1, LatencyMS: 5}}},
			}
			whole.Apply(now, sample)
			restarted.Apply(now, sample)
			if rapid.Bool().Draw(t, "restart") {
				restarted = restart(t, &restarted)
			}
		}
		a, _ := whole.Snapshot()
		b, _ := restarted.Snapshot()
		if !bytes.Equal(a, b) {
			t.Fatal("the snapshots differ")
		}
		if at := now.Add(tackclock.Hour); !reflect.DeepEqual(whole.Report(at, Settings{}), restarted.Report(at, Settings{})) {
			t.Fatal("the reports differ")
		}
	})
}

func restart(t *rapid.T, s *State) State {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	var restored State
	if err := restored.Restore(data); err != nil {
		t.Fatalf("restore: %v", err)
	}
	return restored
}

func TestRestoreRefusesOtherVersions(t *testing.T) {
	var s State
	s.Apply(noon, sampleOf(Counts{Good: 1}))
	var v *VersionError
	if err := s.Restore([]byte{0xa1, 0x01, 0x02}); !errors.As(err, &v) || v.Version != 2 {
		t.Fatalf("got %v, want a version error", err)
	}
	if err := s.Restore([]byte{0xff}); err == nil || len(s.services) != 1 {
		t.Fatalf("invalid snapshot: error %v, %d services", err, len(s.services))
	}
}

// fullSample returns the sample of a busy peer with 45 teams and 50 services.
func fullSample() Sample {
	var s Sample
	c := Counts{Good: 12345, Late: 12, Refused: 3, Lost: 1, Wave: 2, LatencyMS: 98765432}
	for i := range 50 {
		s.Services = append(s.Services, ServiceCounts{Service: tackid.Service(fmt.Sprintf("service-%02d", i)), Counts: c})
	}
	for i := range 45 {
		s.Teams = append(s.Teams, TeamCounts{Team: tackid.Team(fmt.Sprintf("team-%02d", i)), Counts: c})
	}
	for i := range 8 {
		s.Labels = append(s.Labels, LabelCounts{Label: Label(fmt.Sprintf("window-%d", i)), Counts: c})
	}
	return s
}
