package subcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/config"
)

const configDiffExample = "config diff ./conf --platform 127.0.0.1:8703"

func newConfigDiff(s Streams) *ff.Command {
	const op = "config diff"
	f := newConfigFlags("diff")
	f.bindStore()
	return &ff.Command{
		Name:      "diff",
		Usage:     program + " config diff FOLDER [FLAGS]",
		ShortHelp: "show what applying a folder would change",
		LongHelp: longHelp("Compares a folder with the version in force, a line for each change:\n"+
			"+ added, - removed, and old → new.", configDiffExample),
		Flags: ff.NewFlagSetFrom("diff", f.fs),
		Exec: func(ctx context.Context, args []string) error {
			folder, err := f.parseFolder(op, args)
			if err != nil {
				return err
			}
			return f.diff(ctx, s, op, folder)
		},
	}
}

func (f *configFlags) diff(ctx context.Context, s Streams, op, folder string) error {
	ctx, cancel, store, err := f.openStore(ctx, op)
	if err != nil {
		return err
	}
	defer cancel()
	doc, err := f.loadDocument(s, op, folder)
	if err != nil {
		return err
	}

	r, err := config.DiffDocument(ctx, store, doc)
	if err != nil {
		return f.commandError(s, op, err)
	}
	return f.print(s, r)
}
