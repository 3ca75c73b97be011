package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"sync/atomic"
	"time"

	"foxtailmux/admin"
	"foxtailmux/budget"
	"foxtailmux/claim"
	"foxtailmux/config"
	"foxtailmux/entry"
	"foxtailmux/intake"
	"foxtailmux/kernel"
	"foxtailmux/logger"
	"foxtailmux/member"
	"foxtailmux/meter"
	"foxtailmux/model"
	"foxtailmux/pause"
	"foxtailmux/peer"
	"foxtailmux/quota"
	"foxtailmux/relay"
	"foxtailmux/roster"
	"foxtailmux/runner"
	"foxtailmux/sched"
	"foxtailmux/setup"
	"foxtailmux/table"
	"foxtailmux/ticket"
)

// incarnationBytes is the length of the random ID of an incarnation, which is one life of
// the process from its start to its end.
const incarnationBytes = 8

// Daemon is an entry instance: it accepts jobs from callers and runs their tasks on workers.
type Daemon struct {
	settings  setup.Settings
	self      model.Entry
	listeners *listeners

	log           *logger.Logger
	meter         *meter.Meter
	table         *table.Client
	configWatcher *config.Watcher
	pauseDetector *pause.Detector
	peers         *peer.Group
	members       *member.Group
	sched         *sched.Scheduler
	relay         *relay.Relay
	quotas        *quota.Limiter
	budget        *budget.Budget
	runner        *runner.Runner
	roster        *roster.Roster
	tickets       *ticket.Store
	claimer       *claim.Claimer
	sweeper       *claim.Sweeper
	intake        *intake.Intake
	entry         *entry.Server
	admin         *admin.Server

	started time.Time
	leaving atomic.Bool
	kernel  kernel.Kernel
}

// New opens the ports of an instance and creates its components without starting them. The
// log is written to w.
func New(s setup.Settings, w io.Writer) (*Daemon, error) {
	log, err := logger.New(s, w)
	if err != nil {
		return nil, &Error{Op: "open log", Kind: KindSettings, Err: err}
	}
	opened, err := listen(s)
	if err != nil {
		return nil, err
	}

	d := &Daemon{
		settings:      s,
		listeners:     opened,
		self:          newSelfEntry(s, opened),
		log:           log,
		meter:         meter.New(s.Instance, s.DataCentre),
		table:         table.NewClient(s.Platform.Addr, s.Platform.Timeout),
		pauseDetector: pause.NewDetector(),
		quotas:        quota.NewLimiter(),
		budget:        budget.New(0),
	}
	d.buildConfiguration()
	d.buildPeers()
	d.buildDispatch()
	d.buildIntake()
	d.buildEntry()
	d.buildAdmin()
	d.addComponents()
	return d, nil
}

// newSelfEntry describes this instance to the other ones.
func newSelfEntry(s setup.Settings, l *listeners) model.Entry {
	return model.Entry{
		ID:          s.Instance,
		Incarnation: newIncarnation(),
		DataCentre:  s.DataCentre,
		CallerAddr:  l.callers.Addr().String(),
		PeerAddr:    l.peers.Addr().String(),
		AdminAddr:   l.operators.Addr().String(),
		State:       model.Live,
	}
}

func newIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

// configDocument returns the shared configuration in force, or the defaults before the first
// version.
func (d *Daemon) configDocument() config.Document {
	if v := d.configWatcher.Current(); v != nil {
		return v.Document
	}
	return config.Default()
}

// apply passes a new version of the shared configuration to the components that keep a copy
// of its values.
func (d *Daemon) apply(v *config.Version) {
	if err := d.sched.Apply(v.Document); err != nil {
		d.log.Error().Err(err).Int64("version", v.Number).Msg("configuration not applied")
		return
	}
	d.members.SetMinPeriod(v.Document.Intervals.Heartbeat)
	d.budget.SetShare(v.Document.Retry.BudgetShare)
	d.meter.ConfigVersion(v.Number)
	d.log.Info().Int64("version", v.Number).Str("digest", v.Digest).Msg("configuration in force")
}

// addComponents registers the components in the order in which they are started. They are
// stopped in the reverse order, so that the ports for callers close first.
func (d *Daemon) addComponents() {
	d.configWatcher.Subscribe(d.apply)
	d.members.Subscribe(d.onMembersChange)

	d.kernel.Add("operators", d.admin)
	d.kernel.Add("configuration", d.configWatcher)
	d.kernel.Add("peers", kernel.ComponentFuncs{
		OnStart: func(context.Context) error { return d.peers.Start() },
		OnStop:  d.peers.Close,
		Ended:   d.peers.Done(),
	})
	d.kernel.Add("members", kernel.ComponentFuncs{
		OnStart: func(context.Context) error { d.members.Start(); return nil },
		OnStop:  func(context.Context) error { d.members.Close(); return nil },
		Ended:   d.members.Done(),
	})
	d.kernel.Add("roster", d.roster)
	d.kernel.Add("attempts", kernel.ComponentFuncs{OnStop: d.sched.Wait})
	d.kernel.Add("forwards", kernel.ComponentFuncs{OnStop: d.relay.Wait})
	d.kernel.Add("intake", kernel.ComponentFuncs{OnStop: d.closeIntake})
	d.kernel.Add("callers", d.entry)
}

// Start starts the components and logs the addresses of the instance's ports.
func (d *Daemon) Start(ctx context.Context) error {
	d.started = time.Now()
	if err := d.kernel.Start(ctx); err != nil {
		d.listeners.close()
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	d.log.Info().
		Str("callers", d.self.CallerAddr).
		Str("operators", d.self.AdminAddr).
		Str("peers", d.self.PeerAddr).
		Str("incarnation", d.self.Incarnation).
		Msg("listening")
	return nil
}

// CallerAddr returns the address, IP:port, of the port for callers.
func (d *Daemon) CallerAddr() string { return d.self.CallerAddr }

// AdminAddr returns the address, IP:port, of the port for operators.
func (d *Daemon) AdminAddr() string { return d.self.AdminAddr }

// PeerAddr returns the address, IP:port, of the port for other entry instances.
func (d *Daemon) PeerAddr() string { return d.self.PeerAddr }

// Stop announces the stop to the other instances, waits for Stop.DrainDelay until the load
// balancer has noticed it, hands the tickets over to another instance, and stops the
// components after the jobs in progress. When the context ends, it cuts off the rest.
func (d *Daemon) Stop(ctx context.Context) error {
	d.leaving.Store(true)
	d.entry.Drain()
	if err := d.members.Leave(ctx); err != nil {
		d.log.Warn().Err(err).Msg("leave not announced to every peer")
	}
	select {
	case <-time.After(d.settings.Stop.DrainDelay):
	case <-ctx.Done():
	}

	if err := d.intake.HandOver(ctx); err != nil {
		d.log.Warn().Err(err).Msg("tickets not handed over")
	}
	err := d.kernel.Stop(ctx)
	d.log.Info().Int("cutRequests", d.entry.Open()).Msg("stopped")
	if err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	return nil
}
