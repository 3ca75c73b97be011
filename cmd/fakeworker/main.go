// Command fakeworker serves stand-ins for workers until it is interrupted. It
// prints the addresses of each worker as one line of JSON.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"foxtailmux/fakes"
	"foxtailmux/logger"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// workerAddrs is the line of JSON that the program prints for each worker.
type workerAddrs struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	ControlAddr string `json:"controlAddr"`
}

// settings holds the values of the flags.
type settings struct {
	Fleet          fakes.FleetOptions
	Platform       string
	DataCentreList string
	EventFile      string
}

func main() {
	var s settings
	flags := s.flags()
	if err := ff.Parse(flags, os.Args[1:]); err != nil {
		usage(flags, err)
	}
	s.Fleet.DataCentres = strings.Split(s.DataCentreList, ",")

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := s.serve(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func (s *settings) flags() *ff.FlagSet {
	flags := ff.NewFlagSet("fakeworker")
	flags.IntVar(&s.Fleet.Count, 0, "count", 1, "number of workers, each on its own port")
	flags.StringVar(&s.Fleet.Addr, 0, "addr", "", "IP and port to listen on when count is 1")
	flags.StringVar(&s.Fleet.Name, 0, "name", "worker", "first part of the workers' ids")
	flags.StringVar(&s.Fleet.Pool, 0, "pool", "pool", "pool of the workers")
	flags.StringVar(&s.DataCentreList, 0, "dataCentre", "dc1", "data centres, separated by commas; racks go round them")
	flags.IntVar(&s.Fleet.RackSize, 0, "rackSize", 8, "workers in a rack")
	flags.IntVar(&s.Fleet.Slots, 0, "slots", fakes.DefaultSlots, "task slots of a worker")
	flags.IntVar(&s.Fleet.Connections, 0, "connections", fakes.DefaultConnections, "connections of a worker")
	flags.IntVar(&s.Fleet.Capacity.Cores, 0, "cores", 0, "cores of a worker, 0 for no limit")
	flags.IntVar(&s.Fleet.Capacity.MemoryMB, 0, "memoryMB", 0, "memory of a worker in MB, 0 for no limit")
	flags.IntVar(&s.Fleet.Capacity.Accelerators, 0, "accelerators", 0, "accelerators of a worker")
	flags.StringVar(&s.Platform, 0, "platform", "", "IP and port of the platform to register at")
	flags.StringVar(&s.EventFile, 0, "events", "", "file that start and end events are appended to")
	return flags
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

// serve runs the workers until the context ends.
func (s *settings) serve(ctx context.Context) error {
	if s.EventFile != "" {
		file, err := os.OpenFile(s.EventFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		s.Fleet.EventWriter = &logger.LockedWriter{Writer: file}
	}

	fleet, err := fakes.StartFleet(s.Fleet)
	if err != nil {
		return err
	}
	defer fleet.Close()
	for _, w := range fleet.Workers {
		if err := s.registerAndPrint(w); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// registerAndPrint registers a worker at the platform, if one is given, and
// prints its addresses.
func (s *settings) registerAndPrint(w *fakes.Worker) error {
	worker := w.Describe()
	if s.Platform != "" {
		if err := fakes.Register(s.Platform, worker); err != nil {
			return err
		}
	}
	return json.NewEncoder(os.Stdout).Encode(workerAddrs{ID: worker.ID, Addr: worker.Addr, ControlAddr: w.ControlAddr()})
}
