// Package tackquery reads the queries that operators ask and answers them
// with tables. It changes nothing; the commands are in tackcommand.
package tackquery

import (
	"strconv"
	"strings"

	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tacksyntax"
)

type (
	// Query is exactly one of its fields.
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

	// Condition keeps the rows whose field has the value.
	Condition struct {
		Field string
		Value string
	}

	// Cost is "cost wave W", or "cost wave over pool P action A
	// [max_parallel N]" for a wave that was not created yet.
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

	// What names a kind of things to show.
	What string

	// SyntaxError says where a query can't be read and what was expected.
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
	// ShowBudgets lists how the budgets stand.
	ShowBudgets What = "budgets"
	// ShowQuotas lists the quotas and what is used of them.
	ShowQuotas What = "quotas"
	// ShowConfig lists the settings and where they are in force.
	ShowConfig What = "config"
	// ShowPeers lists the VMs of the system itself.
	ShowPeers What = "peers"
	// ShowTasks lists the tasks.
	ShowTasks What = "tasks"
)

// over is the word that a wave's name must not look like.
const over = "over"

var language = tacksyntax.New[grammar]("=")

// Parse reads the text of one query. The error is a *SyntaxError.
func Parse(text string) (Query, error) {
	g, err := language.Parse(text)
	if err != nil {
		return Query{}, err
	}
	return g.query()
}

// Text returns the query as an operator would ask it. Parse reads it back to
// the same query; the empty query has an empty text.
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
	joint := " where "
	for _, c := range s.Where {
		b.WriteString(joint + c.Field + " = " + tacksyntax.Quote(c.Value))
		joint = " and "
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
