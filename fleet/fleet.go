// Package fleet implements an entry instance for an external platform of workers and
// callers. An instance accepts jobs of callers and forwards each job to a home. The home
// of a data centre is the elected leader for its workers: the only instance that starts
// tasks on them. Each instance may itself be the home of data centres, as recorded in the
// platform's table store, whose row version is the fencing token of the home.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailmux/beat"
	"foxtailmux/drain"
	"foxtailmux/entry"
	"foxtailmux/home"
	"foxtailmux/logger"
	"foxtailmux/memory"
	"foxtailmux/meter"
	"foxtailmux/model"
	"foxtailmux/pause"
	"foxtailmux/peer"
	"foxtailmux/plan"
	"foxtailmux/setup"
	"foxtailmux/watch"
)

// incarnationBytes is the length of the random id that each start of an instance gets.
const incarnationBytes = 8

// Instance is one entry instance.
type Instance struct {
	settings  setup.Settings
	self      beat.Peer
	adapter   Adapter
	tables    TableNames
	listeners *listeners
	log       *logger.Logger
	meter     *meter.Meter
	store     Store
	pauses    *pause.Detector
	link      *plan.Link

	workerTable   *watch.Cache
	configTable   *watch.Cache
	homeTable     *watch.Cache
	homesRead     <-chan struct{} // closed when the last read by confirmHomes has been served
	instanceTable *watch.Cache

	peers           *peer.Group
	heartbeats      *beat.Detector
	callerServer    *entry.QueueServer
	routing         atomic.Pointer[model.Routing]
	fetchingRouting atomic.Bool // from a peer
	drains          atomic.Pointer[drain.Requests]
	fetchingDrains  atomic.Bool // from a peer
	stopSettings    atomic.Pointer[setup.Stop]

	requests    atomic.Int64 // number of requests of callers
	submissions atomic.Int64 // number of submissions to homes
	openJobs    openJobs
	held        heldSubmissions
	leftRuns    leftRuns // of homes that were closed

	ctx        context.Context
	cancel     context.CancelFunc
	background conc.WaitGroup
	startedAt  time.Time
	leaving    atomic.Bool
	changed    *notifier // signals changes of home, instance and worker rows and of the liveness of instances

	workersNeededOnce sync.Once
	workersNeeded     chan struct{} // closed when the workers' table is first needed
	configured        chan struct{} // closed when the first configuration is in force

	mu                sync.Mutex
	localHomes        map[string]*home.Home // homes that this instance is, by data centre
	fencedTokens      map[string]int64      // highest token of a closed home, by data centre
	claiming          map[string]bool
	claimedVersion    map[string]int64         // of the row that the last claim replaces, by data centre; 0 without one
	cancelling        map[int64]int            // requests that are not delivered yet, by number of the submission that they cancel
	lastAnnounced     int64                    // number of the last of them in the latest heartbeat
	homeSeenAt        time.Time                // when a home was last alive
	homeChangedAt     map[string]time.Time     // when the home row changed last, by data centre
	staleSince        map[string]time.Time     // since when a new home waits for a fresh workers' table, by data centre
	pollsWorkersOften bool                     // polls the workers' table at the short interval
	slowness          plan.SlowDetector        // scheduling delay of this process
	knownWorkers      map[string]model.Worker  // by worker id
	workerCounts      map[string]int           // number of known workers by data centre
	missingSince      map[string]time.Time     // when a worker left the workers' table, by worker id
	askPause          plan.AskPause            // between questions for capacity to other homes
	reservations      map[string]reservation   // of free capacity, by data centre
	reachability      map[string]*reachability // by data centre
	workerLeftAt      map[string]time.Time     // when a worker last left the workers' table, by data centre
	links             map[linkKey]*plan.Link   // links of other instances
	keptSpecs         map[home.Key]*keptSpec   // specifications of jobs that other instances run
	workerClients     map[string]*workerClient // for starts of such jobs, by worker id and address
}

// New opens the ports of an instance and builds its parts. The log is written to w. Every
// error is an *Error.
func New(s setup.Settings, w io.Writer) (*Instance, error) {
	adapter, err := Adapters.Get(s.Platform.Adapter)
	if err != nil {
		return nil, &Error{Op: "pick adapter", Kind: KindSettings, Err: err}
	}
	l, err := logger.New(s, w)
	if err != nil {
		return nil, &Error{Op: "open log", Kind: KindSettings, Err: err}
	}
	opened, err := listen(s)
	if err != nil {
		return nil, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	in := &Instance{
		settings:  s,
		self:      selfPeer(s),
		adapter:   adapter,
		tables:    adapter.TableNames(),
		listeners: opened,
		log:       l,
		meter:     meter.New(s.Instance, s.DataCentre),
		pauses:    pause.NewDetector(),
		link:      plan.NewLink(s.Limits.Link),
		ctx:       ctx,
		cancel:    cancel,
		changed:   newNotifier(),

		workersNeeded: make(chan struct{}),
		configured:    make(chan struct{}),

		localHomes:   map[string]*home.Home{},
		fencedTokens: map[string]int64{},
		claiming:     map[string]bool{},

		claimedVersion: map[string]int64{},
		cancelling:     map[int64]int{},
		homeChangedAt:  map[string]time.Time{},
		staleSince:     map[string]time.Time{},
		knownWorkers:   map[string]model.Worker{},
		workerCounts:   map[string]int{},
		missingSince:   map[string]time.Time{},
		reservations:   map[string]reservation{},
		reachability:   map[string]*reachability{},
		workerLeftAt:   map[string]time.Time{},
		links:          map[linkKey]*plan.Link{},
		keptSpecs:      map[home.Key]*keptSpec{},
		workerClients:  map[string]*workerClient{},
	}
	in.stopSettings.Store(&s.Stop)
	in.store = adapter.NewStore(s.Platform.Addr, s.Platform.Timeout, in.meter.Bytes(meter.ToStore))
	in.build()
	return in, nil
}

// selfPeer returns the row of this instance in the instances table.
func selfPeer(s setup.Settings) beat.Peer {
	return beat.Peer{
		Instance:    s.Instance,
		Incarnation: newIncarnation(),
		DataCentre:  s.DataCentre,
		Addr:        s.Peers.Addr,
		Cores:       s.Limits.Cores,
		LinkMbps:    s.Limits.Link,
	}
}

func newIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // documented to never fail
	return hex.EncodeToString(b[:])
}

// build creates the parts and connects them by callbacks.
func (in *Instance) build() {
	l := &in.log.Logger
	in.workerTable = watch.New(in.tables.Workers, in.store, in.workersPollInterval, in.onWorkers, l)
	in.configTable = watch.New(in.tables.Operator, in.store, nil, in.onConfig, l)
	in.homeTable = watch.New(homesTableName, in.store, nil, in.onHomes, l)
	in.instanceTable = watch.New(instancesTableName, in.store, nil, in.onInstances, l)
	tables := watch.NewGroup()
	for _, t := range []*watch.Cache{in.configTable, in.homeTable, in.instanceTable, in.workerTable} {
		tables.Add(t)
	}
	in.peers = peer.New(peer.Options{
		Self:          model.Entry{ID: in.self.Instance, Incarnation: in.self.Incarnation},
		Listen:        func(string) (net.Listener, error) { return in.listeners.peers, nil },
		PauseDetector: in.pauses,
		OnBytes:       in.meter.PeerBytes,
		OnActivity:    func(peerID, incarnation string) { in.heartbeats.RecordMessage(peerID, incarnation) },
		Log:           in.log,
	})
	in.heartbeats = beat.New(beat.Options{Self: in.self, Conn: in.listeners.heartbeats, OwnHeartbeat: in.ownHeartbeat, OnChange: in.onPeerChange, OnCancelled: in.onCancelled, OnOpen: in.onOpenJobs, Log: l})
	in.callerServer = entry.NewQueueServer(entry.QueueOptions{
		CallerListener:   in.listeners.callers,
		BalancerListener: in.listeners.balancer,
		Limits: entry.Limits{
			MaxBodyBytes:   in.settings.Callers.MaxBodyBytes,
			MaxHeaderBytes: in.settings.Callers.MaxHeaderBytes,
			MaxConnections: in.settings.Callers.MaxConnections,
			ReadTimeout:    in.settings.Callers.ReadTimeout,
			IdleTimeout:    in.settings.Callers.IdleTimeout,
		},
		Budget:     memory.NewBudget(callerLimits(in.settings), in.meter),
		Protocol:   in.adapter.Callers(),
		Dispatcher: in,
		Pauses:     in.pauses,
		Observer:   in.meter,
		Log:        l,
	})
	in.peers.Handle(methodRun, in.serveRun)
	in.peers.Handle(methodStartable, in.serveStartable)
	in.peers.Handle(methodCancel, in.serveCancel)
	in.peers.Handle(methodSupersede, in.serveSupersede)
	in.peers.Handle(methodStart, in.serveStart)
	in.peers.Handle(methodPending, in.servePending)
	in.peers.Handle(methodRouting, in.serveRouting)
	in.peers.Handle(methodDrains, in.serveDrains)
}

// callerLimits returns the bounds of what callers can make the process hold.
func callerLimits(s setup.Settings) memory.Limits {
	return memory.Share(int64(s.Limits.Memory)<<20, s.Limits.Descriptors, s.Callers.MaxConnections)
}

// Start starts the servers and the background work, which registers the instance. Every
// error is an *Error.
func (in *Instance) Start(ctx context.Context) error {
	in.startedAt = time.Now()
	if err := in.peers.Start(); err != nil {
		return &Error{Op: "start peers", Kind: KindStart, Err: err}
	}
	for _, t := range []*watch.Cache{in.configTable, in.homeTable, in.instanceTable} {
		go t.Run(in.ctx) // not waited for at a stop, since its long poll may still be open
	}
	go in.runWorkerTable(in.ctx)
	in.background.Go(func() { in.heartbeats.Run(in.ctx) })
	in.background.Go(func() { in.register(in.ctx) })
	in.background.Go(func() { in.maintain(in.ctx) })
	in.serveOperators()
	if err := in.callerServer.Start(ctx); err != nil {
		return &Error{Op: "start callers", Kind: KindStart, Err: err}
	}
	in.log.Info().Str("callers", in.settings.Callers.Addr).Str("peers", in.self.Addr).
		Str("incarnation", in.self.Incarnation).Msg("listening")
	return nil
}

// Routing returns the configuration in force, or nil before the first one.
func (in *Instance) Routing() *model.Routing { return in.routing.Load() }

// Configured returns a channel that is closed when the first configuration is in force.
func (in *Instance) Configured() <-chan struct{} { return in.configured }

// ownHeartbeat returns the next heartbeat of this instance.
func (in *Instance) ownHeartbeat() beat.Heartbeat {
	hb := beat.Heartbeat{Instance: in.self.Instance, Incarnation: in.self.Incarnation, Leaving: in.leaving.Load(), Slow: in.slow()}
	if r := in.routing.Load(); r != nil {
		hb.RoutingVersion = r.Version
	}
	hb.DrainVersion = in.drains.Load().Version()
	hb.Cancelled, hb.Open = in.undeliveredCancels(), in.announcedJobs()
	for dc, h := range in.homesByCentre() {
		if hb.Homes == nil {
			hb.Homes = map[string]model.FreeCapacity{}
		}
		hb.Homes[dc] = h.FreeCapacity()
	}
	return hb
}
