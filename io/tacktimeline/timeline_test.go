package tacktimeline

import (
	"strings"
	"testing"
)

const log = `built in 0.0 s
   1.0200 core-1 {"msg":"dispatch began","vm":"10.0.0.1","time":"2026-01-01T00:00:01Z"}
   1.1000 core-1 {"msg":"worker joined","reason":"names-api","worker":"i-1","worker_vm":"m-1"}
   1.1100 core-1 {"msg":"worker joined","reason":"communes","worker":"i-2","worker_vm":"m-2"}
   1.2000 core-1 {"msg":"run ordered","worker":"i-1","item":"a.0.0.0"}
   1.3000 core-1 {"msg":"request decided","operation":"submit","outcome":"done"}
   1.3100 core-1 {"msg":"request decided","operation":"cancel","outcome":"done"}
   3.0000 core-1 {"msg":"request decided","operation":"submit","outcome":"refused"}
   3.1000 core-1 {"msg":"move chosen","reason":"to names-api","worker":"i-2","worker_vm":"m-2"}
   3.2000 core-1 {"msg":"worker lost","reason":"moved to another pool","worker":"i-2"}
   3.3000 core-1 {"msg":"run ended","worker":"i-1","item":"a.0.0.0"}
   3.4000 core-1 not an object {
`

func TestTimeline(t *testing.T) {
	var timeline Timeline
	if err := timeline.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	rows := timeline.Rows()
	if len(rows) != 2 {
		t.Fatalf("%d rows, want those of seconds 1 and 3", len(rows))
	}
	assertRow(t, &rows[0], 1, Pool{VMs: 1}, Pool{VMs: 1, Empty: 1}, map[Count]int{Accepted: 1, Started: 1})
	assertRow(t, &rows[1], 3, Pool{VMs: 1, Empty: 1, Coming: 1}, Pool{}, map[Count]int{Refused: 1, Moved: 1})
	if len(rows[0].Leaders) != 1 {
		t.Errorf("leaders %v, want one", rows[0].Leaders)
	}
	var out strings.Builder
	if err := timeline.Write(&out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); len(lines) != 3 || !strings.Contains(lines[2], "1/1+1") {
		t.Errorf("table:\n%s", out.String())
	}
}

func assertRow(t *testing.T, r *Row, second int64, names, communes Pool, want map[Count]int) {
	t.Helper()
	if r.Second != second || r.Pools["names-api"] != names || r.Pools["communes"] != communes {
		t.Errorf("row %+v, want second %d, %+v and %+v", r, second, names, communes)
	}
	for _, c := range counts {
		if r.Counts[c] != want[c] {
			t.Errorf("second %d: %s %d, want %d", r.Second, c, r.Counts[c], want[c])
		}
	}
}
