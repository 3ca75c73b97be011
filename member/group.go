// Package member implements the group membership and failure detection of the
// entry instances. Each instance exchanges heartbeats with every member of its
// own data centre and with a few members of each other data centre. A heartbeat
// carries the sender's load and configuration version, and hints about third
// members (gossip). The heartbeat period adapts to the size of the group, so
// that the traffic stays within a budget of bytes per second. Timeouts are
// measured on the local monotonic clock only, so the clocks of the instances
// need not be synchronised.
package member

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxtailmux/model"

	"github.com/sourcegraph/conc"
)

// State is the state of a member according to the local failure detector.
type State string

// The states of a member. A leaving member is shutting down and may still finish
// the jobs that it has accepted.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeaving State = "leaving"
)

// Member is one entry instance as seen by another one. For a member known only
// through hints, Entry lacks CallerAddr and AdminAddr, Load holds only FreeSlots,
// and the configuration is unknown (ConfigNumber 0).
//
// LastHeartbeat is the time of the member's latest heartbeat, received directly
// or reported in a hint.
type Member struct {
	Entry         model.Entry `json:"entry"`
	Load          model.Load  `json:"load"`
	ConfigNumber  int64       `json:"configNumber"`
	ConfigDigest  string      `json:"configDigest"`
	State         State       `json:"state"`
	LastHeartbeat time.Time   `json:"lastHeard"`
}

// Group is the membership as seen by one instance, itself included. It is safe
// for concurrent use.
type Group struct {
	options Options
	budget  *budget
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   conc.WaitGroup
	done    chan struct{}

	minPeriodNanos atomic.Int64 // changed by SetMinPeriod

	mu               sync.Mutex
	self             Member
	records          map[string]*record // by member id
	replaced         replacedIncarnations
	candidates       candidates
	subscribers      []func()
	period           time.Duration
	tickedAt         time.Time
	adaptedAt        time.Time
	probedAt         time.Time
	hintsRequestedAt time.Time
}

// New returns a Group whose only member is this instance, and registers the
// heartbeat handler with the transport.
func New(o Options) *Group {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		options:    o,
		budget:     newBudget(trafficBudget),
		ctx:        ctx,
		cancel:     cancel,
		done:       make(chan struct{}),
		self:       Member{Entry: o.Self, State: StateAlive},
		records:    map[string]*record{},
		candidates: newCandidates(o.Self.PeerAddr, o.Seeds),
		period:     initialPeriodFactor * o.MinPeriod,
		tickedAt:   time.Now(),
		adaptedAt:  time.Now(),
	}
	g.self.Entry.State = model.Live
	g.SetMinPeriod(o.MinPeriod)
	o.Transport.Handle(heartbeatMethod, g.handle)
	return g
}

// SetMinPeriod changes the minimum time between two heartbeats to a member;
// 0 means 500 ms.
func (g *Group) SetMinPeriod(d time.Duration) {
	if d == 0 {
		d = defaultMinPeriod
	}
	g.minPeriodNanos.Store(int64(d))
}

func (g *Group) minPeriod() time.Duration { return time.Duration(g.minPeriodNanos.Load()) }

// Start starts the goroutine that sends heartbeats.
func (g *Group) Start() {
	go g.run()
}

// Close stops the heartbeats. Unless Leave was called before, the other members
// detect the failure by the missing heartbeats. Close must be called after Start.
func (g *Group) Close() {
	g.cancel()
	<-g.done
}

// Done returns a channel that is closed when all goroutines of the group have
// ended.
func (g *Group) Done() <-chan struct{} {
	return g.done
}

// Members returns all members, dead ones included, sorted by id.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()

	list := make([]Member, 0, len(g.records)+1)
	self := g.self
	self.LastHeartbeat = time.Now()
	list = append(list, self)
	for _, r := range g.records {
		if r.hasAddr() {
			list = append(list, r.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	return list
}

// Alive returns the members of a data centre in StateAlive, sorted by id.
func (g *Group) Alive(dataCentre string) []Member {
	return slices.DeleteFunc(g.Members(), func(m Member) bool {
		return m.State != StateAlive || m.Entry.DataCentre != dataCentre
	})
}

// Find returns the id of the member with the given incarnation, even if it is
// dead.
func (g *Group) Find(incarnation string) (peerID string, ok bool) {
	for _, m := range g.Members() {
		if m.Entry.Incarnation == incarnation {
			return m.Entry.ID, true
		}
	}
	return "", false
}

// Subscribe registers f to be called after each change of a member's state,
// entry or configuration. f must not block.
func (g *Group) Subscribe(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers = append(g.subscribers, f)
}

func (g *Group) notify(changed bool) {
	if !changed {
		return
	}

	g.mu.Lock()
	subscribers := slices.Clone(g.subscribers)
	g.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

// ControlBytes returns the bytes of heartbeats sent and received since the start,
// packet headers included.
func (g *Group) ControlBytes() int64 {
	return g.budget.totalBytes()
}
