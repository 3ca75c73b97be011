package subcmd

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v4"
)

// Demo runs stand-ins for the platform and the workers, and entry instances, in this
// process, submits jobs to the instances, checks the answers and prints a table. The main
// package sets it; while it is nil, the command fails.
var Demo func(ctx context.Context, stdout, stderr io.Writer) error

const demoExample = "demo"

func init() {
	register(Command{Name: "demo", Example: demoExample, Build: newDemo})
}

func newDemo(s Streams) *ff.Command {
	return &ff.Command{
		Name:      "demo",
		Usage:     program + " demo",
		ShortHelp: "run jobs through two instances with stand-ins",
		LongHelp: longHelp("Runs a stand-in platform, stand-in workers and two entry instances in this\n"+
			"process, over TCP on 127.0.0.1, checks every answer and prints what became of\n"+
			"the jobs. Exits with 1 if a check fails.", demoExample),
		Flags: noFlags("demo"),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArgs("demo", args); err != nil {
				return err
			}
			return demo(ctx, s)
		},
	}
}

func demo(ctx context.Context, s Streams) error {
	if Demo == nil {
		return failedError("demo", "this build has no demo")
	}
	if err := Demo(ctx, s.Out, s.Err); err != nil {
		return &Error{Op: "demo", Kind: KindFailed, Err: err}
	}
	return nil
}
