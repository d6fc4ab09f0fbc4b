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
	plotWidth      = 24 * vg.Centimeter
	plotHeight     = 12 * vg.Centimeter
	barWidthPoints = 12
	// maxPlottedBurn is the end of the scale. Bars of higher burn rates are cut
	// off there.
	maxPlottedBurn = 30
)

// Save draws the burn rates of the entries and data centres of r as a bar chart
// and writes it to the file p. The extension of p, .svg or .png, selects the
// format.
func Save(r operator.Report, p string) error {
	v := plot.New()
	v.Title.Text = "Burn rates of error budgets"
	v.Y.Label.Text = fmt.Sprintf("burn rate (1 uses up exactly the error budget; bars end at %d)", maxPlottedBurn)
	v.Y.Min, v.Y.Max = 0, maxPlottedBurn
	a := append(append([]operator.ReportLine{}, r.ByEntry...), r.ByDataCentre...)
	if len(a) == 0 {
		return errors.New("burnplot: report contains no entries or data centres")
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
	// The wider margin on the right leaves space for the legend.
	v.X.Min, v.X.Max = -0.6, float64(len(a))
	v.Add(plotter.NewGrid())
	v.Legend.Top = true
	if e := v.Save(plotWidth, plotHeight, p); e != nil {
		return fmt.Errorf("burnplot: %w", e)
	}
	return nil
}

// addBars adds the bars of the window w, one for each line of a, beside those
// of the other windows.
func addBars(v *plot.Plot, a []operator.ReportLine, w operator.Window) error {
	y := make(plotter.Values, len(a))
	for i, l := range a {
		y[i] = min(l.Burn[w], maxPlottedBurn)
	}
	b, e := plotter.NewBarChart(y, vg.Points(barWidthPoints))
	if e != nil {
		return fmt.Errorf("burnplot: %w", e)
	}
	n := len(operator.Windows())
	b.Color = plotutil.Color(int(w))
	b.Offset = vg.Points(barWidthPoints * (float64(w) - float64(n-1)/2))
	v.Add(b)
	v.Legend.Add(w.String(), b)
	return nil
}
