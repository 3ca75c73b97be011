package subcmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

const program = "foxtailmux"

// Run runs the subcommand named by args, which do not include the program's name, and returns
// the exit code. It prints an error as one line on stderr.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	s := Streams{In: stdin, Out: stdout, Err: stderr}

	err := run(ctx, args, s)
	if err == nil {
		return ExitDone
	}

	fmt.Fprintf(stderr, "%s: %s\n", program, oneLine(err.Error()))
	return exitCode(err)
}

func run(ctx context.Context, args []string, s Streams) error {
	root := newRoot(s)
	if err := rejectEmptyFlags(args); err != nil {
		return err
	}

	err := root.Parse(args)
	if errors.Is(err, ff.ErrHelp) {
		_, err = ffhelp.Command(root).WriteTo(s.Out)
		return err
	}
	if err != nil {
		return parseError(root.GetSelected().Name, err)
	}
	return root.Run(ctx)
}

func newRoot(s Streams) *ff.Command {
	return &ff.Command{
		Name:        program,
		Usage:       program + " COMMAND [FLAGS]",
		ShortHelp:   "dispatcher for sub-second tasks",
		LongHelp:    "Exit codes: 0 done, 1 failed, 2 bad usage or bad input.",
		Flags:       noFlags(program),
		Subcommands: buildCommands(s),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError(program, "no command; see %s -h", program)
			}
			return usageError(program, "unknown command %q; see %s -h", args[0], program)
		},
	}
}

// parseError returns a usage error without the names of the commands that the flag library
// puts before the cause.
func parseError(op string, err error) error {
	text := err.Error()
	if _, cause, ok := strings.Cut(text, "parse args: "); ok {
		text = cause
	}
	return usageError(op, "%s", text)
}

// rejectEmptyFlags returns an error for a flag such as --flag= without a value: the flag
// library would take the next argument as its value.
func rejectEmptyFlags(args []string) error {
	for _, arg := range args {
		if arg == "--" {
			return nil
		}
		if strings.HasPrefix(arg, "-") && strings.Index(arg, "=") == len(arg)-1 {
			return usageError(program, "flag %s has no value", strings.TrimSuffix(arg, "="))
		}
	}
	return nil
}

// rejectArgs returns an error if there are arguments after the flags.
func rejectArgs(op string, args []string) error {
	if len(args) > 0 {
		return usageError(op, "unexpected argument %q", args[0])
	}
	return nil
}

// newFlags returns an empty flag set that returns errors without printing them.
func newFlags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

// noFlags returns the flag set of a command without flags.
func noFlags(name string) ff.Flags {
	return ff.NewFlagSetFrom(name, newFlags(name))
}

// longHelp returns the description of a command followed by an example.
func longHelp(text, example string) string {
	return text + "\n\nEXAMPLE\n  " + program + " " + example
}

// oneLine replaces every run of whitespace, line breaks included, by a space.
func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
