package tackquery

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// Table is the answer to a query. Each row has one value for each column:
	// a string, an int64, a uint64 or a bool.
	Table struct {
		Columns []string
		Rows    [][]any
	}

	// Source provides the data for queries. The state returned by Fleet must
	// not change while a query runs.
	Source interface {
		Fleet() *tackfleet.State
		Now() tackclock.Time
		BackendServers() []BackendServerRow
		Workers() []WorkerRow
		Peers() []PeerRow
		// Cost returns the estimated cost of a wave over a pool. A maxParallel
		// of 0 means no limit.
		Cost(pool tackid.Pool, action tackfleet.Action, maxParallel int) Table
		// Hints returns sentences about what the planner and the placer know
		// of a VM.
		Hints(vm tackid.VM) []string
	}

	// BackendServerRow is the last announcement of a backend server.
	BackendServerRow struct {
		BackendServer tackid.BackendServer
		Service       tackid.Service
		VM            tackid.VM
		DataCentre    tackid.DataCentre
		Rack          tackid.Rack
		Address       string
		Slots         int
		Connections   int
		InFlight      int
		Incarnation   tackid.Incarnation
		State         string
		LastHeardMS   int64
	}

	// WorkerRow is the last announcement of a worker.
	WorkerRow struct {
		Worker      tackid.VM
		DataCentre  tackid.DataCentre
		Rack        tackid.Rack
		Cores       int
		MemoryMB    int
		Incarnation tackid.Incarnation
		State       string
		LastHeardMS int64
	}

	// PeerRow is a VM of the system itself. InForce is the revision of the
	// state by which it serves requests.
	PeerRow struct {
		Peer        tackid.Peer
		DataCentre  tackid.DataCentre
		Voter       bool
		Role        string
		Applied     tackid.Revision
		Leased      bool
		LastHeardMS int64
		InForce     tackid.Revision
	}

	// NotFoundError reports a query about something that does not exist.
	NotFoundError struct {
		Kind string
		Name string
	}
)

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no %s %q", e.Kind, e.Name)
}

// Run answers a query. The error is a *NotFoundError.
func Run(q Query, src Source) (Table, error) {
	switch {
	case q.Show != nil:
		return show(q.Show, src)
	case q.Cost != nil:
		return cost(q.Cost, src)
	case q.Explain != nil:
		return explain(q.Explain.VM, src)
	case q.History != nil:
		return history(q.History, src), nil
	}
	return Table{}, nil
}

func show(q *Show, src Source) (Table, error) {
	v, found := views[q.What]
	if !found {
		return Table{}, &NotFoundError{Kind: "table", Name: string(q.What)}
	}
	table := v.table(src, q.Where)
	if q.What == ShowConfig {
		addPeers(&table, src.Peers())
	}
	return table, nil
}

// addPeers adds a column for each peer with the revision in force on it.
func addPeers(t *Table, peers []PeerRow) {
	for _, p := range peers {
		t.Columns = append(t.Columns, string(p.Peer))
		for i := range t.Rows {
			t.Rows[i] = append(t.Rows[i], uint64(p.InForce))
		}
	}
}

func cost(q *Cost, src Source) (Table, error) {
	pool, action, maxParallel := q.Pool, q.Action, q.MaxParallel
	if q.Wave != "" {
		w, found := src.Fleet().Wave(q.Wave)
		if !found {
			return Table{}, &NotFoundError{Kind: "wave", Name: string(q.Wave)}
		}
		pool, action, maxParallel = w.Pool, w.Action, w.MaxParallel
	}
	if _, found := src.Fleet().Pool(pool); !found {
		return Table{}, &NotFoundError{Kind: "pool", Name: string(pool)}
	}
	return src.Cost(pool, action, maxParallel), nil
}

func history(q *History, src Source) Table {
	table := Table{Columns: []string{"revision", "time", "event", "command_id"}, Rows: [][]any{}}
	for _, e := range src.Fleet().History(tackfleet.Filter{VM: q.VM, Key: q.Key}) {
		table.Rows = append(table.Rows, []any{uint64(e.Revision), e.Time.String(), e.Text, string(e.ID)})
	}
	return table
}
