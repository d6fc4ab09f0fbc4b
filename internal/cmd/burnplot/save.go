package burnplot

import (
	"errors"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 12
	// maxDrawn is the greatest burn rate that is drawn; higher bars end there.
	maxDrawn = 30
)

// Save draws the burn rates of the entries and data centres of r into the file
// p; its ending, .svg or .png, chooses the format.
func Save(r operator.Report, p string) error {
	v := plot.New()
	v.Title.Text = "Service-level burn"
	v.Y.Label.Text = fmt.Sprintf("burn rate (1 is what the objective allows; at most %d drawn)", maxDrawn)
	v.Y.Min, v.Y.Max = 0, maxDrawn
	a := append(append([]operator.ReportLine{}, r.ByEntry...), r.ByDataCentre...)
	if len(a) == 0 {
		return errors.New("burnplot: no requests to draw")
	}
	for _, w := range operator.Windows() {
		if e := addBars(v, a, w); e != nil {
			return e
		}
	}
	n := make([]string, len(a))
	for i, l := range a {
		n[i] = l.Name
	}
	v.NominalX(n...)
	// The space on the right is for the legend.
	v.X.Min, v.X.Max = -0.6, float64(len(a))
	v.Add(plotter.NewGrid())
	v.Legend.Top = true
	if e := v.Save(plotWidth, plotHeight, p); e != nil {
		return fmt.Errorf("burnplot: %w", e)
	}
	return nil
}

// addBars adds the bars of the window w, one for each line of a.
func addBars(v *plot.Plot, a []operator.ReportLine, w operator.Window) error {
	y := make(plotter.Values, len(a))
	for i, l := range a {
		y[i] = min(l.Burn[w], maxDrawn)
	}
	b, e := plotter.NewBarChart(y, vg.Points(barWidth))
	if e != nil {
		return fmt.Errorf("burnplot: %w", e)
	}
	n := len(operator.Windows())
	b.Color = plotutil.Color(int(w))
	b.Offset = vg.Points(barWidth * (float64(w) - float64(n-1)/2))
	v.Add(b)
	v.Legend.Add(w.String(), b)
	return nil
}
