package load

import (
	"io"
	"math"

	"github.com/wcharczuk/go-chart/v2"
)

// Curve is a named distribution of durations for a plot.
type Curve struct {
	Name      string
	histogram histogram
}

// plotNines is the highest percentile of the x axis as a number of nines: 3 is
// 99.9 %.
const plotNines = 3.0

// plotSteps is the number of intervals between the points of a curve.
const plotSteps = 60

// WritePlot draws the curves as a PNG: milliseconds over the percentile, on a
// logarithmic scale that gives each further nine the same width. It fails with
// KindOutput.
func WritePlot(out io.Writer, title string, curves []Curve) error {
	graph := chart.Chart{
		Title:      title,
		Background: chart.Style{Padding: chart.Box{Top: 60, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "percentile", Ticks: percentileTicks()},
		YAxis:      chart.YAxis{Name: "ms"},
	}
	for _, c := range curves {
		graph.Series = append(graph.Series, c.series())
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	if err := graph.Render(chart.PNG, out); err != nil {
		return &Error{Op: "draw plot", Kind: KindOutput, Err: err}
	}
	return nil
}

func (c Curve) series() chart.ContinuousSeries {
	series := chart.ContinuousSeries{Name: c.Name}
	for i := range plotSteps + 1 {
		nines := plotNines * float64(i) / plotSteps
		micros := c.histogram.inner.ValueAtPercentile(100 * (1 - math.Pow(10, -nines)))
		series.XValues = append(series.XValues, nines)
		series.YValues = append(series.YValues, float64(micros)/microsPerMilli)
	}
	return series
}

func percentileTicks() []chart.Tick {
	return []chart.Tick{
		{Value: 0, Label: "0"},
		{Value: -math.Log10(0.5), Label: "50"},
		{Value: 1, Label: "90"},
		{Value: 2, Label: "99"},
		{Value: plotNines, Label: "99.9"},
	}
}
