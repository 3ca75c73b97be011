// Command foxtailmux dispatches sub-second tasks from callers to endpoints.
package main

import (
	"context"
	"io"
	"os"

	"foxtailmux/daemon"
	"foxtailmux/demo"
	"foxtailmux/fleet"
	_ "foxtailmux/platform" // registers its adapter
	"foxtailmux/setup"
	"foxtailmux/subcmd"
)

func main() {
	subcmd.Serve = serve
	subcmd.Demo = demo.Run
	os.Exit(subcmd.Run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// serve runs an entry instance, on a users' platform if the settings name its
// adapter.
func serve(ctx context.Context, s setup.Settings, stderr io.Writer) error {
	if s.Platform.Adapter != "" {
		return fleet.Run(ctx, s, stderr)
	}
	return daemon.Run(ctx, s, stderr)
}
