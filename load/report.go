package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Report holds the results of a run. Times are in milliseconds; shares are
// between 0 and 1. The warm-up counts only for violations, messages and
// NotSent.
type Report struct {
	Preset          string  `json:"preset"`
	Seed            uint64  `json:"seed"`
	RunID           string  `json:"runId"`
	DurationSeconds float64 `json:"durationSeconds"`
	Utilisation     float64 `json:"utilisation"`
	TimeScale       float64 `json:"timeScale"`

	Jobs                int `json:"jobs"`           // first submissions that were sent
	Tasks               int `json:"tasks"`          // tasks of these jobs
	NotSent             int `json:"notSent"`        // left out because too many jobs were without an answer
	NoTicket            int `json:"noTicket"`       // planned with a ticket, sent without one since none came in time
	Resubmissions       int `json:"resubmissions"`  // second submissions on a ticket
	Cancellations       int `json:"cancellations"`  // sent
	CancelErrors        int `json:"cancelErrors"`   // cancellations without an answer
	NeverFits           int `json:"neverFits"`      // jobs that can never run
	NeverFitsNotRefused int `json:"neverFitsWrong"` // of them, not refused with that failure kind

	Results         map[string]int `json:"results"`
	Ran             map[string]int `json:"ran"`             // values of ran in failed answers
	Refusals        map[string]int `json:"refusals"`        // failed answers by kind
	Statuses        map[string]int `json:"statuses"`        // HTTP statuses
	TransportErrors map[string]int `json:"transportErrors"` // submissions without an answer, by class of error
	Violations      map[string]int `json:"violations"`
	Findings        []Finding      `json:"findings,omitempty"` // the first maxFindings

	Response          Quantiles `json:"response"`  // of complete answers, from the planned time of the submission
	Overhead          Quantiles `json:"overhead"`  // response minus the ideal one
	ResponseOverIdeal Quantiles `json:"ratio"`     // response divided by the ideal one
	HealthyResponse   Quantiles `json:"others"`    // responses of jobs without a task on a faulty worker
	SenderLag         Quantiles `json:"senderLag"` // delay of this process in sending a job after its planned time

	// RefusedAfter is the response time of answers that the job did not run,
	// except for cancelled jobs and jobs that can never run.
	RefusedAfter Quantiles `json:"refusedAfter"`

	InTimeShare     float64 `json:"inTimeShare"`     // of jobs that can run and weren't cancelled, completed by the deadline
	WorkInTimeShare float64 `json:"workInTimeShare"` // the same, weighted by the jobs' total run time
	LostShare       float64 `json:"lostShare"`       // of the same jobs, failed or without an answer, so that they may have run

	MessagesKnown         bool     `json:"messagesKnown"`
	Messages              Messages `json:"messages"`
	NeededPerTask         float64  `json:"neededPerTask"`
	WastedPerTask         float64  `json:"wastedPerTask"`
	MessagesUnknownReason string   `json:"messagesReason,omitempty"` // why the counts are unknown

	Teams         []TeamReport `json:"teams"`
	JainIndex     float64      `json:"jain"`          // Jain's fairness index of the teams' WorkInTimeShare
	WorstOverBest float64      `json:"worstOverBest"` // lowest WorkInTimeShare divided by the highest
}

// TeamReport holds the results of one team's jobs.
type TeamReport struct {
	Name            string    `json:"name"`
	Jobs            int       `json:"jobs"`
	WorkInTimeShare float64   `json:"workInTimeShare"`
	Overhead        Quantiles `json:"overhead"`
}

// AddFindings counts further findings and lists those up to maxFindings.
func (r *Report) AddFindings(findings []Finding) {
	for _, f := range findings {
		r.Violations[string(f.Violation)]++
		if len(r.Findings) < maxFindings {
			r.Findings = append(r.Findings, f)
		}
	}
}

// Err returns an Error with KindViolation when an answer broke the contract with
// its caller.
func (r Report) Err() error {
	count := sumCounts(r.Violations)
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
	fmt.Fprintf(w, "never fits\t%d\tnot refused as such\t%d\n", r.NeverFits, r.NeverFitsNotRefused)

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
	writeQuantiles(w, "response/ideal", r.ResponseOverIdeal)
	writeQuantiles(w, "refused after ms", r.RefusedAfter)
	writeQuantiles(w, "sender lag ms", r.SenderLag)
	for _, t := range r.Teams {
		writeQuantiles(w, "overhead ms "+t.Name, t.Overhead)
	}

	fmt.Fprintf(w, "in time\t%.4f of jobs\t%.4f of work\n", r.InTimeShare, r.WorkInTimeShare)
	fmt.Fprintf(w, "fairness\tJain %.4f\tworst/best %.4f\n", r.JainIndex, r.WorstOverBest)
	if r.MessagesKnown {
		fmt.Fprintf(w, "messages a task\tneeded %.3f\twasted %.4f\n", r.NeededPerTask, r.WastedPerTask)
	} else {
		fmt.Fprintf(w, "messages a task\tnot known: %s\n", r.MessagesUnknownReason)
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
