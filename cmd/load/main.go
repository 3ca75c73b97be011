// Command load sends a workload, drawn from a seed, to entry instances and
// reports on the answers, or compares variants in an experiment.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"foxtailmux/fakes"
	"foxtailmux/load"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// settings holds the values of the flags.
type settings struct {
	run            load.RunOptions
	preset         string
	runID          string
	workers        int
	experimentFile string
	eventFiles     []string
	jsonFile       string
	plotFile       string
}

// tableWriter is a report or comparison that can be printed as a table. It can
// also be encoded as JSON.
type tableWriter interface {
	WriteTable(io.Writer) error
}

func main() {
	s := &settings{}
	flags := s.flags()
	if err := ff.Parse(flags, os.Args[1:]); err != nil {
		usage(flags, err)
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := s.execute(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func (s *settings) flags() *ff.FlagSet {
	flags := ff.NewFlagSet("load")
	flags.StringListVar(&s.run.Targets.Entries, 0, "entry", "IP and port of an entry instance for callers; may be given several times")
	flags.StringListVar(&s.run.Targets.Admins, 0, "admin", "IP and port of an entry instance for operators; may be given several times")
	flags.StringVar(&s.run.Targets.AdminKey, 0, "adminKey", "", "operators' key")
	flags.StringVar(&s.preset, 0, "preset", "malabar", "malabar or tihiZvok")
	flags.Uint64Var(&s.run.Seed, 0, "seed", 1, "seed of the workload")
	flags.StringVar(&s.runID, 0, "runId", "", "part of nonces and keys, new for each run; empty takes the time")
	flags.IntVar(&s.workers, 0, "workers", 0, "number of workers, 0 for the preset's")
	flags.DurationVar(&s.run.Duration, 0, "duration", 10*time.Second, "time during which jobs arrive")
	flags.DurationVar(&s.run.Warmup, 0, "warmup", 0, "first part of the duration that isn't recorded")
	flags.Float64Var(&s.run.Utilisation, 0, "utilisation", 0.8, "mean load as a share of the capacity")
	flags.Float64Var(&s.run.TimeScale, 0, "timeScale", 1, "factor of run times, deadlines, bursts and waves")
	flags.IntVar(&s.run.MaxOutstanding, 0, "maxOutstanding", 0, "bound of jobs in flight, 0 for the default")
	flags.StringVar(&s.experimentFile, 0, "experiment", "", "YAML file that describes variants to compare")
	flags.StringListVar(&s.eventFiles, 0, "events", "file of events that the workers append to, to compare the answers with; may be given several times")
	flags.StringVar(&s.jsonFile, 0, "json", "", "file for the report as JSON")
	flags.StringVar(&s.plotFile, 0, "plot", "", "file for a plot as PNG")
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

func exitCode(err error) int {
	var failure *load.Error
	if errors.As(err, &failure) && failure.Kind == load.KindOptions {
		return exitUsage
	}
	return exitFailed
}

func (s *settings) execute(ctx context.Context) error {
	if s.runID == "" {
		s.runID = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	if s.experimentFile != "" {
		return s.runExperiment(ctx)
	}
	return s.runOnce(ctx)
}

// runOnce does one run of a preset and writes its report.
func (s *settings) runOnce(ctx context.Context) error {
	preset, err := load.NewPreset(s.preset)
	if err != nil {
		return err
	}
	if s.workers > 0 {
		preset.Workers = s.workers
	}
	s.run.Preset = preset
	s.run.RunID = s.runID

	s.run.History = &load.History{}

	report, curves, err := load.RunWithCurves(ctx, s.run)
	if err != nil {
		return err
	}
	if err := s.verify(&report); err != nil {
		return err
	}
	if err := s.write(report, curves); err != nil {
		return err
	}
	return report.Err()
}

// verify compares the answers of the run with the workers' events, if files of
// events are given, and adds the findings to the report.
func (s *settings) verify(report *load.Report) error {
	if len(s.eventFiles) == 0 {
		return nil
	}
	var all []fakes.Event
	for _, name := range s.eventFiles {
		events, err := readEvents(name)
		if err != nil {
			return err
		}
		all = append(all, events...)
	}
	report.AddFindings(s.run.History.Verify(all))
	return nil
}

func readEvents(name string) ([]fakes.Event, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return fakes.ReadEvents(file)
}

// runExperiment runs the experiment of the file and writes its comparison.
func (s *settings) runExperiment(ctx context.Context) error {
	content, err := os.ReadFile(s.experimentFile)
	if err != nil {
		return err
	}
	experiment, err := load.ReadExperiment(content)
	if err != nil {
		return err
	}

	comparison, err := load.RunExperiment(ctx, experiment, s.runID, newInstanceStarter().start)
	if err != nil {
		return err
	}
	if err := s.write(comparison, comparison.Curves()); err != nil {
		return err
	}
	return comparison.Err()
}

// write prints the table and writes the JSON and the plot to files, if given.
func (s *settings) write(result tableWriter, curves []load.Curve) error {
	if err := result.WriteTable(os.Stdout); err != nil {
		return err
	}
	if s.jsonFile != "" {
		if err := writeJSON(s.jsonFile, result); err != nil {
			return err
		}
	}
	if s.plotFile == "" {
		return nil
	}
	return writePlot(s.plotFile, curves)
}

func writeJSON(name string, result any) error {
	content, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(content, '\n'), 0o644)
}

func writePlot(name string, curves []load.Curve) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := load.WritePlot(file, "overhead over the ideal response", curves); err != nil {
		return err
	}
	return file.Close()
}
