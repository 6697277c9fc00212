package load

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/clementinewing/clementinewing/internal/bench/report"
)

// Sizes of the picture.
const (
	pictureWidth  = 18 * vg.Centimeter
	pictureHeight = 9 * vg.Centimeter
	pointRadius   = 3 * vg.Millimeter / 2
)

// Plot draws the median wait of every way of placing over the central queue's,
// at the goal's load and without a fault, on a logarithmic scale. The path's
// extension names the format.
func Plot(r report.Result, path string) (err error) {
	defer func() { err = eris.Wrap(err, "drawing the waits") }()
	p := plot.New()
	p.Title.Text = "Mean wait for a slot at 70 % of the slots"
	p.Y.Label.Text = "times the central queue's"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{
		Prec: -1,
	}
	p.Y.Min = 1
	p.Legend.Top = true
	for i, w := range ways() {
		points, err := plotter.NewScatter(heights(r, w))
		if err != nil {
			return err
		}
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		points.Radius = pointRadius
		p.Add(points)
		p.Legend.Add(w.name, points)
	}
	p.NominalX(shapeNames()...)
	return p.Save(pictureWidth, pictureHeight, path)
}

func shapeNames() []string {
	var out []string
	for _, s := range Shapes() {
		out = append(out, s.Name)
	}
	return out
}

// heights are the medians of one way, a shape each.
func heights(r report.Result, w way) plotter.XYs {
	var out plotter.XYs
	for i, s := range Shapes() {
		goal := scene{
			shape: s,
			load:  goalLoad,
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
