// Package tackreport renders the account of service levels for people: as a
// table of text and as one HTML page that needs no other file.
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

// section is one of the report's lists with its title.
type section struct {
	Title string
	Lines []tackburn.Summary
}

// Text writes the report as a table for each of services, teams and labels
// that has any.
func Text(w io.Writer, r tackburn.Report) error {
	if _, err := fmt.Fprintf(w, "service levels at %s, error budget over %s\n", r.Time, days(tackburn.Period)); err != nil {
		return fmt.Errorf("tackreport: write text: %w", err)
	}
	for _, s := range sections(r) {
		if err := textSection(w, s); err != nil {
			return fmt.Errorf("tackreport: write text: %w", err)
		}
	}
	return nil
}

// sections returns the lists of the report that hold anything; services
// always, so that an empty report says so.
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
		fmt.Fprintf(tab, "\t%s", span(win.Span))
	}
	fmt.Fprintln(tab, "\ttime left\tburnt by\tmean\talert")
	for _, l := range s.Lines {
		fmt.Fprintln(tab, strings.Join(cells(l), "\t"))
	}
	return tab.Flush()
}

// cells returns the columns of one line.
func cells(l tackburn.Summary) []string {
	list := []string{printable(l.Name), fmt.Sprintf("%g%%", l.Objective), fmt.Sprint(l.Period.Total()), percent(l.BudgetLeft)}
	for _, win := range l.Windows {
		list = append(list, burn(win))
	}
	return append(list, timeLeft(l), causes(l.Period), mean(l.Period), cmp.Or(string(l.Alert), "-"))
}

// printable replaces what would break a table or a terminal. Names of teams
// come from callers.
func printable(name string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, name)
}

func percent(share float64) string {
	return fmt.Sprintf("%.1f%%", share*100)
}

// burn formats a burn rate, "-" where nothing was counted.
func burn(w tackburn.Window) string {
	if w.Counts.Total() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", w.Burn)
}

func timeLeft(l tackburn.Summary) string {
	switch {
	case l.Lasting:
		return "lasts"
	case l.TimeLeft == 0:
		return "spent"
	}
	return days(l.TimeLeft)
}

// days formats a long duration in its two largest units.
func days(d tackclock.Duration) string {
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

// span formats the span of a window.
func span(d tackclock.Duration) string {
	switch {
	case d >= tackclock.Day:
		return fmt.Sprintf("%dd", d/tackclock.Day)
	case d >= tackclock.Hour:
		return fmt.Sprintf("%dh", d/tackclock.Hour)
	}
	return fmt.Sprintf("%dm", d/tackclock.Minute)
}

// cause is one way in which requests went bad.
type cause struct {
	Name  string
	Count uint64
}

// causesOf returns the ways in which requests went bad, in a fixed order.
func causesOf(c tackburn.Counts) []cause {
	return []cause{{"late", c.Late}, {"refused", c.Refused}, {"lost", c.Lost}, {"wave", c.Wave}}
}

// causes says what burnt the budget, each cause with its share.
func causes(c tackburn.Counts) string {
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

// mean formats the mean time of an answer.
func mean(c tackburn.Counts) string {
	answered := c.Good + c.Late
	if answered == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", c.LatencyMS/answered)
}
