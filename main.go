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

// serve runs an entry instance until the context ends or the process receives
// SIGTERM or SIGINT. If the settings name a platform adapter, the instance runs in
// the mode of package fleet: each data centre elects a home, the one instance that
// owns its workers. Otherwise it runs in the mode of package daemon, which divides
// the workers' slots among the instances.
func serve(ctx context.Context, s setup.Settings, stderr io.Writer) error {
	if s.Platform.Adapter != "" {
		return fleet.Run(ctx, s, stderr)
	}
	return daemon.Run(ctx, s, stderr)
}
