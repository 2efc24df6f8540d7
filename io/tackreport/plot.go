package tackreport

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"slices"

	"auburntack/core/tackburn"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	lineHeight = 7 * vg.Centimeter
	barHeight  = 0.6 * vg.Centimeter
	barPadding = 2.5 * vg.Centimeter
	maxLines   = 6 // of the plot over time; more lines cannot be distinguished

	// legendScale is the factor by which an axis is extended, so that the legend covers no
	// data.
	legendScale = 1.5
)

// palette contains colours that readers with colour blindness can distinguish.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
}

// plots returns the plots of a section as SVG.
func plots(s section) ([]template.HTML, error) {
	if len(s.Lines) == 0 {
		return nil, nil
	}
	spent, err := budgetPlot(s)
	if err != nil {
		return nil, err
	}
	overTime, err := burnPlot(s)
	if err != nil {
		return nil, err
	}
	return []template.HTML{spent, overTime}, nil
}

// budgetPlot plots the used share of the budget of each line, stacked by cause.
func budgetPlot(s section) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "error budget spent by cause"
	p.X.Label.Text = "per cent of the budget"
	p.X.Min = 0
	p.Legend.Top = true
	lines := slices.Clone(s.Lines)
	slices.Reverse(lines)
	var below *plotter.BarChart
	for i, k := range causesOf(tackburn.Counts{}) {
		bars, err := plotter.NewBarChart(budgetShares(lines, i), barHeight*2/3)
		if err != nil {
			return "", fmt.Errorf("tackreport: plot causes: %w", err)
		}
		bars.Horizontal = true
		bars.Color = palette[i]
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(k.Name, bars)
	}
	p.NominalY(names(lines)...)
	p.X.Max = max(p.X.Max, 100) * legendScale
	return svg(p, barPadding+barHeight*vg.Length(len(lines)))
}

// budgetShares returns, for each line, the percentage of its budget that the ith cause used.
func budgetShares(lines []tackburn.Summary, i int) plotter.Values {
	v := make(plotter.Values, len(lines))
	for n, l := range lines {
		if bad := l.Period.Bad(); bad > 0 {
			spent := l.Period.Burn(l.Objective) * 100
			v[n] = spent * float64(causesOf(l.Period)[i].Count) / float64(bad)
		}
	}
	return v
}

func names(lines []tackburn.Summary) []string {
	list := make([]string, len(lines))
	for i, l := range lines {
		list[i] = printable(l.Name)
	}
	return list
}

// burnPlot plots the burn rate over three days, in steps of six hours, of the lines with the
// least budget left.
func burnPlot(s section) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "burn rate by six hours"
	p.Y.Label.Text = "times what is allowed"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02 15:04"}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range leastBudget(s.Lines) {
		line, err := plotter.NewLine(burnPoints(l))
		if err != nil {
			return "", fmt.Errorf("tackreport: plot burn: %w", err)
		}
		line.Color = palette[i]
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(printable(l.Name), line)
	}
	p.Y.Max = max(p.Y.Max, 1) * legendScale
	return svg(p, lineHeight)
}

// leastBudget returns the lines with the least budget left that have data for the plot, at most
// maxLines.
func leastBudget(lines []tackburn.Summary) []tackburn.Summary {
	list := slices.DeleteFunc(slices.Clone(lines), func(l tackburn.Summary) bool { return len(l.Quarters) == 0 })
	slices.SortStableFunc(list, func(a, b tackburn.Summary) int {
		switch {
		case a.BudgetLeft < b.BudgetLeft:
			return -1
		case a.BudgetLeft > b.BudgetLeft:
			return 1
		}
		return 0
	})
	return list[:min(len(list), maxLines)]
}

// burnPoints returns the points of the burn rate per quarter of a day, up to the end of the last
// quarter.
func burnPoints(l tackburn.Summary) plotter.XYs {
	xys := make(plotter.XYs, 0, len(l.Quarters)+1)
	for _, q := range l.Quarters {
		xys = append(xys, plotter.XY{X: float64(q.Start) / 1000, Y: q.Counts.Burn(l.Objective)})
	}
	last := l.Quarters[len(l.Quarters)-1]
	end := last.Start.Add(last.Width)
	return append(xys, plotter.XY{X: float64(end) / 1000, Y: last.Counts.Burn(l.Objective)})
}

// svg renders a plot as an SVG element for inclusion in HTML. The library escapes all text.
func svg(p *plot.Plot, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, height)
	p.Draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", fmt.Errorf("tackreport: draw: %w", err)
	}
	_, element, found := bytes.Cut(buf.Bytes(), []byte("<svg"))
	if !found {
		return "", fmt.Errorf("tackreport: draw: no svg element")
	}
	return template.HTML("<svg" + string(element)), nil
}
