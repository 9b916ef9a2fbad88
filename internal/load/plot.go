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

// maxTickNines is the number of nines of the last tick on the percentile axis (99.999%).
const maxTickNines = 5

// Measure selects the latency that a plot shows.
type Measure string

// Measures of a plot.
const (
	MeasureFirst    Measure = "first_token"
	MeasurePerToken Measure = "time_per_token"
	MeasureTotal    Measure = "total"
)

func (m Measure) summaryOf(s Series) Summary {
	switch m {
	case MeasurePerToken:
		return s.TimePerToken
	case MeasureTotal:
		return s.Total
	default:
		return s.FirstToken
	}
}

// Plot writes the latency distributions of the reports to path, whose extension determines the format (svg, png or pdf).
// The horizontal axis is linear in the number of nines of the percentile, the vertical axis is logarithmic.
func Plot(path string, m Measure, names []string, reports []*Report) error {
	p := plot.New()
	p.Title.Text = string(m) + " by percentile"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = percentileTicks{}
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	lineCount := 0
	for i, r := range reports {
		for _, s := range r.Series {
			points := curvePoints(m.summaryOf(s))
			if len(points) < 2 {
				continue
			}
			if err := addLine(p, points, lineCount, i, names[i]+": "+s.Name()); err != nil {
				return err
			}
			lineCount++
		}
	}
	if lineCount == 0 {
		return errors.Errorf("no report has enough values of %s to plot", m)
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "write %s", path)
}

// addLine adds a line with a colour for its series and a dash pattern for its report.
func addLine(p *plot.Plot, points plotter.XYs, seriesIndex, reportIndex int, name string) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, name)
	}
	line.Color = lineColor(seriesIndex)
	line.Dashes = plotutil.Dashes(reportIndex)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func lineColor(seriesIndex int) color.Color { return plotutil.Color(seriesIndex) }

// curvePoints converts a distribution to points. It omits the 100th percentile, which has no finite position, and values
// that a logarithmic axis cannot show.
func curvePoints(s Summary) plotter.XYs {
	var points plotter.XYs
	for _, c := range s.Curve {
		if c.Percentile >= 100 || c.Millis <= 0 {
			continue
		}
		points = append(points, plotter.XY{X: percentileToNines(c.Percentile), Y: c.Millis})
	}
	return points
}

// percentileToNines returns the position of a percentile on the horizontal axis: 0 for 0%, 1 for 90%, 2 for 99%.
func percentileToNines(percentile float64) float64 { return -math.Log10(1 - percentile/100) }

// percentileTicks marks common percentiles on the horizontal axis.
type percentileTicks struct{}

// Ticks implements plot.Ticker.
func (percentileTicks) Ticks(minNines, maxNines float64) []plot.Tick {
	var ticks []plot.Tick
	for _, percentile := range []float64{0, 50, 75, 90, 95, 99, 99.9, 99.99, 99.999} {
		if position := percentileToNines(percentile); position >= minNines && position <= math.Min(maxNines, maxTickNines+0.1) {
			ticks = append(ticks, plot.Tick{Value: position, Label: strconv.FormatFloat(percentile, 'f', -1, 64) + "%"})
		}
	}
	return ticks
}

// PlotName returns the name of a report in plots and tables: its file name without the extension.
func PlotName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}
