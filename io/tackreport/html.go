package tackreport

import (
	"fmt"
	"html/template"
	"io"

	"auburntack/core/tackburn"
)

const pageText = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>Service levels at {{.Time}}</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border-bottom: 1px solid #ccc; padding: 0.3em 0.8em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
tr.page { background: #fdd; }
tr.ticket { background: #ffd; }
svg { max-width: 100%; height: auto; display: block; margin: 1em 0; }
</style>
</head>
<body>
<h1>Service levels at {{.Time}}</h1>
<p>Error budget over {{.Period}}. Burn rates by window: 1 uses the budget up in just that time.</p>
{{range .Sections}}<h2>By {{.Title}}</h2>
{{if .Rows}}<table>
<tr><th>{{.Title}}</th><th>objective</th><th>requests</th><th>budget left</th>{{range .Windows}}<th>{{.}}</th>{{end}}<th>time left</th><th>burnt by</th><th>mean</th><th>alert</th></tr>
{{range .Rows}}<tr class="{{.Alert}}">{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}{{.}}
{{end}}{{else}}<p>No requests.</p>
{{end}}{{end}}</body>
</html>
`

type (
	page struct {
		Time     string
		Period   string
		Sections []pageSection
	}

	pageSection struct {
		Title   string
		Windows []string
		Rows    []pageRow
		Plots   []template.HTML
	}

	pageRow struct {
		Alert string
		Cells []string
	}
)

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// HTML writes the report as a self-contained page, which includes its style and plots and loads
// no other resources.
func HTML(w io.Writer, r tackburn.Report) error {
	p := page{Time: r.Time.String(), Period: formatDuration(tackburn.Period)}
	for _, s := range sections(r) {
		ps, err := newPageSection(s)
		if err != nil {
			return err
		}
		p.Sections = append(p.Sections, ps)
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("tackreport: write page: %w", err)
	}
	return nil
}

func newPageSection(s section) (pageSection, error) {
	ps := pageSection{Title: s.Title}
	for i, l := range s.Lines {
		if i == 0 {
			for _, win := range l.Windows {
				ps.Windows = append(ps.Windows, formatSpan(win.Span))
			}
		}
		ps.Rows = append(ps.Rows, pageRow{Alert: string(l.Alert), Cells: cells(l)})
	}
	var err error
	ps.Plots, err = plots(s)
	return ps, err
}
