package tackquery

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"

	. "github.com/smartystreets/goconvey/convey"
)

// source is a Source with a small fleet and fixed rows.
type source struct {
	fleet tackfleet.State
}

func (s *source) Fleet() *tackfleet.State { return &s.fleet }
func (s *source) Now() tackclock.Time     { return s.fleet.Now() }
func (s *source) BackendServers() []BackendServerRow {
	return []BackendServerRow{{BackendServer: "api-1"}}
}
func (s *source) Workers() []WorkerRow     { return []WorkerRow{{Worker: "w-1"}} }
func (s *source) Hints(tackid.VM) []string { return []string{"waits for its step"} }

func (s *source) Peers() []PeerRow {
	return []PeerRow{{Peer: "rennes-a-1", InForce: 9, Voter: true}, {Peer: "brest-1", InForce: 7}}
}

func (s *source) Cost(pool tackid.Pool, action tackfleet.Action, maxParallel int) Table {
	return Table{Columns: []string{"pool", "action", "max_parallel"}, Rows: [][]any{{string(pool), string(action), int64(maxParallel)}}}
}

// newSource returns a fleet of two VMs, one of them serving.
func newSource(t *testing.T) *source {
	src := new(source)
	texts := []string{
		"create pool a", "add vm w-1 to pool a", "add vm w-2 to pool a", "create service api on pool a",
		"set budget api min_available 50%", "set config log.level debug", "set quota cadastre slots 4 cores 8",
		"create wave night over pool a action reboot max_parallel 2",
	}
	for i, text := range texts {
		c, err := tackcommand.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		r := src.fleet.Apply(tackid.Revision(i+1), tackclock.Time(1000*(i+1)), tackfleet.Change{Command: &c})
		if r.Refused != nil {
			t.Fatalf("%s: %v", text, r.Refused)
		}
	}
	seen := []tackfleet.Observation{{VM: "w-1", Health: tackfleet.HealthServing}}
	src.fleet.Apply(9, 9000, tackfleet.Change{Observe: seen})
	return src
}

func assertRows(t *testing.T, src Source, text string, want ...[]any) {
	t.Helper()
	q, err := Parse(text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	table, err := Run(q, src)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	if len(table.Rows) != len(want) {
		t.Fatalf("%s: got %v, want %v", text, table.Rows, want)
	}
	for i := range want {
		if got := table.Rows[i][:len(want[i])]; !reflect.DeepEqual(got, want[i]) {
			t.Fatalf("%s: row %d is %v, want %v", text, i, got, want[i])
		}
		if len(table.Rows[i]) != len(table.Columns) {
			t.Fatalf("%s: row %d has %d values for %d columns", text, i, len(table.Rows[i]), len(table.Columns))
		}
	}
}

func TestRun(t *testing.T) {
	src := newSource(t)
	budget := []any{"api", "a", "50%", int64(1), int64(1), int64(0), int64(0), true}
	tests := []struct {
		text string
		want [][]any
	}{
		{"show vms", [][]any{{"w-1", "a", "in_service", "serving"}, {"w-2", "a", "in_service", "unknown"}}},
		{"SHOW vms WHERE health=serving and POOL = a", [][]any{{"w-1"}}},
		{"show vms where pool = \"no such\"", nil},
		{"show pools", [][]any{{"a", int64(2), int64(1), int64(0), int64(1)}}},
		{"show services where min_available = 50%", [][]any{{"api", "a"}}},
		{"show budgets where holds = yes", [][]any{budget}},
		{"show quotas", [][]any{{"cadastre", int64(4), int64(8), int64(0)}}},
		{"show config", [][]any{{"log.level", "debug", uint64(6), uint64(9), uint64(7)}}},
		{"show peers where replica = true", [][]any{{"rennes-a-1"}}},
		{"show waves", [][]any{{"night", "a", "reboot", int64(2), "planned"}}},
		{"show backend_servers", [][]any{{"api-1"}}},
		{"show workers", [][]any{{"w-1", "a"}}},
		{"show tasks", nil},
		{"cost wave night", [][]any{{"a", "reboot", int64(2)}}},
		{"cost wave over pool a action UPGRADE", [][]any{{"a", "upgrade", int64(0)}}},
		{"history of config log.level", [][]any{{uint64(6)}}},
		{"history of vm w-1", [][]any{{uint64(2)}, {uint64(9)}}},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) { assertRows(t, src, test.text, test.want...) })
	}
}

func TestExplain(t *testing.T) {
	src := newSource(t)
	table, err := Run(Query{Explain: &Explain{VM: "w-1"}}, src)
	Convey("The explanation names the budget that does not allow taking the VM", t, func() {
		So(err, ShouldBeNil)
		So(table.Rows, ShouldContain, []any{"held",
			`may not be taken out now: service "api" needs 1 available VMs of pool "a" and would have 0 (0 of them settling)`})
		So(table.Rows, ShouldContain, []any{"planner", "waits for its step"})
	})
	_, err = Run(Query{Explain: &Explain{VM: "w-9"}}, src)
	var missing *NotFoundError
	if !errors.As(err, &missing) || missing.Name != "w-9" {
		t.Fatalf("got %v, want a NotFoundError for w-9", err)
	}
}

func TestSyntaxError(t *testing.T) {
	tests := []struct {
		text     string
		column   int
		expected string
	}{
		{"", 1, "cost or explain or history or show"},
		{"show cats", 6, "backend_servers or budgets or config or peers or pools or quotas or services or tasks or vms or waves or workers"},
		{"show peers where colour = red", 18, "peer or data_centre or replica or role or applied or leased or last_heard_ms or in_force"},
		{"show vms where pool a", 21, "="},
		{"cost wave over pool a", 22, "action"},
		{"history of", 11, "config or vm"},
		{"explain vm", 11, "a name"},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			_, err := Parse(test.text)
			var e *SyntaxError
			if !errors.As(err, &e) {
				t.Fatalf("got %v, want a *SyntaxError", err)
			}
			if e.Line != 1 || e.Column != test.column || strings.Join(e.Expected, " or ") != test.expected {
				t.Fatalf("got %v, want column %d, expected %s", e, test.column, test.expected)
			}
		})
	}
}

// FuzzParse checks that a parsed query is parsed again from its text to an
// equal query, and that a syntax error has a position and expected words.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"show vms where pool = a and state = \"in service\"", "cost wave over pool p action reboot max_parallel 3",
		"cost wave over", "explain vm v", "history of config k", "show tasks where task==", "cost wave \"over\"",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		q, err := Parse(text)
		var e *SyntaxError
		if errors.As(err, &e) {
			if e.Line < 1 || e.Column < 1 || len(e.Expected) == 0 {
				t.Fatalf("%q: error without a position or expected words: %+v", text, e)
			}
			return
		}
		again, err := Parse(q.Text())
		if err != nil || !reflect.DeepEqual(again, q) {
			t.Fatalf("%q: text %q is parsed as %+v, %v", text, q.Text(), again, err)
		}
	})
}

// TestPage parses every example in docs/LANGUAGE.md.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/LANGUAGE.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(page), "```query\n")[1:]
	if len(blocks) == 0 {
		t.Fatal("the page has no example")
	}
	for _, block := range blocks {
		example, _, _ := strings.Cut(block, "\n```")
		for line := range strings.SplitSeq(example, "\n") {
			if q, err := Parse(line); err != nil || q.Text() != line {
				t.Errorf("%s: parsed as %q, %v", line, q.Text(), err)
			}
		}
	}
}
