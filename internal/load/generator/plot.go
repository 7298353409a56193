package generator

import (
	"fmt"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// This file draws waiting time against load: one line for the median and one
// for the 99th percentile of each stream.

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	leastWait  = 0.1 // milliseconds, since the scale is logarithmic
)

// Plot writes the waiting times of several runs of one mix as an SVG file.
func Plot(path string, reports []*Report) error {
	if len(reports) == 0 {
		return errors.New("plot: no runs")
	}
	p := plot.New()
	p.Title.Text = "Waiting time against load, mix " + reports[0].Mix
	p.X.Label.Text = "requests in a second"
	p.Y.Label.Text = "time from request to start, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for i, s := range reports[0].Streams {
		p50 := make(plotter.XYs, len(reports))
		p99 := make(plotter.XYs, len(reports))
		for n, r := range reports {
			w := r.Streams[i].Wait
			p50[n] = plotter.XY{X: r.Rate, Y: max(w.P50, leastWait)}
			p99[n] = plotter.XY{X: r.Rate, Y: max(w.P99, leastWait)}
		}
		lines = append(lines, fmt.Sprintf("%s p50", s.Name), p50, fmt.Sprintf("%s p99", s.Name), p99)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Annotate(err, "plot")
	}
	return errors.Annotate(p.Save(plotWidth, plotHeight, path), "plot")
}
