package daemon

import (
	"net"
	"strings"

	"foxtailmux/admin"
	"foxtailmux/config"
	"foxtailmux/entry"
	"foxtailmux/learn"
	"foxtailmux/member"
	"foxtailmux/meter"
	"foxtailmux/model"
	"foxtailmux/peer"
	"foxtailmux/place"
	"foxtailmux/queue"
	"foxtailmux/relay"
	"foxtailmux/roster"
	"foxtailmux/runner"
	"foxtailmux/sched"
	"foxtailmux/table"
	"foxtailmux/worker"
)

// countPlatformBytes counts what the polls of the platform take. Claims are
// data.
func (d *Daemon) countPlatformBytes(path string, n int) {
	switch {
	case path == table.InstancesPath:
		d.meter.ControlBytes(meter.ListPoll, n)
	case strings.HasPrefix(path, table.RowsPath), strings.HasPrefix(path, table.ObjectsPath):
		d.meter.ControlBytes(meter.ConfigPoll, n)
	}
}

func (d *Daemon) buildConfiguration() {
	d.table.OnBytes = d.countPlatformBytes
	d.watcher = config.NewWatcher(config.WatcherOptions{
		Store: d.table,
		Fetch: d.fetchFromPeer,
		Plugins: config.Plugins{
			Policies: place.Policies.Names(),
			Orders:   queue.Orders.Names(),
		},
	})
}

func (d *Daemon) buildPeers() {
	d.peers = peer.New(peer.Options{
		Self:            d.self,
		Listen:          func(string) (net.Listener, error) { return d.listeners.peers, nil },
		PauseDetector:   d.watch,
		OnBytes:         d.meter.PeerBytes,
		Log:             d.log,
		OnConnectResult: func(id string, reached bool) { d.members.RecordReachability(id, reached) },
	})
	d.members = member.New(member.Options{
		Self:      d.self,
		Seeds:     d.settings.Peers.Seeds,
		Transport: d.peers,
		OnBytes:   func(n int) { d.meter.ControlBytes(meter.Heartbeat, n) },
		Log:       d.log,
		Load:      d.load,
		Config:    d.configInForce,
		MinPeriod: d.document().Intervals.Heartbeat,
	})
}

func (d *Daemon) load() model.Load { return d.sched.Load() }

func (d *Daemon) peerView() peers {
	return peers{self: d, group: d.peers, members: d.members}
}

func (d *Daemon) configInForce() (number int64, digest string) {
	v := d.watcher.Current()
	if v == nil {
		return 0, ""
	}
	return v.Number, v.Digest
}

// onMembers passes on what the other instances tell of themselves.
func (d *Daemon) onMembers() {
	for _, m := range d.members.Members() {
		if m.Entry.ID != d.self.ID {
			d.watcher.Offer(m.ConfigNumber, m.ConfigDigest)
		}
	}

	// An instance that leaves keeps its workers until its queue is empty.
	if !d.leaving.Load() {
		d.sched.SetOwnerFunc(d.owner())
	}
}

// owner divides the workers of this data centre over its live instances.
func (d *Daemon) owner() place.OwnerFunc {
	var ids []string
	for _, m := range d.members.Alive(d.self.DataCentre) {
		ids = append(ids, m.Entry.ID)
	}
	return func(workerID string) string { return member.Owner(workerID, ids) }
}

func (d *Daemon) buildDispatch() {
	d.sched = sched.New(d.self.ID, d.self.DataCentre, worker.DialTCP, d.meter, &learn.Estimator{})
	d.sched.SetMaxQueued(d.settings.Limits.QueuedTasks)
	d.relay = &relay.Relay{
		DataCentre: d.self.DataCentre,
		Local:      d.sched,
		Peers:      d.peerView(),
		Observer:   d.meter,
		SpillOver:  func() bool { return d.document().Placement.SpillOver },
	}
	d.peers.Handle(methodConfig, d.serveConfig)
	d.peers.Handle(relay.MethodRun, d.relay.ServeRun)
	d.peers.Handle(relay.MethodCancel, d.relay.ServeCancel)

	d.runner = &runner.Runner{
		Scheduler:     d.relay,
		Quota:         d.gate,
		Budget:        d.budget,
		Observer:      d.meter,
		Configuration: d.watcher.Current,
	}
	d.roster = roster.New(roster.Options{
		Source:       d.table,
		Scheduler:    d.sched,
		Intervals:    func() config.Intervals { return d.document().Intervals },
		OnEntries:    d.members.MergeInstanceList,
		OnProbeBytes: func(n int) { d.meter.ControlBytes(meter.StatusProbe, n) },
	})
}

func (d *Daemon) buildFront() {
	c := d.settings.Callers
	limits := entry.Limits{
		MaxBodyBytes:         c.MaxBodyBytes,
		MaxHeaderBytes:       c.MaxHeaderBytes,
		MaxConnections:       c.MaxConnections,
		MaxTicketsPerRequest: d.settings.Limits.TicketsPerRequest,
		ReadTimeout:          c.ReadTimeout,
		IdleTimeout:          c.IdleTimeout,
	}
	d.entry = entry.NewServer(d.listeners.callers, limits, awake{d.intake, d.watch}, d.meter, d.maxOpenJobs)
	d.entry.Log = d.log
}

func (d *Daemon) buildAdmin() {
	d.admin = admin.New(admin.Options{
		Listener:    d.listeners.operators,
		Version:     d.watcher.Current,
		Status:      d.status,
		Ready:       d.ready,
		State:       func() any { return d.state() },
		Metrics:     d.meter.Handler(),
		SetLogLevel: d.log.SetLevel,
	})
}

func (d *Daemon) maxOpenJobs() int {
	return min(d.settings.Limits.OpenJobs, d.document().Limits.MaxOpenJobs)
}
