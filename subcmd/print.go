package subcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"foxtailmux/model"
)

const columnGap = 2

// printAnswer prints an answer as a table or, in any other format, as JSON.
func printAnswer(w io.Writer, format string, answer model.Answer) error {
	if format == "table" {
		return printTable(w, answer)
	}

	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(answer)
}

func printTable(w io.Writer, answer model.Answer) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(t, "job\t%s\n", answer.JobID)
	fmt.Fprintf(t, "result\t%s\n", answer.Result)
	fmt.Fprintf(t, "ran\t%s\n", answer.Ran)

	if f := answer.Error; f != nil {
		fmt.Fprintf(t, "failure\t%s\n", f.Kind)
		fmt.Fprintf(t, "reason\t%s\n", oneLine(f.Reason))
	}
	for i, result := range answer.Tasks {
		fmt.Fprintf(t, "task %d\t%s\n", i, oneLine(string(result)))
	}
	return t.Flush()
}
