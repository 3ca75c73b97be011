// Package fleet is an entry instance on a users' platform: it takes the
// callers' jobs, hands each to the home of a data centre's workers, and is
// such a home itself while the platform's store says so.
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
	"foxtailmux/entry"
	"foxtailmux/home"
	"foxtailmux/logger"
	"foxtailmux/meter"
	"foxtailmux/model"
	"foxtailmux/pause"
	"foxtailmux/peer"
	"foxtailmux/plan"
	"foxtailmux/setup"
	"foxtailmux/watch"
)

// incarnationBytes is the length of the random part of an instance's identity
// that changes with each start.
const incarnationBytes = 8

// Instance is one entry instance.
type Instance struct {
	settings  setup.Settings
	self      beat.Peer
	adapter   Adapter
	names     TableNames
	listeners *listeners
	log       *logger.Logger
	meter     *meter.Meter
	store     Store
	paused    *pause.Detector
	link      *plan.Link

	workers *watch.Cache
	config  *watch.Cache
	homes   *watch.Cache
	nodes   *watch.Cache

	peers   *peer.Group
	beats   *beat.Detector
	front   *entry.QueueServer
	routing atomic.Pointer[model.Routing]
	stop    atomic.Pointer[setup.Stop]

	ctx     context.Context
	cancel  context.CancelFunc
	tasks   conc.WaitGroup
	started time.Time
	leaving atomic.Bool
	changed *notifier // rows of homes or the liveness of an instance changed

	wanted      sync.Once
	readWorkers chan struct{} // closed when the workers' table is needed
	configured  chan struct{} // closed when the first configuration is in force

	mu        sync.Mutex
	mine      map[string]*home.Home // by data centre
	fenced    map[string]int64      // tokens that a worker refused, by data centre
	claiming  map[string]bool
	claimedAt map[string]time.Time    // when a home was seen to change, by data centre
	takenAt   map[string]time.Time    // since when the store names this instance, by data centre
	following bool                    // the workers' table closely
	slowness  plan.SlowDetector       // of this process
	known     map[string]model.Worker // workers by id
	centres   map[string]int          // number of known workers by data centre
	missing   map[string]time.Time    // since when a worker is not listed
	debits    map[string]debit        // by data centre
	reaches   map[string]*reach       // by data centre
	vanished  map[string]time.Time    // when a worker of a data centre left the list
	links     map[linkKey]*plan.Link  // of the instances that start tasks for homes here
	withheld  map[string]*withheld    // specifications of jobs that homes elsewhere run, by key
	starters  map[string]*starter     // clients of workers for starts of such jobs
}

// New opens the ports of an instance and assembles its parts. Its log goes to
// w.
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
	f := &Instance{
		settings:  s,
		self:      describe(s),
		adapter:   adapter,
		names:     adapter.TableNames(),
		listeners: opened,
		log:       l,
		meter:     meter.New(s.Instance, s.DataCentre),
		paused:    pause.NewDetector(),
		link:      plan.NewLink(s.Limits.Link),
		ctx:       ctx,
		cancel:    cancel,
		changed:   newNotifier(),

		readWorkers: make(chan struct{}),
		configured:  make(chan struct{}),

		mine:      map[string]*home.Home{},
		fenced:    map[string]int64{},
		claiming:  map[string]bool{},
		claimedAt: map[string]time.Time{},
		takenAt:   map[string]time.Time{},
		known:     map[string]model.Worker{},
		centres:   map[string]int{},
		missing:   map[string]time.Time{},
		debits:    map[string]debit{},
		reaches:   map[string]*reach{},
		vanished:  map[string]time.Time{},
		links:     map[linkKey]*plan.Link{},
		withheld:  map[string]*withheld{},
		starters:  map[string]*starter{},
	}
	f.stop.Store(&s.Stop)
	f.store = adapter.NewStore(s.Platform.Addr, s.Platform.Timeout, f.meter.Bytes(meter.ToStore))
	f.build()
	return f, nil
}

// describe returns this process as others know it.
func describe(s setup.Settings) beat.Peer {
	return beat.Peer{
		Instance:    s.Instance,
		Incarnation: newIncarnation(),
		DataCentre:  s.DataCentre,
		Addr:        s.Peers.Addr,
		Cores:       s.Limits.Processor,
		LinkMbps:    s.Limits.Link,
	}
}

func newIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

func (f *Instance) build() {
	l := &f.log.Logger
	f.workers = watch.New(f.names.Workers, f.store, f.workersPause, f.onWorkers, l)
	f.config = watch.New(f.names.Operator, f.store, nil, f.onConfig, l)
	f.homes = watch.New(homesTable, f.store, nil, f.onHomes, l)
	f.nodes = watch.New(nodesTable, f.store, nil, f.onNodes, l)
	f.peers = peer.New(peer.Options{
		Self:          model.Entry{ID: f.self.Instance, Incarnation: f.self.Incarnation},
		Listen:        func(string) (net.Listener, error) { return f.listeners.peers, nil },
		PauseDetector: f.paused,
		OnBytes:       f.meter.PeerBytes,
		OnActivity:    func(peerID string) { f.beats.RecordMessage(peerID) },
		Log:           f.log,
	})
	f.beats = beat.New(beat.Options{Self: f.self, Conn: f.listeners.beats, OwnHeartbeat: f.ownBeat, OnChange: f.onBeat, Log: l})
	f.front = entry.NewQueueServer(entry.QueueOptions{
		Callers:  f.listeners.callers,
		Balancer: f.listeners.balancer,
		Limits: entry.Limits{
			MaxBody:        f.settings.Callers.MaxBodyBytes,
			MaxHeader:      f.settings.Callers.MaxHeaderBytes,
			MaxConnections: f.settings.Callers.MaxConnections,
			ReadTimeout:    f.settings.Callers.ReadTimeout,
			IdleTimeout:    f.settings.Callers.IdleTimeout,
		},
		Protocol:   f.adapter.Callers(),
		Dispatcher: f,
		Observer:   f.meter,
		Log:        l,
	})
	f.peers.Handle(methodRun, f.serveRun)
	f.peers.Handle(methodCancel, f.serveCancel)
	f.peers.Handle(methodStart, f.serveStart)
	f.peers.Handle(methodPending, f.servePending)
	f.peers.Handle(methodRouting, f.serveRouting)
}

// Start starts the parts and registers the instance.
func (f *Instance) Start(ctx context.Context) error {
	f.started = time.Now()
	if err := f.peers.Start(); err != nil {
		return &Error{Op: "start peers", Kind: KindStart, Err: err}
	}
	for _, m := range []*watch.Cache{f.config, f.homes, f.nodes} {
		go m.Run(f.ctx) // an open request to the store outlives a stop
	}
	go f.followWorkers(f.ctx)
	f.tasks.Go(func() { f.beats.Run(f.ctx) })
	f.tasks.Go(func() { f.register(f.ctx) })
	f.tasks.Go(func() { f.maintain(f.ctx) })
	f.serveOperators()
	if err := f.front.Start(ctx); err != nil {
		return &Error{Op: "start callers", Kind: KindStart, Err: err}
	}
	f.log.Info().Str("callers", f.settings.Callers.Addr).Str("peers", f.self.Addr).
		Str("incarnation", f.self.Incarnation).Msg("listening")
	return nil
}

// Routing returns the configuration in force, or nil before the first.
func (f *Instance) Routing() *model.Routing { return f.routing.Load() }

// Configured is closed when the first configuration is in force.
func (f *Instance) Configured() <-chan struct{} { return f.configured }

func (f *Instance) ownBeat() beat.Heartbeat {
	b := beat.Heartbeat{Instance: f.self.Instance, Incarnation: f.self.Incarnation, Leaving: f.leaving.Load(), Slow: f.slow()}
	if r := f.routing.Load(); r != nil {
		b.RoutingVersion = r.Version
	}
	for dc, h := range f.homesHere() {
		if b.Homes == nil {
			b.Homes = map[string]model.FreeCapacity{}
		}
		b.Homes[dc] = h.FreeCapacity()
	}
	return b
}
