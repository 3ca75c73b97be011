package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Experiment compares variants in interleaved rounds. Every variant gets the
// same submissions in a round.
type Experiment struct {
	Preset      string        `yaml:"preset"`
	Seed        uint64        `yaml:"seed"` // of the first round; it rises by one with each
	Rounds      int           `yaml:"rounds"`
	Duration    time.Duration `yaml:"duration"` // of each run
	Warmup      time.Duration `yaml:"warmup"`
	Utilisation float64       `yaml:"utilisation"`
	TimeScale   float64       `yaml:"timeScale"`
	Workers     int           `yaml:"workers"` // 0 takes the preset's number
	Variants    []Variant     `yaml:"variants"`
}

// Variant is a named set of entry instances.
type Variant struct {
	Name    string  `yaml:"name"`
	Targets Targets `yaml:",inline"`
}

// Bounds of an experiment.
const (
	maxRounds   = 1000
	maxVariants = 16
)

// ReadExperiment decodes an experiment and fills in its defaults. It fails
// with KindOptions on unknown fields and bad values.
func ReadExperiment(content []byte) (Experiment, error) {
	e := Experiment{Preset: "malabar", Seed: 1, Rounds: 3, Duration: 10 * time.Second, Utilisation: 0.8, TimeScale: 1}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(&e); err != nil {
		return Experiment{}, &Error{Op: "read experiment", Kind: KindOptions, Err: err}
	}
	if err := e.validate(); err != nil {
		return Experiment{}, &Error{Op: "check experiment", Kind: KindOptions, Err: err}
	}
	return e, nil
}

func (e Experiment) validate() error {
	if e.Rounds < 1 || e.Rounds > maxRounds {
		return eris.Errorf("rounds must be from 1 to %d", maxRounds)
	}
	if len(e.Variants) < 1 || len(e.Variants) > maxVariants {
		return eris.Errorf("there must be from 1 to %d variants", maxVariants)
	}
	names := map[string]bool{}
	for _, v := range e.Variants {
		if v.Name == "" || names[v.Name] {
			return eris.Errorf("variant name %q is empty or used twice", v.Name)
		}
		if len(v.Targets.Entries) == 0 {
			return eris.Errorf("variant %q has no entries", v.Name)
		}
		names[v.Name] = true
	}
	return nil
}

// Comparison is the outcome of an experiment.
type Comparison struct {
	Variants []VariantReport `json:"variants"`
}

// VariantReport holds the reports of a variant's runs, one for each round,
// and the quantiles over all of them, in milliseconds.
type VariantReport struct {
	Name     string    `json:"name"`
	Runs     []Report  `json:"runs"`
	Response Quantiles `json:"response"`
	Overhead Quantiles `json:"overhead"`

	overhead, response histogram
}

// RunExperiment runs all rounds of an experiment. The run id is part of each
// nonce and key, so it must be new for each experiment.
func RunExperiment(ctx context.Context, e Experiment, runID string) (Comparison, error) {
	preset, err := NewPreset(e.Preset)
	if err != nil {
		return Comparison{}, err
	}
	if e.Workers > 0 {
		preset.Workers = e.Workers
	}

	comparison := Comparison{}
	for _, v := range e.Variants {
		report := VariantReport{Name: v.Name, overhead: newHistogram(), response: newHistogram()}
		comparison.Variants = append(comparison.Variants, report)
	}
	for round := range e.Rounds {
		for i, v := range e.Variants {
			options := e.options(preset, v, round)
			options.RunID = fmt.Sprintf("%s-%d-%d", runID, round, i)
			if err := comparison.Variants[i].run(ctx, options); err != nil {
				return comparison, err
			}
			if ctx.Err() != nil {
				return comparison, ctx.Err()
			}
		}
	}
	return comparison, nil
}

func (e Experiment) options(preset Preset, v Variant, round int) RunOptions {
	return RunOptions{
		GeneratorOptions: GeneratorOptions{
			Preset:      preset,
			Seed:        e.Seed + uint64(round),
			TimeScale:   e.TimeScale,
			Utilisation: e.Utilisation,
		},
		Targets:  v.Targets,
		Duration: e.Duration,
		Warmup:   e.Warmup,
	}
}

func (v *VariantReport) run(ctx context.Context, options RunOptions) error {
	report, recorder, err := run(ctx, options)
	if err != nil {
		return err
	}
	v.Runs = append(v.Runs, report)
	v.overhead.merge(recorder.overhead)
	v.response.merge(recorder.response)
	v.Overhead = v.overhead.quantiles()
	v.Response = v.response.quantiles()
	return nil
}

// Err returns the first error of a run's report.
func (c Comparison) Err() error {
	for _, v := range c.Variants {
		for _, r := range v.Runs {
			if err := r.Err(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Curves returns the overhead of each variant for a plot.
func (c Comparison) Curves() []Curve {
	var curves []Curve
	for _, v := range c.Variants {
		curves = append(curves, Curve{Name: v.Name, histogram: v.overhead})
	}
	return curves
}

// WriteTable writes a line for each run and a summary for each variant. The
// spread is the lowest and the highest of the runs.
func (c Comparison) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tround\tseed\tjobs\toverhead p50\tp99\tp99.9\twork in time\tneeded\twasted\tno answer\tviolations")
	for _, v := range c.Variants {
		for round, r := range v.Runs {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.4f\t%s\t%s\t%d\t%d\n", v.Name, round+1, r.Seed, r.Jobs,
				r.Overhead.P50, r.Overhead.P99, r.Overhead.P999, r.WorkInTimeShare,
				r.perTask(r.NeededPerTask), r.perTask(r.WastedPerTask), sum(r.TransportErrors), sum(r.Violations))
		}
	}

	fmt.Fprintln(w, "\nvariant\truns\tjobs answered\toverhead p50\tp99\tp99.9\tspread of p99")
	for _, v := range c.Variants {
		low, high := v.spread()
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f to %.2f\n", v.Name, len(v.Runs), v.Overhead.Count,
			v.Overhead.P50, v.Overhead.P99, v.Overhead.P999, low, high)
	}
	return w.Flush()
}

// spread returns the lowest and the highest p99 of the runs' overheads.
func (v VariantReport) spread() (low, high float64) {
	var values []float64
	for _, r := range v.Runs {
		values = append(values, r.Overhead.P99)
	}
	if len(values) == 0 {
		return 0, 0
	}
	return slices.Min(values), slices.Max(values)
}

func (r Report) perTask(value float64) string {
	if !r.MessagesKnown {
		return "?"
	}
	return fmt.Sprintf("%.3f", value)
}

func sum(counts map[string]int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
