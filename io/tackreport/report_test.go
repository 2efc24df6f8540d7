package tackreport

import (
	"encoding/xml"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"auburntack/core/tackburn"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"

	"github.com/smartystreets/goconvey/convey"
)

const (
	noon          = tackclock.Time(20_000 * tackclock.Day)
	maliciousName = `</text><script src="http://x/">alert("1")</script>`
)

// report returns a report on a few days of n services and one team with a malicious name.
func report(n int) tackburn.Report {
	var s tackburn.State
	now := noon
	for h := range 80 {
		now = noon.Add(tackclock.Duration(h) * tackclock.Hour)
		var sample tackburn.Sample
		for i := range n {
			c := tackburn.Counts{Good: 100_000, Late: uint64(i * 7), Refused: uint64(h % 5), Wave: uint64(h % 24), LatencyMS: 1_200_000}
			sample.Services = append(sample.Services, tackburn.ServiceCounts{Service: tackid.Service(fmt.Sprintf("dawn-svc-%02d", i)), Counts: c})
		}
		sample.Teams = []tackburn.TeamCounts{{Team: tackid.Team(maliciousName + "\n\x1b[2J"), Counts: tackburn.Counts{Good: 1, Lost: 1}}}
		s.Apply(now, sample)
	}
	return s.Report(now, tackburn.Settings{})
}

// Guards against a report that runs a caller's script in the browser of an operator, sends
// control sequences to the terminal, or loads resources from the network. A caller sends requests
// with a team name that contains markup and control characters, and the name is written to the
// page, its plots or the table without escaping.
func TestNamesAreEscaped(t *testing.T) {
	var page, text strings.Builder
	if err := HTML(&page, report(3)); err != nil {
		t.Fatal(err)
	}
	if err := Text(&text, report(3)); err != nil {
		t.Fatal(err)
	}
	convey.Convey("the name contains no markup or control characters", t, func() {
		convey.So(page.String(), convey.ShouldNotContainSubstring, "<script")
		convey.So(page.String(), convey.ShouldNotContainSubstring, "\x1b")
		convey.So(page.String(), convey.ShouldContainSubstring, "&lt;script")
		convey.So(text.String(), convey.ShouldNotContainSubstring, "\x1b")
		convey.So(strings.Count(text.String(), "\n"), convey.ShouldEqual, 9)
	})
	for _, loads := range []string{"<link", "<img", "<image", "@import", "url("} {
		if strings.Contains(page.String(), loads) {
			t.Errorf("the page contains %s", loads)
		}
	}
	assertPlots(t, page.String(), 4)
}

// assertPlots checks that the page contains n plots and that each is well-formed.
func assertPlots(t *testing.T, page string, n int) {
	t.Helper()
	parts := strings.Split(page, "<svg")
	if len(parts) != n+1 {
		t.Fatalf("the page contains %d plots, want %d", len(parts)-1, n)
	}
	for _, p := range parts[1:] {
		body, _, _ := strings.Cut(p, "</svg>")
		d := xml.NewDecoder(strings.NewReader("<svg" + body + "</svg>"))
		for {
			_, err := d.Token()
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatalf("a plot is not well-formed: %v", err)
			}
		}
	}
}

func TestEmptyReport(t *testing.T) {
	var page strings.Builder
	if err := HTML(&page, tackburn.Report{Time: noon}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(page.String(), "No requests.") {
		t.Error("the page does not say that there were no requests")
	}
}

func ExampleText() {
	var s tackburn.State
	for h := range 24 {
		s.Apply(noon.Add(tackclock.Duration(h)*tackclock.Hour), tackburn.Sample{
			Services: []tackburn.ServiceCounts{
				{Service: "communes", Counts: tackburn.Counts{Good: 60_000, Late: 12, Wave: 6, LatencyMS: 540_000}},
				{Service: "names-api", Counts: tackburn.Counts{Good: 10_000, Refused: uint64(h * h), LatencyMS: 70_000}},
			},
		})
	}
	if err := Text(os.Stdout, s.Report(noon.Add(23*tackclock.Hour), tackburn.Settings{})); err != nil {
		fmt.Println(err)
	}
	// Output:
	// service levels at 2024-10-04T23:00:00.000Z, error budget over 28d
	//
	// service    objective  requests  budget left  5m     1h     6h     3d     time left  burnt by            mean  alert
	// communes   99.9%      1440432   70.0%        0.30   0.30   0.30   0.30   lasts      late 67%, wave 33%  8 ms  -
	// names-api  99.9%      244324    -1669.8%     50.24  48.21  38.83  17.70  spent      refused 100%        7 ms  page
}

func BenchmarkHTML(b *testing.B) {
	r := report(50)
	b.ReportAllocs()
	var n int64
	for b.Loop() {
		var page strings.Builder
		if err := HTML(&page, r); err != nil {
			b.Fatal(err)
		}
		n = int64(page.Len())
	}
	b.ReportMetric(float64(n)/1024, "KB-page")
}
