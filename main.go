// Command foxtailmux runs an entry instance, which dispatches sub-second tasks
// from callers to endpoints, and the commands for its operators and callers.
package main

import (
	"context"
	"io"
	"os"

	"foxtailmux/daemon"
	"foxtailmux/demo"
	"foxtailmux/fleet"
	_ "foxtailmux/platform" // registers the platform adapter
	"foxtailmux/setup"
	"foxtailmux/subcmd"
)

func main() {
	subcmd.Serve = serve
	subcmd.Demo = demo.Run
	os.Exit(subcmd.Run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// serve runs an entry instance until the context ends. If the settings name a
// platform adapter, the instance runs in the mode that elects a home for each
// data centre (package fleet), otherwise in the mode that divides the workers'
// slots among the instances (package daemon).
func serve(ctx context.Context, s setup.Settings, stderr io.Writer) error {
	if s.Platform.Adapter != "" {
		return fleet.Run(ctx, s, stderr)
	}
	return daemon.Run(ctx, s, stderr)
}
