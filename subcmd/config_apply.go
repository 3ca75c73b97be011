package subcmd

import (
	"context"
	"os/user"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/config"
)

const (
	configApplyExample = "config apply ./conf --why 'larger quota for the counter' --on 17"

	// anyVersion is the value of the flag -on to apply a folder whatever version is in
	// force.
	anyVersion = -1
)

// applyFlags are the flags of the command config apply.
type applyFlags struct {
	*configFlags
	author          string
	reason          string
	expectedVersion int64
}

func newConfigApply(s Streams) *ff.Command {
	const op = "config apply"
	f := applyFlags{configFlags: newConfigFlags("apply")}
	f.bindStore()
	f.fs.StringVar(&f.reason, "why", "", "reason of the change")
	f.fs.StringVar(&f.author, "who", "", "operator; default is the name of the system's user")
	f.fs.Int64Var(&f.expectedVersion, "on", anyVersion, "number of the version that must be in force; 0 for none, -1 for any")
	return &ff.Command{
		Name:      "apply",
		Usage:     program + " config apply FOLDER --why REASON [FLAGS]",
		ShortHelp: "make a folder the next version",
		LongHelp: longHelp("Makes a folder the next version. It loses, with exit code 1 and the winner's\n"+
			"name, against a change that came first.", configApplyExample),
		Flags: ff.NewFlagSetFrom("apply", f.fs),
		Exec: func(ctx context.Context, args []string) error {
			folder, err := f.parseFolder(op, args)
			if err != nil {
				return err
			}
			return f.apply(ctx, s, op, folder)
		},
	}
}

func (f *applyFlags) apply(ctx context.Context, s Streams, op, folder string) error {
	if err := f.validate(op); err != nil {
		return err
	}
	ctx, cancel, store, err := f.openStore(ctx, op)
	if err != nil {
		return err
	}
	defer cancel()
	doc, err := f.loadDocument(s, op, folder)
	if err != nil {
		return err
	}

	applied, err := f.applyTo(ctx, store, doc)
	if err != nil {
		return f.commandError(s, op, err)
	}
	return f.print(s, applied)
}

func (f *applyFlags) applyTo(ctx context.Context, store config.Store, doc config.Document) (config.ApplyResult, error) {
	if f.expectedVersion == anyVersion {
		return config.Apply(ctx, store, doc, f.author, f.reason)
	}
	return config.ApplyOnVersion(ctx, store, f.expectedVersion, doc, f.author, f.reason)
}

// validate checks the flags and sets the author to the system's user by default.
func (f *applyFlags) validate(op string) error {
	if strings.TrimSpace(f.reason) == "" {
		return usageError(op, "give the reason of the change with -why")
	}
	if f.expectedVersion < anyVersion {
		return usageError(op, "flag -on: %d is no number of a version", f.expectedVersion)
	}
	if f.author != "" {
		return nil
	}

	u, err := user.Current()
	if err != nil {
		return usageError(op, "the system's user is not known (%v), give -who", err)
	}
	f.author = u.Username
	return nil
}
