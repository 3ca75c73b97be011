package loss

import (
	"io"

	"github.com/wcharczuk/go-chart/v2"
)

// WritePlot draws the share of the requests answered in time over time as a PNG. It fails with
// KindOutput.
func WritePlot(out io.Writer, title string, windows []Window) error {
	share := chart.TimeSeries{Name: "share answered in time"}
	for _, w := range windows {
		share.XValues, share.YValues = append(share.XValues, w.From), append(share.YValues, w.InTime)
	}
	graph := chart.Chart{
		Title:  title,
		XAxis:  chart.XAxis{Name: "sent at", ValueFormatter: chart.TimeValueFormatterWithFormat("15:04:05")},
		YAxis:  chart.YAxis{Name: "share", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
		Series: []chart.Series{share},
	}
	if err := graph.Render(chart.PNG, out); err != nil {
		return &Error{Op: "draw plot", Kind: KindOutput, Err: err}
	}
	return nil
}
