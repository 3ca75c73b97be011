// Package member keeps the membership of the entry instances. Each instance
// exchanges heartbeats with every member of its own data centre and with a few
// of the others, within a budget of bytes per second, and passes on what it
// heard of third members. Suspicion rests on the own monotonic clock only.
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

// State is what an instance believes of a member.
type State string

// The states of a member. A leaving member may still serve what it has.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeaving State = "leaving"
)

// Member is one entry instance as another one sees it. Of a member that was
// only heard of through others, Entry lacks CallerAddr and AdminAddr, Load
// holds FreeSlots only, and the configuration is unknown (number 0).
type Member struct {
	Entry         model.Entry `json:"entry"`
	Load          model.Load  `json:"load"`
	ConfigNumber  int64       `json:"configNumber"`
	ConfigDigest  string      `json:"configDigest"`
	State         State       `json:"state"`
	LastHeartbeat time.Time   `json:"lastHeard"`
}

// Group is one instance's view of all members, itself included.
type Group struct {
	options Options
	budget  *budget
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   conc.WaitGroup
	done    chan struct{}

	shortest atomic.Int64 // period in nanoseconds

	mu          sync.Mutex
	self        Member
	records     map[string]*record // by member id
	retired     retirees
	candidates  candidates
	subscribers []func()
	period      time.Duration
	tickedAt    time.Time
	adaptedAt   time.Time
	probedAt    time.Time
	pulledAt    time.Time // when hints were asked for
}

// New returns a Group that only knows itself, and registers its handler with
// the transport.
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
		period:     firstPeriods * o.MinPeriod,
		tickedAt:   time.Now(),
		adaptedAt:  time.Now(),
	}
	g.self.Entry.State = model.Live
	g.SetMinPeriod(o.MinPeriod)
	o.Transport.Handle(heartbeatMethod, g.handle)
	return g
}

// SetMinPeriod changes the shortest time between two heartbeats to a member;
// 0 takes the default.
func (g *Group) SetMinPeriod(d time.Duration) {
	if d == 0 {
		d = defaultMinPeriod
	}
	g.shortest.Store(int64(d))
}

func (g *Group) minPeriod() time.Duration { return time.Duration(g.shortest.Load()) }

// Start begins to send heartbeats.
func (g *Group) Start() {
	go g.run()
}

// Close ends the heartbeats; the others find out by their absence unless
// Leave was called before. It must follow Start.
func (g *Group) Close() {
	g.cancel()
	<-g.done
}

// Done is closed when every goroutine of the group has ended.
func (g *Group) Done() <-chan struct{} {
	return g.done
}

// Members returns all members in the order of their ids.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()

	list := make([]Member, 0, len(g.records)+1)
	self := g.self
	self.LastHeartbeat = time.Now()
	list = append(list, self)
	for _, r := range g.records {
		if r.known() {
			list = append(list, r.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	return list
}

// Alive returns the members of a data centre that are alive, in the order of
// their ids.
func (g *Group) Alive(dataCentre string) []Member {
	return slices.DeleteFunc(g.Members(), func(m Member) bool {
		return m.State != StateAlive || m.Entry.DataCentre != dataCentre
	})
}

// Find returns the id of the member that has an incarnation, dead ones
// included.
func (g *Group) Find(incarnation string) (peerID string, ok bool) {
	for _, m := range g.Members() {
		if m.Entry.Incarnation == incarnation {
			return m.Entry.ID, true
		}
	}
	return "", false
}

// Subscribe calls f after each change of a member's state, entry or
// configuration. f must not block.
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

// ControlBytes returns the bytes that heartbeats took since the start, sent
// and received, with the headers of their packets.
func (g *Group) ControlBytes() int64 {
	return g.budget.spent()
}
