package load

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/clementinewing/clementinewing/internal/bench/report"
)

// Sizes of the plot.
const (
	pictureWidth  = 18 * vg.Centimeter
	pictureHeight = 9 * vg.Centimeter
	pointRadius   = 3 * vg.Millimeter / 2
)

// Plot draws the median wait of every policy relative to the central queue, at
// goalLoad and without a fault, on a logarithmic scale. The extension of path
// selects the format.
func Plot(r report.Result, path string) (err error) {
	defer func() { err = eris.Wrap(err, "plotting the waits") }()
	p := plot.New()
	p.Title.Text = "Mean wait for a slot at 70 % of the slots"
	p.Y.Label.Text = "times the central queue's"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{
		Prec: -1,
	}
	p.Y.Min = 1
	p.Legend.Top = true
	for i, w := range policies() {
		points, err := plotter.NewScatter(medians(r, w))
		if err != nil {
			return err
		}
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		points.Radius = pointRadius
		p.Add(points)
		p.Legend.Add(w.name, points)
	}
	p.NominalX(serviceNames()...)
	return p.Save(pictureWidth, pictureHeight, path)
}

func serviceNames() []string {
	var out []string
	for _, s := range ServiceSizes() {
		out = append(out, s.Name)
	}
	return out
}

// medians returns the medians of one policy, one for each service.
func medians(r report.Result, w policy) plotter.XYs {
	var out plotter.XYs
	for i, s := range ServiceSizes() {
		goal := scenario{
			size: s,
			load: goalLoad,
		}
		out = append(out, plotter.XY{
			X: float64(i),
			Y: median(r, goal.name()+"/"+w.name+"/wait"),
		})
	}
	return out
}

func median(r report.Result, name string) float64 {
	for _, row := range r.Rows {
		if row.Name == name {
			return row.Median
		}
	}
	return 1
}
