package tackmeasure

import (
	"fmt"
	"io"
	"strings"
)

// Table is a text table with column titles.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Add adds a row. Floating-point numbers are rounded by their magnitude.
func (t *Table) Add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, cell(c))
	}
	t.Rows = append(t.Rows, row)
}

func cell(c any) string {
	f, ok := c.(float64)
	switch {
	case !ok:
		return fmt.Sprint(c)
	case f >= 100 || f <= -100:
		return fmt.Sprintf("%.0f", f)
	case f >= 10 || f <= -10:
		return fmt.Sprintf("%.1f", f)
	default:
		return fmt.Sprintf("%.2f", f)
	}
}

// WriteMarkdown writes the table in Markdown.
func (t *Table) WriteMarkdown(w io.Writer) error {
	lines := []string{markdownRow(t.Columns), "|" + strings.Repeat(" --- |", len(t.Columns))}
	for _, r := range t.Rows {
		lines = append(lines, markdownRow(r))
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

// WriteTabs writes the table as tab-separated values.
func (t *Table) WriteTabs(w io.Writer) error {
	lines := []string{strings.Join(t.Columns, "\t")}
	for _, r := range t.Rows {
		lines = append(lines, strings.Join(r, "\t"))
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

func markdownRow(cells []string) string {
	return "| " + strings.Join(cells, " | ") + " |"
}
