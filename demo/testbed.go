package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/config"
	"foxtailmux/daemon"
	"foxtailmux/fakes"
	"foxtailmux/model"
	"foxtailmux/setup"
	"foxtailmux/table"
)

const (
	dataCentre          = "kochi"
	workersPerPool      = 4
	stragglerSlowFactor = 5 // multiple of the normal run time
	anyPort             = "127.0.0.1:0"

	drainDelay      = 200 * time.Millisecond
	stopLimit       = 8 * time.Second
	platformTimeout = 2 * time.Second
	pollInterval    = 20 * time.Millisecond
)

// testbed holds the stand-ins for the platform and the workers, and the entry
// instances of a demo, which all run in this process.
type testbed struct {
	logs      io.Writer
	platform  *fakes.Platform
	quoting   *fakes.Fleet              // workers of the pool "quoting"
	audio     *fakes.Fleet              // workers of the pool "audio"
	instances map[string]*daemon.Daemon // by instance name
	balancer  *balancer
}

// newTestbed starts the stand-ins and two entry instances and waits until each
// instance completes jobs on each pool.
func newTestbed(ctx context.Context, logs io.Writer) (*testbed, error) {
	t := &testbed{logs: logs, instances: map[string]*daemon.Daemon{}, balancer: newBalancer()}
	if err := t.start(ctx); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

func (t *testbed) start(ctx context.Context) error {
	if err := t.startStandIns(); err != nil {
		return &Error{Op: "start stand-ins", Kind: KindStart, Err: err}
	}

	store := table.NewClient(t.platform.Addr(), platformTimeout)
	if _, err := config.Apply(ctx, store, config.Example(), "demo", "first version"); err != nil {
		return &Error{Op: "apply configuration", Kind: KindStart, Err: err}
	}

	if err := t.startInstance(ctx, "entry-1"); err != nil {
		return err
	}
	return t.startInstance(ctx, "entry-2")
}

// startStandIns starts the platform and the workers of both pools.
func (t *testbed) startStandIns() error {
	var err error
	if t.platform, err = fakes.StartPlatform(fakes.PlatformOptions{}); err != nil {
		return err
	}
	if t.quoting, err = t.startPool("quoting", model.Resources{Cores: 64, MemoryMB: 128_000}); err != nil {
		return err
	}
	t.audio, err = t.startPool("audio", model.Resources{Cores: 16, MemoryMB: 32_000})
	return err
}

func (t *testbed) startPool(name string, capacity model.Resources) (*fakes.Fleet, error) {
	fleet, err := fakes.StartFleet(fakes.FleetOptions{
		Count:       workersPerPool,
		Name:        name,
		Pool:        name,
		DataCentres: []string{dataCentre},
		Slots:       fakes.DefaultSlots,
		Connections: fakes.DefaultConnections,
		Capacity:    capacity,
	})
	if err != nil {
		return nil, err
	}
	for _, w := range fleet.Workers {
		t.platform.PutWorker(w.Describe())
	}
	return fleet, nil
}

// startInstance starts an entry instance, waits until it completes jobs and
// adds it to the balancer.
func (t *testbed) startInstance(ctx context.Context, name string) error {
	d, err := daemon.New(t.settings(name), t.logs)
	if err != nil {
		return &Error{Op: "open " + name, Kind: KindStart, Err: err}
	}
	if err := d.Start(context.WithoutCancel(ctx)); err != nil {
		return &Error{Op: "start " + name, Kind: KindStart, Err: err}
	}
	t.instances[name] = d

	if err := t.waitServing(ctx, d.CallerAddr()); err != nil {
		return &Error{Op: "wait for " + name, Kind: KindStart, Err: err}
	}
	t.balancer.add(name, d.CallerAddr())
	return nil
}

// settings returns the settings of an instance whose seeds are the peer
// addresses of the running instances.
func (t *testbed) settings(name string) setup.Settings {
	settings := setup.Default()
	settings.Instance = name
	settings.DataCentre = dataCentre
	settings.Callers.Addr = anyPort
	settings.Operators.Addr = anyPort
	settings.Peers.Addr = anyPort
	settings.Platform.Addr = t.platform.Addr()
	settings.Stop = setup.Stop{DrainDelay: drainDelay, Limit: stopLimit}
	for _, d := range t.instances {
		settings.Peers.Seeds = append(settings.Peers.Seeds, d.PeerAddr())
	}
	return settings
}

// waitServing submits jobs until the instance has completed one on each pool.
// It returns an error when the context ends first.
func (t *testbed) waitServing(ctx context.Context, addr string) error {
	client := newClient(addr)
	defer client.CloseIdleConnections()

	for _, kind := range []jobKind{quote, bookmark} {
		for n := 0; ; n++ {
			warmUp := kind.submission(fmt.Sprintf("warm-%s-%d", addr, n), n)
			o := send(client, warmUp)
			if o.err == nil && o.answer.Result == model.Complete {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return eris.Wrapf(err, "last answer: status %d, %+v", o.status, o.answer.Error)
			}
		}
	}
	return nil
}

// injectFaults makes one worker a straggler and one fail all its tasks.
func (t *testbed) injectFaults() error {
	straggler, failing := t.quoting.Workers[0], t.audio.Workers[0]
	if err := straggler.SetFaults(fakes.WorkerFaults{SlowFactor: stragglerSlowFactor}); err != nil {
		return &Error{Op: "slow a worker down", Kind: KindStart, Err: err}
	}
	if err := failing.SetFaults(fakes.WorkerFaults{FailEverything: true}); err != nil {
		return &Error{Op: "make a worker fail", Kind: KindStart, Err: err}
	}
	return nil
}

// restart stops an instance gracefully and starts a new one of the same name.
// It removes the instance from the balancer first, as a load balancer does with
// an instance that is not ready.
func (t *testbed) restart(ctx context.Context, name string) error {
	t.balancer.remove(name)
	old := t.instances[name]
	delete(t.instances, name)

	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	if err := old.Stop(limit); err != nil {
		return &Error{Op: "restart " + name, Kind: KindStop, Err: err}
	}
	return t.startInstance(ctx, name)
}

// events returns the start and end events of all workers.
func (t *testbed) events() []fakes.Event {
	var events []fakes.Event
	for _, fleet := range []*fakes.Fleet{t.quoting, t.audio} {
		for _, w := range fleet.Workers {
			events = append(events, w.Events().Events...)
		}
	}
	return events
}

func (t *testbed) close() {
	limit, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	for _, d := range t.instances {
		_ = d.Stop(limit) // all answers have arrived; an error here changes no result
	}

	for _, fleet := range []*fakes.Fleet{t.quoting, t.audio} {
		if fleet != nil {
			fleet.Close()
		}
	}
	if t.platform != nil {
		t.platform.Close()
	}
}

// sleep waits for d. It returns the context's error when that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
