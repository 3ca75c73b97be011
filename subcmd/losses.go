package subcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/loss"
)

const (
	lossesExample = "losses -plot losses.png instances.log"
	lossesWindow  = 2 * time.Second
)

func init() {
	register(Command{Name: "losses", Example: lossesExample, Build: newLosses})
}

func newLosses(s Streams) *ff.Command {
	fs := newFlags("losses")
	window := fs.Duration("window", lossesWindow, "length of the periods in the second table and the plot")
	plot := fs.String("plot", "", "file for a plot of the share answered in time, as PNG; default is none")

	return &ff.Command{
		Name:      "losses",
		Usage:     program + " losses [FLAGS] [LOG ...]",
		ShortHelp: "split the requests that were not answered in time by cause",
		LongHelp:  longHelp("Reads the logs of all instances, or standard input, and prints which requests were not answered in time, by cause.", lossesExample),
		Flags:     ff.NewFlagSetFrom("losses", fs),
		Exec: func(_ context.Context, args []string) error {
			if *window <= 0 {
				return usageError("losses", "flag -window: must be above 0")
			}
			return losses(s, args, *window, *plot)
		},
	}
}

// losses prints the tables of the logs in the files, or of standard input, and writes the plot
// if its file is named.
func losses(s Streams, files []string, window time.Duration, plot string) error {
	b := loss.NewBuilder()
	if err := readLogs(s, files, b); err != nil {
		return err
	}
	requests := b.Requests()
	if len(requests) == 0 {
		return inputError("losses", "the logs have no answered request")
	}
	windows := loss.Windows(requests, window)
	if err := printLosses(s.Out, requests, windows, b.Outages()); err != nil {
		return err
	}
	if plot == "" {
		return nil
	}
	return writePlot(plot, windows)
}

func readLogs(s Streams, files []string, b *loss.Builder) error {
	if len(files) == 0 {
		return readLog(s, "standard input", s.In, b)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return inputError("losses", "%v", err)
		}
		err = readLog(s, name, f, b)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func readLog(s Streams, name string, r io.Reader, b *loss.Builder) error {
	skipped, err := loss.Read(r, b.Add)
	if skipped > 0 {
		fmt.Fprintf(s.Err, "%s: passed over %d lines that are no log lines\n", name, skipped)
	}
	if err != nil {
		return inputError("losses", "%s: %v", name, err)
	}
	return nil
}

func writePlot(name string, windows []loss.Window) (err error) {
	f, err := os.Create(name)
	if err != nil {
		return failedError("losses", "%v", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if err := loss.WritePlot(f, "requests answered in time", windows); err != nil {
		return failedError("losses", "%v", err)
	}
	return nil
}

// printLosses prints the causes, the periods that are below the others, and the outages.
func printLosses(w io.Writer, requests []loss.Request, windows []loss.Window, outages []loss.Outage) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(t, "requests\tshare of queue\tqueue\theld median\tmost\tsent from\tto\tneeded\tfree here\ttasks\tin time anywhere\tdata centres\tcause\n")
	for _, g := range loss.GroupByCause(requests) {
		fmt.Fprintf(t, "%d\t%.4f\t%s\t%v\t%v\t%s\t%s\t%d\t%d\t%.1f\t%.1f\t%s\t%s\n", g.Requests, g.Share, g.Queue, g.MedianHeld, g.MaxHeld,
			clock(g.First), clock(g.Last), g.MeanNeeded, g.MeanFree, g.MeanTasks, g.MeanInTime, byDataCentre(g.DataCentres), g.Cause)
	}
	fmt.Fprintf(t, "\nsent from\trequests\tanswered in time\n")
	for _, p := range windows {
		fmt.Fprintf(t, "%s\t%d\t%.3f\n", clock(p.From), p.Requests, p.InTime)
	}
	fmt.Fprintf(t, "\nsilent from\tto\tinstance\tdata centre\n")
	for _, o := range outages {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", clock(o.From), clock(o.To), o.Instance, o.DataCentre)
	}
	return t.Flush()
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

// byDataCentre lists numbers of requests by data centre, sorted by name.
func byDataCentre(counts map[string]int) string {
	var list []string
	for _, dc := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s %d", dc, counts[dc]))
	}
	return strings.Join(list, ", ")
}
