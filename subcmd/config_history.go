package subcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/config"
)

const configHistoryExample = "config history --changes --platform 127.0.0.1:8703"

func newConfigHistory(s Streams) *ff.Command {
	const op = "config history"
	f := newConfigFlags("history")
	f.bindStore()
	changes := f.fs.Bool("changes", false, "show what each version changed")
	return &ff.Command{
		Name:      "history",
		Usage:     program + " config history [FLAGS]",
		ShortHelp: "list the versions and verify their hash chain",
		LongHelp: longHelp("Lists who changed what, when and why, and verifies the hash chain. Exits with 1\n"+
			"if the chain is broken.", configHistoryExample),
		Flags: ff.NewFlagSetFrom("history", f.fs),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArgs(op, args); err != nil {
				return err
			}
			return f.history(ctx, s, op, *changes)
		},
	}
}

func (f *configFlags) history(ctx context.Context, s Streams, op string, changes bool) error {
	ctx, cancel, store, err := f.openStore(ctx, op)
	if err != nil {
		return err
	}
	defer cancel()

	r, err := config.History(ctx, store)
	if err == nil && changes {
		err = r.AddChanges(ctx, store)
	}
	if err != nil {
		return f.commandError(s, op, err)
	}
	if err := f.print(s, r); err != nil {
		return &Error{Op: op, Kind: KindFailed, Err: err}
	}
	if !r.Verified {
		return failedError(op, "the hash chain is broken in %d places", len(r.Problems))
	}
	return nil
}
