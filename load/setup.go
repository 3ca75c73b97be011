package load

import (
	"bytes"
	"context"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"foxtailmux/config"
	"foxtailmux/fakes"
	"foxtailmux/table"
)

// ClusterSetup describes the cluster of a variant. Configuration overrides the
// fields that it names in the preset's configuration document.
type ClusterSetup struct {
	Entries       int         `yaml:"entries"` // number of entry instances
	Configuration rawYAML     `yaml:"configuration"`
	Faults        []FaultRule `yaml:"faults"`

	// Direct sends the tasks from this process straight to the workers, as a
	// baseline without entry instances.
	Direct bool `yaml:"direct"`
}

// FaultRule injects a fault into every nth worker, starting with the first.
type FaultRule struct {
	EveryNth       int     `yaml:"every"`
	SlowFactor     float64 `yaml:"slowFactor"` // multiple of the normal run time
	FailEverything bool    `yaml:"failEverything"`
}

// rawYAML is a part of a YAML document that is decoded later, on top of the
// preset's configuration.
type rawYAML []byte

// UnmarshalYAML copies the text without decoding it.
func (t *rawYAML) UnmarshalYAML(text []byte) error {
	*t = bytes.Clone(text)
	return nil
}

const (
	storeTimeout      = 2 * time.Second
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

func (s *ClusterSetup) validate() error {
	if s.Entries < 1 && !s.Direct {
		return eris.New("entries must be at least 1 unless direct is set")
	}
	for _, f := range s.Faults {
		if f.EveryNth < 1 {
			return eris.New("every must be at least 1 in each of the faults")
		}
	}
	_, err := s.mergeConfiguration(config.Default())
	return err
}

// mergeConfiguration returns the configuration document with the variant's
// changes. It fails on unknown fields.
func (s *ClusterSetup) mergeConfiguration(base config.Document) (config.Document, error) {
	if len(s.Configuration) == 0 {
		return base, nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(s.Configuration), yaml.Strict())
	err := decoder.Decode(&base)
	return base, err
}

// start starts the cluster, waits until every instance is ready, and sets the
// targets and the faulty workers in the options of the run.
func (s *ClusterSetup) start(options *RunOptions, start StartFunc) (*Cluster, error) {
	document, err := s.mergeConfiguration(options.Preset.Document(options.TimeScale))
	if err != nil {
		return nil, &Error{Op: "read configuration", Kind: KindOptions, Err: err}
	}
	entries := s.Entries
	if s.Direct {
		entries = 0
		start = func(InstanceOptions) (Instance, error) {
			return nil, eris.New("a direct cluster has no entry instances")
		}
	}

	cluster, err := StartCluster(ClusterOptions{
		Preset:  options.Preset,
		Entries: entries,
		Start:   start,
		Prepare: func(p *fakes.Platform) error { return applyDocument(p.Addr(), document) },
	})
	if err != nil {
		return nil, err
	}
	if err := s.prepareRun(cluster, options); err != nil {
		cluster.Close()
		return nil, &Error{Op: "prepare cluster", Kind: KindCluster, Err: err}
	}
	return cluster, nil
}

// applyDocument stores the document as the first configuration of the platform.
func applyDocument(platformAddr string, document config.Document) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()

	store := table.NewClient(platformAddr, storeTimeout)
	_, err := config.Apply(ctx, store, document, "load", "experiment")
	return err
}

// prepareRun injects the faults and sets the fields of the options that depend on
// the cluster. Unless the cluster is direct, it waits until the instances are
// ready.
func (s *ClusterSetup) prepareRun(cluster *Cluster, options *RunOptions) error {
	options.Targets = cluster.Targets()
	options.FaultyWorkers = map[string]bool{}
	for _, f := range s.Faults {
		if err := f.apply(cluster.Fleet, options.FaultyWorkers); err != nil {
			return err
		}
	}
	if s.Direct {
		options.SubmitDirect = newDirectDispatcher(cluster.Fleet).runJob
		return nil
	}
	return waitReady(options.Targets.Admins)
}

// apply injects the fault and adds the ids of the affected workers to faulty.
func (f FaultRule) apply(fleet *fakes.Fleet, faulty map[string]bool) error {
	for i, w := range fleet.Workers {
		if i%f.EveryNth != 0 {
			continue
		}
		faulty[w.Describe().ID] = true
		err := w.SetFaults(fakes.WorkerFaults{SlowFactor: f.SlowFactor, FailEverything: f.FailEverything})
		if err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until each instance at the operators' addresses is ready. It
// fails if that takes longer than readyTimeout for all of them together.
func waitReady(admins []string) error {
	deadline := time.Now().Add(readyTimeout)
	for _, addr := range admins {
		for !isReady(addr) {
			if time.Now().After(deadline) {
				return eris.Errorf("the instance at %s is not ready in time", addr)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}
