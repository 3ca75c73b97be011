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

// Setup describes the cluster of a variant. The configuration replaces the
// fields that it names in the preset's document.
type Setup struct {
	Entries       int           `yaml:"entries"`
	Configuration yamlText      `yaml:"configuration"`
	Faults        []FaultyShare `yaml:"faults"`

	// Direct sends the tasks from the load tool straight to the workers, as
	// a baseline without entry instances.
	Direct bool `yaml:"direct"`
}

// FaultyShare gives a fault to every so many-th worker, the first one
// included.
type FaultyShare struct {
	Every          int     `yaml:"every"`
	SlowFactor     float64 `yaml:"slowFactor"`
	FailEverything bool    `yaml:"failEverything"`
}

// yamlText is a part of a YAML document that is decoded later.
type yamlText []byte

// UnmarshalYAML keeps the text.
func (t *yamlText) UnmarshalYAML(text []byte) error {
	*t = bytes.Clone(text)
	return nil
}

const (
	storeTimeout = 2 * time.Second
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
)

func (s *Setup) validate() error {
	if s.Entries < 1 && !s.Direct {
		return eris.New("a cluster needs entries")
	}
	for _, f := range s.Faults {
		if f.Every < 1 {
			return eris.New("every must be at least 1")
		}
	}
	_, err := s.document(config.Default())
	return err
}

// document returns the preset's document with the variant's changes.
func (s *Setup) document(base config.Document) (config.Document, error) {
	if len(s.Configuration) == 0 {
		return base, nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(s.Configuration), yaml.Strict())
	err := decoder.Decode(&base)
	return base, err
}

// start starts the cluster, waits until every instance answers and completes
// the options of the run.
func (s *Setup) start(options *RunOptions, start StartFunc) (*Cluster, error) {
	document, err := s.document(options.Preset.Document(options.TimeScale))
	if err != nil {
		return nil, &Error{Op: "read configuration", Kind: KindOptions, Err: err}
	}
	entries := s.Entries
	if s.Direct {
		entries = 0
		start = func(InstanceOptions) (Instance, error) { return nil, eris.New("no instances") }
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
	if err := s.complete(cluster, options); err != nil {
		cluster.Close()
		return nil, &Error{Op: "prepare cluster", Kind: KindCluster, Err: err}
	}
	return cluster, nil
}

func applyDocument(platformAddr string, document config.Document) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()

	store := table.NewClient(platformAddr, storeTimeout)
	_, err := config.Apply(ctx, store, document, "load", "experiment")
	return err
}

func (s *Setup) complete(cluster *Cluster, options *RunOptions) error {
	options.Targets = cluster.Targets()
	options.FaultyWorkers = map[string]bool{}
	for _, f := range s.Faults {
		if err := f.apply(cluster.Fleet, options.FaultyWorkers); err != nil {
			return err
		}
	}
	if s.Direct {
		options.Direct = newDirect(cluster.Fleet).run
		return nil
	}
	return awaitReady(options.Targets.Admins)
}

func (f FaultyShare) apply(fleet *fakes.Fleet, faulty map[string]bool) error {
	for i, w := range fleet.Workers {
		if i%f.Every != 0 {
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

// awaitReady returns when each instance says that it is ready.
func awaitReady(admins []string) error {
	deadline := time.Now().Add(readyTimeout)
	for _, addr := range admins {
		for !isReady(addr) {
			if time.Now().After(deadline) {
				return eris.Errorf("%s is not ready", addr)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}
