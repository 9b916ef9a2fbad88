package load

import (
	"image/color"
	"math"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
)

// lastNines is the number of nines at the right end of the percentile axis (99.999%).
const lastNines = 5

// Measure selects what a plot shows.
type Measure string

// Measures of a plot.
const (
	MeasureFirst    Measure = "first_token"
	MeasurePerToken Measure = "time_per_token"
	MeasureTotal    Measure = "total"
)

func (m Measure) of(s Series) Summary {
	switch m {
	case MeasurePerToken:
		return s.PerToken
	case MeasureTotal:
		return s.Total
	default:
		return s.First
	}
}

// Plot writes the latency distributions of the reports to path, whose extension gives the format (svg, png or pdf).
// The horizontal axis is the number of nines of the percentile, the vertical one is logarithmic.
func Plot(path string, m Measure, names []string, reports []*Report) error {
	p := plot.New()
	p.Title.Text = string(m) + " by percentile"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = nineTicks{}
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	lines := 0
	for i, r := range reports {
		for _, s := range r.Series {
			points := curve(m.of(s))
			if len(points) < 2 {
				continue
			}
			if err := addLine(p, points, lines, i, names[i]+": "+s.Name()); err != nil {
				return err
			}
			lines++
		}
	}
	if lines == 0 {
		return errors.Errorf("no report has values of %s", m)
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "write %s", path)
}

// addLine uses one colour per series and one dash pattern per report.
func addLine(p *plot.Plot, points plotter.XYs, index, report int, name string) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, name)
	}
	line.Color = lineColor(index)
	line.Dashes = plotutil.Dashes(report)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func lineColor(index int) color.Color { return plotutil.Color(index) }

// curve converts a distribution to points. The 100th percentile has no finite position and is left out.
func curve(s Summary) plotter.XYs {
	var points plotter.XYs
	for _, c := range s.Curve {
		if c.Percentile >= 100 || c.Millis <= 0 {
			continue
		}
		points = append(points, plotter.XY{X: nines(c.Percentile), Y: c.Millis})
	}
	return points
}

// nines returns the position of a percentile: 0 for 0%, 1 for 90%, 2 for 99%.
func nines(percentile float64) float64 { return -math.Log10(1 - percentile/100) }

type nineTicks struct{}

// Ticks implements plot.Ticker.
func (nineTicks) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for _, p := range []float64{0, 50, 75, 90, 95, 99, 99.9, 99.99, 99.999} {
		if x := nines(p); x >= low && x <= math.Min(high, lastNines+0.1) {
			ticks = append(ticks, plot.Tick{Value: x, Label: strconv.FormatFloat(p, 'f', -1, 64) + "%"})
		}
	}
	return ticks
}

// PlotName returns the name of a report in a plot's legend.
func PlotName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}
