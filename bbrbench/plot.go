package bbrbench

import (
	"fmt"
	"sort"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of plots.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// PlotTimeline draws the acknowledged writes of each group over time. The
// file's name tells the format: .svg or .png.
func PlotTimeline(r *Report, file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, %s: acknowledged writes", r.Request.Experiment, r.Request.Deployment, r.Request.Policy)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "writes per 100 ms"
	var names []string
	for g := range r.Timeline {
		names = append(names, string(g))
	}
	sort.Strings(names)
	var lines []any
	for _, name := range names {
		for g, counts := range r.Timeline {
			if string(g) == name {
				lines = append(lines, name, points(counts))
			}
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw the timeline")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save the plot")
}

func points(counts []int) plotter.XYs {
	out := make(plotter.XYs, len(counts))
	for i, n := range counts {
		out[i] = plotter.XY{X: float64(i) / 10, Y: float64(n)}
	}
	return out
}

// PlotNumber draws one number of several reports as bars.
func PlotNumber(reports []*Report, number, file string) error {
	p := plot.New()
	p.Title.Text = number
	var values plotter.Values
	var names []string
	for _, r := range reports {
		values = append(values, r.numbers()[number])
		names = append(names, fmt.Sprintf("%s\n%s", r.Request.Experiment, r.Request.Policy))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(28))
	if err != nil {
		return errors.Wrap(err, "draw the bars")
	}
	bars.Color = plotutil.Color(2)
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Min = 0
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save the plot")
}
