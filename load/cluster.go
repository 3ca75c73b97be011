package load

import (
	"fmt"

	"github.com/rotisserie/eris"

	"foxtailmux/fakes"
)

// Instance is an entry instance that a Cluster has started. The addresses are
// IP and port; AdminAddr is that of the operators' port.
type Instance interface {
	CallerAddr() string
	AdminAddr() string
	Close()
}

// InstanceOptions hold the identity of an entry instance and the address of the
// platform, as IP and port.
type InstanceOptions struct {
	ID           string
	DataCentre   string
	PlatformAddr string
}

// ClusterOptions are the settings of a Cluster.
type ClusterOptions struct {
	Preset   Preset
	Entries  int // number of entry instances, assigned to the data centres round-robin
	Platform fakes.PlatformOptions
	Start    func(InstanceOptions) (Instance, error)

	// Prepare is called after the workers are registered at the platform and
	// before the first entry instance starts. It may be nil.
	Prepare func(*fakes.Platform) error
}

// Cluster holds stand-ins for the platform and the workers, and entry instances,
// which all run in this process.
type Cluster struct {
	Platform  *fakes.Platform
	Fleet     *fakes.Fleet
	Instances []Instance
}

// StartCluster starts a cluster. When a component does not start, it closes the
// others and returns an Error with KindCluster.
func StartCluster(options ClusterOptions) (*Cluster, error) {
	c := &Cluster{}
	if err := c.start(options); err != nil {
		c.Close()
		return nil, &Error{Op: "start cluster", Kind: KindCluster, Err: err}
	}
	return c, nil
}

func (c *Cluster) start(options ClusterOptions) error {
	if options.Start == nil || len(options.Preset.DataCentres) == 0 {
		return eris.New("no constructor of instances or no data centres")
	}
	var err error
	if c.Platform, err = fakes.StartPlatform(options.Platform); err != nil {
		return err
	}
	if c.Fleet, err = fakes.StartFleet(options.Preset.Fleet()); err != nil {
		return err
	}
	for _, w := range c.Fleet.Workers {
		c.Platform.PutWorker(w.Describe())
	}
	if options.Prepare != nil {
		if err := options.Prepare(c.Platform); err != nil {
			return err
		}
	}
	return c.startInstances(options)
}

func (c *Cluster) startInstances(options ClusterOptions) error {
	for i := range options.Entries {
		instance, err := options.Start(InstanceOptions{
			ID:           fmt.Sprintf("entry-%d", i+1),
			DataCentre:   options.Preset.DataCentres[i%len(options.Preset.DataCentres)],
			PlatformAddr: c.Platform.Addr(),
		})
		if err != nil {
			return err
		}
		c.Instances = append(c.Instances, instance)
	}
	return nil
}

// Targets returns the addresses of the entry instances.
func (c *Cluster) Targets() Targets {
	var targets Targets
	for _, i := range c.Instances {
		targets.Entries = append(targets.Entries, i.CallerAddr())
		targets.Admins = append(targets.Admins, i.AdminAddr())
	}
	return targets
}

// Events returns the start and end events of all workers, and how many events
// the workers have dropped because their buffers were full.
func (c *Cluster) Events() (events []fakes.Event, dropped int64) {
	for _, w := range c.Fleet.Workers {
		page := w.Events()
		events = append(events, page.Events...)
		dropped += page.Dropped
	}
	return events, dropped
}

// Close stops the entry instances, then the workers and the platform.
func (c *Cluster) Close() {
	for _, i := range c.Instances {
		i.Close()
	}
	if c.Fleet != nil {
		c.Fleet.Close()
	}
	if c.Platform != nil {
		c.Platform.Close()
	}
}
