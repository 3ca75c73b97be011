package subcmd

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/config"
	"foxtailmux/place"
	"foxtailmux/queue"
	"foxtailmux/setup"
	"foxtailmux/table"
)

const (
	configExample = "config check ./conf"

	// configTimeout is the default timeout of a command that uses the store, storeTimeout
	// that of each of its requests.
	configTimeout = 30 * time.Second
	storeTimeout  = 2 * time.Second
)

func init() {
	register(Command{Name: "config", Example: configExample, Build: newConfig})
}

func newConfig(s Streams) *ff.Command {
	return &ff.Command{
		Name:      "config",
		Usage:     program + " config COMMAND [FLAGS]",
		ShortHelp: "check, apply and audit the shared configuration",
		LongHelp:  longHelp("Checks and applies a folder of YAML files, and shows what is in force.", configExample),
		Flags:     noFlags("config"),
		Subcommands: []*ff.Command{
			newConfigCheck(s),
			newConfigDiff(s),
			newConfigApply(s),
			newConfigStatus(s),
			newConfigHistory(s),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("config", "no command; see %s config -h", program)
			}
			return usageError("config", "unknown command %q; see %s config -h", args[0], program)
		},
	}
}

// configFlags are the flags that several of the config subcommands have.
type configFlags struct {
	fs       *flag.FlagSet
	json     bool
	platform string
	timeout  time.Duration
}

func newConfigFlags(name string) *configFlags {
	f := &configFlags{fs: newFlags(name)}
	f.fs.BoolVar(&f.json, "json", false, "print JSON")
	return f
}

// bindStore adds the flags of a command that uses the store.
func (f *configFlags) bindStore() {
	f.fs.StringVar(&f.platform, "platform", setup.Default().Platform.Addr, "IP:port of the platform")
	f.fs.DurationVar(&f.timeout, "timeout", configTimeout, "time for the whole command")
}

// openStore returns a client of the platform's store and a context that ends after the
// timeout of the command.
func (f *configFlags) openStore(ctx context.Context, op string) (context.Context, context.CancelFunc, *table.Client, error) {
	if err := setup.CheckDialAddr(f.platform); err != nil {
		return nil, nil, nil, usageError(op, "flag -platform: %v", err)
	}
	if f.timeout <= 0 {
		return nil, nil, nil, usageError(op, "flag -timeout: %v is not above 0", f.timeout)
	}

	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	return ctx, cancel, table.NewClient(f.platform, storeTimeout), nil
}

// parseFolder returns the only argument of a command, a folder. Flags may follow it.
func (f *configFlags) parseFolder(op string, args []string) (string, error) {
	if len(args) == 0 {
		return "", usageError(op, "give the folder")
	}
	if err := f.fs.Parse(args[1:]); err != nil {
		return "", usageError(op, "%v", err)
	}
	return args[0], rejectArgs(op, f.fs.Args())
}

// report is a result that a command prints as JSON or as a table.
type report interface {
	WriteTable(w io.Writer) error
}

func (f *configFlags) print(s Streams, r report) error {
	if f.json {
		return writeJSON(s.Out, r)
	}
	return r.WriteTable(s.Out)
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// failure is an error in the JSON output of a command.
type failure struct {
	Error failureCause `json:"error"`
}

type failureCause struct {
	Kind   config.Kind   `json:"kind"`
	Reason string        `json:"reason"`
	Winner *config.Entry `json:"winner,omitempty"`
}

// commandError turns an error of package config into one of the command, and prints it as
// JSON if the flag -json is set.
func (f *configFlags) commandError(s Streams, op string, err error) error {
	var cause *config.Error
	if !errors.As(err, &cause) {
		return &Error{Op: op, Kind: KindFailed, Err: err}
	}

	if f.json {
		body := failure{failureCause{Kind: cause.Kind, Reason: cause.Err.Error(), Winner: cause.Winner}}
		if err := writeJSON(s.Out, body); err != nil {
			return &Error{Op: op, Kind: KindFailed, Err: err}
		}
	}
	kind := KindFailed
	if cause.Kind == config.KindInvalid {
		kind = KindInput
	}
	return &Error{Op: op, Kind: kind, Err: cause.Err}
}

// loadDocument reads the configuration document of a folder. If the folder breaks rules, it
// prints them all and returns an error.
func (f *configFlags) loadDocument(s Streams, op, folder string) (config.Document, error) {
	r, err := config.Check(folder, plugins())
	if err != nil {
		return config.Document{}, f.commandError(s, op, err)
	}
	if len(r.Problems) > 0 {
		return config.Document{}, f.reportProblems(s, op, r)
	}

	doc, err := config.Load(folder, plugins())
	if err != nil {
		return config.Document{}, f.commandError(s, op, err)
	}
	return doc, nil
}

// reportProblems prints the rules that a folder breaks and returns an error.
func (f *configFlags) reportProblems(s Streams, op string, r config.CheckReport) error {
	if err := f.print(s, r); err != nil {
		return &Error{Op: op, Kind: KindFailed, Err: err}
	}
	return inputError(op, "%s breaks %d rules, the first is %s", r.Folder, len(r.Problems), r.Problems[0])
}

// plugins returns the names of the placement policies and queue orders of this build, which
// a document may select.
func plugins() config.Plugins {
	return config.Plugins{
		Policies: place.Policies.Names(),
		Orders:   queue.Orders.Names(),
	}
}
