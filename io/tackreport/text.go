// Package tackreport formats the report of service levels as a text table and as a
// self-contained HTML page.
package tackreport

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"auburntack/core/tackburn"
	"auburntack/core/tackclock"
)

// section is one of the lists of the report, with its title.
type section struct {
	Title string
	Lines []tackburn.Summary
}

// Text writes the report as a table of services and, if there are any, of teams and of labels.
func Text(w io.Writer, r tackburn.Report) error {
	if _, err := fmt.Fprintf(w, "service levels at %s, error budget over %s\n", r.Time, formatDuration(tackburn.Period)); err != nil {
		return fmt.Errorf("tackreport: write text: %w", err)
	}
	for _, s := range sections(r) {
		if err := textSection(w, s); err != nil {
			return fmt.Errorf("tackreport: write text: %w", err)
		}
	}
	return nil
}

// sections returns the lists of the report that are not empty. The list of services is always
// included, so that an empty report says that there were no requests.
func sections(r tackburn.Report) []section {
	list := []section{{Title: "service", Lines: r.Services}}
	for _, s := range []section{{"team", r.Teams}, {"label", r.Labels}} {
		if len(s.Lines) > 0 {
			list = append(list, s)
		}
	}
	return list
}

func textSection(w io.Writer, s section) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "\nno requests by %s\n", s.Title)
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "%s\tobjective\trequests\tbudget left", s.Title)
	for _, win := range s.Lines[0].Windows {
		fmt.Fprintf(tab, "\t%s", formatSpan(win.Span))
	}
	fmt.Fprintln(tab, "\ttime left\tburnt by\tmean\talert")
	for _, l := range s.Lines {
		fmt.Fprintln(tab, strings.Join(cells(l), "\t"))
	}
	return tab.Flush()
}

// cells returns the cells of one line.
func cells(l tackburn.Summary) []string {
	list := []string{printable(l.Name), fmt.Sprintf("%g%%", l.Objective), fmt.Sprint(l.Period.Total()), formatPercent(l.BudgetLeft)}
	for _, win := range l.Windows {
		list = append(list, formatBurn(win))
	}
	return append(list, formatTimeLeft(l), formatCauses(l.Period), formatMean(l.Period), cmp.Or(string(l.Alert), "-"))
}

// printable replaces characters that are not printable, which could break the table or control
// the terminal. The names of teams come from callers.
func printable(name string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, name)
}

func formatPercent(share float64) string {
	return fmt.Sprintf("%.1f%%", share*100)
}

// formatBurn formats a burn rate, or returns "-" if there were no requests.
func formatBurn(w tackburn.Window) string {
	if w.Counts.Total() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", w.Burn)
}

func formatTimeLeft(l tackburn.Summary) string {
	switch {
	case l.Lasting:
		return "lasts"
	case l.TimeLeft == 0:
		return "spent"
	}
	return formatDuration(l.TimeLeft)
}

// formatDuration formats a duration in days and hours or in hours and minutes.
func formatDuration(d tackclock.Duration) string {
	day, hour, minute := d/tackclock.Day, d%tackclock.Day/tackclock.Hour, d%tackclock.Hour/tackclock.Minute
	switch {
	case day > 0 && hour > 0:
		return fmt.Sprintf("%dd%dh", day, hour)
	case day > 0:
		return fmt.Sprintf("%dd", day)
	case hour > 0:
		return fmt.Sprintf("%dh%dm", hour, minute)
	}
	return fmt.Sprintf("%dm", minute)
}

// formatSpan formats the length of a window in its largest unit.
func formatSpan(d tackclock.Duration) string {
	switch {
	case d >= tackclock.Day:
		return fmt.Sprintf("%dd", d/tackclock.Day)
	case d >= tackclock.Hour:
		return fmt.Sprintf("%dh", d/tackclock.Hour)
	}
	return fmt.Sprintf("%dm", d/tackclock.Minute)
}

// cause is the number of bad requests with one cause.
type cause struct {
	Name  string
	Count uint64
}

// causesOf returns the causes of bad requests, in a fixed order.
func causesOf(c tackburn.Counts) []cause {
	return []cause{{"late", c.Late}, {"refused", c.Refused}, {"lost", c.Lost}, {"wave", c.Wave}}
}

// formatCauses formats the causes of bad requests with their percentages.
func formatCauses(c tackburn.Counts) string {
	var list []string
	for _, k := range causesOf(c) {
		if k.Count > 0 {
			list = append(list, fmt.Sprintf("%s %.0f%%", k.Name, 100*float64(k.Count)/float64(c.Bad())))
		}
	}
	if list == nil {
		return "-"
	}
	return strings.Join(list, ", ")
}

// formatMean formats the mean latency of answered requests.
func formatMean(c tackburn.Counts) string {
	answered := c.Good + c.Late
	if answered == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", c.LatencyMS/answered)
}
