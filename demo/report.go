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

const columnPadding = 2 // spaces between columns

// row summarises the outcomes of one kind of job.
type row struct {
	jobs              int
	complete          int
	refused           map[string]int // jobs that did not run, by failure kind
	failed            map[string]int // jobs that may have run, by the value of ran; and jobs without an answer
	responses         []time.Duration
	responseOverIdeal []float64
}

// summarise returns the row of each kind of job by its name.
func summarise(outcomes []outcome) map[string]*row {
	rows := map[string]*row{}
	for _, k := range jobKinds {
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
		r.complete++
		r.responses = append(r.responses, o.response)
		r.responseOverIdeal = append(r.responseOverIdeal, o.response.Seconds()/o.submission.kind.runTime.Seconds())
	case o.answer.Ran == model.RanNo:
		r.refused[string(o.answer.Error.Kind)]++
	default:
		r.failed[string(o.answer.Ran)]++
	}
}

// printTable prints a line for each kind of job and the totals of the run.
func printTable(w io.Writer, outcomes []outcome, events []fakes.Event, problems []string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(t, "job\tjobs\tserved\trefused, not run\tfailed, by ran\tmedian\tp99\tmedian/ideal\tp99/ideal")
	rows := summarise(outcomes)
	for _, k := range jobKinds {
		rows[k.name].print(t, k.name)
	}
	if err := t.Flush(); err != nil {
		return err
	}

	starts, retried := countStarts(events)
	resubmitted, same := countResubmitted(outcomes)
	_, err := fmt.Fprintf(w, "\n%d jobs, %d task starts, %d of them retries; one instance was restarted gracefully\n"+
		"%d jobs were submitted twice with their idempotency key; %d got the same answer twice\n"+
		"problems (answers not whole or not the caller's own, tasks started twice): %d\n",
		len(outcomes), starts, retried, resubmitted, same, len(problems))
	return err
}

// countResubmitted counts the jobs that were submitted twice, and those of
// them whose two answers have the same job id and result.
func countResubmitted(outcomes []outcome) (resubmitted, same int) {
	for _, o := range outcomes {
		if o.resubmission == nil {
			continue
		}
		resubmitted++
		if o.answer.JobID == o.resubmission.answer.JobID && o.answer.Result == o.resubmission.answer.Result {
			same++
		}
	}
	return resubmitted, same
}

func (r *row) print(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t", name, r.jobs, r.complete, formatCounts(r.refused), formatCounts(r.failed))
	if len(r.responses) == 0 {
		fmt.Fprintln(w, "-\t-\t-\t-")
		return
	}
	fmt.Fprintf(w, "%d ms\t%d ms\t%.2f\t%.2f\n",
		quantile(r.responses, 0.5).Milliseconds(), quantile(r.responses, 0.99).Milliseconds(),
		quantile(r.responseOverIdeal, 0.5), quantile(r.responseOverIdeal, 0.99))
}

// formatCounts formats counts in the order of their names.
func formatCounts(byName map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, byName[name]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// quantile returns the smallest value that more than the share q of all values
// do not exceed; for q = 1 it returns the largest value.
func quantile[T time.Duration | float64](values []T, q float64) T {
	sorted := slices.Sorted(slices.Values(values))
	index := int(q * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}

// countStarts counts all starts of tasks, and the starts that retry a task
// after an earlier attempt.
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
