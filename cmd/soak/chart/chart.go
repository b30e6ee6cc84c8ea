// Package chart draws the course of a soak.
package chart

import (
	"image/color"
	"maps"
	"slices"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 30 * vg.Centimeter
	height = 20 * vg.Centimeter
)

var colors = map[string]color.Color{
	history.Served:  color.RGBA{G: 140, A: 255},
	history.Refused: color.RGBA{R: 220, G: 150, A: 255},
	history.Failed:  color.RGBA{R: 200, A: 255},
}

// Draw writes a PNG file with the requests of each second by outcome, and below them the
// faults, a row for each kind.
func Draw(t history.Timeline, path string) (err error) {
	defer pomelospring.Annotate(&err, "chart %s", path)
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second; below: faults"
	p.Legend.Top = true
	most := 0
	for _, group := range slices.Sorted(maps.Keys(t.PerSecond)) {
		points := make(plotter.XYs, 0, len(t.PerSecond[group]))
		for second, count := range t.PerSecond[group] {
			most = max(most, count)
			points = append(points, plotter.XY{X: float64(second), Y: float64(count)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = colors[group]
		p.Add(line)
		p.Legend.Add(group, line)
	}
	if err = addFaults(p, t.Faults, max(1, float64(most))); err != nil {
		return err
	}
	return p.Save(width, height, path)
}

// addFaults adds a row of bars below the counts for each kind of fault.
func addFaults(p *plot.Plot, faults []history.Span, most float64) error {
	rows := map[string]float64{}
	rowHeight := most / 20
	var labels plotter.XYLabels
	for _, f := range faults {
		y, found := rows[f.Kind]
		if !found {
			y = -rowHeight * float64(len(rows)+1)
			rows[f.Kind] = y
			labels.XYs = append(labels.XYs, plotter.XY{X: 0, Y: y})
			labels.Labels = append(labels.Labels, f.Kind)
		}
		bar, err := plotter.NewLine(plotter.XYs{{X: f.Begin, Y: y}, {X: f.End, Y: y}})
		if err != nil {
			return err
		}
		bar.Width = 4
		p.Add(bar)
	}
	if len(rows) == 0 {
		return nil
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	p.Add(names)
	return nil
}
