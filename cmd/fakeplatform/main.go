// Command fakeplatform serves a stand-in for the platform's services until it is
// interrupted. It prints the address that it listens on as JSON.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"foxtailmux/fakes"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// listenAddr is the JSON that the program prints at its start.
type listenAddr struct {
	Addr string `json:"addr"`
}

func main() {
	var options fakes.PlatformOptions
	flags := ff.NewFlagSet("fakeplatform")
	flags.StringVar(&options.Addr, 0, "addr", "127.0.0.1:0", "IP and port to listen on")
	flags.Uint64Var(&options.Seed, 0, "seed", 1, "seed of the random choices")
	flags.DurationVar(&options.WriteDelay, 0, "writeDelay", 0, "time of a synced write")
	flags.Float64Var(&options.ReadsPerSecond, 0, "readsPerSecond", 0, "limit of reads, 0 for none")
	flags.Float64Var(&options.WritesPerSecond, 0, "writesPerSecond", 0, "limit of writes, 0 for none")
	if err := ff.Parse(flags, os.Args[1:]); err != nil {
		usage(flags, err)
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// usage prints the flags and exits: with 0 if help was requested, else with the
// error and exitUsage.
func usage(flags ff.Flags, err error) {
	fmt.Fprintln(os.Stderr, ffhelp.Flags(flags))
	if errors.Is(err, ff.ErrHelp) {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitUsage)
}

func serve(ctx context.Context, options fakes.PlatformOptions) error {
	platform, err := fakes.StartPlatform(options)
	if err != nil {
		return err
	}
	defer platform.Close()

	if err := json.NewEncoder(os.Stdout).Encode(listenAddr{Addr: platform.Addr()}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
