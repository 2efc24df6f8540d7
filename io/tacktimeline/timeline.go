// Package tacktimeline reads the log of control VMs into a table with a row a
// second: what VMs each pool had, which of them ran nothing, what was on its way,
// and what was accepted, refused, started and suspected meanwhile. It shows at one
// look whether jobs were refused beside idle VMs, and where.
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

// maxLine bounds one line; the longest that a control VM writes has some hundreds
// of bytes.
const maxLine = 1 << 20

type (
	// Timeline is what was read so far. Its zero value is empty.
	Timeline struct {
		rows  []Row
		now   Row
		begun bool

		serviceOf map[string]string          // by worker
		runs      map[string]map[string]bool // items by worker
		coming    map[string]string          // the service that a VM is on its way to
	}

	// Row is one second.
	Row struct {
		// Second counts from the log's own zero, or from 1970.
		Second int64
		Pools  map[string]Pool
		Counts map[Count]int
		// Leaders are the control VMs that began to lead.
		Leaders []string
	}

	// Pool is how a service's VMs stood at the end of the second.
	Pool struct {
		VMs, Empty, Coming int
	}

	// Count names what is counted.
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

// What is counted.
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

// Read takes in a log. Before its JSON object a line may have the seconds at which
// it was written, and other words; what holds no object is passed over.
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

// Rows returns the seconds that were read, without those in which nothing was
// written.
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
	if t.begun && second != t.now.Second {
		t.close()
	}
	t.open(second)
	t.take(&l)
}

func (t *Timeline) open(second int64) {
	if t.begun {
		return
	}
	t.begun = true
	t.now = Row{Second: second, Counts: make(map[Count]int)}
	if t.serviceOf == nil {
		t.serviceOf = make(map[string]string)
		t.runs = make(map[string]map[string]bool)
		t.coming = make(map[string]string)
	}
}

// close ends the second that is being read.
func (t *Timeline) close() {
	if !t.begun {
		return
	}
	t.begun = false
	t.now.Pools = t.pools()
	t.rows = append(t.rows, t.now)
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

func (t *Timeline) take(l *line) {
	switch l.Message {
	case "worker joined":
		t.serviceOf[l.Worker] = l.Reason
		t.runs[l.Worker] = make(map[string]bool)
		delete(t.coming, l.WorkerVM)
	case "worker lost":
		delete(t.serviceOf, l.Worker)
		delete(t.runs, l.Worker)
	case "run ordered":
		t.now.Counts[Started]++
		t.run(l, true)
	case "run adopted":
		t.run(l, true)
	case "run ended", "order lost":
		t.run(l, false)
	case "worker suspected":
		t.now.Counts[Suspected]++
	case "upkeep chosen":
		t.now.Counts[Upkeep]++
	case "move chosen":
		t.now.Counts[Moved]++
		t.coming[l.WorkerVM] = strings.TrimPrefix(l.Reason, "to ")
	case "dispatch began":
		t.now.Leaders = append(t.now.Leaders, l.VM)
	case "request decided":
		t.decided(l)
	}
}

func (t *Timeline) run(l *line, runs bool) {
	items := t.runs[l.Worker]
	switch {
	case items == nil:
	case runs:
		items[l.Item] = true
	default:
		delete(items, l.Item)
	}
}

func (t *Timeline) decided(l *line) {
	if l.Operation != "submit" {
		return
	}
	switch l.Outcome {
	case "done":
		t.now.Counts[Accepted]++
	case "refused":
		t.now.Counts[Refused]++
	case "unknown":
		t.now.Counts[Unknown]++
	}
}

// Write writes the rows as a table. A pool is shown as VMs/empty+coming.
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
