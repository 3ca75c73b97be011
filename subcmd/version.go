package subcmd

import (
	"context"
	"fmt"
	"runtime"

	"github.com/peterbourgon/ff/v4"
)

// Version is the version of the program.
const Version = "0.1.0-dev"

const versionExample = "version"

func init() {
	register(Command{Name: "version", Example: versionExample, Build: newVersion})
}

func newVersion(s Streams) *ff.Command {
	return &ff.Command{
		Name:      "version",
		Usage:     program + " version",
		ShortHelp: "print the version",
		LongHelp:  longHelp("Prints the version, the Go release and the platform of the build.", versionExample),
		Flags:     noFlags("version"),
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArgs("version", args); err != nil {
				return err
			}
			_, err := fmt.Fprintf(s.Out, "%s %s %s %s/%s\n", program, Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}
