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
	maxLines   = 6 // of the plot over time; more cannot be told apart

	// legendRoom lengthens an axis so that the legend hides nothing.
	legendRoom = 1.5
)

// palette holds colours that stay apart for readers with colour blindness.
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
	spent, err := spentPlot(s)
	if err != nil {
		return nil, err
	}
	overTime, err := burnPlot(s)
	if err != nil {
		return nil, err
	}
	return []template.HTML{spent, overTime}, nil
}

// spentPlot shows for each line how much of the budget went, stacked by cause.
func spentPlot(s section) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "error budget spent by cause"
	p.X.Label.Text = "per cent of the budget"
	p.X.Min = 0
	p.Legend.Top = true
	lines := slices.Clone(s.Lines)
	slices.Reverse(lines)
	var below *plotter.BarChart
	for i, k := range causesOf(tackburn.Counts{}) {
		bars, err := plotter.NewBarChart(shares(lines, i), barHeight*2/3)
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
	p.X.Max = max(p.X.Max, 100) * legendRoom
	return svg(p, barPadding+barHeight*vg.Length(len(lines)))
}

// shares returns, for each line, the per cent of its budget that its ith cause
// used.
func shares(lines []tackburn.Summary, i int) plotter.Values {
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

// burnPlot shows the burn rate by six hours over three days of the lines with
// the least budget left.
func burnPlot(s section) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "burn rate by six hours"
	p.Y.Label.Text = "times what is allowed"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02 15:04"}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range worst(s.Lines) {
		line, err := plotter.NewLine(burns(l))
		if err != nil {
			return "", fmt.Errorf("tackreport: plot burn: %w", err)
		}
		line.Color = palette[i]
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(printable(l.Name), line)
	}
	p.Y.Max = max(p.Y.Max, 1) * legendRoom
	return svg(p, lineHeight)
}

// worst returns the lines that burnt most in three days, at most maxLines.
func worst(lines []tackburn.Summary) []tackburn.Summary {
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

// burns returns the burn rate over the quarters of days, to the end of the
// last one.
func burns(l tackburn.Summary) plotter.XYs {
	xys := make(plotter.XYs, 0, len(l.Quarters)+1)
	for _, q := range l.Quarters {
		xys = append(xys, plotter.XY{X: float64(q.Start) / 1000, Y: q.Counts.Burn(l.Objective)})
	}
	last := l.Quarters[len(l.Quarters)-1]
	end := last.Start.Add(last.Width)
	return append(xys, plotter.XY{X: float64(end) / 1000, Y: last.Counts.Burn(l.Objective)})
}

// svg draws a plot as an SVG element to stand inside HTML. The library
// escapes all text.
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
