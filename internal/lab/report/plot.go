package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/zinniafork/zinniafork/internal/lab/series"
)

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 3 * vg.Inch
	lineWidth   = vg.Length(1.5)
	headroom    = 1.1
)

// curve is one line of a chart.
type curve struct {
	name   string
	points []series.Point
}

// marker is a moment that a chart shows.
type marker struct {
	at   time.Duration
	text string
}

// chart draws curves over time with markers as an SVG element.
func chart(title, unit string, curves []curve, markers []marker) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds after the start of the load"
	p.Y.Label.Text = unit
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top = true
	p.Legend.XOffs = -vg.Points(10)
	p.Add(plotter.NewGrid())
	highest := 0.0
	for i, c := range curves {
		line, top, err := lineOf(c, i)
		if err != nil {
			return "", fmt.Errorf("chart %q: %w", title, err)
		}
		highest = max(highest, top)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	p.Y.Max = max(highest*headroom, 1)
	for _, m := range markers {
		if err := addMarker(p, m); err != nil {
			return "", fmt.Errorf("chart %q: %w", title, err)
		}
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("chart %q: %w", title, err)
	}
	return template.HTML(svgElement(out.Bytes())), nil //nolint:gosec // the library escapes its texts
}

// svgElement drops the XML declaration, which has no place within HTML.
func svgElement(document []byte) []byte {
	if i := bytes.Index(document, []byte("<svg")); i > 0 {
		return document[i:]
	}
	return document
}

func lineOf(c curve, index int) (line *plotter.Line, highest float64, err error) {
	points := make(plotter.XYs, 0, len(c.points))
	for _, pt := range c.points {
		points = append(points, plotter.XY{X: pt.At.Seconds(), Y: pt.Value})
		highest = max(highest, pt.Value)
	}
	if len(points) == 0 {
		points = plotter.XYs{{}}
	}
	line, err = plotter.NewLine(points)
	if err != nil {
		return nil, 0, err
	}
	line.Color = plotutil.Color(index)
	line.Width = lineWidth
	return line, highest, nil
}

func addMarker(p *plot.Plot, m marker) error {
	x := m.at.Seconds()
	line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: p.Y.Max}})
	if err != nil {
		return err
	}
	line.Color = color.Gray{Y: 90}
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	label, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    plotter.XYs{{X: x, Y: p.Y.Max * 0.93}},
		Labels: []string{" " + m.text},
	})
	if err != nil {
		return err
	}
	p.Add(line, label)
	return nil
}
