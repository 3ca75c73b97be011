package subcmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/audit"
	"foxtailmux/model"
	"foxtailmux/platform"
)

// routingReport is what routing check prints. InForce is 0 if the file was compared with none.
type routingReport struct {
	File     string          `json:"file"`
	Version  int64           `json:"version"`
	InForce  int64           `json:"inForce,omitempty"`
	Findings []audit.Finding `json:"findings"`
	Changes  []audit.Change  `json:"changes"`
	OpenJobs string          `json:"openJobs,omitempty"`
}

type routingCheckFlags struct {
	fs      *flag.FlagSet
	against string
	format  string
}

func newRoutingCheck(s Streams) *ff.Command {
	const op = "routing check"
	f := &routingCheckFlags{fs: newFlags("check")}
	f.fs.StringVar(&f.against, "against", "", "file of the configuration in force; default is none")
	f.fs.StringVar(&f.format, "o", "table", "table or json")
	return &ff.Command{
		Name:      "check",
		Usage:     program + " routing check FILE [FLAGS]",
		ShortHelp: "check a configuration before it is sent",
		LongHelp: longHelp("Prints the faults of a configuration and what it changes. Exits with 1 if there\n"+
			"is a fault and with 2 if a file can't be read.", routingExample),
		Flags: ff.NewFlagSetFrom("check", f.fs),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError(op, "give the file")
			}
			if err := f.fs.Parse(args[1:]); err != nil {
				return usageError(op, "%v", err)
			}
			if err := rejectArgs(op, f.fs.Args()); err != nil {
				return err
			}
			if f.format != "json" && f.format != "table" {
				return usageError(op, "flag -o: %q is none of json and table", f.format)
			}
			return f.check(s, op, args[0])
		},
	}
}

func (f *routingCheckFlags) check(s Streams, op, file string) error {
	next, err := readRouting(op, file)
	if err != nil {
		return err
	}
	r := routingReport{File: file, Version: next.Version, Findings: []audit.Finding{}, Changes: []audit.Change{}}
	r.Findings = append(r.Findings, audit.Check(next)...)
	if f.against != "" {
		inForce, err := readRouting(op, f.against)
		if err != nil {
			return err
		}
		r.InForce = inForce.Version
		r.Findings = append(r.Findings, audit.CheckVersion(inForce, next)...)
		r.Changes = append(r.Changes, audit.Diff(inForce, next)...)
		r.OpenJobs = audit.OpenJobs
	}

	if err := f.print(s.Out, r); err != nil {
		return failedError(op, "%v", err)
	}
	if n := len(r.Findings); n > 0 {
		return failedError(op, "%s: faults: %d, the first: %s: %s", file, n, r.Findings[0].Place, r.Findings[0].Reason)
	}
	return nil
}

func readRouting(op, file string) (model.Routing, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return model.Routing{}, inputError(op, "%v", err)
	}
	r, err := platform.ReadRouting(text)
	var malformed *platform.Error
	if errors.As(err, &malformed) {
		return model.Routing{}, inputError(op, "%s: %v", file, malformed.Err)
	}
	return r, err
}

func (f *routingCheckFlags) print(w io.Writer, r routingReport) error {
	if f.format == "json" {
		return writeJSON(w, r)
	}

	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(t, "version %d, faults: %d\n", r.Version, len(r.Findings))
	for _, n := range r.Findings {
		fmt.Fprintf(t, "%s\t%s\t%s\n", oneLine(n.Place), n.Kind, oneLine(n.Reason))
	}
	if r.OpenJobs == "" {
		return t.Flush()
	}
	fmt.Fprintf(t, "\nagainst version %d, changes: %d\n", r.InForce, len(r.Changes))
	for _, c := range r.Changes {
		fmt.Fprintf(t, "%s\t%s\t%s\n", c.Action, oneLine(c.Target), oneLine(c.Effect))
		for _, v := range c.Fields {
			fmt.Fprintf(t, "\t%s\t%s → %s\n", v.Name, oneLine(v.Old), oneLine(v.New))
		}
	}
	fmt.Fprintf(t, "%s\n", r.OpenJobs)
	return t.Flush()
}
