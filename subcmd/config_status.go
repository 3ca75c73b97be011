package subcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/config"
	"foxtailmux/setup"
)

const configStatusExample = "config status --operators 10.0.0.1:8701,10.0.1.1:8701"

func newConfigStatus(s Streams) *ff.Command {
	const op = "config status"
	f := newConfigFlags("status")
	addrs := f.fs.String("operators", setup.Default().Operators.Addr, "IP:port of operators' ports, separated by commas")
	key := f.fs.String("key", "", "operator's key; default is the variable "+setup.KeyVariable)
	return &ff.Command{
		Name:      "status",
		Usage:     program + " config status [FLAGS]",
		ShortHelp: "show which version each instance has in force",
		LongHelp: longHelp("Asks the instances given, and each one that those know of, for the version in\n"+
			"force. Exits with 1 unless all of them answer and have the same.", configStatusExample),
		Flags: ff.NewFlagSetFrom("status", f.fs),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArgs(op, args); err != nil {
				return err
			}
			return f.status(ctx, s, op, *addrs, operatorKey(*key))
		},
	}
}

func (f *configFlags) status(ctx context.Context, s Streams, op, list, key string) error {
	addrs, err := splitAddrs(list)
	if err != nil {
		return usageError(op, "flag -operators: %v", err)
	}

	r := config.CollectStatus(ctx, addrs, key)
	if err := f.print(s, r); err != nil {
		return &Error{Op: op, Kind: KindFailed, Err: err}
	}
	if !r.Same {
		return failedError(op, "not every instance answers and has the same version in force")
	}
	return nil
}
