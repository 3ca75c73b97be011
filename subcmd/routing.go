package subcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"
)

const routingExample = "routing check next.json -against inforce.json"

func init() {
	register(Command{Name: "routing", Example: routingExample, Build: newRouting})
}

func newRouting(s Streams) *ff.Command {
	return &ff.Command{
		Name:        "routing",
		Usage:       program + " routing COMMAND [FLAGS]",
		ShortHelp:   "check the platform's configuration of the queues",
		LongHelp:    longHelp("Checks a configuration of the platform's operator before it is sent.", routingExample),
		Flags:       noFlags("routing"),
		Subcommands: []*ff.Command{newRoutingCheck(s)},
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("routing", "no command; see %s routing -h", program)
			}
			return usageError("routing", "unknown command %q; see %s routing -h", args[0], program)
		},
	}
}
