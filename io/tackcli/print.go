package tackcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"auburntack/core/tackid"
	"auburntack/io/tackclient"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

func (t *Tool) ask(ctx context.Context, query string) error {
	a, err := t.client.Ask(ctx, query)
	if err != nil {
		return err
	}
	return t.print(a, "the VM that answered is cut off")
}

// print prints an answer. The text unconfirmed is the reason to print if it is
// not confirmed.
func (t *Tool) print(a tackclient.Answer, unconfirmed string) error {
	if t.output == outputJSON {
		return printJSON(t.Stdout, a)
	}
	if !a.Confirmed {
		fmt.Fprintf(t.Stderr, "auburntack: not confirmed: %s and knows up to revision %d\n", unconfirmed, a.Revision)
	}
	return printTable(t.Stdout, a)
}

func (t *Tool) do(ctx context.Context, cmd tackclient.Command) error {
	d, err := t.client.Do(ctx, cmd)
	if err != nil {
		return err
	}
	if t.output == outputJSON {
		return printJSON(t.Stdout, d)
	}
	fmt.Fprintf(t.Stdout, "accepted at revision %d\n", d.Revision)
	if len(d.NotInForce) > 0 {
		fmt.Fprintf(t.Stdout, "not in force on %s, which lost contact and stopped relying on what they know\n", joinPeers(d.NotInForce))
	}
	return nil
}

func joinPeers(peers []tackid.Peer) string {
	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = printable(string(p))
	}
	return strings.Join(names, ", ")
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// printTable prints an answer as a table with aligned columns.
func printTable(w io.Writer, a tackclient.Answer) error {
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	printRow(tw, a.Columns)
	for _, row := range a.Rows {
		cells := make([]string, len(row))
		for i, v := range row {
			cells[i] = cell(v)
		}
		printRow(tw, cells)
	}
	return tw.Flush()
}

// printRow prints one row. The last cell has no tab after it, so that lines
// have no trailing spaces.
func printRow(w io.Writer, cells []string) {
	fmt.Fprintln(w, strings.Join(cells, "\t"))
}

// cell formats a value of a table. An empty value is shown as "-", so that a
// row can be split into its columns.
func cell(v any) string {
	if v == nil {
		return "-"
	}
	text := printable(fmt.Sprint(v))
	if text == "" {
		return "-"
	}
	return text
}

// printable escapes control characters in text. A name that came from a backend
// server could otherwise send escape sequences to the operator's terminal.
func printable(text string) string {
	if strings.IndexFunc(text, unicode.IsControl) < 0 {
		return text
	}
	quoted := strconv.QuoteToGraphic(text)
	return quoted[1 : len(quoted)-1]
}
