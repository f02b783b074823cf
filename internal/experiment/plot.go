package experiment

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Size of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 24 * vg.Centimeter
)

// panel is one of the stacked charts of the plot. All have the load as x axis.
type panel struct {
	label     string
	hasLegend bool
	value     func(Result) float64
}

var panels = []panel{
	{"p99 latency (ms)", true, func(r Result) float64 { return r.P99MS }},
	{"coverage", false, func(r Result) float64 { return r.Coverage }},
	{"extra load (%)", false, func(r Result) float64 { return 100 * r.ExtraLoad }},
	{"useful answers / slots", false, func(r Result) float64 { return r.GoodputFraction }},
}

var policyColours = map[string]color.Color{
	"shipped":   color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	"baseline":  color.RGBA{R: 0xc0, G: 0x52, B: 0x2b, A: 0xff},
	floorPolicy: color.RGBA{R: 0x55, G: 0x55, B: 0x55, A: 0xff},
}

// Plot writes charts of a load curve's latency, coverage, extra load and useful
// answers to a file. The extension of path selects the format, SVG or PNG.
func Plot(path string, results []Result) error {
	plots := make([][]*plot.Plot, len(panels))
	for i, p := range panels {
		panelPlot, err := drawPanel(p, results)
		if err != nil {
			return err
		}
		plots[i] = []*plot.Plot{panelPlot}
	}
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	canvas, err := draw.NewFormattedCanvas(plotWidth, plotHeight, format)
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Centimeter / 2}
	cells := plot.Align(plots, tiles, draw.New(canvas))
	for i := range plots {
		plots[i][0].Draw(cells[i][0])
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	defer file.Close()
	if _, err := canvas.WriteTo(file); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return file.Close()
}

func drawPanel(p panel, results []Result) (*plot.Plot, error) {
	out := plot.New()
	out.X.Label.Text = "load as a share of the slots"
	out.Y.Label.Text = p.label
	out.Y.Min = 0
	out.Add(plotter.NewGrid())
	for _, policy := range append(policies, floorPolicy) {
		line, points, err := plotter.NewLinePoints(pointsOf(p, policy, results))
		if err != nil {
			return nil, fmt.Errorf("plot %s of %s: %w", p.label, policy, err)
		}
		line.Color = policyColours[policy]
		points.Color = policyColours[policy]
		out.Add(line, points)
		if p.hasLegend {
			out.Legend.Add(policy, line, points)
		}
	}
	out.Legend.Top, out.Legend.Left = true, true
	return out, nil
}

func pointsOf(p panel, policy string, results []Result) plotter.XYs {
	var points plotter.XYs
	for _, r := range results {
		if r.Policy == policy {
			points = append(points, plotter.XY{X: r.Load, Y: p.value(r)})
		}
	}
	return points
}
