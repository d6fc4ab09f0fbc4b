package caller

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// SavePlot draws the percentage of answered requests and the 99th percentile of
// latency of each second, and writes the plot to the file n. The extension of the
// file name, .svg or .png, determines the format.
func (r *Report) SavePlot(n string) error {
	p := plot.New()
	p.Title.Text = "Requests by second"
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "answered (%), p99 latency (ms)"
	p.Y.Min = 0
	var a, l plotter.XYs
	for _, s := range r.Seconds {
		if s.Counts.Sent == 0 {
			continue
		}
		x := s.Offset.Seconds()
		a = append(a, plotter.XY{X: x, Y: 100 * float64(s.Counts.Answered) / float64(s.Counts.Sent)})
		l = append(l, plotter.XY{X: x, Y: s.P99.Seconds() * 1e3})
	}
	if e := plotutil.AddLinePoints(p, "answered (%)", a, "p99 (ms)", l); e != nil {
		return fmt.Errorf("load: draw plot: %w", e)
	}
	if e := p.Save(plotWidth, plotHeight, n); e != nil {
		return fmt.Errorf("load: save plot: %w", e)
	}
	return nil
}
