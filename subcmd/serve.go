package subcmd

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/setup"
)

// Serve runs an entry instance until ctx ends or the process receives a signal to stop. The
// main package sets it; while it is nil, the command fails.
var Serve func(ctx context.Context, s setup.Settings, stderr io.Writer) error

const serveExample = "serve -settings /etc/foxtailmux/settings.yaml -instance entry-1"

const settingsFlag = "settings"

func init() {
	register(Command{Name: "serve", Example: serveExample, Build: newServe})
}

func newServe(s Streams) *ff.Command {
	given := setup.Default()
	std := setup.Flags(&given)
	path := std.String(settingsFlag, "", "YAML file with the settings")
	flags := ff.NewFlagSetFrom("serve", std)

	return &ff.Command{
		Name:      "serve",
		Usage:     program + " serve [-settings FILE] [FLAGS]",
		ShortHelp: "run an entry instance",
		LongHelp: longHelp("Runs an entry instance until SIGTERM. Each setting may be given in the file,\n"+
			"above it as a variable such as "+setup.EnvVariable("callers.addr")+", and above both as a flag.", serveExample),
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArgs("serve", args); err != nil {
				return err
			}
			return serve(ctx, *path, overrides(flags), s.Err)
		},
	}
}

func serve(ctx context.Context, path string, flags []setup.Override, stderr io.Writer) error {
	if path == "" {
		path = os.Getenv(setup.FileVariable)
	}
	settings, err := setup.Load(path, os.Environ(), flags...)
	if err != nil {
		return &Error{Op: "serve", Kind: KindInput, Err: err}
	}
	if Serve == nil {
		return failedError("serve", "this build has no entry instance")
	}

	if err := Serve(ctx, settings, stderr); err != nil {
		return &Error{Op: "serve", Kind: KindFailed, Err: err}
	}
	return nil
}

// overrides returns the settings that were given as flags. They take precedence over those of
// the file and of the environment.
func overrides(flags ff.Flags) []setup.Override {
	var given []setup.Override
	_ = flags.WalkFlags(func(f ff.Flag) error {
		name, _ := f.GetLongName()
		if f.IsSet() && name != settingsFlag {
			given = append(given, setup.Override{Name: name, Value: f.GetValue()})
		}
		return nil
	})
	return given
}
