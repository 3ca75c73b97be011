// Package beat tells which entry instances live, by heartbeats over UDP that
// also carry their load and the versions they know.
package beat

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"foxtailmux/model"
)

const (
	// interval is the time between heartbeats among instances that depend on
	// each other: those of one data centre, and homes with all others.
	interval = 250 * time.Millisecond

	// farInterval is the same for the rest.
	farInterval = time.Second

	// HeartbeatTimeout is how long an instance that sends at the interval is not heard
	// until it counts as dead: four heartbeats in a row were lost, or its process
	// does not run. One that sends less often has as many periods.
	HeartbeatTimeout = 1050 * time.Millisecond
	silencePeriods   = float64(HeartbeatTimeout) / float64(interval)

	// maxBytes of a heartbeat; it fits into one packet.
	maxBytes = 1400
)

// Heartbeat is one heartbeat.
type Heartbeat struct {
	Instance       string                        `json:"instance"`
	Incarnation    string                        `json:"incarnation"`
	Leaving        bool                          `json:"leaving,omitempty"`
	Slow           bool                          `json:"slow,omitempty"`  // its process runs too late to be a home
	Homes          map[string]model.FreeCapacity `json:"homes,omitempty"` // by data centre
	RoutingVersion int64                         `json:"routing"`         // version in force
	NextMillis     int64                         `json:"nextMillis"`      // time until the next one to the same instance
}

// silence is how long the sender is not heard until it counts as dead.
func (b Heartbeat) silence() time.Duration {
	period := max(time.Duration(b.NextMillis)*time.Millisecond, interval)
	return time.Duration(silencePeriods * float64(period))
}

// Peer is another instance as the store lists it. The list leaves its incarnation out,
// which heartbeats tell, so that an instance that starts again finds its row as it is.
type Peer struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"-"`
	DataCentre  string `json:"dataCentre"`
	Addr        string `json:"addr"`

	Cores    float64 `json:"processor"`      // cores of the machine
	LinkMbps float64 `json:"link,omitempty"` // bandwidth of the machine in Mbit/s, 0 is not known
}

// Status is what was heard of an instance.
type Status struct {
	Heartbeat
	LastHeartbeat time.Time `json:"HeardAt"` // last heartbeat
	LastMessage   time.Time `json:"LiveAt"`  // last sign of life, a heartbeat or another message
}

// Options configure a Group. Own is called for each round of heartbeats. OnBeat
// is called with each heartbeat that tells something new; it must not block.
type Options struct {
	Self         Peer
	Conn         net.PacketConn
	OwnHeartbeat func() Heartbeat
	OnChange     func(b Heartbeat)
	Log          *log.Logger
}

// Detector sends and takes heartbeats. It is safe for concurrent use.
type Detector struct {
	options Options
	tasks   conc.WaitGroup
	done    chan struct{}
	now     chan struct{} // asks for a round at once

	mu      sync.Mutex
	peers   map[string]Peer
	members map[string]Status
	sent    map[string]sending
	usedAt  map[string]time.Time // when jobs went to or came from an instance
	alive   map[string]bool      // as last logged
}

// New returns a group whose Run is still to be called.
func New(o Options) *Detector {
	return &Detector{
		options: o,
		done:    make(chan struct{}),
		now:     make(chan struct{}, 1),
		peers:   map[string]Peer{},
		members: map[string]Status{},
		sent:    map[string]sending{},
		usedAt:  map[string]time.Time{},
		alive:   map[string]bool{},
	}
}

// Done is closed when Run has returned.
func (g *Detector) Done() <-chan struct{} { return g.done }

// SetPeer makes an instance known.
func (g *Detector) SetPeer(p Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Instance != g.options.Self.Instance {
		g.peers[p.Instance] = p
	}
}

// RemovePeer forgets an instance.
func (g *Detector) RemovePeer(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.peers, instance)
	delete(g.members, instance)
	delete(g.sent, instance)
	delete(g.usedAt, instance)
}

// Run sends and takes heartbeats until the context ends.
func (g *Detector) Run(ctx context.Context) {
	defer close(g.done)
	g.tasks.Go(g.receive)
	defer g.tasks.Wait()
	defer g.options.Conn.Close()

	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		g.send(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.now:
		}
	}
}

// Announce sends a round of heartbeats at once.
func (g *Detector) Announce() {
	g.mu.Lock()
	clear(g.sent)
	g.mu.Unlock()
	select {
	case g.now <- struct{}{}:
	default:
	}
}

func (g *Detector) send(now time.Time) {
	own := g.options.OwnHeartbeat()
	bodies := map[time.Duration][]byte{}
	for _, d := range g.due(now, len(own.Homes) > 0) {
		body, ok := bodies[d.period]
		if !ok {
			own.NextMillis = d.period.Milliseconds()
			body = g.encode(own)
			bodies[d.period] = body
		}
		if body == nil {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp", d.peer.Addr)
		if err == nil {
			_, err = g.options.Conn.WriteTo(body, addr)
		}
		if err != nil {
			g.options.Log.Debug().Err(err).Str("peer", d.peer.Instance).Msg("heartbeat not sent")
		}
	}
}

// encode returns nil for a heartbeat that can't be sent.
func (g *Detector) encode(b Heartbeat) []byte {
	body, err := json.Marshal(b)
	if err != nil || len(body) > maxBytes {
		g.options.Log.Error().Err(err).Int("bytes", len(body)).Msg("heartbeat not encoded")
		return nil
	}
	return body
}

func (g *Detector) receive() {
	buffer := make([]byte, maxBytes)
	for {
		n, _, err := g.options.Conn.ReadFrom(buffer)
		if err != nil {
			return // the connection is closed
		}
		var b Heartbeat
		if err := json.Unmarshal(buffer[:n], &b); err != nil || b.Instance == "" {
			g.options.Log.Warn().Err(err).Int("bytes", n).Msg("heartbeat not understood")
			continue
		}
		if recovered := panics.Try(func() { g.take(b, time.Now()) }); recovered != nil {
			g.options.Log.Error().Err(recovered.AsError()).Str("peer", b.Instance).Msg("heartbeat panicked")
		}
	}
}

func (g *Detector) take(b Heartbeat, now time.Time) {
	g.mu.Lock()
	old := g.members[b.Instance]
	g.members[b.Instance] = Status{Heartbeat: b, LastHeartbeat: now, LastMessage: now}
	if old.Incarnation != b.Incarnation {
		delete(g.sent, b.Instance) // it has heard of no one yet
	}
	g.mu.Unlock()
	if b.tellsMore(old, now) {
		g.options.OnChange(b)
	}
}

// tellsMore reports whether a heartbeat tells something that the last one did not.
func (b Heartbeat) tellsMore(old Status, now time.Time) bool {
	return old.Incarnation != b.Incarnation || old.Leaving != b.Leaving || old.Slow != b.Slow ||
		old.RoutingVersion != b.RoutingVersion || now.Sub(old.LastHeartbeat) > old.silence()
}

// RecordMessage notes that something else than a heartbeat came from an instance. It answers links
// that are full: heartbeats get lost on them, while answers arrive.
func (g *Detector) RecordMessage(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[instance]; ok {
		m.LastMessage = time.Now()
		g.members[instance] = m
	}
}

// IsAlive reports whether an instance was heard lately.
func (g *Detector) IsAlive(instance string) bool {
	if instance == g.options.Self.Instance {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.aliveAt(instance, time.Now())
}

func (g *Detector) aliveAt(instance string, now time.Time) bool {
	m, ok := g.members[instance]
	return ok && now.Sub(m.LastMessage) < m.silence()
}

// Status returns what was heard of an instance last.
func (g *Detector) Status(instance string) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[instance]
}

// AlivePeers returns the instances that were heard lately, by name.
func (g *Detector) AlivePeers() map[string]Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	list := map[string]Status{}
	for id, m := range g.members {
		if g.aliveAt(id, now) {
			list[id] = m
		}
		if alive := g.aliveAt(id, now); alive != g.alive[id] {
			g.alive[id] = alive
			g.options.Log.Info().Str("peer", id).Bool("alive", alive).Str("incarnation", m.Incarnation).
				Int64("heardMillisAgo", now.Sub(m.LastMessage).Milliseconds()).Msg("peer changed")
		}
	}
	return list
}

// Peer returns what the store lists of an instance.
func (g *Detector) Peer(instance string) Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers[instance]
}
