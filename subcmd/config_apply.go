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

	// anyVersion lets a change follow whatever is in force.
	anyVersion = -1
)

// change is what the apply command was asked to do.
type change struct {
	*configFlags
	who string
	why string
	on  int64
}

func newConfigApply(s Streams) *ff.Command {
	const op = "config apply"
	c := change{configFlags: newConfigFlags("apply")}
	c.bindStore()
	c.fs.StringVar(&c.why, "why", "", "reason of the change")
	c.fs.StringVar(&c.who, "who", "", "operator; default is the name of the system's user")
	c.fs.Int64Var(&c.on, "on", anyVersion, "number of the version that must be in force; 0 for none, -1 for any")
	return &ff.Command{
		Name:      "apply",
		Usage:     program + " config apply FOLDER --why REASON [FLAGS]",
		ShortHelp: "make a folder the next version",
		LongHelp: longHelp("Makes a folder the next version. It loses, with exit code 1 and the winner's\n"+
			"name, against a change that came first.", configApplyExample),
		Flags: ff.NewFlagSetFrom("apply", c.fs),
		Exec: func(ctx context.Context, args []string) error {
			folder, err := c.folder(op, args)
			if err != nil {
				return err
			}
			return c.apply(ctx, s, op, folder)
		},
	}
}

func (c *change) apply(ctx context.Context, s Streams, op, folder string) error {
	if err := c.complete(op); err != nil {
		return err
	}
	ctx, cancel, store, err := c.store(ctx, op)
	if err != nil {
		return err
	}
	defer cancel()
	doc, err := c.load(s, op, folder)
	if err != nil {
		return err
	}

	applied, err := c.applyTo(ctx, store, doc)
	if err != nil {
		return c.fail(s, op, err)
	}
	return c.print(s, applied)
}

func (c *change) applyTo(ctx context.Context, store config.Store, doc config.Document) (config.ApplyResult, error) {
	if c.on == anyVersion {
		return config.Apply(ctx, store, doc, c.who, c.why)
	}
	return config.ApplyOnVersion(ctx, store, c.on, doc, c.who, c.why)
}

func (c *change) complete(op string) error {
	if strings.TrimSpace(c.why) == "" {
		return usageError(op, "give the reason of the change with -why")
	}
	if c.on < anyVersion {
		return usageError(op, "flag -on: %d is no number of a version", c.on)
	}
	if c.who != "" {
		return nil
	}

	u, err := user.Current()
	if err != nil {
		return usageError(op, "the system's user is not known (%v), give -who", err)
	}
	c.who = u.Username
	return nil
}
