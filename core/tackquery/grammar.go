package tackquery

import (
	"slices"
	"strings"

	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tacksyntax"

	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar of the query language.
type (
	grammar struct {
		Show    *showGrammar    `parser:"'show' @@"`
		Cost    *costGrammar    `parser:"| 'cost' 'wave' @@"`
		Explain tacksyntax.Name `parser:"| 'explain' 'vm' @(Word | Quoted)"`
		History *historyGrammar `parser:"| @@"`
	}

	showGrammar struct {
		What  string              `parser:"@('vms' | 'pools' | 'services' | 'backend_servers' | 'workers' | 'waves' | 'budgets' | 'quotas' | 'config' | 'peers' | 'tasks')"`
		Where []*conditionGrammar `parser:"('where' @@ ('and' @@)*)?"`
	}

	conditionGrammar struct {
		Pos   lexer.Position
		Field tacksyntax.Name  `parser:"@(Word | Quoted)"`
		Value tacksyntax.Value `parser:"'=' @(Word | Quoted)"`
	}

	costGrammar struct {
		Over *overGrammar    `parser:"@@"`
		Wave tacksyntax.Name `parser:"| @(Word | Quoted)"`
	}

	overGrammar struct {
		Pool        tacksyntax.Name   `parser:"'over' 'pool' @(Word | Quoted)"`
		Action      string            `parser:"'action' @('reboot' | 'upgrade')"`
		MaxParallel tacksyntax.Number `parser:"('max_parallel' @Word)?"`
	}

	historyGrammar struct {
		History string          `parser:"@'history'"`
		VM      tacksyntax.Name `parser:"('of' ('vm' @(Word | Quoted)"`
		Key     tacksyntax.Name `parser:"| 'config' @(Word | Quoted)))?"`
	}
)

// query returns the parsed query. The error is a *SyntaxError.
func (g *grammar) query() (Query, error) {
	switch {
	case g.Show != nil:
		return g.Show.query()
	case g.Cost != nil:
		return Query{Cost: g.Cost.cost()}, nil
	case g.Explain != "":
		return Query{Explain: &Explain{VM: tackid.VM(g.Explain)}}, nil
	}
	return Query{History: &History{VM: tackid.VM(g.History.VM), Key: string(g.History.Key)}}, nil
}

func (g *showGrammar) query() (Query, error) {
	show := &Show{What: What(strings.ToLower(g.What))}
	fields := views[show.What].fields()
	for _, c := range g.Where {
		field := strings.ToLower(string(c.Field))
		if !slices.Contains(fields, field) {
			return Query{}, &SyntaxError{
				Line: c.Pos.Line, Column: c.Pos.Column, Expected: fields, Got: string(c.Field),
			}
		}
		show.Where = append(show.Where, Condition{Field: field, Value: string(c.Value)})
	}
	return Query{Show: show}, nil
}

func (g *costGrammar) cost() *Cost {
	if g.Over == nil {
		return &Cost{Wave: tackid.Wave(g.Wave)}
	}
	return &Cost{
		Pool:        tackid.Pool(g.Over.Pool),
		Action:      tackfleet.Action(strings.ToLower(g.Over.Action)),
		MaxParallel: int(g.Over.MaxParallel),
	}
}
