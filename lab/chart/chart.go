// Package chart draws the lab's results as PNG and SVG.
package chart

import (
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a chart.
const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Point is one point of a line.
type Point struct {
	X, Y float64
}

// Line is one line of a chart.
type Line struct {
	Name   string
	Points []Point
}

// Chart is a chart of lines.
type Chart struct {
	Title  string
	XLabel string
	YLabel string
	Lines  []Line
}

// AddPoint adds a point to the line with a name, and the line if there is none yet.
func (c *Chart) AddPoint(name string, point Point) {
	for index := range c.Lines {
		if c.Lines[index].Name == name {
			c.Lines[index].Points = append(c.Lines[index].Points, point)
			return
		}
	}
	c.Lines = append(c.Lines, Line{Name: name, Points: []Point{point}})
}

// SaveAt is Save of a path without an ending.
func (c Chart) SaveAt(path string) error {
	return c.Save(filepath.Split(path))
}

// Save writes the chart as folder/name.png and folder/name.svg.
func (c Chart) Save(folder, name string) error {
	drawn := plot.New()
	drawn.Title.Text = c.Title
	drawn.X.Label.Text, drawn.Y.Label.Text = c.XLabel, c.YLabel
	drawn.Y.Min = 0
	drawn.Legend.Top, drawn.Legend.Left = true, true
	drawn.Add(plotter.NewGrid())
	for index, line := range c.Lines {
		points := make(plotter.XYs, 0, len(line.Points))
		for _, point := range line.Points {
			points = append(points, plotter.XY{X: point.X, Y: point.Y})
		}
		curve, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Annotate(err, line.Name)
		}
		curve.Color, dots.Color = plotutil.Color(index), plotutil.Color(index)
		dots.Shape = plotutil.Shape(index)
		drawn.Add(curve, dots)
		if len(c.Lines) > 1 {
			drawn.Legend.Add(line.Name, curve, dots)
		}
	}
	for _, ending := range []string{".png", ".svg"} {
		if err := drawn.Save(width, height, filepath.Join(folder, name+ending)); err != nil {
			return errors.Annotate(err, name)
		}
	}
	return nil
}
