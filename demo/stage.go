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
	dataCentre     = "kochi"
	workersPerPool = 4
	stragglerDelay = 5 // times the run time
	anyPort        = "127.0.0.1:0"

	drainDelay   = 200 * time.Millisecond
	stopLimit    = 8 * time.Second
	storeTimeout = 2 * time.Second
	pollInterval = 20 * time.Millisecond
)

// stage is everything that runs in the process.
type stage struct {
	logs      io.Writer
	platform  *fakes.Platform
	quoting   *fakes.Fleet
	audio     *fakes.Fleet
	instances map[string]*daemon.Daemon
	caller    *caller
}

// newStage starts the stand-ins and both instances and waits until each
// instance answers jobs of each pool.
func newStage(ctx context.Context, logs io.Writer) (*stage, error) {
	s := &stage{logs: logs, instances: map[string]*daemon.Daemon{}, caller: newCaller()}
	if err := s.start(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *stage) start(ctx context.Context) error {
	if err := s.startStandIns(); err != nil {
		return &Error{Op: "start stand-ins", Kind: KindStart, Err: err}
	}

	store := table.NewClient(s.platform.Addr(), storeTimeout)
	if _, err := config.Apply(ctx, store, config.Example(), "demo", "first version"); err != nil {
		return &Error{Op: "apply configuration", Kind: KindStart, Err: err}
	}

	if err := s.startInstance(ctx, "entry-1"); err != nil {
		return err
	}
	return s.startInstance(ctx, "entry-2")
}

func (s *stage) startStandIns() error {
	var err error
	if s.platform, err = fakes.StartPlatform(fakes.PlatformOptions{}); err != nil {
		return err
	}
	if s.quoting, err = s.startPool("quoting", model.Resources{Cores: 64, MemoryMB: 128_000}); err != nil {
		return err
	}
	s.audio, err = s.startPool("audio", model.Resources{Cores: 16, MemoryMB: 32_000})
	return err
}

func (s *stage) startPool(name string, capacity model.Resources) (*fakes.Fleet, error) {
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
		s.platform.PutWorker(w.Describe())
	}
	return fleet, nil
}

// startInstance starts an entry instance and sends callers to it as soon as
// it serves.
func (s *stage) startInstance(ctx context.Context, name string) error {
	d, err := daemon.New(s.settings(name), s.logs)
	if err != nil {
		return &Error{Op: "open " + name, Kind: KindStart, Err: err}
	}
	if err := d.Start(context.WithoutCancel(ctx)); err != nil {
		return &Error{Op: "start " + name, Kind: KindStart, Err: err}
	}
	s.instances[name] = d

	if err := s.waitServing(ctx, d.CallerAddr()); err != nil {
		return &Error{Op: "wait for " + name, Kind: KindStart, Err: err}
	}
	s.caller.add(name, d.CallerAddr())
	return nil
}

func (s *stage) settings(name string) setup.Settings {
	settings := setup.Default()
	settings.Instance = name
	settings.DataCentre = dataCentre
	settings.Callers.Addr = anyPort
	settings.Operators.Addr = anyPort
	settings.Peers.Addr = anyPort
	settings.Platform.Addr = s.platform.Addr()
	settings.Stop = setup.Stop{DrainDelay: drainDelay, Limit: stopLimit}
	for _, d := range s.instances {
		settings.Peers.Seeds = append(settings.Peers.Seeds, d.PeerAddr())
	}
	return settings
}

// waitServing returns when the instance has answered a job of each pool.
func (s *stage) waitServing(ctx context.Context, addr string) error {
	client := newClient(addr)
	defer client.CloseIdleConnections()

	for _, kind := range []kind{quote, bookmark} {
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

// injectFaults makes one worker slow and one fail everything it starts.
func (s *stage) injectFaults() error {
	straggler, failing := s.quoting.Workers[0], s.audio.Workers[0]
	if err := straggler.SetFaults(fakes.WorkerFaults{SlowFactor: stragglerDelay}); err != nil {
		return &Error{Op: "slow a worker down", Kind: KindStart, Err: err}
	}
	if err := failing.SetFaults(fakes.WorkerFaults{FailEverything: true}); err != nil {
		return &Error{Op: "make a worker fail", Kind: KindStart, Err: err}
	}
	return nil
}

// restart stops an instance gracefully and starts another under its name.
// Callers are sent elsewhere first, as a balancer does with an instance that
// is not ready.
func (s *stage) restart(ctx context.Context, name string) error {
	s.caller.remove(name)
	old := s.instances[name]
	delete(s.instances, name)

	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	if err := old.Stop(limit); err != nil {
		return &Error{Op: "restart " + name, Kind: KindStop, Err: err}
	}
	return s.startInstance(ctx, name)
}

// events returns the starts and ends on all workers.
func (s *stage) events() []fakes.Event {
	var events []fakes.Event
	for _, fleet := range []*fakes.Fleet{s.quoting, s.audio} {
		for _, w := range fleet.Workers {
			events = append(events, w.Events().Events...)
		}
	}
	return events
}

func (s *stage) close() {
	limit, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	for _, d := range s.instances {
		_ = d.Stop(limit) // the answers are in; the outcome is decided
	}

	for _, fleet := range []*fakes.Fleet{s.quoting, s.audio} {
		if fleet != nil {
			fleet.Close()
		}
	}
	if s.platform != nil {
		s.platform.Close()
	}
}

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
