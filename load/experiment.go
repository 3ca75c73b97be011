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

// Experiment compares variants in interleaved rounds, so that a change in the
// machine's load affects all variants. Within a round, all variants of the same
// utilisation get the same submissions, apart from nonces and keys.
type Experiment struct {
	Preset      string        `yaml:"preset"`
	Seed        uint64        `yaml:"seed"` // of the first round; each further round adds one
	Rounds      int           `yaml:"rounds"`
	Duration    time.Duration `yaml:"duration"`    // of each run
	Warmup      time.Duration `yaml:"warmup"`      // first part of each run, not recorded
	Utilisation float64       `yaml:"utilisation"` // mean load as a share of all slots
	TimeScale   float64       `yaml:"timeScale"`
	Workers     int           `yaml:"workers"`     // 0 takes the preset's number
	DataCentres int           `yaml:"dataCentres"` // 0 takes the preset's number
	Variants    []Variant     `yaml:"variants"`
}

// Variant is a named set of entry instances: either the addresses of running
// instances, or a cluster that is started in this process for each run. A
// Utilisation other than 0 replaces that of the experiment.
type Variant struct {
	Name        string        `yaml:"name"`
	Utilisation float64       `yaml:"utilisation"`
	Targets     Targets       `yaml:",inline"`
	Cluster     *ClusterSetup `yaml:"cluster"`
}

// StartFunc starts an entry instance of a cluster in this process.
type StartFunc func(InstanceOptions) (Instance, error)

// Limits of an experiment.
const (
	maxRounds   = 1000
	maxVariants = 16
)

// ReadExperiment decodes an experiment from YAML and fills in defaults. It fails
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
		if len(v.Targets.Entries) == 0 && v.Cluster == nil {
			return eris.Errorf("variant %q has neither entries nor a cluster", v.Name)
		}
		if v.Cluster != nil {
			if err := v.Cluster.validate(); err != nil {
				return eris.Wrapf(err, "variant %q", v.Name)
			}
		}
		names[v.Name] = true
	}
	return nil
}

// Comparison holds the results of an experiment, one report for each variant.
type Comparison struct {
	Variants []VariantReport `json:"variants"`
}

// VariantReport holds the reports of a variant's runs, one for each round, and
// the quantiles over all of them. The fields mean the same as in Report.
type VariantReport struct {
	Name              string         `json:"name"`
	Runs              []Report       `json:"runs"`
	Response          Quantiles      `json:"response"`
	Overhead          Quantiles      `json:"overhead"`
	ResponseOverIdeal Quantiles      `json:"ratio"`
	HealthyResponse   Quantiles      `json:"others"`
	Refusals          map[string]int `json:"refusals"`

	overhead, response, responseOverIdeal, healthyResponse histogram
}

func newVariantReport(name string) VariantReport {
	return VariantReport{
		Name:              name,
		Refusals:          map[string]int{},
		overhead:          newHistogram(),
		response:          newHistogram(),
		responseOverIdeal: newHistogram(),
		healthyResponse:   newHistogram(),
	}
}

// RunExperiment runs all rounds of an experiment. The run id is part of each
// nonce and idempotency key, so it must be new for each experiment. start is
// called for each instance of a variant with a cluster; it may be nil if no variant
// has one.
func RunExperiment(ctx context.Context, e Experiment, runID string, start StartFunc) (Comparison, error) {
	preset, err := e.preset()
	if err != nil {
		return Comparison{}, err
	}

	comparison := Comparison{}
	for _, v := range e.Variants {
		comparison.Variants = append(comparison.Variants, newVariantReport(v.Name))
	}
	for round := range e.Rounds {
		for i, v := range e.Variants {
			options := e.options(preset, v, round)
			options.RunID = fmt.Sprintf("%s-%d-%d", runID, round, i)
			if err := comparison.Variants[i].runRound(ctx, v, options, start); err != nil {
				return comparison, err
			}
			if ctx.Err() != nil {
				return comparison, ctx.Err()
			}
		}
	}
	return comparison, nil
}

// preset returns the preset with the experiment's numbers of workers and data
// centres.
func (e Experiment) preset() (Preset, error) {
	preset, err := NewPreset(e.Preset)
	if err != nil {
		return Preset{}, err
	}
	if e.Workers > 0 {
		preset.Workers = e.Workers
	}
	if e.DataCentres > 0 {
		preset.DataCentres = preset.DataCentres[:min(e.DataCentres, len(preset.DataCentres))]
	}
	return preset, nil
}

func (e Experiment) options(preset Preset, v Variant, round int) RunOptions {
	o := RunOptions{
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
	if v.Utilisation > 0 {
		o.Utilisation = v.Utilisation
	}
	return o
}

// runRound does one run of the variant, on a new cluster if it has one.
func (v *VariantReport) runRound(ctx context.Context, variant Variant, options RunOptions, start StartFunc) error {
	if variant.Cluster == nil {
		return v.runAndMerge(ctx, options)
	}

	cluster, err := variant.Cluster.start(&options, start)
	if err != nil {
		return err
	}
	defer cluster.Close()
	return v.runAndMerge(ctx, options)
}

// runAndMerge does one run and merges its measurements into the report.
func (v *VariantReport) runAndMerge(ctx context.Context, options RunOptions) error {
	report, recorder, err := run(ctx, options)
	if err != nil {
		return err
	}
	v.Runs = append(v.Runs, report)
	for kind, count := range report.Refusals {
		v.Refusals[kind] += count
	}

	v.overhead.merge(recorder.overhead)
	v.response.merge(recorder.response)
	v.responseOverIdeal.merge(recorder.responseOverIdeal)
	v.healthyResponse.merge(recorder.healthyResponse)
	v.Overhead = v.overhead.quantiles()
	v.Response = v.response.quantiles()
	v.ResponseOverIdeal = v.responseOverIdeal.quantiles()
	v.HealthyResponse = v.healthyResponse.quantiles()
	return nil
}

// Err returns the first error among the reports of all runs, or nil.
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

// Curves returns the distribution of each variant's overhead for a plot.
func (c Comparison) Curves() []Curve {
	var curves []Curve
	for _, v := range c.Variants {
		curves = append(curves, Curve{Name: v.Name, histogram: v.overhead})
	}
	return curves
}

// WriteTable writes three tables: a line for each run; for each variant the
// quantiles over all runs, with the lowest and the highest p99 of the overhead
// among the runs as its spread; and for each variant the refusals by kind.
func (c Comparison) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	c.writeRuns(w)
	c.writeQuantiles(w)
	c.writeRefusals(w)
	return w.Flush()
}

func (c Comparison) writeRuns(w io.Writer) {
	fmt.Fprintln(w, "variant\tround\tseed\tload\tjobs\tlag p99\toverhead p50\tp99\tp99.9\twork in time\trefused after p50\tp99\tlost\tneeded\twasted\tJain\tworst/best\tno answer\tviolations")
	for _, v := range c.Variants {
		for round, r := range v.Runs {
			fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.4f\t%.2f\t%.2f\t%.4f\t%s\t%s\t%.4f\t%.4f\t%d\t%d\n",
				v.Name, round+1, r.Seed, r.Utilisation, r.Jobs, r.SenderLag.P99,
				r.Overhead.P50, r.Overhead.P99, r.Overhead.P999, r.WorkInTimeShare,
				r.RefusedAfter.P50, r.RefusedAfter.P99, r.LostShare,
				r.formatPerTask(r.NeededPerTask), r.formatPerTask(r.WastedPerTask),
				r.JainIndex, r.WorstOverBest, sumCounts(r.TransportErrors), sumCounts(r.Violations))
		}
	}
}

func (c Comparison) writeQuantiles(w io.Writer) {
	fmt.Fprintln(w, "\nvariant\truns\tjobs answered\tresponse/ideal p50\tp99\tp99.9\toverhead p50\tp99\tp99.9\tspread of p99\tothers' response p50\tp99")
	for _, v := range c.Variants {
		low, high := v.p99Range()
		fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f to %.2f\t%.2f\t%.2f\n",
			v.Name, len(v.Runs), v.Overhead.Count,
			v.ResponseOverIdeal.P50, v.ResponseOverIdeal.P99, v.ResponseOverIdeal.P999,
			v.Overhead.P50, v.Overhead.P99, v.Overhead.P999, low, high,
			v.HealthyResponse.P50, v.HealthyResponse.P99)
	}
}

func (c Comparison) writeRefusals(w io.Writer) {
	fmt.Fprintln(w, "\nvariant\trefusals by kind")
	for _, v := range c.Variants {
		writeCounts(w, v.Name, v.Refusals)
	}
}

// p99Range returns the lowest and the highest p99 of the overhead among the
// runs, in milliseconds.
func (v VariantReport) p99Range() (low, high float64) {
	var values []float64
	for _, r := range v.Runs {
		values = append(values, r.Overhead.P99)
	}
	if len(values) == 0 {
		return 0, 0
	}
	return slices.Min(values), slices.Max(values)
}

// formatPerTask formats messages per task, or "?" when they are unknown.
func (r Report) formatPerTask(value float64) string {
	if !r.MessagesKnown {
		return "?"
	}
	return fmt.Sprintf("%.3f", value)
}

// sumCounts returns the sum of all counts.
func sumCounts(counts map[string]int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
