package workload

import (
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a PNG file that shows the time to the first token of each complete answer over its time of arrival, by class.
func Plot(answers []Answer, file string) error {
	p := plot.New()
	p.Title.Text = "First token by time of arrival"
	p.X.Label.Text = "Arrival, seconds"
	p.Y.Label.Text = "First token, milliseconds"
	byClass := map[string]plotter.XYs{}
	for _, a := range answers {
		if a.Whole {
			byClass[a.Class] = append(byClass[a.Class], plotter.XY{X: a.ArrivalOffset.Seconds(), Y: float64(a.FirstToken.Microseconds()) / 1000})
		}
	}
	names := slices.Sorted(maps.Keys(byClass))
	for i, n := range names {
		s, err := plotter.NewScatter(byClass[n])
		if err != nil {
			return err
		}
		s.GlyphStyle.Color = plotutil.Color(i)
		s.GlyphStyle.Radius = vg.Points(1.5)
		p.Add(s)
		p.Legend.Add(n, s)
	}
	return p.Save(plotWidth, plotHeight, file)
}
