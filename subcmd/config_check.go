package subcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/config"
)

const configCheckExample = "config check ./conf --json"

func newConfigCheck(s Streams) *ff.Command {
	const op = "config check"
	f := newConfigFlags("check")
	return &ff.Command{
		Name:      "check",
		Usage:     program + " config check FOLDER [FLAGS]",
		ShortHelp: "check a folder",
		LongHelp: longHelp("Prints every rule that the folder breaks with file, line and column, or the\n"+
			"digest of a valid one. Exits with 2 if a rule is broken.", configCheckExample),
		Flags: ff.NewFlagSetFrom("check", f.fs),
		Exec: func(_ context.Context, args []string) error {
			folder, err := f.parseFolder(op, args)
			if err != nil {
				return err
			}
			return f.check(s, op, folder)
		},
	}
}

func (f *configFlags) check(s Streams, op, folder string) error {
	r, err := config.Check(folder, plugins())
	if err != nil {
		return f.commandError(s, op, err)
	}
	if len(r.Problems) > 0 {
		return f.reportProblems(s, op, r)
	}
	return f.print(s, r)
}
