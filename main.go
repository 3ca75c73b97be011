// Command foxtailmux dispatches sub-second tasks from callers to endpoints.
package main

import (
	"context"
	"os"

	"foxtailmux/daemon"
	"foxtailmux/demo"
	"foxtailmux/subcmd"
)

func main() {
	subcmd.Serve = daemon.Run
	subcmd.Demo = demo.Run
	os.Exit(subcmd.Run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
