// Package tackquery parses the queries of operators and answers them with
// tables. Queries never change the state; see tackcommand for commands.
package tackquery

import (
	"strconv"
	"strings"

	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tacksyntax"
)

type (
	// Query has exactly one field set.
	Query struct {
		Show    *Show
		Cost    *Cost
		Explain *Explain
		History *History
	}

	// Show is "show WHAT [where FIELD = VALUE [and ...]]".
	Show struct {
		What  What
		Where []Condition
	}

	// Condition selects the rows whose field has the value.
	Condition struct {
		Field string
		Value string
	}

	// Cost is "cost wave W", or "cost wave over pool P action A
	// [max_parallel N]" for a wave that has not been created.
	Cost struct {
		Wave        tackid.Wave
		Pool        tackid.Pool
		Action      tackfleet.Action
		MaxParallel int
	}

	// Explain is "explain vm V".
	Explain struct {
		VM tackid.VM
	}

	// History is "history [of vm V | of config KEY]".
	History struct {
		VM  tackid.VM
		Key string
	}

	// What is the name of a table that can be shown.
	What string

	// SyntaxError is the position of a syntax error in a query, and what was
	// expected there.
	SyntaxError = tacksyntax.Error
)

const (
	// ShowVMs lists the VMs of the pools.
	ShowVMs What = "vms"
	// ShowPools lists the pools.
	ShowPools What = "pools"
	// ShowServices lists the services.
	ShowServices What = "services"
	// ShowBackendServers lists the backend servers that announce themselves.
	ShowBackendServers What = "backend_servers"
	// ShowWorkers lists the workers that announce themselves.
	ShowWorkers What = "workers"
	// ShowWaves lists the maintenance waves.
	ShowWaves What = "waves"
	// ShowBudgets lists the budgets and whether they are met.
	ShowBudgets What = "budgets"
	// ShowQuotas lists the quotas and their usage.
	ShowQuotas What = "quotas"
	// ShowConfig lists the settings and the revision in force on each peer.
	ShowConfig What = "config"
	// ShowPeers lists the VMs of the system itself.
	ShowPeers What = "peers"
	// ShowTasks lists the tasks.
	ShowTasks What = "tasks"
)

// over is a keyword that must be quoted if it is the name of a wave.
const over = "over"

var language = tacksyntax.New[grammar]("=")

// Parse parses the text of one query. The error is a *SyntaxError.
func Parse(text string) (Query, error) {
	g, err := language.Parse(text)
	if err != nil {
		return Query{}, err
	}
	return g.query()
}

// Text returns the canonical text of the query, which Parse parses to an equal
// query. The text of an empty query is empty.
func (q Query) Text() string {
	switch {
	case q.Show != nil:
		return q.Show.text()
	case q.Cost != nil:
		return q.Cost.text()
	case q.Explain != nil:
		return "explain vm " + tacksyntax.Quote(string(q.Explain.VM))
	case q.History != nil:
		return q.History.text()
	}
	return ""
}

func (s *Show) text() string {
	var b strings.Builder
	b.WriteString("show " + string(s.What))
	separator := " where "
	for _, c := range s.Where {
		b.WriteString(separator + c.Field + " = " + tacksyntax.Quote(c.Value))
		separator = " and "
	}
	return b.String()
}

func (c *Cost) text() string {
	if c.Wave != "" {
		return "cost wave " + tacksyntax.Quote(string(c.Wave), over)
	}
	text := "cost wave over pool " + tacksyntax.Quote(string(c.Pool)) + " action " + string(c.Action)
	if c.MaxParallel > 0 {
		text += " max_parallel " + strconv.Itoa(c.MaxParallel)
	}
	return text
}

func (h *History) text() string {
	switch {
	case h.VM != "":
		return "history of vm " + tacksyntax.Quote(string(h.VM))
	case h.Key != "":
		return "history of config " + tacksyntax.Quote(h.Key)
	}
	return "history"
}
