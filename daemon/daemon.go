package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"time"

	"foxtailmux/budget"
	"foxtailmux/config"
	"foxtailmux/entry"
	"foxtailmux/kernel"
	"foxtailmux/logger"
	"foxtailmux/meter"
	"foxtailmux/model"
	"foxtailmux/place"
	"foxtailmux/queue"
	"foxtailmux/quota"
	"foxtailmux/relay"
	"foxtailmux/roster"
	"foxtailmux/runner"
	"foxtailmux/sched"
	"foxtailmux/setup"
	"foxtailmux/table"
	"foxtailmux/worker"
)

// incarnationBytes is the length of the random part of an instance's identity
// that changes with each start.
const incarnationBytes = 8

// Daemon is one entry instance.
type Daemon struct {
	settings    setup.Settings
	incarnation string

	log     *logger.Logger
	meter   *meter.Meter
	table   *table.Client
	watcher *config.Watcher
	sched   *sched.Scheduler
	relay   *relay.Relay
	gate    *quota.Gate
	budget  *budget.Budget
	runner  *runner.Runner
	roster  *roster.Roster
	entry   *entry.Server

	kernel kernel.Kernel
}

// New assembles an instance that is not yet running. Its log goes to w.
func New(s setup.Settings, w io.Writer) (*Daemon, error) {
	log, err := logger.New(s, w)
	if err != nil {
		return nil, &Error{Op: "open log", Kind: KindSettings, Err: err}
	}

	d := &Daemon{
		settings:    s,
		incarnation: newIncarnation(),
		log:         log,
		meter:       meter.New(s.Instance, s.DataCentre),
		table:       table.NewClient(s.Platform.Addr, s.Platform.Timeout),
		gate:        quota.NewGate(),
		budget:      budget.New(0),
	}
	d.buildConfiguration()
	d.buildDispatch()
	d.buildFront()
	d.addParts()
	return d, nil
}

func newIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

func (d *Daemon) buildConfiguration() {
	d.watcher = config.NewWatcher(config.WatcherOptions{
		Store: d.table,
		Options: config.Options{
			Policies: place.Policies.Names(),
			Orders:   queue.Orders.Names(),
		},
	})
}

func (d *Daemon) buildDispatch() {
	d.sched = sched.New(d.settings.Instance, d.settings.DataCentre, worker.DialTCP, d.meter)
	d.relay = &relay.Relay{
		DataCentre: d.settings.DataCentre,
		Local:      d.sched,
		Peers:      noPeers{},
		Observer:   d.meter,
		SpillOver:  func() bool { return d.document().Placement.SpillOver },
	}
	d.runner = &runner.Runner{
		Scheduler:     d.relay,
		Gate:          d.gate,
		Budget:        d.budget,
		Observer:      d.meter,
		Configuration: d.watcher.Current,
	}
	d.roster = roster.New(roster.Options{
		Source:    d.table,
		Scheduler: d.sched,
		Intervals: func() config.Intervals { return d.document().Intervals },
		OnEntries: func([]model.Entry) {},
	})
}

// document returns the configuration in force, or the defaults before the
// first version.
func (d *Daemon) document() config.Document {
	if v := d.watcher.Current(); v != nil {
		return v.Document
	}
	return config.Default()
}

func (d *Daemon) buildFront() {
	c := d.settings.Callers
	limits := entry.Limits{
		MaxBody:        c.MaxBodyBytes,
		MaxHeader:      c.MaxHeaderBytes,
		MaxConnections: c.MaxConnections,
		MaxTickets:     d.settings.Limits.TicketsPerRequest,
		ReadTimeout:    c.ReadTimeout,
		IdleTimeout:    c.IdleTimeout,
	}
	d.entry = entry.NewServer(c.Addr, limits, d.newIntake(), d.meter, d.maxOpenJobs)
}

func (d *Daemon) maxOpenJobs() int {
	return min(d.settings.Limits.OpenJobs, d.document().Limits.MaxOpenJobs)
}

// apply brings a version into force in the parts that keep a copy.
func (d *Daemon) apply(v *config.Version) {
	if err := d.sched.Apply(v.Document); err != nil {
		d.log.Error().Err(err).Int64("version", v.Number).Msg("configuration not applied")
		return
	}
	d.budget.SetShare(v.Document.Retry.BudgetShare)
	d.meter.ConfigVersion(v.Number)
	d.log.Info().Int64("version", v.Number).Str("digest", v.Digest).Msg("configuration in force")
}

func (d *Daemon) addParts() {
	d.watcher.Subscribe(d.apply)
	d.kernel.Add("configuration", d.watcher)
	d.kernel.Add("roster", d.roster)
	d.kernel.Add("attempts", kernel.Wrapped{OnStop: d.sched.Wait})
	d.kernel.Add("forwards", kernel.Wrapped{OnStop: d.relay.Wait})
	d.kernel.Add("callers", d.entry)
}

// Start starts the parts and logs the addresses that they listen on.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.kernel.Start(ctx); err != nil {
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	d.log.Info().
		Str("callers", d.entry.Addr()).
		Str("incarnation", d.incarnation).
		Msg("listening")
	return nil
}

// CallerAddr returns the address that callers use.
func (d *Daemon) CallerAddr() string { return d.entry.Addr() }

// Ready reports whether the instance takes new work.
func (d *Daemon) Ready() bool { return d.watcher.Ready() }

// Stop lets the balancer notice, ends what is in progress and stops the parts.
func (d *Daemon) Stop(ctx context.Context) error {
	d.entry.Drain()
	select {
	case <-time.After(d.settings.Stop.DrainDelay):
	case <-ctx.Done():
	}

	cut := d.entry.Open
	err := d.kernel.Stop(ctx)
	d.log.Info().Int("cutRequests", cut()).Msg("stopped")
	if err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	return nil
}
