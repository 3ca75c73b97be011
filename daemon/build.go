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

// countPlatformBytes counts the bytes of the polls of the platform as control traffic.
// Claims of idempotency keys are not control traffic.
func (d *Daemon) countPlatformBytes(path string, n int) {
	switch {
	case path == table.InstancesPath:
		d.meter.ControlBytes(meter.ListPoll, n)
	case strings.HasPrefix(path, table.RowsPath), strings.HasPrefix(path, table.ObjectsPath):
		d.meter.ControlBytes(meter.ConfigPoll, n)
	}
}

// buildConfiguration creates the watcher of the shared configuration.
func (d *Daemon) buildConfiguration() {
	d.table.OnBytes = d.countPlatformBytes
	d.configWatcher = config.NewWatcher(config.WatcherOptions{
		Store: d.table,
		Fetch: d.fetchFromPeer,
		Plugins: config.Plugins{
			Policies: place.Policies.Names(),
			Orders:   queue.Orders.Names(),
		},
	})
}

// buildPeers creates the connections to the other entry instances and the membership list.
func (d *Daemon) buildPeers() {
	d.peers = peer.New(peer.Options{
		Self:            d.self,
		Listen:          func(string) (net.Listener, error) { return d.listeners.peers, nil },
		PauseDetector:   d.pauseDetector,
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
		Load:      d.localLoad,
		Config:    d.configInForce,
		MinPeriod: d.configDocument().Intervals.Heartbeat,
	})
}

// localLoad returns the load of the workers that this instance owns.
func (d *Daemon) localLoad() model.Load { return d.sched.Load() }

func (d *Daemon) peerDirectory() peerDirectory {
	return peerDirectory{daemon: d, group: d.peers, members: d.members}
}

// configInForce returns the number and digest of the configuration version in force, or zero
// values before the first one.
func (d *Daemon) configInForce() (number int64, digest string) {
	v := d.configWatcher.Current()
	if v == nil {
		return 0, ""
	}
	return v.Number, v.Digest
}

// onMembersChange offers the configuration versions of the other instances to the watcher
// and divides the workers over the live instances again.
func (d *Daemon) onMembersChange() {
	for _, m := range d.members.Members() {
		if m.Entry.ID != d.self.ID {
			d.configWatcher.Offer(m.ConfigNumber, m.ConfigDigest)
		}
	}

	// A leaving instance keeps its workers until its queue is empty.
	if !d.leaving.Load() {
		d.sched.SetOwnerFunc(d.ownerFunc())
	}
}

// ownerFunc returns a function that divides the workers of this data centre over its live
// entry instances.
func (d *Daemon) ownerFunc() place.OwnerFunc {
	var ids []string
	for _, m := range d.members.Alive(d.self.DataCentre) {
		ids = append(ids, m.Entry.ID)
	}
	return func(workerID string) string { return member.Owner(workerID, ids) }
}

// buildDispatch creates the parts between the intake of jobs and the workers: scheduler,
// relay to the other instances, runner and the poll of the worker list.
func (d *Daemon) buildDispatch() {
	d.sched = sched.New(d.self.ID, d.self.DataCentre, worker.DialTCP, d.meter, &learn.Estimator{})
	d.sched.SetMaxQueued(d.settings.Limits.QueuedTasks)
	d.relay = &relay.Relay{
		DataCentre: d.self.DataCentre,
		Local:      d.sched,
		Peers:      d.peerDirectory(),
		Observer:   d.meter,
		SpillOver:  func() bool { return d.configDocument().Placement.SpillOver },
	}
	d.peers.Handle(methodConfig, d.serveConfig)
	d.peers.Handle(relay.MethodRun, d.relay.ServeRun)
	d.peers.Handle(relay.MethodCancel, d.relay.ServeCancel)

	d.runner = &runner.Runner{
		Scheduler:     d.relay,
		Quota:         d.quotas,
		Budget:        d.budget,
		Observer:      d.meter,
		Configuration: d.configWatcher.Current,
	}
	d.roster = roster.New(roster.Options{
		Source:       d.table,
		Scheduler:    d.sched,
		Intervals:    func() config.Intervals { return d.configDocument().Intervals },
		OnEntries:    d.members.MergeInstanceList,
		OnProbeBytes: func(n int) { d.meter.ControlBytes(meter.StatusProbe, n) },
	})
}

// buildEntry creates the HTTP server for the callers.
func (d *Daemon) buildEntry() {
	c := d.settings.Callers
	limits := entry.Limits{
		MaxBodyBytes:         c.MaxBodyBytes,
		MaxHeaderBytes:       c.MaxHeaderBytes,
		MaxConnections:       c.MaxConnections,
		MaxTicketsPerRequest: d.settings.Limits.TicketsPerRequest,
		ReadTimeout:          c.ReadTimeout,
		IdleTimeout:          c.IdleTimeout,
	}
	d.entry = entry.NewServer(d.listeners.callers, limits, pauseGuard{d.intake, d.pauseDetector}, d.meter, d.maxOpenJobs)
	d.entry.Log = d.log
}

// buildAdmin creates the HTTP server for the operators.
func (d *Daemon) buildAdmin() {
	d.admin = admin.New(admin.Options{
		Listener:    d.listeners.operators,
		Version:     d.configWatcher.Current,
		Status:      d.status,
		Ready:       d.ready,
		State:       func() any { return d.state() },
		Metrics:     d.meter.Handler(),
		SetLogLevel: d.log.SetLevel,
	})
}

// maxOpenJobs returns the lower one of this machine's limit and the shared configuration's.
func (d *Daemon) maxOpenJobs() int {
	return min(d.settings.Limits.OpenJobs, d.configDocument().Limits.MaxOpenJobs)
}
