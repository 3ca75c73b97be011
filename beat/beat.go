// Package beat detects failed entry instances. Instances exchange heartbeats over UDP,
// which also carry the free capacity of their homes and the version of the configuration
// in force.
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
	// heartbeatInterval is the time between heartbeats of instances that depend on each
	// other: a home and the instances of its data centre, the instances that may succeed
	// a home, homes among themselves, and instances of which one has just forwarded a job to
	// the other. In a data centre of up to three instances all of them use it.
	heartbeatInterval = 250 * time.Millisecond

	// remoteInterval is the time between heartbeats of instances of different data
	// centres that do not depend on each other.
	remoteInterval = time.Second

	// HeartbeatTimeout is how long after the last heartbeat an instance that sends at
	// heartbeatInterval is suspected dead: four heartbeats in a row were lost, or its
	// process does not run. The timeout of an instance that sends at longer intervals is
	// as many intervals.
	HeartbeatTimeout = 1050 * time.Millisecond
	timeoutPeriods   = float64(HeartbeatTimeout) / float64(heartbeatInterval)

	// maxHeartbeatBytes is the largest size of a heartbeat, which fits into one packet.
	maxHeartbeatBytes = 1400
)

// Heartbeat is the message that an instance sends to its peers.
type Heartbeat struct {
	Instance       string                        `json:"instance"`
	Incarnation    string                        `json:"incarnation"`
	Leaving        bool                          `json:"leaving,omitempty"`
	Slow           bool                          `json:"slow,omitempty"`      // the process is scheduled too late to be a home
	Homes          map[string]model.FreeCapacity `json:"homes,omitempty"`     // free capacity of the sender's homes, by data centre
	RoutingVersion int64                         `json:"routing"`             // version of the configuration in force
	DrainVersion   int64                         `json:"drains,omitempty"`    // version of the known requests to drain data centres
	NextMillis     int64                         `json:"nextMillis"`          // time until the next heartbeat to the same peer
	Cancelled      []int64                       `json:"cancelled,omitempty"` // submissions of the sender whose cancel is not delivered yet
	Open           OpenJobs                      `json:"open,omitempty"`      // long open jobs of the sender's homes, sent to other homes only
}

// timeout is how long after this heartbeat its sender is suspected dead.
func (h Heartbeat) timeout() time.Duration {
	period := max(time.Duration(h.NextMillis)*time.Millisecond, heartbeatInterval)
	return time.Duration(timeoutPeriods * float64(period))
}

// Peer is the row of an instance in the instances table. The row has no incarnation, which
// heartbeats carry, so that a restarted instance finds its row unchanged.
type Peer struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"-"`
	DataCentre  string `json:"dataCentre"`
	Addr        string `json:"addr"`

	Cores    float64 `json:"processor"`      // CPU cores of the machine
	LinkMbps float64 `json:"link,omitempty"` // bandwidth of the machine in Mbit/s; 0 is unknown
}

// Status is the latest heartbeat of an instance and the times of its last messages.
type Status struct {
	Heartbeat
	LastHeartbeat time.Time `json:"HeardAt"` // receipt of the latest heartbeat
	LastMessage   time.Time `json:"LiveAt"`  // receipt of the latest heartbeat or other message
}

// Options configure a Detector. OwnHeartbeat returns the heartbeat of this instance and is
// called for each round of heartbeats. OnChange is called with each heartbeat that differs
// from the one before in Incarnation, Leaving, Slow, RoutingVersion or DrainVersion, or follows a timeout;
// OnCancelled, which may be nil, with each that has Cancelled; OnOpen, which may be nil, with each that has
// Open. None may block.
type Options struct {
	Self         Peer
	Conn         net.PacketConn
	OwnHeartbeat func() Heartbeat
	OnChange     func(h Heartbeat)
	OnCancelled  func(h Heartbeat)
	OnOpen       func(h Heartbeat)
	Log          *log.Logger
}

// Detector sends and receives heartbeats and suspects instances whose heartbeats are
// missing to be dead. It is safe for concurrent use.
type Detector struct {
	options    Options
	background conc.WaitGroup
	done       chan struct{}
	sendNow    chan struct{} // requests a round of heartbeats at once

	mu          sync.Mutex
	peers       map[string]Peer
	statuses    map[string]Status
	sent        map[string]sentHeartbeat
	lastForward map[string]time.Time // when a job was last forwarded to or from an instance
	loggedAlive map[string]bool      // state that was last logged
}

// New returns a detector that starts with Run.
func New(o Options) *Detector {
	return &Detector{
		options:     o,
		done:        make(chan struct{}),
		sendNow:     make(chan struct{}, 1),
		peers:       map[string]Peer{},
		statuses:    map[string]Status{},
		sent:        map[string]sentHeartbeat{},
		lastForward: map[string]time.Time{},
		loggedAlive: map[string]bool{},
	}
}

// Done returns a channel that is closed when Run has returned.
func (d *Detector) Done() <-chan struct{} { return d.done }

// SetPeer adds or updates an instance to exchange heartbeats with.
func (d *Detector) SetPeer(p Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.Instance != d.options.Self.Instance {
		d.peers[p.Instance] = p
	}
}

// RemovePeer ends the heartbeats to an instance. Whether it is alive depends on its messages only.
func (d *Detector) RemovePeer(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peers, instance)
	delete(d.sent, instance)
}

// Run sends and receives heartbeats until the context ends.
func (d *Detector) Run(ctx context.Context) {
	defer close(d.done)
	d.background.Go(d.receive)
	defer d.background.Wait()
	defer d.options.Conn.Close()

	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		d.send(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.sendNow:
		}
	}
}

// Announce sends a heartbeat to all peers at once.
func (d *Detector) Announce() {
	d.mu.Lock()
	clear(d.sent)
	d.mu.Unlock()
	d.requestRound()
}

// requestRound makes Run send the heartbeats that are due.
func (d *Detector) requestRound() {
	select {
	case d.sendNow <- struct{}{}:
	default:
	}
}

func (d *Detector) send(now time.Time) {
	own := d.options.OwnHeartbeat()
	type variant struct {
		period time.Duration
		toHome bool
	}
	encoded := map[variant][][]byte{}
	for _, hb := range d.due(now, len(own.Homes) > 0) {
		v := variant{hb.period, hb.toHome}
		bodies, ok := encoded[v]
		if !ok {
			h := own
			h.NextMillis = hb.period.Milliseconds()
			if !hb.toHome {
				h.Open = nil
			}
			bodies = d.encodeAll(h)
			encoded[v] = bodies
		}
		d.sendTo(hb.peer, bodies)
	}
}

func (d *Detector) sendTo(p Peer, bodies [][]byte) {
	addr, err := net.ResolveUDPAddr("udp", p.Addr)
	for _, body := range bodies {
		if err == nil {
			_, err = d.options.Conn.WriteTo(body, addr)
		}
	}
	if err != nil {
		d.options.Log.Debug().Err(err).Str("peer", p.Instance).Msg("heartbeat not sent")
	}
}

const (
	openJobTextBytes = 11 // of an open job in a heartbeat
	openTextBytes    = 16 // of the field of open jobs without them
)

// encodeAll encodes a heartbeat with as many of its open jobs as fit into a packet, and further ones with the others.
func (d *Detector) encodeAll(h Heartbeat) [][]byte {
	var bodies [][]byte
	open := h.Open
	for first := true; first || len(open) > 0; first = false {
		h.Open = nil
		body := d.encode(h)
		if body == nil {
			break
		}
		n := min(len(open), (maxHeartbeatBytes-len(body)-openTextBytes)/openJobTextBytes)
		if n <= 0 && !first {
			d.options.Log.Error().Int("bytes", len(body)).Int("openJobs", len(open)).Msg("open jobs not announced")
			break
		}
		if n > 0 {
			h.Open = open[:n]
			body = d.encode(h)
			open = open[n:]
		}
		bodies = append(bodies, body)
		h.Cancelled = nil // the first one has them
	}
	return bodies
}

// encode returns nil if the heartbeat can't be sent. One that is too large goes without Cancelled: it is
// needed as a sign of life.
func (d *Detector) encode(h Heartbeat) []byte {
	body, err := json.Marshal(h)
	if len(body) > maxHeartbeatBytes && len(h.Cancelled) > 0 {
		d.options.Log.Warn().Int("bytes", len(body)).Int("cancels", len(h.Cancelled)).Msg("heartbeat sent without cancels")
		h.Cancelled = nil
		body, err = json.Marshal(h)
	}
	if err != nil || len(body) > maxHeartbeatBytes {
		d.options.Log.Error().Err(err).Int("bytes", len(body)).Msg("heartbeat not encoded")
		return nil
	}
	return body
}

func (d *Detector) receive() {
	buffer := make([]byte, maxHeartbeatBytes)
	for {
		n, _, err := d.options.Conn.ReadFrom(buffer)
		if err != nil {
			return // the connection is closed
		}
		var h Heartbeat
		if err := json.Unmarshal(buffer[:n], &h); err != nil || h.Instance == "" {
			d.options.Log.Warn().Err(err).Int("bytes", n).Msg("heartbeat not decoded")
			continue
		}
		if recovered := panics.Try(func() { d.handle(h, time.Now()) }); recovered != nil {
			d.options.Log.Error().Err(recovered.AsError()).Str("peer", h.Instance).Msg("heartbeat panicked")
		}
	}
}

// handle records a heartbeat and calls OnChange if it reports a change.
func (d *Detector) handle(h Heartbeat, now time.Time) {
	d.mu.Lock()
	old := d.statuses[h.Instance]
	d.statuses[h.Instance] = Status{Heartbeat: h, LastHeartbeat: now, LastMessage: now}
	if old.Incarnation != h.Incarnation {
		delete(d.sent, h.Instance) // a restarted instance has received no heartbeat yet
	}
	newHome := len(old.Homes) == 0 && len(h.Homes) > 0
	if newHome {
		delete(d.sent, h.Instance) // it has received no open jobs yet
	}
	d.mu.Unlock()
	if newHome {
		d.requestRound()
	}
	if len(h.Cancelled) > 0 && d.options.OnCancelled != nil {
		d.options.OnCancelled(h)
	}
	if len(h.Open) > 0 && d.options.OnOpen != nil {
		d.options.OnOpen(h)
	}
	if h.stateDiffersFrom(old, now) {
		d.options.OnChange(h)
	}
}

// stateDiffersFrom reports whether a heartbeat differs from the last one in its state, or follows
// a timeout. The homes of the sender and their free capacity don't count.
func (h Heartbeat) stateDiffersFrom(old Status, now time.Time) bool {
	return old.Incarnation != h.Incarnation || old.Leaving != h.Leaving || old.Slow != h.Slow ||
		old.RoutingVersion != h.RoutingVersion || old.DrainVersion != h.DrainVersion || now.Sub(old.LastHeartbeat) > old.timeout()
}

// RecordMessage records that a message other than a heartbeat was received from an
// incarnation of an instance. Used on congested links, which lose heartbeats while responses
// over TCP still arrive. It tells nothing of another incarnation than that of the heartbeats.
func (d *Detector) RecordMessage(instance, incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.statuses[instance]; ok && s.Incarnation == incarnation {
		s.LastMessage = time.Now()
		d.statuses[instance] = s
	}
}

// IsAlive reports whether the latest message of an instance is within its timeout.
func (d *Detector) IsAlive(instance string) bool {
	if instance == d.options.Self.Instance {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.aliveAt(instance, time.Now())
}

// aliveAt is IsAlive for callers that hold the lock.
func (d *Detector) aliveAt(instance string, now time.Time) bool {
	s, ok := d.statuses[instance]
	return ok && now.Sub(s.LastMessage) < s.timeout()
}

// Status returns the latest status of an instance, and a zero Status if there is none.
func (d *Detector) Status(instance string) Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statuses[instance]
}

// AlivePeers returns the status of all instances that are alive, by name.
func (d *Detector) AlivePeers() map[string]Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	list := map[string]Status{}
	for id, s := range d.statuses {
		if d.aliveAt(id, now) {
			list[id] = s
		}
		if alive := d.aliveAt(id, now); alive != d.loggedAlive[id] {
			d.loggedAlive[id] = alive
			d.options.Log.Info().Str("peer", id).Bool("alive", alive).Str("incarnation", s.Incarnation).
				Int64("heardMillisAgo", now.Sub(s.LastMessage).Milliseconds()).Msg("peer changed")
		}
	}
	return list
}

// Peer returns the row of an instance, and a zero Peer if there is none.
func (d *Detector) Peer(instance string) Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers[instance]
}
