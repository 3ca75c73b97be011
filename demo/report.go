package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

const columnGap = 2

// row sums up the outcomes of one kind of job.
type row struct {
	jobs      int
	served    int
	refused   map[string]int // by failure kind, nothing ran
	failed    map[string]int // by ran: maybe or yes
	responses []time.Duration
	overIdeal []float64
}

func summarise(outcomes []outcome) map[string]*row {
	rows := map[string]*row{}
	for _, k := range kinds {
		rows[k.name] = &row{refused: map[string]int{}, failed: map[string]int{}}
	}
	for _, o := range outcomes {
		rows[o.submission.kind.name].add(o)
	}
	return rows
}

func (r *row) add(o outcome) {
	r.jobs++
	switch {
	case o.err != nil:
		r.failed["no answer"]++
	case o.answer.Result == model.Complete:
		r.served++
		r.responses = append(r.responses, o.response)
		r.overIdeal = append(r.overIdeal, o.response.Seconds()/o.submission.kind.run.Seconds())
	case o.answer.Ran == model.RanNo:
		r.refused[string(o.answer.Error.Kind)]++
	default:
		r.failed[string(o.answer.Ran)]++
	}
}

// printTable prints a line for each kind of job and the counts of the run.
func printTable(w io.Writer, outcomes []outcome, events []fakes.Event, problems []string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "job\tjobs\tserved\trefused, not run\tfailed, by ran\tmedian\tp99\tmedian/ideal\tp99/ideal")
	rows := summarise(outcomes)
	for _, k := range kinds {
		rows[k.name].print(t, k.name)
	}
	if err := t.Flush(); err != nil {
		return err
	}

	starts, retried := countStarts(events)
	again, same := countAgain(outcomes)
	_, err := fmt.Fprintf(w, "\n%d jobs, %d task starts, %d of them retries; one instance was restarted gracefully\n"+
		"%d jobs were submitted twice with their idempotency key; %d got the same answer twice\n"+
		"problems (answers not whole or not the caller's own, tasks started twice): %d\n",
		len(outcomes), starts, retried, again, same, len(problems))
	return err
}

// countAgain counts the jobs that were submitted twice, and those of them
// whose submissions belong to one job with one result.
func countAgain(outcomes []outcome) (again, same int) {
	for _, o := range outcomes {
		if o.again == nil {
			continue
		}
		again++
		if o.answer.JobID == o.again.answer.JobID && o.answer.Result == o.again.answer.Result {
			same++
		}
	}
	return again, same
}

func (r *row) print(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t", name, r.jobs, r.served, counts(r.refused), counts(r.failed))
	if len(r.responses) == 0 {
		fmt.Fprintln(w, "-\t-\t-\t-")
		return
	}
	fmt.Fprintf(w, "%d ms\t%d ms\t%.2f\t%.2f\n",
		quantile(r.responses, 0.5).Milliseconds(), quantile(r.responses, 0.99).Milliseconds(),
		quantile(r.overIdeal, 0.5), quantile(r.overIdeal, 0.99))
}

func counts(byName map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, byName[name]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// quantile returns the smallest value that at least the share q of all values
// does not exceed.
func quantile[T time.Duration | float64](values []T, q float64) T {
	sorted := slices.Sorted(slices.Values(values))
	index := int(q * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}

// countStarts counts the starts of tasks and those that follow a failed one.
func countStarts(events []fakes.Event) (starts, retried int) {
	for _, e := range events {
		if e.Event != fakes.EventStart {
			continue
		}
		starts++
		if e.Attempt > 1 {
			retried++
		}
	}
	return starts, retried
}
