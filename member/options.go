package member

import (
	"context"
	"encoding/json"
	"time"

	"github.com/phuslu/log"

	"foxtailmux/model"
)

// Transport carries requests between instances; peer.Group is one.
type Transport interface {
	Ask(ctx context.Context, peerID, method string, params, result any) error
	Handle(method string, handler func(ctx context.Context, params json.RawMessage) (any, error))
	SetPeer(id, addr string)
	RemovePeer(id string)
}

// Logger takes what is of use when a fault is looked for.
type Logger interface {
	Debug() *log.Entry
}

// Options configure a Group. Load and Config are called several times a
// second. MinPeriod is at first the shortest time between two heartbeats to a member.
type Options struct {
	Self      model.Entry
	Seeds     []string // peer addresses, IP:port
	Transport Transport
	Load      func() model.Load
	Config    func() (number int64, digest string)

	// OnBytes is called with the bytes that an exchange took, sent and
	// received, with the headers of its packets.
	OnBytes func(n int)

	Log        Logger // nil discards
	MinPeriod  time.Duration
	RandomSeed uint64 // for the start delay; 0 draws a random one
}

const (
	defaultMinPeriod = 500 * time.Millisecond
	maxPeriod        = 10 * time.Second

	// The bytes a second that heartbeats may take, sent and received, with
	// the headers of their packets.
	trafficBudget = 2300

	exchangeTimeout = 2 * time.Second
	leaveTimeout    = time.Second

	// A member of the own data centre is suspected after this number of
	// periods without a sign of it, and dead after twice that time.
	missedPeriods = 3

	// Members of other data centres are mostly heard of through others.
	remoteSuspectAfter = 45 * time.Second
	remoteDeadAfter    = 2 * remoteSuspectAfter

	// A member that could not be reached gets its next heartbeat after this
	// time, so that a short failure costs little.
	retryAfter = 2 * time.Second

	// A dead member is probed and its incarnation kept for this time.
	forgetAfter = 10 * time.Minute

	// The own loop was paused when it runs later than this.
	pauseThreshold = time.Second

	// The first period is this number of the shortest ones, until the size of
	// the group shows in the traffic.
	firstPeriods = 4

	hintsPerMessage = 2
	maxGrowth       = 3 // of the period from one to the next
	linksBetween    = 2 // between two data centres
	probesPerRound  = 4 // of addresses without a member
	maxRecords      = 512
	maxRetired      = 4096
	requestOverhead = 60  // bytes of the JSON-RPC request around its parameters
	answerOverhead  = 42  // bytes of the JSON-RPC answer around its result
	packetOverhead  = 156 // bytes of TCP and IP headers of request, answer and acknowledgement
	heartbeatMethod = "heartbeat"
	ticksPerPeriod  = 2
)

func (o Options) withDefaults() Options {
	if o.MinPeriod == 0 {
		o.MinPeriod = defaultMinPeriod
	}
	if o.OnBytes == nil {
		o.OnBytes = func(int) {}
	}
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	if o.Load == nil {
		o.Load = func() model.Load { return model.Load{} }
	}
	if o.Config == nil {
		o.Config = func() (int64, string) { return 0, "" }
	}
	return o
}
