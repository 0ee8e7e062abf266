// Package chart draws line charts as PNG and SVG.
package chart

import (
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a chart.
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

// Chart is a line chart.
type Chart struct {
	Title  string
	XLabel string
	YLabel string
	Lines  []Line
}

// AddPoint adds a point to the line of the given name, which it creates if there is none.
func (c *Chart) AddPoint(name string, point Point) {
	for index := range c.Lines {
		if c.Lines[index].Name == name {
			c.Lines[index].Points = append(c.Lines[index].Points, point)
			return
		}
	}
	c.Lines = append(c.Lines, Line{Name: name, Points: []Point{point}})
}

// SaveAt is Save with a path without file extension.
func (c Chart) SaveAt(path string) error {
	return c.Save(filepath.Split(path))
}

// Save writes the chart to directory/name.png and directory/name.svg.
func (c Chart) Save(directory, name string) error {
	diagram := plot.New()
	diagram.Title.Text = c.Title
	diagram.X.Label.Text, diagram.Y.Label.Text = c.XLabel, c.YLabel
	diagram.Y.Min = 0
	diagram.Legend.Top, diagram.Legend.Left = true, true
	diagram.Add(plotter.NewGrid())
	for index, line := range c.Lines {
		points := make(plotter.XYs, 0, len(line.Points))
		for _, point := range line.Points {
			points = append(points, plotter.XY{X: point.X, Y: point.Y})
		}
		curve, markers, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Annotate(err, line.Name)
		}
		curve.Color, markers.Color = plotutil.Color(index), plotutil.Color(index)
		markers.Shape = plotutil.Shape(index)
		diagram.Add(curve, markers)
		if len(c.Lines) > 1 {
			diagram.Legend.Add(line.Name, curve, markers)
		}
	}
	for _, extension := range []string{".png", ".svg"} {
		if err := diagram.Save(width, height, filepath.Join(directory, name+extension)); err != nil {
			return errors.Annotate(err, name)
		}
	}
	return nil
}
