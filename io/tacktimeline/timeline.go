// Package tacktimeline converts the logs of control VMs into a table with one row per second:
// how many VMs each pool had, how many of them ran nothing, how many were on their way to it,
// and what was accepted, refused, started and suspected in that second. It shows at a glance
// whether, and in which pool, jobs were refused while VMs were idle.
package tacktimeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// maxLine bounds one line. The longest lines of a control VM have a few hundred bytes.
const maxLine = 1 << 20

type (
	// Timeline contains the rows read so far. Its zero value is empty.
	Timeline struct {
		rows       []Row
		row        Row
		rowStarted bool

		serviceOf map[string]string          // by worker id
		runs      map[string]map[string]bool // items by worker id
		coming    map[string]string          // service by VM on its way to a pool
	}

	// Row describes one second.
	Row struct {
		// Second is the time that precedes the lines, or the seconds since 1970 without one.
		Second int64
		Pools  map[string]Pool
		Counts map[Count]int
		// Leaders contains the control VMs that became the leader.
		Leaders []string
	}

	// Pool describes the VMs of a service at the end of the second.
	Pool struct {
		VMs, Empty, Coming int
	}

	// Count is a kind of counted event.
	Count string

	line struct {
		Message   string    `json:"msg"`
		Time      time.Time `json:"time"`
		VM        string    `json:"vm"`
		Worker    string    `json:"worker"`
		WorkerVM  string    `json:"worker_vm"`
		Reason    string    `json:"reason"`
		Item      string    `json:"item"`
		Operation string    `json:"operation"`
		Outcome   string    `json:"outcome"`
	}
)

// The kinds of counted events.
const (
	Accepted  Count = "accepted"
	Refused   Count = "refused"
	Unknown   Count = "unknown"
	Started   Count = "started"
	Suspected Count = "suspected"
	Moved     Count = "moved"
	Upkeep    Count = "upkeep"
)

var counts = []Count{Accepted, Refused, Unknown, Started, Suspected, Moved, Upkeep}

// Read reads a log. A line may have its time in seconds and other words before its JSON
// object. Lines without an object are skipped.
func (t *Timeline) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		t.add(lines.Bytes())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	t.close()
	return nil
}

// Rows returns the rows read so far. Seconds without log lines have none.
func (t *Timeline) Rows() []Row {
	return t.rows
}

func (t *Timeline) add(text []byte) {
	before, _, found := bytes.Cut(text, []byte("{"))
	if !found {
		return
	}
	var l line
	if err := json.Unmarshal(text[len(before):], &l); err != nil || l.Message == "" {
		return
	}
	second := l.Time.Unix()
	if words := strings.Fields(string(before)); len(words) > 0 {
		if s, err := strconv.ParseFloat(words[0], 64); err == nil {
			second = int64(s)
		}
	}
	if t.rowStarted && second != t.row.Second {
		t.close()
	}
	t.open(second)
	t.handle(&l)
}

func (t *Timeline) open(second int64) {
	if t.rowStarted {
		return
	}
	t.rowStarted = true
	t.row = Row{Second: second, Counts: make(map[Count]int)}
	if t.serviceOf == nil {
		t.serviceOf = make(map[string]string)
		t.runs = make(map[string]map[string]bool)
		t.coming = make(map[string]string)
	}
}

// close completes the current row.
func (t *Timeline) close() {
	if !t.rowStarted {
		return
	}
	t.rowStarted = false
	t.row.Pools = t.pools()
	t.rows = append(t.rows, t.row)
}

func (t *Timeline) pools() map[string]Pool {
	pools := make(map[string]Pool)
	for worker, service := range t.serviceOf {
		p := pools[service]
		p.VMs++
		if len(t.runs[worker]) == 0 {
			p.Empty++
		}
		pools[service] = p
	}
	for _, service := range t.coming {
		p := pools[service]
		p.Coming++
		pools[service] = p
	}
	return pools
}

func (t *Timeline) handle(l *line) {
	switch l.Message {
	case "worker joined":
		t.serviceOf[l.Worker] = l.Reason
		t.runs[l.Worker] = make(map[string]bool)
		delete(t.coming, l.WorkerVM)
	case "worker lost":
		delete(t.serviceOf, l.Worker)
		delete(t.runs, l.Worker)
	case "run ordered":
		t.row.Counts[Started]++
		t.setRunning(l, true)
	case "run adopted":
		t.setRunning(l, true)
	case "run ended", "order lost":
		t.setRunning(l, false)
	case "worker suspected":
		t.row.Counts[Suspected]++
	case "upkeep chosen":
		t.row.Counts[Upkeep]++
	case "move chosen":
		t.row.Counts[Moved]++
		t.coming[l.WorkerVM] = strings.TrimPrefix(l.Reason, "to ")
	case "dispatch began":
		t.row.Leaders = append(t.row.Leaders, l.VM)
	case "request decided":
		t.countAnswer(l)
	}
}

func (t *Timeline) setRunning(l *line, runs bool) {
	items := t.runs[l.Worker]
	switch {
	case items == nil:
	case runs:
		items[l.Item] = true
	default:
		delete(items, l.Item)
	}
}

func (t *Timeline) countAnswer(l *line) {
	if l.Operation != "submit" {
		return
	}
	switch l.Outcome {
	case "done":
		t.row.Counts[Accepted]++
	case "refused":
		t.row.Counts[Refused]++
	case "unknown":
		t.row.Counts[Unknown]++
	}
}

// Write writes the rows as a table. The cell of a pool has the form VMs/empty+coming.
func (t *Timeline) Write(w io.Writer) error {
	services := make(map[string]bool)
	for _, row := range t.rows {
		for service := range row.Pools {
			services[service] = true
		}
	}
	names := slices.Sorted(maps.Keys(services))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "second\t%s", strings.Join(names, "\t"))
	for _, c := range counts {
		fmt.Fprintf(table, "\t%s", c)
	}
	fmt.Fprintln(table, "\tbegan to lead")
	for i := range t.rows {
		t.rows[i].write(table, names)
	}
	return table.Flush()
}

func (r *Row) write(w io.Writer, services []string) {
	fmt.Fprintf(w, "%d", r.Second)
	for _, name := range services {
		p := r.Pools[name]
		fmt.Fprintf(w, "\t%d/%d+%d", p.VMs, p.Empty, p.Coming)
	}
	for _, c := range counts {
		fmt.Fprintf(w, "\t%d", r.Counts[c])
	}
	fmt.Fprintf(w, "\t%s\n", strings.Join(r.Leaders, " "))
}
