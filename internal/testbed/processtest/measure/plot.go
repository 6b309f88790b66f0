package measure

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a plot and of its lines.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	lineWidth  = 1.5 // points
)

// plotLine is a line of a plot.
type plotLine struct {
	name  string
	color color.Color
	count func(SecondCounts) int
}

// plotLines returns the lines of the plot that Plot draws.
func plotLines() []plotLine {
	return []plotLine{
		{
			name:  "served",
			color: color.RGBA{R: 0, G: 110, B: 60, A: 255},
			count: func(s SecondCounts) int { return s.Served },
		},
		{
			name:  "rejected before they ran",
			color: color.RGBA{R: 200, G: 130, B: 0, A: 255},
			count: func(s SecondCounts) int { return s.Rejected },
		},
		{
			name:  "unknown outcome",
			color: color.RGBA{R: 190, G: 0, B: 0, A: 255},
			count: func(s SecondCounts) int { return s.Indeterminate },
		},
		{
			name:  "connection refused or lost",
			color: color.RGBA{R: 120, G: 120, B: 120, A: 255},
			count: func(s SecondCounts) int { return s.Unanswered },
		},
	}
}

// Plot plots the result of Loss into a file. The extension of its name determines the format.
func Plot(seconds []SecondCounts, path string) error {
	drawing := plot.New()
	drawing.Title.Text = "Requests by second while one of three servers is lost with its disk and restarted"
	drawing.X.Label.Text = "second"
	drawing.Y.Label.Text = "requests"
	drawing.Y.Min = 0
	drawing.Legend.Top = true
	for _, plotted := range plotLines() {
		points := make(plotter.XYs, len(seconds))
		for i, counts := range seconds {
			points[i] = plotter.XY{X: float64(i), Y: float64(plotted.count(counts))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotted.color
		line.Width = vg.Points(lineWidth)
		drawing.Add(line)
		drawing.Legend.Add(plotted.name, line)
	}
	return drawing.Save(plotWidth, plotHeight, path)
}
