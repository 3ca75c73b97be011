package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Report is the outcome of a run. Times are in milliseconds; shares are
// between 0 and 1.
type Report struct {
	Preset          string  `json:"preset"`
	Seed            uint64  `json:"seed"`
	RunID           string  `json:"runId"`
	DurationSeconds float64 `json:"durationSeconds"`
	Utilisation     float64 `json:"utilisation"`
	TimeScale       float64 `json:"timeScale"`

	Jobs           int `json:"jobs"`           // submissions, without those that could not be sent
	Tasks          int `json:"tasks"`          // tasks of these jobs
	NotSent        int `json:"notSent"`        // above the bound of outstanding jobs
	NoTicket       int `json:"noTicket"`       // meant for a ticket, sent without one
	Resubmissions  int `json:"resubmissions"`  // second submissions on a ticket
	Cancellations  int `json:"cancellations"`  // sent
	CancelErrors   int `json:"cancelErrors"`   // cancellations without an answer
	NeverFits      int `json:"neverFits"`      // jobs that can never run
	NeverFitsWrong int `json:"neverFitsWrong"` // of them, not refused as such

	Results         map[string]int `json:"results"`
	Ran             map[string]int `json:"ran"`             // of failed answers
	Refusals        map[string]int `json:"refusals"`        // failed answers by kind
	Statuses        map[string]int `json:"statuses"`        // HTTP statuses
	TransportErrors map[string]int `json:"transportErrors"` // no answer at all
	Violations      map[string]int `json:"violations"`
	Findings        []Finding      `json:"findings,omitempty"` // the first ones

	Response  Quantiles `json:"response"`  // of complete answers, from the planned arrival
	Overhead  Quantiles `json:"overhead"`  // response less ideal
	Ratio     Quantiles `json:"ratio"`     // response over ideal
	Others    Quantiles `json:"others"`    // responses without a task on a faulty worker
	SenderLag Quantiles `json:"senderLag"` // of the tool itself

	// RefusedAfter is the response time of the answers that nothing ran, but
	// for jobs that can never run or were cancelled.
	RefusedAfter Quantiles `json:"refusedAfter"`

	InTimeShare     float64 `json:"inTimeShare"`     // of jobs that can run and weren't cancelled
	WorkInTimeShare float64 `json:"workInTimeShare"` // the same, weighed by slot time
	LostShare       float64 `json:"lostShare"`       // of the same jobs, failed after they may have run

	MessagesKnown  bool     `json:"messagesKnown"`
	Messages       Messages `json:"messages"`
	NeededPerTask  float64  `json:"neededPerTask"`
	WastedPerTask  float64  `json:"wastedPerTask"`
	MessagesReason string   `json:"messagesReason,omitempty"` // why they aren't known

	Teams         []TeamReport `json:"teams"`
	Jain          float64      `json:"jain"` // of the teams' shares of work in time
	WorstOverBest float64      `json:"worstOverBest"`
}

// TeamReport is the outcome for one team.
type TeamReport struct {
	Name            string    `json:"name"`
	Jobs            int       `json:"jobs"`
	WorkInTimeShare float64   `json:"workInTimeShare"`
	Overhead        Quantiles `json:"overhead"`
}

// Add puts further findings into the report.
func (r *Report) Add(findings []Finding) {
	for _, f := range findings {
		r.Violations[string(f.Violation)]++
		if len(r.Findings) < maxFindings {
			r.Findings = append(r.Findings, f)
		}
	}
}

// Err returns an Error with KindViolation when an answer broke its contract.
func (r Report) Err() error {
	count := sum(r.Violations)
	if count == 0 {
		return nil
	}
	err := eris.Errorf("%d answers broke their contract: %v", count, r.Violations)
	return &Error{Op: "run " + r.RunID, Kind: KindViolation, Err: err}
}

// WriteTable writes the report as text.
func (r Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "preset\t%s\tseed\t%d\n", r.Preset, r.Seed)
	fmt.Fprintf(w, "duration\t%.1f s\tutilisation\t%.2f\ttime scale\t%.3f\n", r.DurationSeconds, r.Utilisation, r.TimeScale)
	fmt.Fprintf(w, "jobs\t%d\ttasks\t%d\tnot sent\t%d\tno ticket\t%d\n", r.Jobs, r.Tasks, r.NotSent, r.NoTicket)
	fmt.Fprintf(w, "resubmissions\t%d\tcancellations\t%d\tcancel errors\t%d\n", r.Resubmissions, r.Cancellations, r.CancelErrors)
	fmt.Fprintf(w, "never fits\t%d\tnot refused as such\t%d\n", r.NeverFits, r.NeverFitsWrong)

	writeCounts(w, "results", r.Results)
	writeCounts(w, "ran of failed", r.Ran)
	writeCounts(w, "refusals", r.Refusals)
	writeCounts(w, "no answer", r.TransportErrors)
	writeCounts(w, "violations", r.Violations)
	for _, f := range r.Findings {
		fmt.Fprintf(w, "\t%s\tjob %d\t%s\n", f.Violation, f.Index, f.Detail)
	}

	fmt.Fprintf(w, "\tcount\tmean\tp50\tp90\tp99\tp99.9\tmax\n")
	writeQuantiles(w, "response ms", r.Response)
	writeQuantiles(w, "overhead ms", r.Overhead)
	writeQuantiles(w, "response/ideal", r.Ratio)
	writeQuantiles(w, "refused after ms", r.RefusedAfter)
	writeQuantiles(w, "sender lag ms", r.SenderLag)
	for _, t := range r.Teams {
		writeQuantiles(w, "overhead ms "+t.Name, t.Overhead)
	}

	fmt.Fprintf(w, "in time\t%.4f of jobs\t%.4f of work\n", r.InTimeShare, r.WorkInTimeShare)
	fmt.Fprintf(w, "fairness\tJain %.4f\tworst/best %.4f\n", r.Jain, r.WorstOverBest)
	if r.MessagesKnown {
		fmt.Fprintf(w, "messages a task\tneeded %.3f\twasted %.4f\n", r.NeededPerTask, r.WastedPerTask)
	} else {
		fmt.Fprintf(w, "messages a task\tnot known: %s\n", r.MessagesReason)
	}
	return w.Flush()
}

func writeCounts(w io.Writer, title string, counts map[string]int) {
	fmt.Fprint(w, title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "\t%s %d", name, counts[name])
	}
	fmt.Fprintln(w)
}

func writeQuantiles(w io.Writer, title string, q Quantiles) {
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", title, q.Count, q.Mean, q.P50, q.P90, q.P99, q.P999, q.Max)
}
