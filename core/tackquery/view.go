package tackquery

import (
	"fmt"
	"strings"

	"auburntack/core/tackclock"
)

type (
	// view is one of the tables that can be shown.
	view interface {
		fields() []string
		table(src Source, where []Condition) Table
	}

	// viewOf is a view with rows of the type R.
	viewOf[R any] struct {
		columns []column[R]
		rows    func(src Source) []R
	}

	// column is a named value of a row.
	column[R any] struct {
		name  string
		value func(r *R) any
	}

	// test selects the rows whose column has the wanted value.
	test[R any] struct {
		column column[R]
		want   string
	}
)

// fields returns the names of the columns.
func (v viewOf[R]) fields() []string {
	names := make([]string, 0, len(v.columns))
	for _, c := range v.columns {
		names = append(names, c.name)
	}
	return names
}

// table lists the rows that meet every condition.
func (v viewOf[R]) table(src Source, where []Condition) Table {
	t := Table{Columns: v.fields(), Rows: [][]any{}}
	tests := v.tests(where)
	rows := v.rows(src)
	for i := range rows {
		if passes(&rows[i], tests) {
			t.Rows = append(t.Rows, v.row(&rows[i]))
		}
	}
	return t
}

func (v viewOf[R]) row(r *R) []any {
	values := make([]any, 0, len(v.columns))
	for _, c := range v.columns {
		values = append(values, c.value(r))
	}
	return values
}

// tests returns the tests for the conditions, whose fields Parse has checked.
func (v viewOf[R]) tests(where []Condition) []test[R] {
	var tests []test[R]
	for _, w := range where {
		for _, c := range v.columns {
			if c.name == w.Field {
				tests = append(tests, test[R]{column: c, want: w.Value})
			}
		}
	}
	return tests
}

func passes[R any](r *R, tests []test[R]) bool {
	for _, t := range tests {
		if !matches(t.column.value(r), t.want) {
			return false
		}
	}
	return true
}

// matches reports whether a value is equal to the text that an operator wrote.
// For booleans, yes and no mean true and false.
func matches(value any, want string) bool {
	truth, ok := value.(bool)
	if !ok {
		return fmt.Sprint(value) == want
	}
	if truth {
		return strings.EqualFold(want, "true") || strings.EqualFold(want, "yes")
	}
	return strings.EqualFold(want, "false") || strings.EqualFold(want, "no")
}

// timeText formats a time; the zero time is empty.
func timeText(t tackclock.Time) string {
	if t == 0 {
		return ""
	}
	return t.String()
}
